"""Tests of following the committed state."""

import threading

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import follower
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store

LOST = '127.0.0.1:1'
GOOD = '127.0.0.1:2'


class FakeLinks:
    """Answers polls: one VM without contact, one with news."""

    def __init__(self):
        self.lost_polls = 0
        self.lost_was_left = threading.Event()

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
            self._links.lost_was_left.set()
            payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
            news = [ttypes.VersionedCommand(7, payload)]
            return ttypes.FollowReply('f', 7, news, None, 0)
        return ttypes.FollowReply('f', 0, [], None, 10_000)


def test_a_source_without_contact_is_left_for_another():
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = FakeLinks()
    following = follower.Follower(
        store, directory.Directory(own, (LOST, GOOD)), links, lambda: False
    )
    following.start()
    assert links.lost_was_left.wait(20)
    assert store.wait_beyond(6, 20) == 7
    following.stop()
    assert store.contact_age() < 20


class SilentLinks(FakeLinks):
    """One VM has fallen silent while another holds a newer version."""

    def __init__(self):
        super().__init__()
        self.is_asked = threading.Event()
        self.released = threading.Event()

    def to(self, address):
        """Return the link to an address."""
        return SilentLink(self, address)


class SilentLink(FakeLink):
    """A link whose VM answers nothing, or only what it was asked for."""

    def call(self, method, request, timeout):
        """Answer a poll, on the silent VM only at the test's end."""
        if self._address == LOST:
            if request.wait_ms:
                self._links.is_asked.set()
                self._links.released.wait(20)
            return ttypes.FollowReply('f', 0, [], None, 0)
        payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
        news = [ttypes.VersionedCommand(7, payload)]
        return ttypes.FollowReply('f', 7, news, None, 0)


def test_a_version_that_is_heard_of_does_not_wait_for_a_silent_source():
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = SilentLinks()
    following = follower.Follower(
        store, directory.Directory(own, (LOST,)), links, lambda: False
    )
    following.start()
    assert links.is_asked.wait(20)
    following.note_newer(GOOD, 7)
    assert store.wait_beyond(6, 20) == 7
    following.stop()
    links.released.set()


class StartingLinks:
    """Two VMs that do not listen yet, and one that does by and by."""

    def __init__(self, refusals):
        self.refusals = refusals
        self.asked = []

    def to(self, address):
        """Return the link to an address."""
        return StartingLink(self, address)


class StartingLink:
    """A link that answers once enough calls were refused."""

    def __init__(self, links, address):
        self._links = links
        self._address = address

    def call(self, method, request, timeout):
        """Answer a poll."""
        self._links.asked.append(self._address)
        if len(self._links.asked) <= self._links.refusals:
            raise errors.LinkFailed(f'{self._address}: refused')
        payload = commands.encode(commands.RegisterVm('vm1', 'bole'))
        news = [ttypes.VersionedCommand(7, payload)]
        return ttypes.FollowReply('f', 7, news, None, 0)


def test_a_vm_that_knows_nothing_asks_several_vms_again_and_again(
    monkeypatch,
):
    # Not one VM at a time: each round asks as many as it may.
    monkeypatch.setattr(follower, 'FIRST_SECONDS', 60.0)
    peers = tuple(f'127.0.0.1:{number}' for number in range(1, 9))
    own = directory.Vm('vm4', 'bole', '127.0.0.1:9', '', 1, False)
    store = state_store.StateStore()
    links = StartingLinks(len(peers) + 2 * follower.FIRST_SOURCES)
    following = follower.Follower(
        store, directory.Directory(own, peers), links, lambda: False
    )
    following._learn_first()
    assert store.version == 7
    assert set(links.asked[: len(peers)]) == set(peers)
    assert len(links.asked) <= len(peers) + 3 * follower.FIRST_SOURCES
