"""Tests of the gossip between VMs."""

from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import gossip
from carobwood_daemon.membership import withdrawals
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import prefix_cache_index

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)


class FakeLink:
    """A link to a peer that records messages and answers them."""

    address = '127.0.0.1:2'

    def __init__(self):
        self.messages = []
        self.incarnation = 7
        self.fails = False

    def call(self, method, message, timeout):
        """Answer a gossip message."""
        assert method == 'gossip'
        if self.fails:
            raise errors.LinkFailed('the link is broken')
        self.messages.append(message)
        vm = ttypes.VmDescriptor(
            'vm2', 'bole', self.address, '', self.incarnation, False
        )
        return ttypes.GossipMessage(vm, 0, [], [], [], '', [], [])


class FakeLinks:
    """Links whose connections are never opened."""

    def to(self, address):
        """Return a link that answers."""
        return FakeLink()


def _gossip(known_suspects):
    return gossip.Gossip(
        directory.Directory(OWN, ()),
        withdrawals.Withdrawals(),
        known_suspects,
        prefix_cache_index.PrefixCacheIndex(),
        state_store.StateStore(),
        FakeLinks(),
    )


def _strikes(message):
    return {(s.fingerprint, s.crash) for s in message.strikes}


def test_a_strike_is_sent_to_a_peer_once():
    known_suspects = crash_suspects.CrashSuspects()
    link = FakeLink()
    peer = gossip.Peer(_gossip(known_suspects), link)
    peer._exchange()
    known_suspects.merge({('f1', 'engine-1/1'): 1e12})
    peer._exchange()
    known_suspects.merge({('f2', 'engine-1/1'): 1e12})
    peer._exchange()
    assert [_strikes(m) for m in link.messages] == [
        set(),
        {('f1', 'engine-1/1')},
        {('f2', 'engine-1/1')},
    ]
    assert peer.await_confirmed(('f1', 'engine-1/1'), 0)
    assert peer.await_confirmed(('f2', 'engine-1/1'), 0)


def test_a_restarted_peer_is_sent_all_strikes_again():
    known_suspects = crash_suspects.CrashSuspects()
    known_suspects.merge({('f1', 'engine-1/1'): 1e12})
    link = FakeLink()
    peer = gossip.Peer(_gossip(known_suspects), link)
    peer._exchange()
    peer._exchange()
    link.incarnation = 8
    peer._exchange()
    peer._exchange()
    assert ('f1', 'engine-1/1') in _strikes(link.messages[-1])
    assert not _strikes(link.messages[-2])


def test_the_loss_and_the_return_of_a_peer_are_logged_once(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: logged.append(event.name)
    )
    link = FakeLink()
    peer = gossip.Peer(_gossip(crash_suspects.CrashSuspects()), link)
    for link.fails in (False, True, True, False, False):
        peer._exchange()
    peer_events = [name for name in logged if name != 'vm-seen']
    assert peer_events == ['vm-silent', 'vm-regained']
