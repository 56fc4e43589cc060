"""Tests of the time for which callers of streams wait."""

import dataclasses
import json
import math
import types

import pytest
import relay_builders as builders
import waiting_callers

from carobwood_daemon.relay import caller_patience
from carobwood_daemon.relay import placement
from carobwood_platform import configuration


def _route(**changes):
    fields = builders.configuration_fields()
    fields['routes'] = [builders.route_fields(**changes)]
    content = json.dumps(fields).encode()
    [route] = configuration.parse_configuration(content).routes
    return route


@pytest.mark.parametrize(
    'target_latency_ms, pause_ms, seconds',
    [(400, 200, 2.0), (600, 200, 2.4), (400, 400, 3.2)],
)
def test_callers_wait_for_a_multiple_of_what_is_on_time(
    target_latency_ms, pause_ms, seconds
):
    route = _route(target_latency_ms=target_latency_ms, gap_aim_ms=pause_ms)
    assert route.caller_patience == pytest.approx(seconds)


@pytest.mark.parametrize(
    'changes', [{}, {'kind': 'safe', 'gap_aim_ms': 300}, {'gap_aim_ms': 0}]
)
def test_the_patience_of_other_callers_is_not_known(changes):
    assert math.isinf(_route(**changes).caller_patience)


def test_an_admitted_request_knows_when_its_caller_leaves():
    request = builders.admitted_request(None, _route(gap_aim_ms=300))
    patience = request.caller_leaves_at - request.arrived_at
    assert patience == pytest.approx(2.4)
    earlier = dataclasses.replace(
        request, first_arrived_at=request.arrived_at - 0.5
    )
    assert earlier.caller_leaves_at == request.caller_leaves_at - 0.5


def test_a_wait_ends_in_time_for_the_prompt():
    def latest_wait_end(own_tokens):
        request = types.SimpleNamespace(
            caller_leaves_at=100.0, demand=placement.Demand(0, own_tokens, 0)
        )
        return caller_patience.latest_wait_end(request)

    assert latest_wait_end(0) < 100.0
    assert latest_wait_end(20_000) == pytest.approx(latest_wait_end(0) - 0.5)


# Those that had waited for 2.4 s left without an answer or a refusal.
def test_all_callers_of_a_burst_are_answered_or_refused():
    outcomes = waiting_callers.replay_burst(60, 0.08)
    assert outcomes.left == 0
    assert outcomes.placed >= 25
    assert outcomes.refused == 60 - outcomes.placed
