"""Threads that go on after an exception, and the log of those that end."""

import threading
import time

from . import events

# Pause after an exception, so that one that repeats does not fill the log.
RETRY_PAUSE_SECONDS = 0.25


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


class StepThread(threading.Thread):
    """A thread for one step, which is taken in any case."""

    def __init__(self, step, name):
        """Prepare the thread.

        Args:
            step: function without arguments.
            name: name of the thread.
        """
        super().__init__(target=step, name=name, daemon=True)
        self._ran_here = False

    def start(self):
        """Start the thread; without one, take the step here."""
        try:
            super().start()
        except (RuntimeError, MemoryError) as error:
            events.emit(
                events.THREAD_REFUSED, thread=self.name, error=repr(error)
            )
            self._ran_here = True
            self.run()

    def join(self, timeout=None):
        """Wait for the end of the step; see ``threading.Thread``."""
        if not self._ran_here:
            super().join(timeout)


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
