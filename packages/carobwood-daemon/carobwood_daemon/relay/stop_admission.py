"""Decides which requests a stopping VM still takes.

Load pattern: the load balancer and callers with open connections learn of a
planned stop over some seconds, and go on sending. A request that is taken late
and lasts long would be cut when the time for the stop ends, and one that must
not run twice could not be repeated.

How long a request lasts is estimated by the slowest one that its route has
answered lately, and by a silence of a sound endpoint on top of it. Without any
answer, it may last until its deadline.
"""

import threading

from carobwood import clocks
from carobwood import errors

# Time for which an answer counts; up to twice that until it is forgotten.
WINDOW_SECONDS = 15.0
# Safety factors on the slowest answer.
MARGIN = 1.25
UNREPEATABLE_MARGIN = 2.0
# Silence of a sound endpoint that an answer may meet.
SILENCE_SECONDS = 2.0


class RouteDurations:
    """Longest durations of the requests that were answered lately."""

    def __init__(self, clock=clocks.now):
        """Create the table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._window_ends_at = clock() + WINDOW_SECONDS
        self._slowest_by_route = {}
        self._former_by_route = {}

    def note(self, route_name, seconds):
        """Record the duration of an answered request."""
        with self._lock:
            self._rotate()
            slowest = self._slowest_by_route.get(route_name, 0.0)
            self._slowest_by_route[route_name] = max(slowest, seconds)

    def slowest(self, route_name):
        """Return the longest duration in seconds, or None without any."""
        with self._lock:
            self._rotate()
            found = [
                slowest_by_route[route_name]
                for slowest_by_route in (
                    self._slowest_by_route,
                    self._former_by_route,
                )
                if route_name in slowest_by_route
            ]
        return max(found, default=None)

    def _rotate(self):
        now = self._clock()
        if now < self._window_ends_at:
            return
        is_recent = now < self._window_ends_at + WINDOW_SECONDS
        self._former_by_route = self._slowest_by_route if is_recent else {}
        self._slowest_by_route = {}
        self._window_ends_at = now + WINDOW_SECONDS


def may_finish(route, slowest, time_allowed, stop_seconds):
    """Tell whether a request ends before the VM has stopped.

    It does even if its endpoint falls silent for ``SILENCE_SECONDS``.

    Args:
        route: the ``Route``.
        slowest: seconds of its slowest answer lately, or None.
        time_allowed: seconds until the request's deadline.
        stop_seconds: seconds for which the VM still serves requests.
    """
    if time_allowed <= stop_seconds:
        return True
    if slowest is None:
        return False
    seconds = MARGIN * slowest + SILENCE_SECONDS
    if not route.is_idempotent:
        seconds = max(seconds, UNREPEATABLE_MARGIN * slowest)
    return seconds <= stop_seconds


def refuse_if_too_late(context, request):
    """Refuse an unsent request that may outlast the stop of this VM.

    Args:
        context: the ``RelayContext``.
        request: the ``AdmittedRequest``.

    Raises:
        Stopping: it may.
    """
    if context.gate.is_ready:
        return
    if not may_finish(
        request.route,
        context.route_durations.slowest(request.route.name),
        request.seconds_left,
        context.gate.stop_seconds_left,
    ):
        raise errors.Stopping('the request may outlast the stop')
