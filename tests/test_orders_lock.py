"""Tests of the replicated lock on orders, in simulated time."""

import random

from carobwood import clocks
from carobwood import errors
from carobwood_daemon.orders import orders_lock
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store
import pytest
import relay_builders as builders

LEASE = 3.0


class Fleet:
    """A replicated state that one VM leads at a time.

    Attributes:
        clock: the simulated clock.
        store: the ``StateStore``, which all VMs share.
        leader: name of the VM that leads, or empty.
        term: its term.
        loses_next: whether the next proposal fails.
    """

    def __init__(self, clock):
        self.clock = clock
        self.store = state_store.StateStore()
        self.leader = ''
        self.term = 0
        self.loses_next = False

    def elect(self, vm_id):
        """Let a VM lead in a new term."""
        self.leader = vm_id
        self.term += 1
        self.led_since = self.clock.now

    def vm(self, vm_id):
        """Return the ``OrdersLock`` of a VM."""
        return orders_lock.OrdersLock(
            ReplicaRunner(self, vm_id), self.store, vm_id, LEASE
        )


class ReplicaRunner:
    """Stands for the ``ReplicaRunner`` of one VM and for its replica."""

    is_running = True

    def __init__(self, fleet, vm_id):
        self._fleet = fleet
        self._vm_id = vm_id
        self.replica = self

    @property
    def term(self):
        """The current term."""
        return self._fleet.term

    @property
    def leading_since(self):
        """Time at which the leader began to lead, in seconds."""
        return self._fleet.led_since

    def holds_lease(self):
        """Tell whether this VM leads."""
        return self._fleet.leader == self._vm_id

    def propose(self, payloads, timeout):
        """Commit commands, or fail if the next proposal is lost."""
        del timeout
        if not self.holds_lease():
            raise errors.NotLeader('')
        if self._fleet.loses_next:
            self._fleet.loses_next = False
            raise errors.ChangeUncertain('lost')
        store = self._fleet.store
        for payload in payloads:
            command = commands.decode_command(payload)
            fleet, _ = store.fleet.apply(store.version + 1, command)
            store.update(fleet, ((fleet.version, payload),))


@pytest.fixture
def fleet(monkeypatch):
    """Return a fleet that no VM leads yet."""
    clock = builders.Clock()
    monkeypatch.setattr(clocks, 'now', clock)
    return Fleet(clock)


def test_a_new_leader_acquires_a_free_lock_at_once(fleet):
    first, second = fleet.vm('core-1'), fleet.vm('core-2')
    fleet.elect('core-1')
    # The first leader fails before it has acquired the lock.
    assert not second.acquire()
    fleet.elect('core-2')
    assert second.acquire()
    assert not first.is_held()


def test_a_new_leader_waits_while_an_earlier_holder_may_have_ordered(fleet):
    first, second = fleet.vm('core-1'), fleet.vm('core-2')
    fleet.elect('core-1')
    assert first.acquire()
    fleet.elect('core-2')
    assert not second.acquire()
    fleet.clock.advance(LEASE)
    assert not second.acquire()
    fleet.clock.advance(LEASE * orders_lock.TAKEOVER_FACTOR - LEASE + 0.01)
    assert second.acquire()
    assert not first.is_held()


def test_a_new_leader_does_not_wait_after_a_release(fleet):
    first, second = fleet.vm('core-1'), fleet.vm('core-2')
    fleet.elect('core-1')
    assert first.acquire()
    first.note_order()
    first.release()
    assert first.is_held()
    fleet.clock.advance(LEASE * orders_lock.TAKEOVER_FACTOR + 0.01)
    first.release()
    assert not first.is_held()
    fleet.elect('core-2')
    assert second.acquire()


def test_a_vm_that_leads_again_acquires_its_lock_at_once(fleet):
    first = fleet.vm('core-1')
    fleet.elect('core-1')
    assert first.acquire()
    fleet.elect('core-1')
    assert not first.is_held()
    assert fleet.vm('core-1').acquire()


def test_the_lock_is_not_held_unless_committed(fleet):
    first = fleet.vm('core-1')
    fleet.elect('core-1')
    fleet.loses_next = True
    with pytest.raises(errors.ChangeUncertain):
        first.acquire()
    assert not first.is_held()
    assert first.acquire()


def test_a_late_release_does_not_release_a_newer_lock(fleet):
    first = fleet.vm('core-1')
    fleet.elect('core-1')
    assert first.acquire()
    hold = fleet.store.fleet.orders_hold
    late = commands.HoldOrders('', hold.term, hold.number, 'core-1')
    state, _ = fleet.store.fleet.apply(99, late)
    assert state.orders_hold == hold


@pytest.mark.parametrize('seed', range(60))
def test_two_vms_never_order_within_a_lease(fleet, seed):
    rng = random.Random(seed)
    vm_ids = ['core-1', 'core-2', 'core-3']
    locks_by_vm = {name: fleet.vm(name) for name in vm_ids}
    orders = []
    fleet.elect('core-1')
    for _ in range(2000):
        fleet.clock.advance(rng.expovariate(4.0))
        if rng.random() < 0.1:
            # The lease of the earlier leader ends before another VM leads.
            fleet.clock.advance(0.8)
            fleet.elect(rng.choice(vm_ids))
        if rng.random() < 0.05:
            name = rng.choice(vm_ids)
            locks_by_vm[name] = fleet.vm(name)
        fleet.loses_next = rng.random() < 0.1
        name = rng.choice(vm_ids)
        try:
            if rng.random() < 0.3:
                locks_by_vm[name].release()
            elif locks_by_vm[name].acquire():
                locks_by_vm[name].note_order()
                orders.append((fleet.clock.now, name))
        except errors.CarobwoodError:
            continue
    assert len({name for _, name in orders}) == 3
    for (before, holder), (after, other) in zip(orders, orders[1:]):
        assert holder == other or after - before >= LEASE
