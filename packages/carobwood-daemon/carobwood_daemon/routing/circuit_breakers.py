"""Circuit breakers, which keep requests away from failing endpoints."""

import dataclasses
import random
import threading
import time

from carobwood import events

INITIAL_BACKOFF_SECONDS = 1.0
MAX_BACKOFF_SECONDS = 30.0
BACKOFF_FACTOR = 2.0
# Backoff times vary randomly by up to this fraction.
JITTER_FRACTION = 0.2


@dataclasses.dataclass(frozen=True)
class Backoff:
    """Time during which the breaker of an endpoint is open.

    Attributes:
        incarnation: incarnation of the endpoint that failed.
        ends_at: time at which the breaker half-opens, on the monotonic
            clock.
        base_seconds: length of the backoff without jitter.
    """

    incarnation: int
    ends_at: float
    base_seconds: float


class CircuitBreakers:
    """Circuit breakers of all endpoints.

    A failure opens the breaker of an endpoint for a backoff time, which
    grows exponentially with each failure after the previous backoff has
    ended. After the backoff the breaker is half-open: requests go to the
    endpoint again, and the first result opens or closes the breaker. A
    success or a new incarnation of the endpoint closes it.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._random = random.SystemRandom()
        self._backoffs_by_endpoint = {}

    def record_failure(self, endpoint, reason):
        """Open the breaker of an endpoint that failed.

        Failures while the breaker is open have no effect, because requests
        in flight at the same time often fail together.

        Args:
            endpoint: the ``Endpoint``.
            reason: error code or cause of the failure, for the log.
        """
        now = self._clock()
        with self._lock:
            previous = self._current_backoff(endpoint)
            if previous is not None and now < previous.ends_at:
                return
            seconds = INITIAL_BACKOFF_SECONDS
            if previous is not None:
                seconds = min(
                    MAX_BACKOFF_SECONDS, previous.base_seconds * BACKOFF_FACTOR
                )
            # Jitter prevents all VMs from retrying at the same time.
            jitter = 1.0 + JITTER_FRACTION * (2 * self._random.random() - 1)
            self._backoffs_by_endpoint[endpoint.id] = Backoff(
                endpoint.incarnation, now + seconds * jitter, seconds
            )
        events.emit(
            events.ENDPOINT_SUSPECTED, endpoint=endpoint.id, reason=reason
        )

    def record_success(self, endpoint):
        """Close the breaker of an endpoint that answered."""
        if endpoint.id in self._backoffs_by_endpoint:
            with self._lock:
                self._backoffs_by_endpoint.pop(endpoint.id, None)

    def is_open(self, endpoint):
        """Return whether requests should currently avoid an endpoint."""
        if endpoint.id not in self._backoffs_by_endpoint:
            return False
        with self._lock:
            backoff = self._current_backoff(endpoint)
        return backoff is not None and self._clock() < backoff.ends_at

    def _current_backoff(self, endpoint):
        backoff = self._backoffs_by_endpoint.get(endpoint.id)
        if backoff is None or backoff.incarnation != endpoint.incarnation:
            return None
        return backoff
