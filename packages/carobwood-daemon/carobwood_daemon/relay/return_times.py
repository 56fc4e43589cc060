"""When callers of refused requests should return.

Load pattern: hundreds of requests are refused within a second of a surge. If
all come back after the same time they are a surge of their own, and those
refused again have waited for nothing.

Callers honour a time of up to a third of what they have left and come back
once. The times lie in the later part of that, spread evenly: as late as is
honoured, as surges last for seconds. A request that names less time than
others of its route has come back; it is not refused at once again.
"""

import math
import random
import threading

from carobwood import clocks

# Part of the time left that callers wait before they return.
HONOURED_FRACTION = 1 / 3
# Parts of a second in which times are named. They are rounded down: a time
# beyond what callers honour has them return at once.
PARTS_OF_SECOND = 100
# Latest return: surges last for seconds, also where callers name hours.
MAX_SECONDS_UNTIL_RETURN = 10.0
# Earliest return, as a part of the latest.
EARLIEST_FRACTION = 0.6
# A caller that names less than this part of the usual time has come back.
RETURNED_FRACTION = 0.8
# Time for which a named time counts; up to twice that until it is forgotten.
WINDOW_SECONDS = 15.0


def seconds_until_return(seconds_left, source=random):
    """Return after how many seconds a caller should come back.

    Args:
        seconds_left: seconds until its request's deadline.
        source: source of random numbers.
    """
    latest = max(0.0, seconds_left) * HONOURED_FRACTION
    latest = min(latest, MAX_SECONDS_UNTIL_RETURN)
    seconds = latest * source.uniform(EARLIEST_FRACTION, 1.0)
    return math.floor(seconds * PARTS_OF_SECOND) / PARTS_OF_SECOND


class UsualDeadlines:
    """Longest time that callers of each route have named lately."""

    def __init__(self, clock=clocks.now):
        """Create the table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._window_began_at = clock()
        self._longest_by_route = {}
        self._former_by_route = {}

    def has_returned(self, route_name, seconds):
        """Return whether a request seems to come after a refusal.

        Args:
            route_name: name of the route.
            seconds: time to the deadline that the caller names, or None.
        """
        if seconds is None:
            return False
        with self._lock:
            self._rotate()
            longest = self._longest_by_route.get(route_name, 0.0)
            self._longest_by_route[route_name] = max(longest, seconds)
            usual = max(longest, self._former_by_route.get(route_name, 0.0))
        return seconds < RETURNED_FRACTION * usual

    def _rotate(self):
        now = self._clock()
        age = now - self._window_began_at
        if 0 <= age < WINDOW_SECONDS:
            return
        is_recent = 0 <= age < 2 * WINDOW_SECONDS
        self._former_by_route = self._longest_by_route if is_recent else {}
        self._longest_by_route = {}
        self._window_began_at = now
