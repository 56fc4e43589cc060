"""Evidence on endpoints from the requests that they were sent.

Load pattern: an endpoint that fails part of its requests, or has gone
silent, while its health check and its announcements are good.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import events

# Weight of the newest result in the failure rate.
NEWEST_WEIGHT = 0.25
# Time in which a failure rate halves without new results.
HALF_LIFE_SECONDS = 4.0
# Time for which an endpoint that could not be reached is left out; it
# doubles up to the maximum while no request gets through.
UNREACHABLE_SECONDS = 0.7
MAX_UNREACHABLE_SECONDS = 4.0

# Time for which an endpoint that refused a request is left out.
REFUSED_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class _Evidence:
    """Late results of an endpoint's incarnation."""

    incarnation: int
    failure_rate: float
    noted_at: float
    avoided_until: float = 0.0
    pause: float = 0.0


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
            known = self._of(endpoint)
            avoided_until = known.avoided_until if known and failed else 0.0
            self._evidence_by_endpoint[endpoint.id] = _Evidence(
                endpoint.incarnation, rate, now, avoided_until
            )

    def note_unreachable(self, endpoint):
        """Leave an endpoint out for a while."""
        now = self._clock()
        with self._lock:
            known = self._of(endpoint)
            pause = 2 * known.pause if known and known.pause else 0.0
            pause = max(UNREACHABLE_SECONDS, pause)
            pause = min(MAX_UNREACHABLE_SECONDS, pause)
            self._evidence_by_endpoint[endpoint.id] = _Evidence(
                endpoint.incarnation,
                max(self._rate(endpoint, now), NEWEST_WEIGHT),
                now,
                now + pause,
                pause,
            )
        self._log_pause(endpoint, 'unreachable', pause, known, now)

    def note_refused(self, endpoint):
        """Leave an endpoint out until its queue may have moved on."""
        now = self._clock()
        with self._lock:
            known = self._of(endpoint)
            self._evidence_by_endpoint[endpoint.id] = _Evidence(
                endpoint.incarnation,
                self._rate(endpoint, now),
                now,
                now + REFUSED_SECONDS,
            )
        self._log_pause(endpoint, 'refused', REFUSED_SECONDS, known, now)

    def failure_rate(self, endpoint):
        """Return the decaying share of failed requests."""
        return self._rate(endpoint, self._clock())

    def is_avoided(self, endpoint):
        """Tell whether an endpoint could not be reached just now."""
        known = self._of(endpoint)
        return known is not None and self._clock() < known.avoided_until

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
        if known is None or known.incarnation != endpoint.incarnation:
            return None
        return known

    def _rate(self, endpoint, now):
        known = self._of(endpoint)
        if known is None:
            return 0.0
        age = now - known.noted_at
        return known.failure_rate * 0.5 ** (age / HALF_LIFE_SECONDS)
