"""Tests of the load in flight, local and reported by other VMs."""

import relay_builders as builders

from carobwood_daemon.relay import fleet_loads

LOAD = fleet_loads.Load(1, 100, 50)


def test_the_total_adds_local_loads_and_reports():
    loads = fleet_loads.FleetLoads(builders.Clock())
    reservation = loads.reserve('engine-1', LOAD)
    loads.set_peer_loads('vm2', {'engine-1': LOAD, 'engine-2': LOAD})
    assert loads.total_loads() == {
        'engine-1': fleet_loads.Load(2, 200, 100),
        'engine-2': LOAD,
    }
    reservation.release()
    assert loads.local_loads() == {}


def test_a_reservation_is_subtracted_only_once():
    loads = fleet_loads.FleetLoads(builders.Clock())
    other = loads.reserve('engine-1', LOAD)
    reservation = loads.reserve('engine-1', LOAD)
    reservation.release_prefill()
    reservation.release_prefill()
    assert loads.local_loads()['engine-1'] == fleet_loads.Load(2, 200, 50)
    reservation.release()
    reservation.release()
    assert loads.local_loads()['engine-1'] == LOAD
    other.release()
    assert loads.local_loads() == {}


def test_reported_prefill_shrinks_with_the_age_of_the_report():
    clock = builders.Clock()
    loads = fleet_loads.FleetLoads(clock)
    loads.set_peer_loads('vm2', {'engine-1': fleet_loads.Load(2, 100, 10_000)})
    clock.advance(0.1)
    assert loads.total_loads()['engine-1'] == fleet_loads.Load(2, 100, 6_000)
    clock.advance(0.9)
    assert loads.total_loads()['engine-1'] == fleet_loads.Load(2, 100, 0)


def test_the_prefill_share_follows_the_samples():
    clock = builders.Clock()
    prefill_shares = fleet_loads.PrefillShares(clock)
    for number in range(100):
        clock.advance(0.1)
        prefill = 100 if number % 2 else 0
        prefill_shares.add_sample(
            {'engine-1': fleet_loads.Load(1, 0, prefill)}
        )
    assert 0.4 < prefill_shares.share('engine-1') < 0.6
    assert prefill_shares.share('engine-2') == 0.0


def test_the_report_of_a_silent_vm_expires():
    clock = builders.Clock()
    loads = fleet_loads.FleetLoads(clock)
    loads.set_peer_loads('vm2', {'engine-1': LOAD})
    clock.advance(fleet_loads.PEER_REPORT_MAX_AGE_SECONDS + 0.1)
    assert loads.total_loads() == {}
