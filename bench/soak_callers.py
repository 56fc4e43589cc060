"""Callers of a soak, who use each connection until it is closed."""

import random

import soak_site
import upgrade_callers


class KeepingCaller(upgrade_callers.Caller):
    """A caller that keeps its connections.

    It goes on using them after their VM has said that it is not ready.
    """

    def open_connection(self, vm_id):
        """Open the connection for the next request to a VM."""
        connection = self._connect(vm_id)
        connection.connect()
        self._connections_by_vm[vm_id] = connection

    def _keeps_connection(self):
        return True

    def _usable_vm_ids(self):
        open_ids = {
            vm_id
            for vm_id, connection in self._connections_by_vm.items()
            if connection.sock is not None
        }
        return sorted(open_ids.union(self._balancer.ready_ids))


def new_caller(site, balancer, seed):
    """Return a ``KeepingCaller`` of a ``Site``.

    Args:
        site: the ``Site``.
        balancer: the ``Balancer``; None if VMs are never chosen.
        seed: seed of its random numbers.
    """
    return KeepingCaller(
        site.processes,
        balancer,
        site.records,
        random.Random(seed).random(),
        site.stopped,
        soak_site.STREAM_SECONDS,
    )
