"""Tests of the explanation of a request, without a network."""

import dataclasses
import json
import types

import explanation_builders as setups
import pytest
import relay_builders as builders

from carobwood import errors
from carobwood import explanation_token
from carobwood import keys
from carobwood_daemon.limits import endpoint_permits
from carobwood_daemon.relay import block_digests
from carobwood_daemon.relay import explanation
from carobwood_daemon.relay import explanation_api
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import messages
from carobwood_daemon.replication import rollout_records

LATE = explanation.OverloadView(1.0, 1.0, 0.5, False, True)
SECRET = b'a secret of the fleet'
CACHED = (block_digests.block_digest('v1', 'rulebook'),)


@pytest.fixture
def vm():
    """Return an entry VM whose engines have no load."""
    return setups.EntryVm()


def _admitted(vm):
    """Return the request of ``setups.query`` as it would be admitted."""
    configuration = vm.configuration_store.configuration
    return builders.admitted_request(
        messages.RequestMetadata(
            model=builders.MODEL,
            prompt_segments=setups.SEGMENTS,
            prompt_tokens=8100,
            output_tokens=50,
        ),
        configuration.find_route(builders.HOST, '/checks/x'),
        configuration=configuration,
    )


def test_the_endpoint_is_the_one_that_would_be_assigned(vm):
    vm.index.record_use(vm.engines[1], CACHED)
    vm.fill(vm.engines[0], 3)
    _, service = vm.explain()
    assert service.decision is explanation.Decision.SEND
    assignment = vm.selector.try_assign(_admitted(vm), frozenset())
    assert service.endpoint_id == assignment.endpoint.id == 'engine-1'
    assert service.endpoints[0].endpoint_id == 'engine-1'
    assert service.endpoints[0].cached_tokens == 8000
    assert service.endpoints[0].news_age == 0.25
    costs = [endpoint.cost_seconds for endpoint in service.endpoints]
    assert costs == sorted(costs)


@pytest.mark.parametrize('has_overload_control', [False, True])
def test_nothing_is_reserved_counted_or_recorded(has_overload_control):
    vm = setups.EntryVm(has_overload_control)
    vm.loads.reserve('engine-0', fleet_loads.Load(prefill_tokens=100))
    loads = vm.loads.local_loads()
    usage = vm.quota.usage()
    decision = vm.quota.preview('bole', 8150)
    for _ in range(20):
        vm.explain()
        vm.clock.advance(0.001)
    assert vm.loads.local_loads() == loads
    assert vm.prefill_shares.share('engine-0') == 0.0
    assert vm.quota.usage() == usage
    assert vm.quota.preview('bole', 8150).recent == decision.recent
    assert [vm.index.count_blocks(engine) for engine in vm.engines] == [0] * 3
    assert vm.queue.count('engines') == 0


def test_no_permit_is_asked_for_and_none_is_taken(vm):
    # ``request_permit`` is None, so that a call would fail.
    for engine in vm.engines:
        head = builders.response_head(rate_limit=messages.RateLimit(5.0))
        vm.rate_limits.note_head(engine, head, vm.clock.now)
    _, service = vm.explain()
    assert service.decision is explanation.Decision.SEND


def test_each_endpoint_says_what_keeps_requests_from_it(vm):
    vm.engines += [builders.endpoint(f'engine-{n}') for n in range(3, 7)]
    for engine in vm.engines[:6]:
        vm.weights.record_version(engine, 1)
    vm.drained = [builders.endpoint('engine-9', leaving=True)]
    vm.fill(vm.engines[1])
    vm.health.note_unreachable(vm.engines[2])
    leaving = builders.response_head(is_leaving=True)
    vm.availability.note_head(vm.engines[3], leaving)
    away = builders.response_head(
        503,
        has_not_run=True,
        is_signed=False,
        retry_after=messages.RetryAfter(3.0),
    )
    vm.availability.note_head(vm.engines[4], away)
    limited = builders.response_head(rate_limit=messages.RateLimit(5.0))
    vm.rate_limits.note_head(vm.engines[5], limited, vm.clock.now)
    vm.request_permit = lambda endpoint, statement: (
        endpoint_permits.PermitDecision(False, False, 3.0, statement)
    )
    assert not vm.rate_limits.acquire(vm.engines[5])
    assert vm.obstacles() == {
        'engine-0': '',
        'engine-1': 'full',
        'engine-2': 'ejected',
        'engine-3': 'leaving',
        'engine-4': 'unavailable',
        'engine-5': 'no-permit',
        'engine-6': 'changing-weights',
        'engine-9': 'drained',
    }
    _, service = vm.explain()
    assert service.endpoint_id == 'engine-0'


def test_a_request_waits_while_all_engines_are_full(vm):
    for engine in vm.engines:
        vm.fill(engine)
    _, service = vm.explain()
    assert service.decision is explanation.Decision.WAIT
    assert service.endpoint_id == ''


def test_the_admission_under_overload_is_told():
    vm = setups.EntryVm(has_overload_control=True)
    for engine in vm.engines:
        vm.fill(engine)
    _, service = vm.explain()
    assert service.decision is explanation.Decision.WAIT
    assert service.overload.level == 1.0
    assert service.overload.can_be_on_time
    assert set(vm.obstacles().values()) == {'full'}


def test_a_request_of_more_than_can_be_read_in_time_has_no_room():
    vm = setups.EntryVm(has_overload_control=True)
    # Prompts of 1.6 s on all engines but one; an answer is late after 0.6 s.
    load = fleet_loads.Load(running=1, prefill_tokens=64_000)
    for engine in vm.engines[1:]:
        vm.loads.reserve(engine.id, load)
    _, service = vm.explain()
    assert service.endpoint_id == 'engine-0'
    assert vm.obstacles() == {
        'engine-0': '',
        'engine-1': 'no-room-in-time',
        'engine-2': 'no-room-in-time',
    }
    vm.loads.reserve('engine-0', load)
    _, service = vm.explain()
    assert not service.overload.can_be_on_time


@pytest.mark.parametrize(
    ('changes', 'decision', 'reason'),
    [
        ({}, 'send', ''),
        ({'is_over_quota': True}, 'refuse', 'rate_exceeded'),
        ({'waiting_ahead': 1}, 'wait', ''),
        ({'has_choice': False}, 'wait', ''),
        (
            {'has_choice': False, 'has_endpoint': False},
            'refuse',
            'no_endpoint',
        ),
        (
            {'has_choice': False, 'is_cut_off': True},
            'forward',
            'no_endpoint_reachable',
        ),
        ({'has_choice': False, 'opens_in_time': False}, 'refuse', 'saturated'),
        ({'has_choice': False, 'overload': LATE}, 'refuse', 'saturated'),
        ({'overload': LATE}, 'send', ''),
    ],
)
def test_the_decision_follows_the_order_of_the_queue(
    changes, decision, reason
):
    situation = explanation.Situation(
        is_over_quota=False,
        has_endpoint=True,
        has_choice=True,
        waiting_ahead=0,
        is_cut_off=False,
        opens_in_time=True,
        overload=None,
    )
    changed = dataclasses.replace(situation, **changes)
    assert explanation.decide(changed) == (decision, reason)


def test_a_request_beyond_the_limit_is_refused_with_a_time(vm):
    vm.quota.admit('bole', 2_000_000)
    found, service = vm.explain()
    assert found.quota.verdict == 'refused'
    assert found.quota.retry_after > 0
    assert service.decision is explanation.Decision.REFUSE
    assert service.reason == 'rate_exceeded'


def test_a_service_without_endpoints_refuses(vm):
    vm.engines.clear()
    _, service = vm.explain()
    assert service.decision is explanation.Decision.REFUSE
    assert service.reason == 'no_endpoint'


def test_a_rollout_of_the_service_is_told(vm):
    vm.rollouts_by_service['engines'] = rollout_records.RolloutRecord(
        7, 'engines', 'v2', 4000
    )
    _, service = vm.explain()
    assert service.rollout == explanation.RolloutView('v2', 'canary', '')


def test_versions_come_in_the_order_of_the_rollout(vm):
    vm.context.rollouts = types.SimpleNamespace(
        find_possible=lambda request, endpoints: endpoints,
        find_groups=lambda request, endpoints, tried_ids: (
            endpoints[:1],
            endpoints[1:2],
        ),
    )
    vm.fill(vm.engines[0], 63)
    _, service = vm.explain()
    assert service.endpoint_id == 'engine-0'
    vm.fill(vm.engines[0], 1)
    _, service = vm.explain()
    assert service.endpoint_id == 'engine-1'
    assert vm.obstacles() == {
        'engine-0': 'full',
        'engine-1': '',
        'engine-2': 'other-version',
    }


def test_a_key_is_found_by_its_digest(vm):
    found, _ = vm.explain(
        customer='', key_digest=keys.digest_key(builders.KEY)
    )
    assert found.customer == 'bole'


@pytest.mark.parametrize(
    ('changes', 'error'),
    [
        ({'path': '/unknown/x'}, errors.RouteNotFound),
        ({'host': 'other.example'}, errors.RouteNotFound),
        ({'customer': ''}, errors.KeyRefused),
        ({'customer': '', 'key_digest': '00' * 32}, errors.KeyRefused),
        ({'customer': 'kirkos'}, errors.NotFound),
    ],
)
def test_what_is_unknown_is_named(vm, changes, error):
    with pytest.raises(error):
        vm.explain(**changes)


def test_a_vm_without_a_configuration_says_so(vm):
    vm.configuration_store.configuration = None
    with pytest.raises(errors.ConfigurationMissing):
        vm.explain()


def _post(api, body, secret=SECRET, method='POST'):
    token = explanation_token.derive(secret)
    reply = api.handle(
        gateway.ApiRequest(
            method,
            explanation_api.PATH,
            {'authorization': f'Bearer {token}'},
            json.dumps(body).encode(),
        )
    )
    return reply.status, json.loads(reply.body)


def test_the_call_answers_with_the_explanation(vm):
    api = explanation_api.ExplanationApi(vm.explainer.explain, SECRET)
    status, fields = _post(api, dataclasses.asdict(setups.query()))
    assert status == 200
    assert fields['route'] == 'checks'
    assert fields['services'][0]['decision'] == 'send'


@pytest.mark.parametrize(
    ('arguments', 'status', 'code'),
    [
        ({'secret': b'another'}, 401, 'operator_refused'),
        ({'method': 'GET'}, 405, 'method_not_allowed'),
        ({'body': {'host': 1}}, 400, 'malformed_request'),
        (
            {'body': {'host': 'h', 'path': '/', 'output_tokens': -1}},
            400,
            'malformed_request',
        ),
        ({'body': {'host': 'h', 'path': '/'}}, 404, 'route_not_found'),
    ],
)
def test_a_call_that_is_refused_names_its_error(vm, arguments, status, code):
    api = explanation_api.ExplanationApi(vm.explainer.explain, SECRET)
    arguments = {'body': {}, **arguments}
    found_status, fields = _post(api, **arguments)
    assert (found_status, fields['error']['code']) == (status, code)


def test_a_vm_that_takes_no_callers_explains_nothing():
    api = explanation_api.ExplanationApi(None, SECRET)
    status, fields = _post(api, dataclasses.asdict(setups.query()))
    assert (status, fields['error']['code']) == (404, 'not_found')
