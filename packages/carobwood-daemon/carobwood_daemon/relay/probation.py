"""Probes of endpoints that requests could not reach."""

import threading

from carobwood import errors

from ..membership import keepers

PERIOD = 0.05
# Longer than a request waits for a connection, so that an endpoint whose
# first packet was lost is found.
PROBE_SECONDS = 0.35


class Probation(keepers.Keeper):
    """Reaches out to endpoints before requests are sent there again."""

    period = PERIOD

    def __init__(self, health, pool, on_return):
        """Create the keeper.

        Args:
            health: the ``Health``.
            pool: the ``UpstreamPool``.
            on_return: called without arguments when one is reached.
        """
        super().__init__('probation')
        self._health = health
        self._pool = pool
        self._on_return = on_return

    def step(self):
        """Probe each endpoint that is due, on a thread of its own."""
        for endpoint in self._health.take_due_for_probe():
            threading.Thread(
                target=self.probe,
                args=(endpoint,),
                name=f'probe-{endpoint.id}',
                daemon=True,
            ).start()

    def probe(self, endpoint):
        """Open a connection to an endpoint and note whether it works."""
        try:
            upstream = self._pool.take(endpoint.address, False, PROBE_SECONDS)
        except errors.EndpointUnreachable:
            self._health.note_still_unreachable(endpoint)
            return
        self._pool.give_back(endpoint.address, upstream, None)
        self._health.note_reachable(endpoint)
        self._on_return()
