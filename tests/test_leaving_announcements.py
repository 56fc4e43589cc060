"""Tests of the acknowledgement that an endpoint is leaving.

An endpoint stops telling anyone once a control VM has acknowledged that it
leaves, so from then on the fleet must know.
"""

import dataclasses

from carobwood import errors
import gossip_fleet
import pytest
import relay_builders as builders

# Time in which no entry VM sends requests to an endpoint any more after it
# was told that its leaving is known.
DRAIN_SECONDS = 2.0
FIRST = 'core-0'


def _stop(fleet):
    fleet.stop(FIRST)


def _freeze(fleet):
    fleet.frozen_ids.add(FIRST)


def _cut(fleet):
    fleet.cut('dc-0')


def _fleet_with_endpoint(monkeypatch, entry_vms=8, data_centres=4):
    """Return a fleet that knows of an endpoint, and the endpoint."""
    fleet = gossip_fleet.GossipFleet(monkeypatch, data_centres, entry_vms)
    fleet.run(4.0)
    endpoint = builders.endpoint(last_seen_at=fleet.clock.now)
    fleet.vms_by_id[FIRST].control.record_announcement(endpoint)
    fleet.run(2.0)
    assert all(
        vm.directory.serving_endpoints() for vm in fleet.vms_by_id.values()
    )
    return fleet, endpoint


def _leaving(endpoint):
    return dataclasses.replace(
        endpoint, leaving=True, sequence=endpoint.sequence + 1
    )


def _serving_vm_ids(fleet, endpoint, data_centre=None):
    """Return the ids of the entry VMs that would send it requests."""
    return {
        vm.own_vm.id
        for vm in fleet.entry_vms()
        if vm.own_vm.data_centre != data_centre
        and endpoint.id in {e.id for e in vm.directory.serving_endpoints()}
    }


@pytest.mark.parametrize('entry_vms', [8, 60])
@pytest.mark.parametrize('lose', [_stop, _freeze, _cut])
def test_an_acknowledged_leaving_outlives_its_control_vm(
    monkeypatch, lose, entry_vms
):
    fleet, endpoint = _fleet_with_endpoint(monkeypatch, entry_vms)
    fleet.vms_by_id[FIRST].control.record_announcement(_leaving(endpoint))
    lose(fleet)
    fleet.run(DRAIN_SECONDS)
    lost = 'dc-0' if lose is _cut else None
    assert not _serving_vm_ids(fleet, endpoint, lost)


def test_an_acknowledged_end_outlives_its_control_vm(monkeypatch):
    fleet, endpoint = _fleet_with_endpoint(monkeypatch)
    fleet.vms_by_id[FIRST].control.retire_endpoint(endpoint.id)
    fleet.stop(FIRST)
    fleet.run(DRAIN_SECONDS)
    assert not _serving_vm_ids(fleet, endpoint)


def test_a_leaving_that_no_other_control_vm_learns_of_is_not_acknowledged(
    monkeypatch,
):
    fleet, endpoint = _fleet_with_endpoint(monkeypatch)
    fleet.cut('dc-0')
    with pytest.raises(errors.CarobwoodError):
        fleet.vms_by_id[FIRST].control.record_announcement(_leaving(endpoint))


def test_the_end_of_an_unknown_endpoint_is_not_acknowledged(monkeypatch):
    fleet, endpoint = _fleet_with_endpoint(monkeypatch)
    restarted = fleet.start(FIRST)
    with pytest.raises(errors.CarobwoodError):
        restarted.control.retire_endpoint(endpoint.id)
