"""Tests of the gate between the relay and the overload control."""

import json
import random
import types

import pytest
import relay_builders as builders

from carobwood import errors
from carobwood_daemon.relay import assignment_queue
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import load_features
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import overload_control
from carobwood_daemon.relay import overload_gate
from carobwood_daemon.relay import tried_endpoints
from carobwood_daemon.relay import wait_forecast
from carobwood_daemon.relay import wait_queue
from carobwood_daemon.rollouts import entry_rollouts
from carobwood_platform import configuration

FULL = fleet_loads.Load(running=64)


class GateHarness:
    """A gate of one request, with one engine."""

    def __init__(self, is_on=True, deadline=6.0, service='engines'):
        """Create the harness.

        Args:
            is_on: whether the control is switched on.
            deadline: seconds that the caller names.
            service: service of the request.
        """
        stub = types.SimpleNamespace
        self.control = None
        if is_on:
            self.control = overload_control.OverloadControl(
                source=random.Random(1)
            )
        self.counts = []
        self.context = stub(
            overload=self.control,
            load_features=load_features.LoadFeatures(controls_admission=is_on),
            loads=fleet_loads.FleetLoads(),
            wait_queue=wait_queue.WaitQueue(),
            metrics=stub(
                count=self.counts.append, gauge=lambda name, value: None
            ),
        )
        self.caller = stub(has_started_response=False)
        self.tried = tried_endpoints.TriedEndpoints()
        self.request = _request(deadline, service)
        self.gate = overload_gate.OverloadGate(self.context, self.request)

    def room(self):
        """Return the ``Room`` that the request needs, or None."""
        return self.gate.room_for(self.request, self.tried, self.caller)


def _request(deadline, service='engines', **changes):
    content = json.dumps(builders.configuration_fields()).encode()
    route = configuration.parse_configuration(content).routes[0]
    metadata = messages.RequestMetadata('r-1', deadline=deadline)
    return builders.admitted_request(
        metadata, route, deadline, service=service, **changes
    )


def _refusal(harness):
    room = harness.room()
    assert room.filter([builders.candidate(load=FULL)]) == []
    with pytest.raises(errors.Saturated) as refusal:
        room.begin_wait(50)
    return refusal.value


def test_a_request_goes_to_an_engine_with_room():
    candidates = [builders.candidate(), builders.candidate('b', load=FULL)]
    assert GateHarness().room().filter(candidates) == candidates[:1]


def test_a_refusal_is_not_run_and_names_a_time_that_callers_honour():
    harness = GateHarness()
    error = _refusal(harness)
    assert error.outcome is errors.Outcome.NOT_RUN
    assert 0.5 < error.retry_after <= 2.0
    assert 'overload.refused.checks' in harness.counts


def test_a_wait_ends_as_soon_as_the_request_would_be_late():
    harness = GateHarness()
    room = harness.room()
    slow = builders.candidate(
        load=fleet_loads.Load(running=64, prefill_tokens=400_000)
    )
    room.filter([builders.candidate(load=FULL)])
    room.begin_wait(0)
    room.check_wait()
    room.filter([slow])
    with pytest.raises(errors.Saturated):
        room.check_wait()


# Callers that came back in a surge were refused again at once.
def test_a_request_that_has_come_back_is_not_refused_at_once():
    harness = GateHarness()
    harness.control.has_returned('checks', 6.0)
    harness.request = _request(3.0)
    harness.gate = overload_gate.OverloadGate(harness.context, harness.request)
    room = harness.room()
    room.filter([builders.candidate(load=FULL)])
    room.begin_wait(50)
    room.check_wait()


def test_nothing_is_controlled_where_it_is_switched_off():
    harness = GateHarness(is_on=False)
    assert harness.room() is None
    key = assignment_queue.queue_key(harness.context, harness.request)
    assert key[1] == harness.request.priority
    harness.gate.close()


def test_plain_services_and_begun_answers_are_not_controlled():
    assert GateHarness(service='orders').room() is None
    harness = GateHarness()
    harness.caller.has_started_response = True
    assert harness.room() is None
    harness = GateHarness()
    harness.tried.add('gone', errors.EndpointFailed('gone'))
    assert harness.room() is None


def test_the_queue_orders_by_customer_and_then_by_route():
    harness = GateHarness()
    key = assignment_queue.queue_key(harness.context, harness.request)
    other = _request(6.0, customer=builders.customer(priority=0))
    assert assignment_queue.queue_key(harness.context, other)[1] < key[1]


def test_a_request_that_has_ended_is_counted_once(monkeypatch):
    harness = GateHarness()
    ended = []
    monkeypatch.setattr(harness.control, 'note_end', ended.append)
    harness.gate.close()
    harness.gate.close()
    assert len(ended) == 1


class _QueueHarness(GateHarness):
    """A queue for one request, with an engine that never has a place."""

    def __init__(self, load, is_behind=False):
        """Create the harness.

        Args:
            load: the ``Load`` of the engine.
            is_behind: whether another request waits already.
        """
        super().__init__()
        stub = types.SimpleNamespace
        self.context.is_discovery_done = lambda: True
        self.context.reachability = stub(is_cut_off=False)
        self.context.gate = stub(is_interrupted=False, is_ready=True)
        self.context.segment_suspects = stub(check=lambda keys: None)
        self.context.rollouts = entry_rollouts.NoRollouts()
        self.context.availability = stub(
            seconds_until_available=lambda endpoint: 0.0
        )
        self.context.health = stub(is_ejected=lambda endpoint: False)
        self.context.rate_limits = stub(is_limited=lambda endpoint: False)
        self.caller.has_disconnected = lambda: False
        self.candidates = [builders.candidate(load=load)]
        endpoints = [candidate.endpoint for candidate in self.candidates]
        selector = stub(
            candidates=lambda request, excluded: self.candidates,
            try_assign=self._try_assign,
            endpoints=lambda request: endpoints,
            eligible_ids=lambda request, endpoints, loads: set(),
            has_untried_endpoint=lambda request, excluded: True,
            seconds_until_any_open=lambda request, excluded: 0.0,
        )
        self.queue = assignment_queue.AssignmentQueue(
            self.context, selector, self.gate
        )
        if is_behind:
            service, rank, late_at = assignment_queue.queue_key(
                self.context, self.request
            )
            self.context.wait_queue.enqueue(
                service, rank, late_at - 0.1, self.request.deadline_at
            )

    def _try_assign(self, request, excluded, filter_room):
        filter_room(self.candidates)

    def refusal(self):
        """Return the error that the request ends with."""
        with pytest.raises(errors.Saturated) as refusal:
            self.queue.await_assignment(self.request, self.tried, self.caller)
        return refusal.value


# The level did not fall, and all were told to return after one second.
def test_a_wait_that_runs_out_counts_as_one_in_vain(monkeypatch):
    monkeypatch.setattr(wait_queue, 'MAX_WAIT_FRACTION', 0.02)
    harness = _QueueHarness(FULL)
    refusal = harness.refusal()
    assert harness.control.level(harness.gate._need) < 0.75
    assert 'overload.refused.checks' in harness.counts
    assert refusal.retry_after != wait_queue.RETRY_AFTER_SECONDS


def test_a_full_queue_names_a_time_that_callers_honour(monkeypatch):
    monkeypatch.setattr(wait_queue, 'MAX_WAITING', 0)
    harness = _QueueHarness(FULL)
    harness.refusal()
    assert 'overload.refused.checks' in harness.counts


# A request behind others waited until it was late without a look at engines.
def test_a_request_behind_others_is_refused_if_engines_are_late(monkeypatch):
    # The wait itself would be worth it.
    monkeypatch.setattr(wait_forecast, 'MIN_START_RATE', 1000.0)
    slow = fleet_loads.Load(running=64, prefill_tokens=400_000)
    harness = _QueueHarness(slow, is_behind=True)
    refusal = harness.refusal()
    assert 'expected to be late' in str(refusal)
    assert harness.context.wait_queue.count('engines') == 1
