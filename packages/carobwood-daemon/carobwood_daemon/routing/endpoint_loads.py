"""Load that this VM's own requests put on each endpoint."""

import collections
import contextlib
import threading


class EndpointLoads:
    """Counts this VM's requests and their prompt tokens per endpoint.

    Requests of other VMs are not included.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._open_by_endpoint = collections.Counter()
        self._prefill_by_endpoint = collections.Counter()
        self._waiting_by_endpoint = collections.Counter()
        self._listeners = []

    def on_release(self, listener):
        """Call ``listener()`` whenever the load of an endpoint drops."""
        self._listeners.append(listener)

    @contextlib.contextmanager
    def track_request(self, endpoint):
        """Return a context manager that counts an open request."""
        self.add_request(endpoint)
        try:
            yield
        finally:
            self.remove_request(endpoint)

    def add_request(self, endpoint):
        """Count a request as open on an endpoint."""
        with self._lock:
            self._open_by_endpoint[endpoint.id] += 1

    def remove_request(self, endpoint):
        """Stop counting a request as open on an endpoint."""
        with self._lock:
            self._open_by_endpoint[endpoint.id] -= 1
        self._notify_listeners()

    def open_requests(self, endpoint):
        """Return the number of this VM's open requests on an endpoint."""
        return self._open_by_endpoint[endpoint.id]

    def add_prefill_tokens(self, endpoint, tokens):
        """Add prompt tokens that the endpoint has to compute."""
        with self._lock:
            self._prefill_by_endpoint[endpoint.id] += tokens

    def remove_prefill_tokens(self, endpoint, tokens):
        """Remove prompt tokens that were computed or abandoned."""
        with self._lock:
            self._prefill_by_endpoint[endpoint.id] -= tokens
        self._notify_listeners()

    def prefill_tokens(self, endpoint):
        """Return prompt tokens that the endpoint has yet to compute."""
        return self._prefill_by_endpoint[endpoint.id]

    def add_queued_tokens(self, endpoint, tokens):
        """Add prompt tokens of a request queued for the endpoint."""
        with self._lock:
            self._waiting_by_endpoint[endpoint.id] += tokens

    def remove_queued_tokens(self, endpoint, tokens):
        """Remove prompt tokens of a request no longer queued."""
        with self._lock:
            self._waiting_by_endpoint[endpoint.id] -= tokens

    def queued_tokens(self, endpoint):
        """Return prompt tokens of requests queued for the endpoint."""
        return self._waiting_by_endpoint[endpoint.id]

    def _notify_listeners(self):
        for listener in self._listeners:
            listener()
