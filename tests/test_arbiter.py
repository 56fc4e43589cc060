"""Tests of holds that keep suspects apart."""

from carobwood import errors
from carobwood_daemon.membership import arbiter
from carobwood_daemon.membership import directory
from carobwood_daemon.routing import suspects
import pytest

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)
ENGINES = [
    directory.Endpoint(
        f'engine-{number}', 1, 1, '', 'bole', 'engines', 'production', '1'
    )
    for number in range(16)
]


class BrokenLinks:
    """Links on which every call fails."""

    def to(self, address):
        return self

    def call(self, *arguments):
        raise errors.LinkFailed('cut off')


class Setting:
    """Two VMs, seen from the first; the link to the second is broken."""

    def __init__(self):
        self.now = 100.0
        known = directory.Directory(OWN, (), lambda: self.now)
        other = directory.Vm('vm2', 'bole', '127.0.0.1:2', '', 1, False)
        known.note_vm(other, True)
        holds = arbiter.Holds(lambda: self.now)
        self.arbiter = arbiter.Arbiter(
            holds,
            suspects.Suspects(),
            known,
            BrokenLinks(),
            lambda: self.now,
        )

    def is_held(self, engine):
        """Tell whether a hold is granted without waiting."""
        try:
            self.arbiter.hold(engine, 'suspect', -1.0)
        except errors.Saturated:
            return False
        return True


def test_a_vm_grants_no_hold_in_place_of_a_live_arbiter():
    setting = Setting()
    held = [setting.is_held(engine) for engine in ENGINES]
    # Rendezvous hashing names each VM the arbiter of some engines.
    assert any(held) and not all(held)


def test_a_silent_arbiter_is_followed_by_the_next_one():
    setting = Setting()
    setting.now += directory.VM_SILENCE_LIMIT + 1.0
    assert all(setting.is_held(engine) for engine in ENGINES)


def test_a_hold_is_granted_once_until_it_is_released():
    holds = arbiter.Holds()
    assert holds.take('engine-1', 'first')
    assert holds.take('engine-1', 'first')
    assert not holds.take('engine-1', 'second')
    holds.release('engine-1', 'second')
    assert not holds.take('engine-1', 'second')
    holds.release('engine-1', 'first')
    assert holds.take('engine-1', 'second')


@pytest.mark.parametrize('holder', ['first', 'second'])
def test_a_hold_ends_by_itself(holder):
    now = [0.0]
    holds = arbiter.Holds(lambda: now[0])
    assert holds.take('engine-1', 'first')
    now[0] += arbiter.HOLD_LIFETIME
    assert holds.take('engine-1', holder)
