"""Tries of a request at one endpoint after another."""

import time

from carobwood import errors

from . import upstream


class Attempts:
    """Walks through endpoints within a deadline.

    Attributes:
        last_error: the failure that an answer of failure reports: one
            that may have run goes before one that has not.
    """

    def __init__(self, endpoints, breakers, deadline_seconds, limit):
        self._endpoints = list(endpoints)[:limit]
        self._breakers = breakers
        self._due_at = time.monotonic() + deadline_seconds
        self.last_error = errors.NoEndpoint('no endpoint could be tried')

    @property
    def seconds_left(self):
        """Seconds until the deadline."""
        return self._due_at - time.monotonic()

    def connections(self):
        """Yield endpoints with a fresh connection to each.

        Endpoints that cannot be reached are passed over: nothing was
        sent to them.
        """
        for endpoint in self._endpoints:
            if self.seconds_left <= 0:
                break
            try:
                connection = upstream.open_connection(endpoint.address)
            except errors.EndpointUnreachable as error:
                self.note(endpoint, error)
                continue
            yield endpoint, connection

    def note(self, endpoint, error):
        """Note that an endpoint failed."""
        self._breakers.note_failure(endpoint, error.code)
        ran_before = self.last_error.outcome is errors.Outcome.UNKNOWN
        if error.outcome is errors.Outcome.UNKNOWN or not ran_before:
            self.last_error = error
