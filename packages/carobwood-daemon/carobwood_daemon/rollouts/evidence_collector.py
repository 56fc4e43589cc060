"""Collects what the requests to the versions of a service came to.

Load pattern: both versions serve at the same time, hundreds of requests a
second, and a new version may fail on one route only or answer late only under
load. Callers leave, links are cut and some prompts crash any endpoint, which
tells nothing of the version.

Each attempt counts once, for the version that it was sent to. One that no
result is noted of is counted as sent only.
"""

import collections
import dataclasses
import threading

from carobwood import clocks

from . import evidence


@dataclasses.dataclass(frozen=True)
class ResultKey:
    """What results are summed by.

    Attributes:
        service: name of the service.
        software_version: version of the endpoint.
        route: name of the route.
    """

    service: str
    software_version: str
    route: str


class _Attempt:
    """An attempt that is at an endpoint."""

    __slots__ = (
        'first_event_at',
        'is_noted',
        'key',
        'last_event_at',
        'longest_pause',
        'rollout',
        'sent_at',
    )

    def __init__(self, key, rollout, sent_at):
        self.key = key
        # Log index of the rollout that was running as it began, or None.
        self.rollout = rollout
        self.sent_at = sent_at
        self.first_event_at = None
        self.last_event_at = None
        self.longest_pause = 0.0
        self.is_noted = False


class _Totals:
    """Totals of one ``ResultKey``."""

    def __init__(self):
        self.sent = 0
        self.succeeded = 0
        self.failed = 0
        self.times = [0] * evidence.BUCKETS
        self.pauses = [0] * evidence.BUCKETS

    def results(self, in_flight):
        """Return them as ``RouteResults``."""
        return evidence.RouteResults(
            self.sent,
            self.succeeded,
            self.failed,
            tuple(self.times),
            tuple(self.pauses),
            in_flight,
        )


class EvidenceCollector:
    """Totals of the attempts of this VM, by version and route."""

    def __init__(self, clock=clocks.now):
        """Create a collector that counts for no rollout.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._index_by_service = {}
        # The assignment is the identity of an attempt.
        self._attempts_by_assignment = {}
        self._totals_by_key = {}

    def set_rollouts(self, index_by_service):
        """Count for these rollouts from now on.

        The totals of a service begin anew with each rollout.

        Args:
            index_by_service: log index of the running rollout by service.
        """
        with self._lock:
            former = self._index_by_service
            self._index_by_service = dict(index_by_service)
            self._totals_by_key = {
                key: totals
                for key, totals in self._totals_by_key.items()
                if former.get(key.service)
                == self._index_by_service.get(key.service)
            }

    def begin(self, assignment, key):
        """Note that an attempt is about to be sent.

        Args:
            assignment: the ``Assignment``.
            key: the ``ResultKey``.
        """
        now = self._clock()
        with self._lock:
            rollout = self._index_by_service.get(key.service)
            attempt = _Attempt(key, rollout, now)
            self._attempts_by_assignment[assignment] = attempt
            if rollout is not None:
                self._totals(key).sent += 1

    def note_event(self, assignment):
        """Note that complete events of an attempt's stream have come."""
        attempt = self._attempts_by_assignment.get(assignment)
        if attempt is None:
            return
        now = self._clock()
        if attempt.first_event_at is None:
            attempt.first_event_at = now
        else:
            pause = now - attempt.last_event_at
            attempt.longest_pause = max(attempt.longest_pause, pause)
        attempt.last_event_at = now

    def note_succeeded(self, assignment):
        """Note that the answer to an attempt was whole and no failure.

        Returns:
            Its time in seconds if it counts for a rollout, or None.
        """
        now = self._clock()
        with self._lock:
            attempt = self._claim(assignment)
            if attempt is None:
                return None
            totals = self._totals(attempt.key)
            totals.succeeded += 1
            is_stream = attempt.first_event_at is not None
            answered_at = attempt.first_event_at if is_stream else now
            seconds = answered_at - attempt.sent_at
            totals.times[evidence.bucket_of(seconds)] += 1
            if is_stream:
                bucket = evidence.bucket_of(attempt.longest_pause)
                totals.pauses[bucket] += 1
            return seconds

    def note_failed(self, assignment):
        """Note that an attempt failed or its answer was wrong or broke off."""
        with self._lock:
            attempt = self._claim(assignment)
            if attempt is not None:
                self._totals(attempt.key).failed += 1

    def leave_out(self, assignment):
        """Note that the result of an attempt tells nothing of its version."""
        with self._lock:
            self._claim(assignment)

    def end(self, assignment):
        """Note that an attempt is no longer at its endpoint."""
        with self._lock:
            self._attempts_by_assignment.pop(assignment, None)

    def results(self):
        """Return the ``RouteResults`` by ``ResultKey``."""
        with self._lock:
            in_flight_by_key = collections.Counter(
                attempt.key
                for attempt in self._attempts_by_assignment.values()
                if attempt.key.service in self._index_by_service
            )
            for key in in_flight_by_key:
                self._totals(key)
            return {
                key: totals.results(in_flight_by_key[key])
                for key, totals in self._totals_by_key.items()
            }

    def _claim(self, assignment):
        """Return an attempt that counts and has no result yet, or None."""
        attempt = self._attempts_by_assignment.get(assignment)
        if attempt is None or attempt.is_noted:
            return None
        attempt.is_noted = True
        current = self._index_by_service.get(attempt.key.service)
        if attempt.rollout is None or attempt.rollout != current:
            return None
        return attempt

    def _totals(self, key):
        totals = self._totals_by_key.get(key)
        if totals is None:
            totals = self._totals_by_key[key] = _Totals()
        return totals
