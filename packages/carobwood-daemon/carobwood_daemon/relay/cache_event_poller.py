"""Long polling for the cache events of an engine or a KV cache store."""

import threading

from carobwood import errors
from carobwood import events

# Maximum time for which the cache may delay its answer until it has events.
WAIT_SECONDS = 1.0
# Timeout of a poll; it leaves time for the answer after the delay.
CALL_TIMEOUT_SECONDS = 2.0
# Pause after a failed poll.
RETRY_SECONDS = 0.5


class CacheEventPoller:
    """Polls one cache for its events on a separate thread.

    Positions of events start again after a restart of the cache, so all of
    its events are then requested again.

    Attributes:
        address: ``host:port`` of the cache.
    """

    def __init__(self, address, dialect, listener, pause=0.0):
        """Create the poller.

        Args:
            address: ``host:port`` of the cache.
            dialect: the ``Dialect``.
            listener: its ``apply(batch)`` is called with each
                ``CacheEventBatch``, and its ``set_availability(is_up,
                reason)`` with whether the cache answers and an error text if
                not.
            pause: seconds between the end of a poll and the next one.
        """
        self.address = address
        self._dialect = dialect
        self._listener = listener
        self._pause = pause
        self._boot_epoch = None
        self._position = 0
        self._lock = threading.Lock()
        self._stopped = None

    def start(self):
        """Start the polling thread unless it runs."""
        with self._lock:
            if self._stopped is not None:
                return
            self._stopped = threading.Event()
            threading.Thread(
                target=self._run,
                args=(self._stopped,),
                name=f'cache-{self.address}',
                daemon=True,
            ).start()

    def stop(self):
        """End the polling thread after its current poll."""
        with self._lock:
            if self._stopped is not None:
                self._stopped.set()
            self._stopped = None

    @property
    def is_running(self):
        """Whether the polling thread has been started and not stopped."""
        return self._stopped is not None

    def poll(self):
        """Poll once and return whether the cache answered."""
        try:
            batch = self._dialect.fetch_cache_events(
                self.address,
                self._position,
                WAIT_SECONDS,
                CALL_TIMEOUT_SECONDS,
            )
        except errors.EngineCallFailed as error:
            self._listener.set_availability(False, error.detail)
            return False
        has_restarted = self._boot_epoch not in (None, batch.boot_epoch)
        is_from_start = not self._position
        self._boot_epoch = batch.boot_epoch
        self._listener.apply(batch)
        if has_restarted and not is_from_start:
            self._position = 0
            return True
        self._position = batch.next_position
        self._listener.set_availability(True, '')
        return True

    def _run(self, stopped):
        while not stopped.is_set():
            try:
                seconds = self._pause if self.poll() else RETRY_SECONDS
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED,
                    thread=f'cache-{self.address}',
                    error=repr(error),
                )
                seconds = RETRY_SECONDS
            stopped.wait(seconds)
