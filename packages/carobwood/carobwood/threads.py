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
