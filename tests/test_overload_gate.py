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
from carobwood_daemon.relay import wait_queue
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
