"""Tests of the search for an aggregator that is in contact with a leader."""

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import aggregator_search
import gossip_fleet
import pytest
import relay_builders as builders

IN_CONTACT_MS = 100
WITHOUT_CONTACT_MS = 5000


class Vms:
    """VMs that answer what their contact is, and who was asked.

    Attributes:
        asked: addresses in the order in which they were asked.
        search: the ``AggregatorSearch``; its thread is the caller's.
    """

    def __init__(self, contact_ms_by_address):
        self.asked = []
        self.search = aggregator_search.AggregatorSearch(
            self._answer, lambda: None
        )
        self.search._executor = gossip_fleet.SynchronousExecutor()
        self._contact_ms_by_address = contact_ms_by_address

    def find(self):
        """Ask all of them and return the address that is found."""
        self.search.start(list(self._contact_ms_by_address))
        return self.search.take_found()

    def _answer(self, address, seconds):
        self.asked.append(address)
        contact_ms = self._contact_ms_by_address[address]
        if contact_ms is None:
            raise errors.LinkFailed('cut')
        return ttypes.GossipReply(leader_contact_ms=contact_ms)


@pytest.fixture
def clock(monkeypatch):
    """Replace the clock by a simulated one."""
    simulated = builders.Clock(1000.0)
    monkeypatch.setattr(clocks, 'now', simulated)
    return simulated


def test_a_search_that_ends_at_the_first_vm_without_an_answer(clock):
    vms = Vms({'dark:1': None, 'behind:1': WITHOUT_CONTACT_MS, 'well:1': 0})
    assert vms.find() == 'well:1'
    assert vms.search.take_found() is None


def test_a_search_that_goes_on_once_one_is_found(clock):
    vms = Vms({'well:1': IN_CONTACT_MS, 'other:1': IN_CONTACT_MS})
    assert vms.find() == 'well:1'
    assert vms.asked == ['well:1']


def test_searches_that_follow_each_other_without_a_pause(clock):
    vms = Vms({'behind:1': WITHOUT_CONTACT_MS})
    for _ in range(5):
        assert vms.find() is None
    assert len(vms.asked) == 1
    clock.advance(aggregator_search.PERIOD_SECONDS)
    vms.find()
    assert len(vms.asked) == 2


# The process ends only after it.
def test_a_search_that_goes_on_after_a_stop(clock):
    vms = Vms({'first:1': None, 'second:1': IN_CONTACT_MS})
    vms.search._ask = lambda address, seconds: _stop_and_fail(vms)
    assert vms.find() is None
    assert vms.asked == ['first:1']
    clock.advance(aggregator_search.PERIOD_SECONDS)
    vms.find()
    assert vms.asked == ['first:1']


def _stop_and_fail(vms):
    vms.asked.append('first:1')
    vms.search.stop()
    raise errors.LinkFailed('cut')
