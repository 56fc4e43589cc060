"""Finds an engine that is awake, while another one is silent."""

import http

from carobwood import clocks
from carobwood import errors

from ..membership import probe

from . import liveness
from . import silence

# Engines that are asked at a time for one request.
MAX_ASKED = 4
# Time between two looks at the silent engine while others are asked.
CHECK_PERIOD_SECONDS = 0.02


class EngineLiveness:
    """Asks engines for their health before requests are moved to them."""

    def __init__(self, checks=None):
        """Create the table.

        Args:
            checks: the ``LivenessChecks``; by default they ask for the
                health of the engines.
        """
        self._checks = checks or liveness.LivenessChecks(_passes_check)

    def find_awake(self, endpoints, has_resumed):
        """Return the first endpoint that is known to be awake.

        Those that did not pass their last check are asked last, so that each
        one gets its turn. One that answers, but does not pass, is returned
        if no other can be asked.

        Args:
            endpoints: the ``Endpoint`` objects, the best one first.
            has_resumed: function that returns whether the silent engine has
                gone on, which ends the search.

        Returns:
            The ``Endpoint``, or None.
        """
        asked = sorted(endpoints, key=self._checks.last_failed_at)[:MAX_ASKED]
        checks = [
            (endpoint, self._checks.check(endpoint)) for endpoint in asked
        ]
        unready = None
        while checks and not has_resumed():
            _, first_check = checks[0]
            first_check.wait(CHECK_PERIOD_SECONDS)
            for endpoint, check in checks:
                if check.liveness is liveness.Liveness.AWAKE:
                    return endpoint
                if check.liveness is liveness.Liveness.UNREADY:
                    unready = unready or endpoint
            checks = [
                (endpoint, check)
                for endpoint, check in checks
                if check.liveness is liveness.Liveness.PENDING
            ]
        has_asked_all = not checks and len(asked) == len(endpoints)
        return unready if has_asked_all else None

    def check_now(self, endpoint):
        """Return a ``LivenessCheck`` that ends after this call."""
        return self._checks.check(endpoint, since=clocks.now())


def _passes_check(endpoint, _subject):
    status = probe.request_health(endpoint, silence.TRIAL_SECONDS)
    if status != http.HTTPStatus.OK:
        error = errors.EngineCallFailed(f'health: HTTP status {status}')
        error.has_answered = True
        raise error
    return True
