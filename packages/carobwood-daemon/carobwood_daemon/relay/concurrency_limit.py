"""Limit of the concurrent requests on engines, learned from their latency.

Load pattern: the more requests an engine runs, the longer are the pauses
between the events of each. In a surge all engines are full, and the streams
of all callers pause for longer than is on time.

Additive increase, multiplicative decrease: each period in which too many
answers had longer pauses than their routes allow lowers the part of the
slots that is used, any other raises it. The floor keeps enough requests
running to show that there is room again.
"""

import threading

from carobwood import clocks

PERIOD_SECONDS = 0.5
# Answers in a period from which its result counts.
MIN_ANSWERS = 4
# Share of late answers in a period from which the limit falls.
MAX_LATE_SHARE = 0.25
DECREASE_FACTOR = 0.9
INCREASE_STEP = 0.05
MIN_FRACTION = 0.6


class ConcurrencyLimit:
    """Part of the engines' slots that is used, by service."""

    def __init__(self, clock=clocks.now):
        """Create the limit.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._periods_by_service = {}

    def note_answer(self, service, is_late):
        """Record an answer.

        Args:
            service: name of the service.
            is_late: whether it paused for longer than is on time.
        """
        now = self._clock()
        with self._lock:
            period = self._periods_by_service.setdefault(service, _Period(now))
            period.close_if_over(now)
            period.answers += 1
            period.late += int(is_late)

    def fraction(self, service):
        """Return the part of each engine's slots that may be used."""
        now = self._clock()
        with self._lock:
            period = self._periods_by_service.get(service)
            if period is None:
                return 1.0
            period.close_if_over(now)
            return period.fraction


class _Period:
    """Answers of the current period, and the fraction that holds in it."""

    def __init__(self, now):
        self.fraction = 1.0
        self.answers = 0
        self.late = 0
        self._began_at = now

    def close_if_over(self, now):
        """Adapt the fraction if the period is over.

        Periods without enough answers raise it, so that it recovers without
        any.
        """
        seconds = now - self._began_at
        if 0 <= seconds < PERIOD_SECONDS:
            return
        periods = max(1, int(seconds / PERIOD_SECONDS))
        if self.answers >= MIN_ANSWERS and (
            self.late > MAX_LATE_SHARE * self.answers
        ):
            self.fraction = max(MIN_FRACTION, self.fraction * DECREASE_FACTOR)
            periods -= 1
        self.fraction = min(1.0, self.fraction + periods * INCREASE_STEP)
        self.answers = self.late = 0
        self._began_at = now
