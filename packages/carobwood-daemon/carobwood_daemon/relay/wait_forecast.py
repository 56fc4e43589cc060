"""Forecast of how long a request will wait for a place.

Load pattern: a surge that lasts for seconds. A queue that takes all requests
serves each of them when it is late already. The forecast is the number of
requests ahead over the rate at which this VM's requests have got places
lately, so that one without a chance is told as it comes.

How much of its time a request may wait is a level for each urgency: a wait
that ends in a refusal halves it, one that ends with a place raises it, and it
rises by itself, so that it cannot stay shut.
"""

import math
import threading

from carobwood import clocks

# Time in which the weight of an older start falls to 1/e.
AVERAGE_SECONDS = 1.5
# Rate assumed at least, in starts a second: a VM that has just begun to wait
# has seen no start yet.
MIN_START_RATE = 2.0
# Part of the time until a request is late that its expected wait may take.
MAX_WAIT_FRACTION = 0.7
# The level: factor after a wait in vain, step after one that was worth it,
# and rise in a second.
DECREASE_FACTOR = 0.5
INCREASE_STEP = 0.1
RISE_PER_SECOND = 0.2
MIN_LEVEL = 0.05


class WaitForecast:
    """Rate of starts, by service."""

    def __init__(self, clock=clocks.now):
        """Create the forecast.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._starts_by_key = {}
        self._levels_by_key = {}

    def note_wait(self, service, urgency, was_placed):
        """Record how a wait of a request that could be on time ended.

        Args:
            service: name of the service.
            urgency: the ``Urgency`` of the request.
            was_placed: whether it got a place; it was refused otherwise.
        """
        now = self._clock()
        with self._lock:
            level = self._level(service, urgency, now)
            if was_placed:
                level = min(1.0, level + INCREASE_STEP)
            else:
                level = max(MIN_LEVEL, level * DECREASE_FACTOR)
            self._levels_by_key[service, urgency] = (level, now)

    def level(self, service, urgency):
        """Return the level for requests of an urgency, 1 if fully open."""
        with self._lock:
            return self._level(service, urgency, self._clock())

    def is_worth_waiting(self, service, urgency, ahead, seconds_left):
        """Return whether a request is expected to get a place in time.

        Args:
            service: name of the service.
            urgency: its ``Urgency``.
            ahead: number of waiting requests that go before it.
            seconds_left: seconds until it is late.
        """
        if not ahead:
            return True
        allowed = seconds_left * MAX_WAIT_FRACTION
        allowed *= self.level(service, urgency)
        return self.wait_seconds(service, ahead) <= allowed

    def _level(self, service, urgency, now):
        level, at = self._levels_by_key.get((service, urgency), (1.0, now))
        return min(1.0, level + max(0.0, now - at) * RISE_PER_SECOND)

    def note_start(self, service, urgency):
        """Record that a request has got a place."""
        now = self._clock()
        key = (service, urgency)
        with self._lock:
            number, at = self._starts_by_key.get(key, (0.0, now))
            self._starts_by_key[key] = (_decayed(number, now - at) + 1.0, now)

    def observed_rate(self, service, lowest=None):
        """Return how many requests got places in a second lately.

        Args:
            service: name of the service.
            lowest: the lowest ``Urgency`` that counts, or None for all.
        """
        return self._rate(
            service, lambda urgency: lowest is None or urgency <= lowest
        )

    def rate_above(self, service, limit):
        """Return the rate of the requests more urgent than an ``Urgency``."""
        return self._rate(service, lambda urgency: urgency < limit)

    def _rate(self, service, is_counted):
        now = self._clock()
        with self._lock:
            starts = list(self._starts_by_key.items())
        number = sum(
            _decayed(number, now - at)
            for (name, urgency), (number, at) in starts
            if name == service and is_counted(urgency)
        )
        return number / AVERAGE_SECONDS

    def start_rate(self, service):
        """Return how many requests are expected to get places in a second."""
        return max(MIN_START_RATE, self.observed_rate(service))

    def wait_seconds(self, service, ahead):
        """Return the expected wait behind a number of requests."""
        return ahead / self.start_rate(service)


def _decayed(number, seconds):
    return number * math.exp(-max(0.0, seconds) / AVERAGE_SECONDS)
