"""The replicated lock that a VM must hold to send orders to engines.

Orders that two VMs send to engines less than a lease apart would conflict.
So a VM commits that it holds the lock before it sends an order, and
commits the release once its last order is more than a lease ago. A new
leader that finds the lock free can send orders at once; it has to wait
only if an earlier leader still holds the lock.

This matters when the leader fails just after new weights have been named,
before it has sent an order: the next leader does not have to wait.
"""

from carobwood import clocks
from carobwood import events

from ..replication import commands

PROPOSE_TIMEOUT_SECONDS = 1.0
# Factor on the lease, so that the last order of an earlier holder has
# certainly arrived.
TAKEOVER_FACTOR = 1.1


class OrdersLock:
    """Acquires and releases the lock on orders for this VM."""

    def __init__(self, replica_runner, store, vm_id, lease_seconds):
        """Create the lock without acquiring it.

        Args:
            replica_runner: the ``ReplicaRunner``.
            store: the ``StateStore``.
            vm_id: name of this VM.
            lease_seconds: minimum time between orders of two holders.
        """
        self._replica_runner = replica_runner
        self._store = store
        self._vm_id = vm_id
        self._takeover_seconds = lease_seconds * TAKEOVER_FACTOR
        # An earlier process of this VM may have sent an order just now.
        self._ordered_at = clocks.now()
        self._number = 0

    def acquire(self):
        """Acquire the lock unless this VM holds it already.

        Returns:
            Whether this VM holds the lock and may send orders.

        Raises:
            NotLeader, ChangeUncertain: the change could not be committed.
        """
        if not self._holds_leader_lease():
            return False
        if self.is_held():
            return True
        replica = self._replica_runner.replica
        hold = self._store.fleet.orders_hold
        led_for = clocks.now() - replica.leading_since
        is_free = hold.holder in ('', self._vm_id)
        if not is_free and led_for <= self._takeover_seconds:
            return False
        self._propose(self._vm_id, hold.holder)
        events.emit(
            events.ORDERS_HELD,
            term=replica.term,
            before=hold.holder,
            led_for=round(led_for, 2),
            is_taken=self.is_held(),
        )
        return self.is_held()

    def is_held(self):
        """Tell whether this VM leads and holds the lock in its term."""
        if not self._holds_leader_lease():
            return False
        hold = self._store.fleet.orders_hold
        term = self._replica_runner.replica.term
        return (hold.holder, hold.term) == (self._vm_id, term)

    def note_order(self):
        """Record that an order is about to be sent."""
        self._ordered_at = clocks.now()

    def release(self):
        """Release the lock if the last order is more than a lease ago.

        Raises:
            NotLeader, ChangeUncertain: the change could not be committed.
        """
        age = clocks.now() - self._ordered_at
        if self.is_held() and age > self._takeover_seconds:
            self._propose('', self._vm_id)

    def _holds_leader_lease(self):
        return (
            self._replica_runner.is_running
            and self._replica_runner.replica.holds_lease()
        )

    def _propose(self, holder, expected):
        self._number += 1
        command = commands.HoldOrders(
            holder, self._replica_runner.replica.term, self._number, expected
        )
        self._replica_runner.replica.propose(
            [commands.encode(command)], PROPOSE_TIMEOUT_SECONDS
        )
