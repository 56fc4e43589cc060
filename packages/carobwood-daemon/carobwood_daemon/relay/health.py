"""Evidence on endpoints from the requests that they were sent.

Load pattern: an endpoint that fails part of its requests, or has gone
silent, while its health check and its announcements are good; and dozens
of requests that arrive at each VM before it is announced as gone.

An endpoint that could not be reached gets no requests until a probe has
reached it, so that one request of each VM finds out and not one after
each pause.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import events

# Weight of the newest result in the failure rate.
NEWEST_WEIGHT = 0.25
# Time in which a failure rate halves without new results.
HALF_LIFE_SECONDS = 4.0
# Time until an endpoint that could not be reached is probed; it doubles
# up to the maximum while no probe gets through.
FIRST_PAUSE_SECONDS = 0.1
MAX_PAUSE_SECONDS = 2.0
# If no probe has come back by then, requests may find out.
PROBE_GRACE_SECONDS = 1.0
# Time for which an endpoint that refused a request is left out.
REFUSED_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class _Evidence:
    """Late results of an endpoint's incarnation.

    Attributes:
        endpoint: the ``Endpoint``.
        failure_rate: decaying share of failed requests.
        noted_at: when the last result came.
        avoided_until: when it gets requests again.
        pause: seconds until the next probe, or 0.0 if it is reached.
        probe_at: when it is probed, or None while a probe runs.
    """

    endpoint: object
    failure_rate: float = 0.0
    noted_at: float = 0.0
    avoided_until: float = 0.0
    pause: float = 0.0
    probe_at: float | None = None


class Health:
    """Failure rates and pauses of endpoints, by id."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._evidence_by_endpoint = {}

    def note_result(self, endpoint, failed):
        """Note the result of a request."""
        now = self._clock()
        with self._lock:
            rate = self._rate(endpoint, now)
            rate += NEWEST_WEIGHT * (float(failed) - rate)
            known = self._of(endpoint) or _Evidence(endpoint)
            if not failed:
                known = _Evidence(endpoint)
            self._evidence_by_endpoint[endpoint.id] = dataclasses.replace(
                known, failure_rate=rate, noted_at=now
            )

    def note_unreachable(self, endpoint):
        """Leave an endpoint out until a probe reaches it."""
        with self._lock:
            known = self._of(endpoint)
            if known is not None and known.pause:
                return
            self._start_pause(endpoint, FIRST_PAUSE_SECONDS, 'unreachable')

    def note_still_unreachable(self, endpoint):
        """Note that a probe has not reached an endpoint."""
        with self._lock:
            known = self._of(endpoint)
            if known is None or not known.pause:
                return
            pause = min(MAX_PAUSE_SECONDS, 2 * known.pause)
            self._start_pause(endpoint, pause, 'probe')

    def note_reachable(self, endpoint):
        """Note that a probe has reached an endpoint."""
        with self._lock:
            known = self._of(endpoint)
            if known is None or not known.pause:
                return
            self._evidence_by_endpoint[endpoint.id] = dataclasses.replace(
                known, avoided_until=0.0, pause=0.0, probe_at=None
            )
        events.emit(
            events.ENDPOINT_REGAINED,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            pause=known.pause,
        )

    def take_due_for_probe(self):
        """Return endpoints to be probed now; each is returned once."""
        now = self._clock()
        with self._lock:
            due = [
                known
                for known in self._evidence_by_endpoint.values()
                if known.probe_at is not None and known.probe_at <= now
            ]
            for known in due:
                self._evidence_by_endpoint[known.endpoint.id] = (
                    dataclasses.replace(known, probe_at=None)
                )
        return [known.endpoint for known in due]

    def note_refused(self, endpoint):
        """Leave an endpoint out until its queue may have moved on."""
        now = self._clock()
        with self._lock:
            known = self._of(endpoint)
            until = now + REFUSED_SECONDS
            self._evidence_by_endpoint[endpoint.id] = dataclasses.replace(
                known or _Evidence(endpoint),
                failure_rate=self._rate(endpoint, now),
                noted_at=now,
                avoided_until=max(until, known.avoided_until if known else 0),
            )
        self._log_pause(endpoint, 'refused', REFUSED_SECONDS, known, now)

    def failure_rate(self, endpoint):
        """Return the decaying share of failed requests."""
        return self._rate(endpoint, self._clock())

    def is_avoided(self, endpoint):
        """Tell whether an endpoint could not be reached just now."""
        known = self._of(endpoint)
        return known is not None and self._clock() < known.avoided_until

    def _start_pause(self, endpoint, pause, cause):
        now = self._clock()
        known = self._of(endpoint)
        self._evidence_by_endpoint[endpoint.id] = _Evidence(
            endpoint,
            max(self._rate(endpoint, now), NEWEST_WEIGHT),
            now,
            now + pause + PROBE_GRACE_SECONDS,
            pause,
            now + pause,
        )
        self._log_pause(endpoint, cause, pause, known, now)

    @staticmethod
    def _log_pause(endpoint, cause, seconds, known, now):
        events.emit(
            events.ENDPOINT_PAUSED,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            cause=cause,
            seconds=seconds,
            failure_rate=round(known.failure_rate, 3) if known else 0.0,
            evidence_age=round(now - known.noted_at, 3) if known else None,
        )

    def _of(self, endpoint):
        known = self._evidence_by_endpoint.get(endpoint.id)
        if known is None:
            return None
        if known.endpoint.incarnation != endpoint.incarnation:
            return None
        return known

    def _rate(self, endpoint, now):
        known = self._of(endpoint)
        if known is None:
            return 0.0
        age = now - known.noted_at
        return known.failure_rate * 0.5 ** (age / HALF_LIFE_SECONDS)
