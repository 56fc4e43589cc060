"""Tests of the exclusive locks on endpoints for suspect requests."""

from carobwood import errors
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_locks
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import crash_suspects
import pytest

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)
ENGINES = [
    endpoint_table.Endpoint(
        f'engine-{number}', 1, 1, '', 'bole', 'engines', 'production', '1'
    )
    for number in range(16)
]


class BrokenLinks:
    """Links on which every call fails."""

    def to(self, address):
        """Return the link to an address."""
        return self

    def call(self, *arguments):
        """Fail, as on a broken connection."""
        raise errors.LinkFailed('the link is broken')


class LockFixture:
    """A fleet of two VMs; the link from the first to the second is broken."""

    def __init__(self):
        self.now = 100.0
        vm_directory = directory.Directory(OWN, (), lambda: self.now)
        other = directory.Vm('vm2', 'bole', '127.0.0.1:2', '', 1, False)
        vm_directory.note_message(other, 0)
        locks = endpoint_locks.EndpointLockTable(lambda: self.now)
        self.endpoint_locks = endpoint_locks.EndpointLocks(
            locks,
            crash_suspects.CrashSuspects(),
            vm_directory,
            BrokenLinks(),
            lambda: self.now,
        )

    def try_lock(self, engine):
        """Tell whether the lock of an engine is granted without waiting."""
        try:
            self.endpoint_locks.acquire(engine, 'suspect', -1.0)
        except errors.Saturated:
            return False
        return True


def test_no_vm_grants_a_lock_that_another_live_vm_has_to_grant():
    fixture = LockFixture()
    granted = [fixture.try_lock(engine) for engine in ENGINES]
    # Rendezvous hashing ranks each VM first for some of the engines.
    assert any(granted) and not all(granted)


def test_the_next_vm_grants_the_locks_of_a_silent_vm():
    fixture = LockFixture()
    fixture.now += directory.VM_SILENCE_SECONDS + 1.0
    assert all(fixture.try_lock(engine) for engine in ENGINES)


def test_a_lock_is_granted_to_one_holder_until_released():
    locks = endpoint_locks.EndpointLockTable()
    assert locks.acquire('engine-1', 'first')
    assert locks.acquire('engine-1', 'first')
    assert not locks.acquire('engine-1', 'second')
    locks.release('engine-1', 'second')
    assert not locks.acquire('engine-1', 'second')
    locks.release('engine-1', 'first')
    assert locks.acquire('engine-1', 'second')


@pytest.mark.parametrize('holder', ['first', 'second'])
def test_a_lock_expires(holder):
    now = [0.0]
    locks = endpoint_locks.EndpointLockTable(lambda: now[0])
    assert locks.acquire('engine-1', 'first')
    now[0] += endpoint_locks.LOCK_LIFETIME_SECONDS
    assert locks.acquire('engine-1', holder)
