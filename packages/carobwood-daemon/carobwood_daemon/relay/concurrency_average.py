"""Average number of requests of each urgency that wait or run.

Load pattern: a surge of a less urgent kind fills all engines, and an urgent
request that comes a moment later finds no place. The average tells how many
places the more urgent requests need, and its root how much that varies.
"""

import math
import threading

from carobwood import clocks

# Time in which the weight of an older sample falls to 1/e.
AVERAGE_SECONDS = 2.0


class ConcurrencyAverage:
    """Decaying averages of the concurrent requests, by service and urgency."""

    def __init__(self, clock=clocks.now):
        """Create the averages.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._counts_by_service = {}

    def add(self, service, urgency):
        """Count a request that has come."""
        self._change(service, urgency, 1)

    def remove(self, service, urgency):
        """Count a request that has ended."""
        self._change(service, urgency, -1)

    def mean_above(self, service, urgency):
        """Return the average number of more urgent requests."""
        return sum(self.means_above(service, urgency).values())

    def means_above(self, service, urgency):
        """Return the averages of more urgent requests, by ``Urgency``."""
        now = self._clock()
        with self._lock:
            counts = self._counts_by_service.get(service, {})
            return {
                other: count.mean(now)
                for other, count in counts.items()
                if other < urgency
            }

    def _change(self, service, urgency, difference):
        now = self._clock()
        with self._lock:
            counts = self._counts_by_service.setdefault(service, {})
            if urgency not in counts:
                counts[urgency] = _Count(now)
            counts[urgency].change(now, difference)


class _Count:
    """A number and its decaying average over time."""

    def __init__(self, now):
        self._current = 0
        self._mean = 0.0
        self._changed_at = now

    def mean(self, now):
        """Return the average at a time."""
        # A clock that steps back must not let the average grow.
        seconds = max(0.0, now - self._changed_at)
        weight = math.exp(-seconds / AVERAGE_SECONDS)
        return self._current + (self._mean - self._current) * weight

    def change(self, now, difference):
        """Change the number."""
        self._mean = self.mean(now)
        self._changed_at = now
        self._current = max(0, self._current + difference)
