"""A timer that calls functions periodically on one thread."""

import dataclasses
import heapq
import itertools
import threading
import time

from . import events

# Longest wait for a callback when the timer stops.
STOP_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Subscription:
    """A function that the timer calls periodically.

    Attributes:
        period: seconds between the end of a call and the next call.
        callback: called without arguments on the timer's thread.
        cancelled: set once the subscription is cancelled.
    """

    period: float
    callback: object
    cancelled: threading.Event

    def cancel(self):
        """End the subscription; a call in progress is completed."""
        self.cancelled.set()


class Timer:
    """Calls each subscribed function periodically, all on one thread.

    The clock is monotonic, so changes to the time of day have no effect.
    Callbacks must be short, since each delays the others. If a callback
    raises an exception, it is logged and called again after its period.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._changed = threading.Condition()
        self._queue = []
        self._tie_breakers = itertools.count()
        self._stopped = False
        self._thread = threading.Thread(
            target=self._run, name='timer', daemon=True
        )

    def start(self):
        """Start the timer's thread."""
        self._thread.start()

    def stop(self):
        """Stop calling subscribers and wait for the thread to end.

        A callback that hangs is not waited for. A timer that was never
        started can be stopped, too.
        """
        with self._changed:
            self._stopped = True
            self._changed.notify()
        if self._thread.is_alive():
            self._thread.join(STOP_SECONDS)

    def subscribe(self, period, callback):
        """Call a function periodically, the first time after one period.

        Args:
            period: seconds between calls.
            callback: function without arguments.

        Returns:
            The ``Subscription``, which can be cancelled.
        """
        subscription = Subscription(period, callback, threading.Event())
        self._schedule(subscription, self._clock() + period)
        return subscription

    def _schedule(self, subscription, due_at):
        with self._changed:
            heapq.heappush(
                self._queue, (due_at, next(self._tie_breakers), subscription)
            )
            self._changed.notify()

    def _run(self):
        while True:
            subscription = self._wait_for_next_due()
            if subscription is None:
                return
            if subscription.cancelled.is_set():
                continue
            _call_and_log_error(subscription.callback)
            self._schedule(subscription, self._clock() + subscription.period)

    def _wait_for_next_due(self):
        with self._changed:
            while not self._stopped:
                if not self._queue:
                    self._changed.wait()
                    continue
                wait = self._queue[0][0] - self._clock()
                if wait <= 0:
                    return heapq.heappop(self._queue)[2]
                self._changed.wait(wait)
        return None


def _call_and_log_error(callback):
    try:
        callback()
    except Exception as error:
        events.emit(events.THREAD_FAILED, thread='timer', error=repr(error))
