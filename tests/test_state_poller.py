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
        store,
        directory.Directory(own, (LOST,)),
        links,
        lambda: False,
        # The poll that hangs is a long poll, which follows a short one.
        gossip_contact_age=lambda: float('inf'),
    )
    poller.start()
    assert links.is_polled.wait(20)
    poller.fetch_newer(GOOD, 7)
    assert store.wait_for_newer(6, 20) == 7
    poller.stop()
    links.released.set()


class UnreadableLinks:
    """Links to two VMs: the snapshot that one of them sends cannot be read.

    Attributes:
        snapshot_was_read: set once a VM has tried to read that snapshot; the
            other one answers after it.
    """

    def __init__(self):
        self.snapshot_was_read = threading.Event()

    def to(self, address):
        """Return the link to an address."""
        return UnreadableLink(self, address)


class UnreadableLink:
    """A link whose VM sends an unreadable snapshot or a newer version."""

    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, method, request, timeout):
        """Answer a poll."""
        if self._address == LOST:
            return ttypes.FollowReply('f', 9, [], b'\x81\xa7version', 0)
        assert self._links.snapshot_was_read.wait(20)
        payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
        newer_commands = [ttypes.VersionedCommand(7, payload)]
        return ttypes.FollowReply('f', 7, newer_commands, None, 0)


# The answers of all VMs were dropped if one of them could not be read.
def test_a_snapshot_that_cannot_be_read_keeps_no_other_vm_from_being_read(
    monkeypatch,
):
    monkeypatch.setattr(state_poller, 'SEARCH_REPLY_SECONDS', 20.0)
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = UnreadableLinks()
    read = store.update_by_snapshot

    def note(data):
        links.snapshot_was_read.set()
        return read(data)

    monkeypatch.setattr(store, 'update_by_snapshot', note)
    poller = state_poller.StatePoller(
        store, directory.Directory(own, (LOST, GOOD)), links, lambda: False
    )
    assert poller.catch_up(20.0)
    assert store.version == 7
    assert poller._find_source() == GOOD
    assert not poller._follow(LOST)


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


class CutOffLinks:
    """Links to two VMs: one is cut off from the leader, the other is not.

    Attributes:
        polls: (address, wait in ms) of each poll, in order.
        is_done: set after ``count`` polls.
    """

    def __init__(self, count):
        self.polls = []
        self.is_done = threading.Event()
        self._count = count

    def to(self, address):
        """Return the link to an address."""
        return CutOffLink(self, address)

    def note(self, address, wait_ms):
        """Record a poll."""
        self.polls.append((address, wait_ms))
        if len(self.polls) >= self._count:
            self.is_done.set()


class CutOffLink:
    """A link whose VM had its last contact with the leader 2 s ago or now."""

    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, method, request, timeout):
        """Answer a poll."""
        self._links.note(self._address, request.wait_ms)
        age = 2000 if self._address == LOST else 0
        return ttypes.FollowReply('f', 1, [], None, age)


def _poll_beside_a_cut_off_vm(monkeypatch, count):
    monkeypatch.setattr(state_poller, 'SEARCH_PERIOD_SECONDS', 0.001)
    monkeypatch.setattr(state_poller, 'BOOTSTRAP_SECONDS', 0.0)
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    links = CutOffLinks(count)
    poller = state_poller.StatePoller(
        state_store.StateStore(),
        directory.Directory(own, (LOST, GOOD)),
        links,
        lambda: False,
        gossip_contact_age=lambda: float('inf'),
    )
    poller.start()
    is_done = links.is_done.wait(20)
    poller.stop()
    assert is_done
    # The first two polls are those of the start, of both VMs at once.
    return links.polls[2:]


def test_a_vm_does_not_rely_on_its_aggregator_for_who_is_alive(monkeypatch):
    # Guards against a late configuration: the aggregator that is cut off was
    # the only control VM that seemed to be alive, and so the only source.
    monkeypatch.setattr(state_poller, 'SEARCH_PERIOD_SECONDS', 0.001)
    monkeypatch.setattr(state_poller, 'BOOTSTRAP_SECONDS', 0.0)
    monkeypatch.setattr(state_poller, 'STALE_CONTACT_SECONDS', 1000.0)
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    known = directory.Directory(own, ())
    known.note_message(directory.Vm('core-1', 'bole', LOST, '', 1, True), 1)
    known.merge_vm(directory.Vm('core-2', 'bole', GOOD, '', 1, True))
    monkeypatch.setattr(known, 'peer_addresses', lambda: [LOST])
    links = CutOffLinks(20)
    poller = state_poller.StatePoller(
        state_store.StateStore(),
        known,
        links,
        lambda: False,
        gossip_contact_age=lambda: float('inf'),
    )
    poller.start()
    assert links.is_done.wait(20)
    poller.stop()
    assert GOOD in {address for address, _ in links.polls}


def test_a_vm_goes_on_polling_while_gossip_brings_no_contact(monkeypatch):
    # Guards against a late configuration: a VM whose aggregator is cut off
    # polled once, took itself for informed and paused.
    monkeypatch.setattr(state_poller, 'GOSSIP_CONTACT_SECONDS', 1000.0)
    polls = _poll_beside_a_cut_off_vm(monkeypatch, 20)
    assert GOOD in {address for address, _ in polls}


def test_a_vm_holds_no_long_poll_at_a_source_without_contact(monkeypatch):
    polls = _poll_beside_a_cut_off_vm(monkeypatch, 40)
    assert all(wait == 0 for address, wait in polls if address == LOST)
    # Having answered once, it is asked again only after another source.
    addresses = [address for address, _ in polls]
    pairs = list(zip(addresses, addresses[1:], strict=False))
    assert (LOST, LOST) not in pairs
    assert pairs.count((GOOD, GOOD)) > len(pairs) / 2
