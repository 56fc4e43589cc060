"""Circuit breakers: endpoints that fail are avoided for a while."""

import dataclasses
import random
import threading
import time

from carobwood import events

FIRST_PAUSE = 1.0
MAX_PAUSE = 30.0
PAUSE_GROWTH = 2.0
JITTER = 0.2


@dataclasses.dataclass(frozen=True)
class Pause:
    """An open breaker.

    Attributes:
        incarnation: incarnation of the endpoint that failed.
        until: when it ends, on the monotonic clock.
        seconds: how long it lasts, without jitter.
    """

    incarnation: int
    until: float
    seconds: float


class Breakers:
    """A breaker for each endpoint.

    Each failure after a pause opens the breaker for a longer one, a
    success or a new incarnation closes it. After the pause requests go
    to the endpoint again, and the first result decides.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._random = random.SystemRandom()
        self._pauses_by_endpoint = {}

    def note_failure(self, endpoint, reason):
        """Open the breaker; failures during a pause change nothing."""
        now = self._clock()
        with self._lock:
            known = self._pause_of(endpoint)
            if known is not None and now < known.until:
                return
            seconds = FIRST_PAUSE
            if known is not None:
                seconds = min(MAX_PAUSE, known.seconds * PAUSE_GROWTH)
            # Jitter keeps VMs from coming back in step.
            spread = 1.0 + JITTER * (2 * self._random.random() - 1)
            self._pauses_by_endpoint[endpoint.id] = Pause(
                endpoint.incarnation, now + seconds * spread, seconds
            )
        events.emit(
            events.ENDPOINT_SUSPECTED, endpoint=endpoint.id, reason=reason
        )

    def note_success(self, endpoint):
        """Close the breaker."""
        if endpoint.id in self._pauses_by_endpoint:
            with self._lock:
                self._pauses_by_endpoint.pop(endpoint.id, None)

    def is_open(self, endpoint):
        """Tell whether an endpoint is to be avoided now."""
        if endpoint.id not in self._pauses_by_endpoint:
            return False
        with self._lock:
            pause = self._pause_of(endpoint)
        return pause is not None and self._clock() < pause.until

    def _pause_of(self, endpoint):
        pause = self._pauses_by_endpoint.get(endpoint.id)
        if pause is None or pause.incarnation != endpoint.incarnation:
            return None
        return pause
