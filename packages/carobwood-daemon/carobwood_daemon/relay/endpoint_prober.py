"""Active probes of ejected endpoints.

An endpoint that a request could not reach gets no further requests until
a probe has opened a connection to it.
"""

from carobwood import errors
from carobwood import threads

from ..membership import periodic_tasks

PERIOD_SECONDS = 0.05
# Timeout of a probe's connection. It is longer than that of a request's
# connection, so a probe still succeeds if its first packet was lost.
PROBE_TIMEOUT_SECONDS = 0.35


class EndpointProber(periodic_tasks.PeriodicTask):
    """Probes ejected endpoints and reinstates those that it reaches."""

    period = PERIOD_SECONDS

    def __init__(self, health, reachability, pool, on_reachable):
        """Create the task.

        Args:
            health: the ``EndpointHealth``.
            reachability: the ``EndpointReachability``.
            pool: the ``ConnectionPool``.
            on_reachable: called without arguments when a probe has
                reached an endpoint.
        """
        super().__init__('probation')
        self._health = health
        self._reachability = reachability
        reachability.on_change(self._hasten_probes)
        self._pool = pool
        self._on_reachable = on_reachable

    def run_once(self):
        """Probe each endpoint that is due, on a separate thread."""
        for endpoint in self._reachability.pop_unproven_endpoints():
            self._health.request_probe(endpoint)
        for endpoint in self._health.pop_due_probes():
            threads.BoundedThread(
                target=self.probe,
                args=(endpoint,),
                name=f'probe-{endpoint.id}',
                daemon=True,
            ).start()

    def _hasten_probes(self, is_cut_off):
        """Probe all once one is reachable again, as the others may be."""
        if not is_cut_off:
            self._health.hasten_probes()

    def probe(self, endpoint):
        """Open a connection to an endpoint and record the result."""
        try:
            connection = self._pool.acquire(
                endpoint.address,
                False,
                PROBE_TIMEOUT_SECONDS,
                endpoint.instance,
            )
        except errors.DescriptorsUsedUp:
            self._health.request_probe(endpoint)
            return
        except errors.EndpointUnreachable as error:
            if not error.is_reset:
                self._health.note_still_unreachable(endpoint)
                return
        else:
            self._pool.release(
                endpoint.address, connection, None, endpoint.instance
            )
        self._health.note_reachable(endpoint)
        self._on_reachable()
