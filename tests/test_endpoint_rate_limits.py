"""Tests of what a VM knows of rate limits, and of whom it asks."""

import types

import pytest
import relay_builders as builders

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.limits import endpoint_permits
from carobwood_daemon.limits import permit_client
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import vm_calls
from carobwood_daemon.relay import endpoint_rate_limits
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import rate_limit_records


class Harness:
    """Rate limits of one engine, with the calls for permits recorded."""

    def __init__(self):
        self.clock = builders.Clock()
        self.endpoint = builders.endpoint()
        self.decision = None
        self.asked = []
        self.limits = endpoint_rate_limits.EndpointRateLimits(
            self._request_permit, clock=self.clock
        )

    def _request_permit(self, endpoint, statement):
        self.asked.append((endpoint.id, statement))
        if self.decision is None:
            raise errors.LinkFailed('no VM grants permits')
        if isinstance(self.decision, Exception):
            raise self.decision
        return self.decision

    def answer(self, per_second, sent_seconds_ago=0.0, names_limit=True):
        """Note the head of an answer to a request sent some time ago."""
        rate_limit = messages.RateLimit(per_second) if names_limit else None
        head = builders.response_head(rate_limit=rate_limit)
        sent_at = self.clock.now - sent_seconds_ago
        self.limits.note_head(self.endpoint, head, sent_at)

    def decide(self, **changes):
        """Set what the VM that grants permits will decide."""
        fields = {
            'is_granted': True,
            'is_over': False,
            'wait': 0.0,
            'statement': endpoint_permits.LimitStatement(1.0, self.clock.now),
        }
        self.decision = endpoint_permits.PermitDecision(
            **{**fields, **changes}
        )


@pytest.fixture
def harness():
    """Return a harness of an engine that has named no limit."""
    return Harness()


def test_an_endpoint_without_a_limit_needs_no_permit(harness):
    harness.answer(None, names_limit=False)
    assert harness.limits.acquire(harness.endpoint)
    assert harness.asked == []


def test_each_request_after_a_limit_is_named_needs_a_permit(harness):
    harness.answer(1.0)
    harness.decide()
    assert harness.limits.acquire(harness.endpoint)
    harness.decide(is_granted=False, wait=2.0)
    assert not harness.limits.acquire(harness.endpoint)
    assert harness.limits.seconds_until_next(harness.endpoint) == 2.0
    assert not harness.limits.acquire(harness.endpoint)
    assert len(harness.asked) == 2


def test_no_request_is_sent_while_no_vm_grants_permits(harness):
    harness.answer(1.0)
    assert not harness.limits.acquire(harness.endpoint)
    harness.clock.advance(endpoint_rate_limits.RETRY_SECONDS)
    harness.decide()
    assert harness.limits.acquire(harness.endpoint)


def test_an_answer_to_an_earlier_request_does_not_end_a_limit(harness):
    harness.answer(1.0)
    harness.clock.advance(1.0)
    harness.answer(None, sent_seconds_ago=1.5, names_limit=False)
    harness.decide()
    harness.limits.acquire(harness.endpoint)
    assert harness.asked[-1][1].per_second == 1.0


def test_the_end_of_a_limit_is_reported_to_the_grantor(harness):
    harness.answer(1.0)
    harness.clock.advance(1.0)
    harness.answer(None, sent_seconds_ago=0.5, names_limit=False)
    assert harness.limits.is_limited(harness.endpoint)
    ended = endpoint_permits.LimitStatement(None, harness.clock.now)
    harness.decide(is_over=True, statement=ended)
    assert harness.limits.acquire(harness.endpoint)
    assert harness.asked[-1][1] == ended
    assert not harness.limits.is_limited(harness.endpoint)


def test_a_malformed_limit_changes_nothing_and_is_logged(harness, lines):
    harness.answer(None)
    assert not harness.limits.is_limited(harness.endpoint)
    assert lines[0][1]['source'] == 'malformed'
    harness.answer(2.0)
    harness.clock.advance(1.0)
    harness.answer(None)
    harness.decide()
    harness.limits.acquire(harness.endpoint)
    assert harness.asked[-1][1].per_second == 2.0


def test_a_limit_holds_for_one_incarnation(harness):
    harness.answer(0.0)
    restarted = builders.endpoint(incarnation=2)
    assert harness.limits.acquire(restarted)
    assert harness.asked == []


def test_an_error_while_asking_does_not_close_the_endpoint_for_good(harness):
    harness.answer(1.0)
    harness.decision = ValueError('a reply that cannot be read')
    with pytest.raises(ValueError):
        harness.limits.acquire(harness.endpoint)
    harness.decide()
    assert harness.limits.acquire(harness.endpoint)


def test_a_vm_hears_of_a_limit_before_it_sends_a_request():
    told, other = Harness(), Harness()
    records = rate_limit_records.RateLimitRecords(told.limits)
    news = []
    records.on_change(news.append)
    # Records carry ages by the clock of the VM.
    told.clock.now = other.clock.now = endpoint_rate_limits.clocks.now()
    told.answer(1.0)
    assert news == [told.endpoint.id]
    record = records.to_thrift(told.endpoint.id)
    rate_limit_records.RateLimitRecords(other.limits).merge([record])
    assert other.limits.is_limited(other.endpoint)


def test_a_limit_is_told_once_and_not_again_with_each_answer(harness):
    news = []
    harness.limits.on_change(news.append)
    for number in range(10):
        harness.answer(1.0 + number / 10)
    assert len(news) == 1


def _vm(name, takes_callers):
    return directory.Vm(
        name, 'bole', f'{name}:7000', '', 1, not takes_callers, takes_callers
    )


class Grantors:
    """Links to VMs that grant permits, and a directory of them."""

    def __init__(self, clock, names):
        self.clock = clock
        self.called = []
        self.silent = set()
        self.reset_once = set()
        self.call_seconds = 0.0
        self.own_vm = _vm('front-0', True)
        others = [_vm(name, False) for name in names]
        self.client = permit_client.PermitClient(
            endpoint_permits.PermitTable(clock),
            vm_calls.VmCalls(
                types.SimpleNamespace(
                    own_vm=self.own_vm, vms=lambda: [self.own_vm, *others]
                ),
                self,
                clock,
            ),
            clock,
        )
        for vm in (self.own_vm, *others):
            object.__setattr__(vm, 'last_seen_at', clock.now)

    def to(self, address):
        """Return a link that records the VM that is called."""
        return types.SimpleNamespace(
            call=lambda *arguments: self._answer(address.partition(':')[0])
        )

    def _answer(self, name):
        self.called.append(name)
        self.clock.advance(self.call_seconds)
        if name in self.reset_once:
            self.reset_once.remove(name)
            raise errors.LinkFailed('the connection was reset')
        if name in self.silent:
            self.clock.advance(vm_calls.MAX_CALL_SECONDS)
            raise errors.LinkFailed(name)
        return ttypes.PermitReply(True, False, 0, 0, 1.0)


def test_all_vms_ask_the_same_control_vm_and_the_next_if_it_is_silent():
    clock = builders.Clock()
    statement = endpoint_permits.LimitStatement(1.0, clock.now)
    first = Grantors(clock, ['core-0', 'core-1', 'core-2'])
    second = Grantors(clock, ['core-2', 'core-1', 'core-0'])
    for grantors in (first, second):
        assert grantors.client.request(
            builders.endpoint(), statement
        ).is_granted
    assert first.called == second.called
    first.silent.add(first.called[0])
    first.client.request(builders.endpoint(), statement)
    # A VM that did not answer is not asked again at once.
    first.client.request(builders.endpoint(), statement)
    assert len(first.called) == 4
    assert first.called[2] == first.called[3] != first.called[0]


def test_a_vm_is_called_again_if_an_idle_connection_was_reset():
    clock = builders.Clock()
    statement = endpoint_permits.LimitStatement(1.0, clock.now)
    grantors = Grantors(clock, ['core-0', 'core-1'])
    grantors.reset_once = {'core-0', 'core-1'}
    for _ in range(2):
        grantors.client.request(builders.endpoint(), statement)
    assert len(set(grantors.called)) == 1
    assert len(grantors.called) == 3


def test_a_permit_that_arrives_late_is_not_used():
    clock = builders.Clock()
    statement = endpoint_permits.LimitStatement(1.0, clock.now)
    grantors = Grantors(clock, ['core-0', 'core-1'])
    grantors.call_seconds = 5.0
    with pytest.raises(errors.LinkFailed):
        grantors.client.request(builders.endpoint(), statement)


def test_a_vm_grants_permits_itself_if_it_knows_no_other():
    clock = builders.Clock()
    grantors = Grantors(clock, [])
    statement = endpoint_permits.LimitStatement(1.0, clock.now)
    decision = grantors.client.request(builders.endpoint(), statement)
    assert not decision.is_granted
    assert grantors.called == []


def test_a_brittle_endpoint_is_limited_once_it_rejects_for_want_of_room():
    harness = Harness()
    brittleness = messages.Brittleness(4.0)
    accepted = builders.response_head(brittleness=brittleness)
    harness.limits.note_head(harness.endpoint, accepted, harness.clock.now)
    assert not harness.limits.is_limited(harness.endpoint)
    rejected = builders.response_head(
        503, has_not_run=True, brittleness=brittleness
    )
    harness.limits.note_head(harness.endpoint, rejected, harness.clock.now)
    assert harness.limits.is_limited(harness.endpoint)
    _, statement = harness.limits.news(harness.endpoint.id)
    assert statement.per_second == 4.0 * endpoint_rate_limits.BRITTLE_SHARE
