"""Requests that this VM keeps open on endpoints or lets wait."""

import collections
import contextlib
import threading


class Loads:
    """Counts own requests and their prompt tokens by endpoint."""

    def __init__(self):
        self._lock = threading.Lock()
        self._open_by_endpoint = collections.Counter()
        self._prefill_by_endpoint = collections.Counter()
        self._waiting_by_endpoint = collections.Counter()
        self._listeners = []

    def on_release(self, listener):
        """Call ``listener()`` when an endpoint has less to do."""
        self._listeners.append(listener)

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
        self._tell()

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
        self._tell()

    def prefill_tokens(self, endpoint):
        """Return tokens that own requests make the endpoint compute."""
        return self._prefill_by_endpoint[endpoint.id]

    def start_wait(self, endpoint, tokens):
        """Note tokens of a request that waits for the endpoint."""
        with self._lock:
            self._waiting_by_endpoint[endpoint.id] += tokens

    def end_wait(self, endpoint, tokens):
        """Note that the request no longer waits."""
        with self._lock:
            self._waiting_by_endpoint[endpoint.id] -= tokens

    def waiting_tokens(self, endpoint):
        """Return tokens of own requests that wait for the endpoint."""
        return self._waiting_by_endpoint[endpoint.id]

    def _tell(self):
        for listener in self._listeners:
            listener()
