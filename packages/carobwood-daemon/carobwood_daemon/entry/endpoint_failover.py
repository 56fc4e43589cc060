"""Fails a request over from one endpoint to the next."""

import collections
import time

from carobwood import errors

from . import silence
from . import upstream


class EndpointFailover:
    """Connects to endpoints in turn until a deadline.

    Attributes:
        last_error: failure to report if no endpoint succeeds. A failure
            of a request that may have run takes precedence over one of a
            request that has not run.
    """

    def __init__(
        self, endpoints, circuit_breakers, deadline_seconds, max_attempts
    ):
        """Start the time until the deadline.

        Args:
            endpoints: endpoints in order of preference.
            circuit_breakers: the ``CircuitBreakers``, which record the
                failures.
            deadline_seconds: seconds until the deadline.
            max_attempts: number of endpoints tried at most, or None for all.
        """
        self._endpoints = list(endpoints)[:max_attempts]
        self._circuit_breakers = circuit_breakers
        self._deadline = time.monotonic() + deadline_seconds
        self.last_error = errors.NoEndpoint('no endpoint is available')

    @property
    def seconds_left(self):
        """Seconds until the deadline."""
        return self._deadline - time.monotonic()

    def connections(self):
        """Yield endpoints, each with a new connection.

        Endpoints that cannot be reached are recorded as failed and
        skipped, which is safe because nothing was sent to them. Those that
        were only silent are tried again after the others, for a while.
        """
        silent_until = time.monotonic() + silence.CONNECT_AGAIN_SECONDS
        endpoints = collections.deque(self._endpoints)
        while endpoints and self.seconds_left > 0:
            endpoint = endpoints.popleft()
            try:
                connection = upstream.open_connection(endpoint.address)
            except errors.EndpointUnreachable as error:
                self.record_failure(endpoint, error)
                if error.is_timeout and time.monotonic() < silent_until:
                    endpoints.append(endpoint)
                continue
            yield endpoint, connection

    def record_failure(self, endpoint, error):
        """Record that an endpoint failed, unless this VM lacked something."""
        if not isinstance(error, errors.DescriptorsUsedUp):
            self._circuit_breakers.record_failure(endpoint, error.code)
        may_have_run = self.last_error.outcome is errors.Outcome.UNKNOWN
        if error.outcome is errors.Outcome.UNKNOWN or not may_have_run:
            self.last_error = error


def make_failover(context, document, route, max_attempts=None):
    """Return the ``EndpointFailover`` of a request to a plain service.

    Args:
        context: the ``CallerAppContext``.
        document: the ``Document`` in force.
        route: the ``Route``.
        max_attempts: see ``EndpointFailover``.
    """
    endpoints = context.endpoint_selector.rank_services(
        context.environment, document.pools_by_id[route.pool]
    )
    return EndpointFailover(
        endpoints,
        context.circuit_breakers,
        route.deadline_seconds,
        max_attempts,
    )
