"""A timer service that other parts subscribe to."""

import dataclasses
import heapq
import itertools
import threading
import time

from . import events


@dataclasses.dataclass(frozen=True)
class Subscription:
    """A periodic call.

    Attributes:
        period: seconds between two calls.
        callback: called without arguments on the timer's thread.
        cancelled: set to end the subscription.
    """

    period: float
    callback: object
    cancelled: threading.Event

    def cancel(self):
        """End the subscription."""
        self.cancelled.set()


class Timer:
    """Calls its subscribers at their periods, on one thread.

    Times are monotonic, so that clock steps have no effect. Callbacks
    must be short; a failing one is logged and called again.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._changed = threading.Condition()
        self._pending = []
        self._numbers = itertools.count()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name='timer', daemon=True
        )

    def start(self):
        """Start the timer's thread."""
        self._thread.start()

    def stop(self):
        """Stop calling subscribers and wait for the thread."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        self._thread.join()

    def subscribe(self, period, callback):
        """Call ``callback`` every ``period`` seconds.

        Returns:
            The ``Subscription``, which can be cancelled.
        """
        subscription = Subscription(period, callback, threading.Event())
        self._schedule(subscription, self._clock() + period)
        return subscription

    def _schedule(self, subscription, due):
        with self._changed:
            heapq.heappush(
                self._pending, (due, next(self._numbers), subscription)
            )
            self._changed.notify()

    def _run(self):
        while True:
            subscription = self._next_due()
            if subscription is None:
                return
            if subscription.cancelled.is_set():
                continue
            _call_guarded(subscription.callback)
            self._schedule(subscription, self._clock() + subscription.period)

    def _next_due(self):
        with self._changed:
            while not self._stopped:
                if not self._pending:
                    self._changed.wait()
                    continue
                wait = self._pending[0][0] - self._clock()
                if wait <= 0:
                    return heapq.heappop(self._pending)[2]
                self._changed.wait(wait)
        return None


def _call_guarded(callback):
    try:
        callback()
    except Exception as error:
        events.emit(events.THREAD_FAILED, thread='timer', error=repr(error))
