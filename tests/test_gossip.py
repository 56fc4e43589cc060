"""Tests of the exchange of gossip with one aggregator."""

from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import gossip
from carobwood_daemon.membership import gossip_peers
from carobwood_daemon.membership import uplink
from carobwood_daemon.membership import withdrawals
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import prefix_cache_index
import pytest

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)
AGGREGATOR = '127.0.0.1:2'


class FakeLink:
    """A link to an aggregator that records messages and answers them."""

    address = AGGREGATOR

    def __init__(self):
        self.messages = []
        self.connect_seconds = []
        self.incarnation = 7
        self.fails = False

    def call(self, method, message, timeout, connect_timeout):
        """Answer a gossip message."""
        assert method == 'gossip'
        self.connect_seconds.append(connect_timeout)
        if self.fails:
            raise errors.LinkFailed('the link is broken')
        self.messages.append(message)
        vm = ttypes.VmDescriptor(
            'vm2', 'bole', self.address, '', self.incarnation, True
        )
        return ttypes.GossipReply(
            vm, 0, '', -1, [], True, ttypes.Records(), period_ms=100
        )


class FakeLinks:
    """Links that all lead to one aggregator."""

    def __init__(self, link):
        self._link = link

    def to(self, address):
        """Return the link to the aggregator."""
        return self._link


def _make_thread(kind, known_suspects, link):
    """Return the thread that exchanges gossip, of a VM that knows a seed."""
    known_fleet = directory.Directory(OWN, (AGGREGATOR,))
    vm_gossip = gossip.Gossip(
        known_fleet,
        withdrawals.Withdrawals(),
        known_suspects,
        prefix_cache_index.PrefixCacheIndex(),
        state_store.StateStore(),
        FakeLinks(link),
    )
    if kind == 'aggregator':
        return gossip_peers.AggregatorPeer(vm_gossip, link)
    return uplink.Uplink(vm_gossip, known_fleet, FakeLinks(link))


def _strikes(message):
    return {(s.fingerprint, s.crash) for s in message.records.strikes}


both_kinds = pytest.mark.parametrize('kind', ['aggregator', 'member'])


@both_kinds
def test_a_strike_is_sent_to_an_aggregator_once(kind):
    known_suspects = crash_suspects.CrashSuspects()
    link = FakeLink()
    thread = _make_thread(kind, known_suspects, link)
    thread.exchange()
    known_suspects.merge({('f1', 'engine-1/1'): 1e12})
    thread.exchange()
    known_suspects.merge({('f2', 'engine-1/1'): 1e12})
    thread.exchange()
    assert [_strikes(m) for m in link.messages] == [
        set(),
        {('f1', 'engine-1/1')},
        {('f2', 'engine-1/1')},
    ]


@both_kinds
def test_a_strike_is_sent_again_after_a_failed_call(kind):
    known_suspects = crash_suspects.CrashSuspects()
    link = FakeLink()
    thread = _make_thread(kind, known_suspects, link)
    thread.exchange()
    known_suspects.merge({('f1', 'engine-1/1'): 1e12})
    link.fails = True
    thread.exchange()
    link.fails = False
    # A member first looks for an aggregator that has not failed.
    sent_count = len(link.messages)
    while len(link.messages) == sent_count:
        thread.exchange()
    assert _strikes(link.messages[-1]) == {('f1', 'engine-1/1')}


@both_kinds
def test_a_restarted_aggregator_is_sent_all_strikes_again(kind):
    known_suspects = crash_suspects.CrashSuspects()
    link = FakeLink()
    thread = _make_thread(kind, known_suspects, link)
    known_suspects.merge({('f1', 'engine-1/1'): 1e12})
    thread.exchange()
    thread.exchange()
    link.incarnation = 8
    thread.exchange()
    thread.exchange()
    assert ('f1', 'engine-1/1') in _strikes(link.messages[-1])
    assert not _strikes(link.messages[-2])


@both_kinds
def test_the_loss_and_the_return_of_an_aggregator_are_logged_once(
    kind, monkeypatch
):
    logged = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: logged.append(event.name)
    )
    link = FakeLink()
    thread = _make_thread(kind, crash_suspects.CrashSuspects(), link)
    for link.fails in (False, True, True, False, False):
        thread.exchange()
    ignored = ('vm-seen', 'aggregator-joined')
    peer_events = [name for name in logged if name not in ignored]
    assert peer_events == ['vm-silent', 'vm-regained']


def test_a_member_logs_which_aggregator_it_reports_to(monkeypatch):
    logged = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: logged.append((event, fields))
    )
    thread = _make_thread('member', crash_suspects.CrashSuspects(), FakeLink())
    thread.exchange()
    thread.exchange()
    joined = [
        fields for event, fields in logged if event is events.AGGREGATOR_JOINED
    ]
    assert joined == [{'vm': 'vm2', 'data_centre': 'bole', 'period': 0.1}]


# All VMs lost power. One that was up first waited a second for a connection to
# a seed that took no packet yet, and knew no endpoint until then.
@both_kinds
def test_a_starting_vm_does_not_wait_for_another_that_starts_later(kind):
    link = FakeLink()
    thread = _make_thread(kind, crash_suspects.CrashSuspects(), link)
    link.fails = True
    while len(link.connect_seconds) < 5:
        thread.exchange()
        assert thread.period <= link.connect_seconds[-1]
    assert link.connect_seconds == [0.2, 0.4, 0.8, 1.0, 1.0]


@both_kinds
def test_a_vm_that_has_answered_gets_the_usual_time(kind):
    link = FakeLink()
    thread = _make_thread(kind, crash_suspects.CrashSuspects(), link)
    thread.exchange()
    thread.exchange()
    assert link.connect_seconds == [0.2, gossip_peers.CALL_TIMEOUT_SECONDS]
    link.fails = True
    thread.exchange()
    if kind == 'aggregator':
        assert thread.period == gossip_peers.SILENT_PERIOD_SECONDS
