"""How much later than expected first events come, by urgency.

Load pattern: in a surge, engines take requests of a lower rank after all that
come later with a higher one. What an engine holds when a request is sent
tells too little about such a request, which would wait for a place until the
last moment and be late at the engine.

The delay is a decaying mean over the service, as a VM of many sends too few
requests to each engine.
"""

import math
import threading

from carobwood import clocks

# Time in which the weight of an older sample falls to 1/e.
AVERAGE_SECONDS = 3.0
# Longest delay that a sample counts for, so that one engine that is silent
# does not close all.
MAX_SAMPLE_SECONDS = 1.0


class FirstEventDelay:
    """Decaying mean of the delays, by service and urgency."""

    def __init__(self, clock=clocks.now):
        """Create the means.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._sums_by_key = {}

    def note(self, service, urgency, expected, actual):
        """Record a first event.

        Args:
            service: name of the service.
            urgency: the ``Urgency`` of the request.
            expected: seconds in which its first event was expected.
            actual: seconds in which it came.
        """
        delay = min(max(0.0, actual - expected), MAX_SAMPLE_SECONDS)
        now = self._clock()
        key = (service, urgency)
        with self._lock:
            total, weight = self._decayed(key, now)
            self._sums_by_key[key] = (total + delay, weight + 1.0, now)

    def seconds(self, service, urgency):
        """Return the mean delay; it falls to 0 without samples."""
        with self._lock:
            total, weight = self._decayed((service, urgency), self._clock())
        # Few and old samples count for less.
        return total / max(1.0, weight)

    def _decayed(self, key, now):
        total, weight, at = self._sums_by_key.get(key, (0.0, 0.0, now))
        factor = math.exp(-max(0.0, now - at) / AVERAGE_SECONDS)
        return total * factor, weight * factor
