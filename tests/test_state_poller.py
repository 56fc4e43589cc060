"""Tests of polling other VMs for the committed state."""

import threading

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import state_poller
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store

LOST = '127.0.0.1:1'
GOOD = '127.0.0.1:2'


class FakeLinks:
    """Links to two VMs that answer polls.

    The VM at ``LOST`` has no contact to a leader. The one at ``GOOD`` sends
    a newer version once ``LOST`` was polled twice.
    """

    def __init__(self):
        self.lost_polls = 0
        self.lost_was_replaced = threading.Event()

    def to(self, address):
        """Return the link to an address."""
        return FakeLink(self, address)


class FakeLink:
    """A link that answers ``follow``."""

    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, method, request, timeout):
        """Answer a poll."""
        assert method == 'follow'
        if self._address == LOST:
            self._links.lost_polls += 1
            return ttypes.FollowReply('f', 0, [], None, -1)
        if self._links.lost_polls > 1:
            self._links.lost_was_replaced.set()
            payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
            newer_commands = [ttypes.VersionedCommand(7, payload)]
            return ttypes.FollowReply('f', 7, newer_commands, None, 0)
        return ttypes.FollowReply('f', 0, [], None, 10_000)


def test_a_source_without_contact_is_replaced_by_another():
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = FakeLinks()
    poller = state_poller.StatePoller(
        store, directory.Directory(own, (LOST, GOOD)), links, lambda: False
    )
    poller.start()
    assert links.lost_was_replaced.wait(20)
    assert store.wait_for_newer(6, 20) == 7
    poller.stop()
    assert store.contact_age() < 20


class HangingLinks(FakeLinks):
    """Links to two VMs: one hangs, the other holds a newer version."""

    def __init__(self):
        super().__init__()
        self.is_polled = threading.Event()
        self.released = threading.Event()

    def to(self, address):
        """Return the link to an address."""
        return HangingLink(self, address)


class HangingLink(FakeLink):
    """A link to a VM that hangs in a long poll, or that answers at once."""

    def call(self, method, request, timeout):
        """Answer a poll; the VM that hangs does so at the test's end."""
        if self._address == LOST:
            if request.wait_ms:
                self._links.is_polled.set()
                self._links.released.wait(20)
            return ttypes.FollowReply('f', 0, [], None, 0)
        payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
        newer_commands = [ttypes.VersionedCommand(7, payload)]
        return ttypes.FollowReply('f', 7, newer_commands, None, 0)


def test_a_version_that_gossip_reports_does_not_wait_for_a_silent_source():
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = HangingLinks()
    poller = state_poller.StatePoller(
        store, directory.Directory(own, (LOST,)), links, lambda: False
    )
    poller.start()
    assert links.is_polled.wait(20)
    poller.fetch_newer(GOOD, 7)
    assert store.wait_for_newer(6, 20) == 7
    poller.stop()
    links.released.set()


class StartingLinks:
    """Links to VMs that start: the first calls to them are refused.

    Attributes:
        refusals: number of calls that are refused.
        asked: addresses that were called, in order.
    """

    def __init__(self, refusals):
        self.refusals = refusals
        self.asked = []

    def to(self, address):
        """Return the link to an address."""
        return StartingLink(self, address)


class StartingLink:
    """A link that answers after ``refusals`` calls on all links."""

    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, method, request, timeout):
        """Answer a poll."""
        self._links.asked.append(self._address)
        if len(self._links.asked) <= self._links.refusals:
            raise errors.LinkFailed(f'{self._address}: refused')
        payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
        newer_commands = [ttypes.VersionedCommand(7, payload)]
        return ttypes.FollowReply('f', 7, newer_commands, None, 0)


def test_a_vm_without_state_polls_several_vms_until_one_answers(
    monkeypatch,
):
    # Guards against a slow start: a VM that polls one peer at a time may
    # poll many that do not listen yet before it finds one that answers.
    monkeypatch.setattr(state_poller, 'BOOTSTRAP_SECONDS', 60.0)
    peers = tuple(f'127.0.0.1:{number}' for number in range(1, 9))
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = StartingLinks(len(peers) + 2 * state_poller.BOOTSTRAP_SOURCES)
    poller = state_poller.StatePoller(
        store, directory.Directory(own, peers), links, lambda: False
    )
    poller._bootstrap()
    assert store.version == 7
    assert set(links.asked[: len(peers)]) == set(peers)
    assert len(links.asked) <= len(peers) + 3 * state_poller.BOOTSTRAP_SOURCES
