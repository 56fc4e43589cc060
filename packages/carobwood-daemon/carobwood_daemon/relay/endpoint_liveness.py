"""Asks endpoints of the relay whether they answer.

See ``entry/liveness`` for the load pattern. An engine is asked for its report,
which takes none of its capacity, an endpoint of a plain service for its
health. One that has just sent an event of a stream isn't asked.
"""

import math

from carobwood import clocks

from ..entry import liveness
from ..entry import silence


class EndpointLiveness:
    """Tells whether an endpoint answers, before a request is moved to it."""

    def __init__(self, dialect, activity, **options):
        """Create the table.

        Args:
            dialect: the ``Dialect``, through which endpoints are asked.
            activity: the ``EndpointActivity``.
            **options: further arguments of ``LivenessChecks``.
        """
        self._dialect = dialect
        self._activity = activity
        self._checks = liveness.LivenessChecks(self._answers, **options)

    def silent_ids(self):
        """Return the ids of the endpoints that have just not answered."""
        return self._checks.silent_ids()

    def check(self, endpoint, service):
        """Return the newest ``LivenessCheck``, which may have to be awaited.

        Args:
            endpoint: the ``Endpoint``.
            service: the ``Service`` that it belongs to, or None if the
                configuration does not name it.
        """
        if self._activity.has_heard(endpoint.id, liveness.VALID_SECONDS):
            return liveness.ended_check(liveness.Liveness.AWAKE)
        return self._ask(endpoint, service, -math.inf)

    def check_now(self, endpoint, service):
        """Return a ``LivenessCheck`` that ends after this call; see ``check``.

        The endpoint is asked whatever it has sent before.
        """
        return self._ask(endpoint, service, clocks.now())

    def _ask(self, endpoint, service, since):
        if not _can_be_asked(service):
            return liveness.ended_check(liveness.Liveness.UNKNOWN)
        return self._checks.check(endpoint, service, since)

    def _answers(self, endpoint, service):
        if service.engine is None:
            self._dialect.request_health(
                endpoint.address,
                endpoint.id,
                service.health_path,
                silence.TRIAL_SECONDS,
            )
        else:
            self._dialect.read_engine_report(
                endpoint.address, silence.TRIAL_SECONDS
            )
        return True


def _can_be_asked(service):
    if service is None:
        return False
    return service.engine is not None or bool(service.health_path)
