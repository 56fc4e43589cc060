"""Requests that this VM keeps open on endpoints, and suspicions."""

import collections
import contextlib
import threading
import time

from carobwood import events

SUSPICION_SECONDS = 1.0


class Loads:
    """Counts own requests by endpoint and marks failing endpoints."""

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._open_by_endpoint = collections.Counter()
        self._prefill_by_endpoint = collections.Counter()
        self._suspected_until = {}

    @contextlib.contextmanager
    def track(self, endpoint):
        """Count a request to an endpoint while it is open."""
        self.enter(endpoint)
        try:
            yield
        finally:
            self.leave(endpoint)

    def enter(self, endpoint):
        """Count a request in."""
        with self._lock:
            self._open_by_endpoint[endpoint.id] += 1

    def leave(self, endpoint):
        """Count a request out."""
        with self._lock:
            self._open_by_endpoint[endpoint.id] -= 1

    def open_requests(self, endpoint):
        """Return how many own requests are open on an endpoint."""
        return self._open_by_endpoint[endpoint.id]

    def start_prefill(self, endpoint, tokens):
        """Note tokens that the endpoint has to compute for this VM."""
        with self._lock:
            self._prefill_by_endpoint[endpoint.id] += tokens

    def end_prefill(self, endpoint, tokens):
        """Note that these tokens are computed or given up."""
        with self._lock:
            self._prefill_by_endpoint[endpoint.id] -= tokens

    def prefill_tokens(self, endpoint):
        """Return tokens that own requests make the endpoint compute."""
        return self._prefill_by_endpoint[endpoint.id]

    def suspect(self, endpoint, reason):
        """Avoid an endpoint for a moment."""
        until = self._clock() + SUSPICION_SECONDS
        with self._lock:
            self._suspected_until[endpoint.id] = until
        events.emit(
            events.ENDPOINT_SUSPECTED, endpoint=endpoint.id, reason=reason
        )

    def is_suspected(self, endpoint):
        """Tell whether an endpoint failed a moment ago."""
        until = self._suspected_until.get(endpoint.id)
        return until is not None and self._clock() < until
