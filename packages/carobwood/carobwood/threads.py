"""Threads that go on after an exception, and the log of those that end."""

import threading
import time

from . import events

# Pause after an exception, so that one that repeats does not fill the log.
RETRY_PAUSE_SECONDS = 0.25
# Time in which a new thread begins, unless it had no memory to do so.
BEGIN_SECONDS = 1.0


def repeat(step):
    """Call a function until it returns False.

    An exception is logged, and the function is called again.

    Args:
        step: function without arguments; it may be called again after it
            raised an exception.
    """
    while True:
        try:
            if not step():
                return
        except Exception as error:
            events.emit(
                events.THREAD_FAILED,
                thread=threading.current_thread().name,
                error=repr(error),
            )
            time.sleep(RETRY_PAUSE_SECONDS)


class _Begin(threading.Event):
    """Set as a thread begins; a wait for that ends in any case."""

    def wait(self, timeout=BEGIN_SECONDS):
        """Wait for the begin; see ``threading.Event``."""
        return super().wait(timeout)


class BoundedStart:
    """Base of a ``threading.Thread`` whose start ends in any case.

    A new thread may end for want of memory before it has begun, and the
    interpreter would wait for its begin for ever.
    """

    def start(self):
        """Start the thread.

        Raises:
            RuntimeError: the system has refused it, or it has not begun in
                time. It may still begin later.
        """
        self._started = _Begin()
        super().start()
        if not self._started.is_set():
            raise RuntimeError('the new thread has not begun')


class BoundedThread(BoundedStart, threading.Thread):
    """A thread whose start ends in any case."""


class StepThread(BoundedThread):
    """A thread for one step, which is taken in any case, and once."""

    def __init__(self, step, name):
        """Prepare the thread.

        Args:
            step: function without arguments.
            name: name of the thread.
        """
        super().__init__(target=self._take, name=name, daemon=True)
        self._step = step
        self._claim = threading.Lock()
        self._ran_here = False

    def start(self):
        """Start the thread; without one, take the step here."""
        try:
            super().start()
        except (RuntimeError, MemoryError) as error:
            events.emit(
                events.THREAD_REFUSED, thread=self.name, error=repr(error)
            )
            self._ran_here = self._take()

    def join(self, timeout=None):
        """Wait for the end of the step; see ``threading.Thread``."""
        if not self._ran_here:
            super().join(timeout)

    def _take(self):
        """Take the step, if the other thread has not; return whether."""
        is_claimed = self._claim.acquire(blocking=False)
        if is_claimed:
            self._step()
        return is_claimed


def log_ended_threads():
    """Log each thread that ends with an exception."""
    threading.excepthook = _log_ended_thread


def _log_ended_thread(hook_args):
    name = hook_args.thread.name if hook_args.thread else ''
    events.emit(
        events.THREAD_FAILED,
        thread=name,
        error=repr(hook_args.exc_value),
        ended=True,
    )
