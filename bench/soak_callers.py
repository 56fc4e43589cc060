"""Callers of a soak, who use each connection until it is closed."""

import random

import soak_site
import upgrade_callers

CHUNKED_SHARE = 0.5


class KeepingCaller(upgrade_callers.Caller):
    """A caller that keeps its connections.

    It goes on using them after their VM has said that it is not ready.
    """

    def __init__(self, site, balancer, seed):
        """Create a caller of a ``Site``.

        Args:
            site: the ``Site``.
            balancer: the ``Balancer``; None if it chooses no VM.
            seed: seed of its random numbers.
        """
        super().__init__(
            site.processes,
            balancer,
            site.records,
            seed,
            site.stopped,
            soak_site.STREAM_SECONDS,
        )
        # What else a seed draws stays as it was without chunks.
        self._chunk_rng = random.Random(f'chunks {seed}')

    def open_connection(self, vm_id):
        """Open the connection for the next request to a VM."""
        connection = self._connect(vm_id)
        connection.connect()
        self._connections_by_vm[vm_id] = connection

    def _new_attempt(self):
        attempt = super()._new_attempt()
        if attempt is not None:
            draw = self._chunk_rng.random()
            attempt.is_chunked = draw < CHUNKED_SHARE
        return attempt

    def _keeps_connection(self):
        return True

    def _usable_vm_ids(self):
        open_ids = {
            vm_id
            for vm_id, connection in self._connections_by_vm.items()
            if connection.sock is not None
        }
        return sorted(open_ids.union(self._balancer.ready_ids))
