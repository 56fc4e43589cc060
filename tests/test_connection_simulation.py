"""Replays of the connections of many VMs, beside those without shares.

Bounds: no connection beyond an endpoint's limit while the fleet is sound, and
under 20 in a surge of 2.4 times; at most 1.2 new connections for each request
that may not use an old one.
"""

import connection_simulation
import pytest

SURGE = 2.4
MAX_RESETS = 20
MAX_CONNECTIONS_PER_FRESH_REQUEST = 1.2
FLEETS = [(64, 45), (200, 90)]


def _sound_fleet(monkeypatch, vm_count, endpoint_count, shares=True):
    fleet = connection_simulation.Fleet(
        monkeypatch, vm_count, endpoint_count, shares
    )
    fleet.run(40.0)
    fleet.result = connection_simulation.Result()
    return fleet


@pytest.mark.parametrize(('vm_count', 'endpoint_count'), FLEETS)
def test_a_sound_fleet_makes_few_connections_and_none_is_reset(
    monkeypatch, vm_count, endpoint_count
):
    fleet = _sound_fleet(monkeypatch, vm_count, endpoint_count)
    fleet.run(10.0)
    assert fleet.resets == 0
    assert (
        fleet.result.connections_per_fresh_request
        <= MAX_CONNECTIONS_PER_FRESH_REQUEST
    )


@pytest.mark.parametrize(('vm_count', 'endpoint_count'), FLEETS)
def test_few_connections_are_reset_in_a_surge(
    monkeypatch, vm_count, endpoint_count
):
    fleet = _sound_fleet(monkeypatch, vm_count, endpoint_count)
    fleet.run(8.0, SURGE)
    assert fleet.resets < MAX_RESETS
    assert (
        fleet.result.connections_per_fresh_request
        <= MAX_CONNECTIONS_PER_FRESH_REQUEST
    )


@pytest.mark.parametrize(('vm_count', 'endpoint_count'), FLEETS)
def test_endpoints_that_go_dark_in_a_surge_fill_no_others(
    monkeypatch, vm_count, endpoint_count
):
    resets_by_shares = {}
    for shares in (False, True):
        fleet = _sound_fleet(monkeypatch, vm_count, endpoint_count, shares)
        for endpoint in fleet.endpoints[: endpoint_count // 4]:
            endpoint.is_dark = True
        fleet.run(8.0, SURGE)
        resets_by_shares[shares] = fleet.resets
    assert resets_by_shares[True] < MAX_RESETS
    assert resets_by_shares[False] > 100 * MAX_RESETS


def test_vms_that_start_in_a_surge_find_room(monkeypatch):
    fleet = _sound_fleet(monkeypatch, 64, 45)
    fleet.run(2.0, SURGE)
    for _ in range(32):
        fleet.start_vm()
    fleet.run(6.0, SURGE * 64 / 96)
    assert fleet.resets < MAX_RESETS
    assert fleet.result.waits == 0


def test_connections_of_vms_that_vanish_leave_room(monkeypatch):
    fleet = _sound_fleet(monkeypatch, 64, 45)
    fleet.run(2.0, SURGE)
    for _ in range(16):
        fleet.lose_vm()
    fleet.run(6.0, SURGE * 64 / 48)
    assert fleet.resets < MAX_RESETS


def test_an_endpoint_that_lowers_its_limit_is_left_alone(monkeypatch):
    fleet = _sound_fleet(monkeypatch, 64, 45)
    endpoint = fleet.endpoints[0]
    endpoint.limit = 10
    fleet.run(8.0)
    # Each VM learns it by a few resets, and then asks at most once in 2 s.
    assert endpoint.resets < 64 * 8
    assert fleet.resets == endpoint.resets
    endpoint.limit = connection_simulation.MAX_CONNECTIONS
    before = endpoint.resets
    fleet.run(10.0)
    assert endpoint.resets == before
    assert endpoint.in_flight > 0


def test_an_endpoint_that_resets_all_is_tried_now_and_then(monkeypatch):
    fleet = _sound_fleet(monkeypatch, 64, 45)
    endpoint = fleet.endpoints[0]
    endpoint.limit = 0
    fleet.run(20.0, SURGE)
    requests = 20.0 * SURGE * connection_simulation.REQUESTS_PER_VM * 64
    assert endpoint.resets < requests / 20
    assert fleet.resets == endpoint.resets
