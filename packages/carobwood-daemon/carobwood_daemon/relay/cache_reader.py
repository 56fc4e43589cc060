"""A cache's changes, asked for again and again on a thread of their own."""

import threading

from carobwood import errors
from carobwood import events

# A cache keeps the call until it has news, but no longer.
WAIT_SECONDS = 1.0
CALL_SECONDS = 2.0
RETRY_SECONDS = 0.5


class CacheReader:
    """Asks one cache for its changes.

    After a restart of the cache its positions begin anew, so all of its
    changes are asked for again.
    """

    def __init__(self, address, dialect, listener, pause=0.0):
        """Create the reader.

        Args:
            address: ``host:port`` of the cache.
            dialect: the ``Dialect``.
            listener: its ``take(news)`` gets ``CacheNews`` and its
                ``note_up(is_up, reason)`` whether the cache answers.
            pause: seconds between the end of a call and the next one.
        """
        self.address = address
        self._dialect = dialect
        self._listener = listener
        self._pause = pause
        self._boot = None
        self._position = 0
        self._stopped = threading.Event()

    def start(self):
        """Start asking."""
        threading.Thread(
            target=self._run, name=f'cache-{self.address}', daemon=True
        ).start()

    def stop(self):
        """End the thread at its next step."""
        self._stopped.set()

    def poll(self):
        """Ask once; return whether the cache answered."""
        try:
            news = self._dialect.read_cache_news(
                self.address, self._position, WAIT_SECONDS, CALL_SECONDS
            )
        except errors.EngineCallFailed as error:
            self._listener.note_up(False, error.detail)
            return False
        is_reborn = self._boot not in (None, news.boot)
        is_from_start = not self._position
        self._boot = news.boot
        self._listener.take(news)
        if is_reborn and not is_from_start:
            self._position = 0
            return True
        self._position = news.next_position
        self._listener.note_up(True, '')
        return True

    def _run(self):
        while not self._stopped.is_set():
            try:
                seconds = self._pause if self.poll() else RETRY_SECONDS
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED,
                    thread=f'cache-{self.address}',
                    error=repr(error),
                )
                seconds = RETRY_SECONDS
            self._stopped.wait(seconds)
