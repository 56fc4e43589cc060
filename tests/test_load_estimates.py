"""Tests of loads estimated from reports of different ages."""

import relay_builders as builders

from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import load_estimates

LOAD = fleet_loads.Load(1, 100, 10_000)


def _make_loads(clock, speed=40_000):
    return load_estimates.EstimatedLoads(lambda endpoint_id: speed, clock)


def test_reports_of_many_vms_are_reduced_once():
    clock = builders.Clock()
    loads = _make_loads(clock)
    for number in range(5):
        loads.set_peer_loads(f'vm{number}', {'engine-1': LOAD})
    clock.advance(0.25)
    assert loads.total_loads()['engine-1'] == fleet_loads.Load(5, 500, 40_000)


def test_reports_are_reduced_by_the_speed_of_the_engine():
    clock = builders.Clock()
    loads = _make_loads(clock, speed=8000)
    loads.set_peer_loads('vm1', {'engine-1': LOAD})
    clock.advance(0.25)
    assert loads.total_loads()['engine-1'].prefill_tokens == 8000


def test_own_loads_are_not_reduced():
    clock = builders.Clock()
    loads = _make_loads(clock)
    loads.reserve('engine-1', LOAD)
    clock.advance(10.0)
    assert loads.total_loads() == {'engine-1': LOAD}


def test_a_member_gets_the_loads_of_the_others_only():
    clock = builders.Clock()
    loads = _make_loads(clock)
    loads.set_peer_loads('vm1', {'engine-1': LOAD, 'engine-2': LOAD})
    clock.advance(0.1)
    loads.set_peer_loads('vm2', {'engine-1': LOAD})
    assert loads.loads_of_others('vm1') == {'engine-1': LOAD}
    assert loads.loads_of_others('vm2') == {
        'engine-1': fleet_loads.Load(1, 100, 6000),
        'engine-2': fleet_loads.Load(1, 100, 6000),
    }


def test_the_report_of_a_silent_vm_expires():
    clock = builders.Clock()
    loads = _make_loads(clock)
    loads.set_peer_loads('vm1', {'engine-1': LOAD})
    clock.advance(fleet_loads.PEER_REPORT_MAX_AGE_SECONDS + 0.1)
    assert loads.total_loads() == {}
