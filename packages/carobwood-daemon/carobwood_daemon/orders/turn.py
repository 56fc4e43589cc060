"""Whose turn it is to give orders to engines.

Load pattern: the leader of the replicated state dies in the moment in
which new weights are named, before it has given an order.

Orders of two VMs within one another's lease would contradict. So a new
leader waits until older orders must have ended, unless the replicated
state tells that nobody else can have given any: whoever wants to give
orders first commits that it holds them, and commits that it no longer
does once its last order lies a lease back.
"""

from carobwood import clocks
from carobwood import events

from ..replication import commands

PROPOSE_SECONDS = 1.0
# Time to be sure that an older holder's last order has arrived.
TAKEOVER_MARGIN = 1.1


class OrdersTurn:
    """Takes and releases the hold on orders for this VM."""

    def __init__(self, voter, store, vm_id, lease_seconds):
        """Create the turn; nothing is held.

        Args:
            voter: the ``Voter``.
            store: the ``StateStore``.
            vm_id: name of this VM.
            lease_seconds: time between orders of two holders.
        """
        self._voter = voter
        self._store = store
        self._vm_id = vm_id
        self._quiet_seconds = lease_seconds * TAKEOVER_MARGIN
        # An older process of this VM may have ordered just now.
        self._ordered_at = clocks.now()
        self._number = 0

    def take(self):
        """Return whether this VM may give orders, after taking the hold.

        Raises:
            NotLeader, ChangeUncertain: the hold could not be committed.
        """
        if not self._leads():
            return False
        if self.is_held():
            return True
        replica = self._voter.replica
        held = self._store.fleet.orders_hold
        led_for = clocks.now() - replica.leading_since
        is_free = held.holder in ('', self._vm_id)
        if not is_free and led_for <= self._quiet_seconds:
            return False
        self._propose(self._vm_id, held.holder)
        events.emit(
            events.ORDERS_HELD,
            term=replica.term,
            before=held.holder,
            led_for=round(led_for, 2),
            is_taken=self.is_held(),
        )
        return self.is_held()

    def is_held(self):
        """Tell whether this VM leads and holds the orders in its term."""
        if not self._leads():
            return False
        held = self._store.fleet.orders_hold
        term = self._voter.replica.term
        return (held.holder, held.term) == (self._vm_id, term)

    def note_order(self):
        """Note that an order is about to be given."""
        self._ordered_at = clocks.now()

    def release(self):
        """Release the hold once the last order lies a lease back.

        Raises:
            NotLeader, ChangeUncertain: it could not be committed.
        """
        age = clocks.now() - self._ordered_at
        if self.is_held() and age > self._quiet_seconds:
            self._propose('', self._vm_id)

    def _leads(self):
        return self._voter.is_running and self._voter.replica.holds_lease()

    def _propose(self, holder, expected):
        self._number += 1
        command = commands.HoldOrders(
            holder, self._voter.replica.term, self._number, expected
        )
        self._voter.replica.propose(
            [commands.encode(command)], PROPOSE_SECONDS
        )
