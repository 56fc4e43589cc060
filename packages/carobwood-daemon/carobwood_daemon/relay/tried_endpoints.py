"""Endpoints that one request was tried at.

An endpoint that accepts no connection in time may only be silent, and one that
resets a connection may have too many. Nothing was sent to it, so it stays a
candidate after all others, for a while.
"""

from carobwood import clocks
from carobwood import errors

from ..entry import silence


class TriedEndpoints:
    """Ids of the endpoints that one request was tried at."""

    def __init__(self, clock=clocks.now):
        """Create an empty set.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._excluded_ids = set()
        # Monotonic times until which silent endpoints stay candidates, by id.
        self._silent_until_by_id = {}

    def add(self, endpoint_id, error):
        """Add an endpoint that did not take the request, or failed.

        Args:
            endpoint_id: id of the endpoint.
            error: the ``CarobwoodError`` of the attempt.
        """
        if not _is_unsent_for_now(error):
            self._excluded_ids.add(endpoint_id)
            return
        self._silent_until_by_id.setdefault(
            endpoint_id, self._clock() + silence.CONNECT_AGAIN_SECONDS
        )

    @property
    def excluded_ids(self):
        """Ids of endpoints that must not get the request any more."""
        return self._excluded_ids | self.given_up_ids

    @property
    def given_up_ids(self):
        """Ids of endpoints that were silent for too long."""
        now = self._clock()
        return {
            endpoint_id
            for endpoint_id, until in self._silent_until_by_id.items()
            if until <= now
        }

    @property
    def all_ids(self):
        """Ids of all endpoints that the request was tried at."""
        return self._excluded_ids | self._silent_until_by_id.keys()


def _is_unsent_for_now(error):
    """Return whether an endpoint took no connection, but may do so soon."""
    return isinstance(error, errors.EndpointUnreachable) and (
        error.is_timeout or error.is_reset
    )
