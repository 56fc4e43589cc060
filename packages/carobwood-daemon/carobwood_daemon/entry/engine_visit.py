"""One request's stay on one engine."""

import secrets

from carobwood import errors

from ..membership import probe

HOLDER_BYTES = 8
PROBE_TIMEOUT = 0.5
SPREAD_TIMEOUT = 0.5


class Visit:
    """Counts a request in and out of an engine, and judges its failures.

    Attributes:
        endpoint: the engine.
    """

    def __init__(self, services, endpoint, work):
        self.endpoint = endpoint
        self._services = services
        self._fingerprint = work.fingerprint
        self._holder = ''
        self._is_inside = False

    def enter(self, timeout):
        """Count the request in; a suspect first waits to be alone.

        Raises:
            Saturated: a suspect had no engine to itself in time.
        """
        suspects = self._services.suspects
        if suspects.is_suspect(self._fingerprint):
            holder = secrets.token_hex(HOLDER_BYTES)
            self._services.arbiter.hold(self.endpoint, holder, timeout)
            self._holder = holder
        suspects.enter(self.endpoint, self._fingerprint)
        self._services.loads.enter(self.endpoint)
        self._is_inside = True

    def succeed(self):
        """Count the request out after a whole answer."""
        self._services.suspects.clear(self._fingerprint)
        self.leave()

    def leave(self):
        """Count the request out, once."""
        if not self._is_inside:
            return
        self._is_inside = False
        self._services.suspects.leave(self.endpoint, self._fingerprint)
        if self._holder:
            self._services.arbiter.release(self.endpoint, self._holder)
        self._services.loads.leave(self.endpoint)

    def fail(self, error):
        """Count the request out after a failure.

        An engine that broke off and does not answer on a new connection
        has crashed. The strikes reach the peers before the request is
        tried again or its caller hears of the failure.
        """
        services = self._services
        services.loads.suspect(self.endpoint, error.code)
        broke_off = isinstance(
            error, (errors.EndpointFailed, errors.StreamBroken)
        )
        if broke_off and not probe.is_alive(self.endpoint, PROBE_TIMEOUT):
            services.placements.forget(self.endpoint)
            services.suspects.note_crash(self.endpoint)
            own = services.suspects.strikes_of(self._fingerprint)
            for strike in own:
                services.gossip.confirm(strike, SPREAD_TIMEOUT)
        self.leave()
