"""Tests of control VMs that are cut off from the other control VMs only.

Entry VMs reach both sides, in simulated time. What the fleet knows has to
reach all of them, on whichever side the control VM of their data centre is.
"""

import dataclasses

from carobwood import errors
import gossip_fleet
import pytest
import relay_builders as builders
import simulated_usage

# Time after which VMs that reach the majority of the control VMs are counted
# on, although others are cut off.
CONTACT_SECONDS = 3.0
# Time in which no entry VM sends requests to an endpoint any more after it
# was told that its leaving is known.
DRAIN_SECONDS = 2.0
# Seconds in which a key that was withdrawn stops working.
WITHDRAWAL_SECONDS = 2.0
ONE = ('core-1',)
HALF = ('core-2', 'core-3')


def _fleet(monkeypatch, entry_vms=8):
    fleet = gossip_fleet.GossipFleet(monkeypatch, 4, entry_vms)
    fleet.run(4.0)
    return fleet


def _announce(fleet, vm_id='core-0', **changes):
    endpoint = builders.endpoint(last_seen_at=fleet.clock.now)
    endpoint = dataclasses.replace(endpoint, **changes)
    fleet.vms_by_id[vm_id].control.record_announcement(endpoint)
    return endpoint


def _serving_vm_ids(fleet):
    return {
        vm.own_vm.id
        for vm in fleet.entry_vms()
        if vm.directory.serving_endpoints()
    }


@pytest.mark.parametrize('entry_vms', [8, 60])
@pytest.mark.parametrize('separated', [ONE, HALF], ids=['one', 'half'])
def test_a_leaving_that_members_of_a_separated_control_vm_do_not_hear_of(
    monkeypatch, separated, entry_vms
):
    fleet = _fleet(monkeypatch, entry_vms)
    endpoint = _announce(fleet)
    fleet.run(2.0)
    assert len(_serving_vm_ids(fleet)) == entry_vms
    fleet.separate(*separated)
    fleet.run(CONTACT_SECONDS)
    _announce(fleet, leaving=True, sequence=endpoint.sequence + 1)
    fleet.run(DRAIN_SECONDS)
    assert not _serving_vm_ids(fleet)


# It is told by the VM that withdraws it to all that it takes for alive.
def test_a_withdrawn_key_that_members_of_a_separated_control_vm_accept(
    monkeypatch,
):
    fleet = _fleet(monkeypatch)
    fleet.separate(*ONE)
    fleet.run(CONTACT_SECONDS)
    core = fleet.vms_by_id['core-0']
    core.withdrawals.add({'digest-1'})
    core.gossip.confirm('digest-1', WITHDRAWAL_SECONDS)
    fleet.run(WITHDRAWAL_SECONDS)
    for vm in fleet.entry_vms():
        assert 'digest-1' in vm.withdrawals.digests


@pytest.mark.parametrize('load_factor', [1.7, 3.0, 6.0])
@pytest.mark.parametrize('separated', [ONE, HALF], ids=['one', 'half'])
def test_a_limit_that_each_side_of_a_separation_admits_by_itself(
    monkeypatch, separated, load_factor
):
    fleet = _fleet(monkeypatch, 24)
    usage = simulated_usage.SimulatedUsage(fleet, load_factor)
    fleet.run(10.0, usage.send)
    fleet.separate(*separated)
    fleet.run(14.0, usage.send)
    fleet.rejoin()
    fleet.run(10.0, usage.send)
    assert usage.worst_window() <= usage.bound


def _aggregators(fleet):
    return {
        vm.own_vm.id: vm.gossip._uplink._address for vm in fleet.entry_vms()
    }


def test_members_of_a_separated_control_vm_that_never_come_back(monkeypatch):
    fleet = _fleet(monkeypatch, 24)
    before = _aggregators(fleet)
    fleet.separate(*ONE)
    fleet.run(CONTACT_SECONDS)
    assert 'core-1:1' not in _aggregators(fleet).values()
    fleet.rejoin()
    fleet.run(2 * CONTACT_SECONDS)
    assert _aggregators(fleet) == before


def test_members_that_move_while_no_control_vm_has_contact(monkeypatch):
    fleet = _fleet(monkeypatch, 24)
    before = _aggregators(fleet)
    fleet.has_leader = False
    fleet.run(CONTACT_SECONDS)
    assert _aggregators(fleet) == before


def test_members_of_a_cut_off_data_centre_that_lose_each_other(monkeypatch):
    fleet = _fleet(monkeypatch, 24)
    before = _aggregators(fleet)
    fleet.cut('dc-1')
    fleet.separate(*ONE)
    for _ in range(20):
        fleet.run(0.5)
        assert _aggregators(fleet) == before


def test_members_that_move_to_a_control_vm_that_is_separated_too(monkeypatch):
    fleet = _fleet(monkeypatch, 24)
    fleet.separate(*HALF)
    fleet.run(CONTACT_SECONDS)
    assert set(_aggregators(fleet).values()) == {'core-0:1', 'core-1:1'}


@pytest.mark.parametrize('separated', [ONE, HALF], ids=['one', 'half'])
def test_usage_within_the_rate_that_is_refused_beside_a_separation(
    monkeypatch, separated
):
    fleet = _fleet(monkeypatch, 24)
    usage = simulated_usage.SimulatedUsage(fleet, 0.8)
    fleet.run(10.0, usage.send)
    fleet.separate(*separated)
    fleet.run(14.0, usage.send)
    fleet.rejoin()
    fleet.run(10.0, usage.send)
    assert not usage.refused


# The endpoint goes on announcing itself there, and nobody sends it requests.
@pytest.mark.parametrize('separated', [ONE, HALF], ids=['one', 'half'])
def test_an_announcement_that_only_a_separated_control_vm_hears(
    monkeypatch, separated
):
    fleet = _fleet(monkeypatch)
    fleet.separate(*separated)
    fleet.run(CONTACT_SECONDS)
    with pytest.raises(errors.AnnouncementUnheard):
        _announce(fleet, separated[0])
    _announce(fleet, 'core-0')
    fleet.run(1.0)
    assert len(_serving_vm_ids(fleet)) == len(fleet.entry_vms())


@pytest.mark.parametrize('separated', [ONE, HALF], ids=['one', 'half'])
@pytest.mark.parametrize('is_retired', [False, True])
def test_a_leaving_that_only_separated_control_vms_acknowledge(
    monkeypatch, separated, is_retired
):
    fleet = _fleet(monkeypatch)
    endpoint = _announce(fleet)
    fleet.run(2.0)
    fleet.separate(*separated)
    fleet.run(CONTACT_SECONDS)
    control = fleet.vms_by_id[separated[0]].control
    with pytest.raises(errors.CarobwoodError):
        if is_retired:
            control.retire_endpoint(endpoint.id)
        else:
            _announce(fleet, separated[0], leaving=True, sequence=9)


def test_announcements_that_are_refused_while_all_hear_them(monkeypatch):
    fleet = _fleet(monkeypatch)
    fleet.has_leader = False
    fleet.run(CONTACT_SECONDS)
    _announce(fleet, 'core-1')
    fleet.run(1.0)
    assert len(_serving_vm_ids(fleet)) == len(fleet.entry_vms())


def test_an_endpoint_of_a_cut_off_data_centre_that_its_vms_do_not_know(
    monkeypatch,
):
    fleet = _fleet(monkeypatch)
    fleet.cut('dc-1')
    fleet.separate(*ONE)
    fleet.run(CONTACT_SECONDS)
    with pytest.raises(errors.AnnouncementUnheard):
        _announce(fleet, 'core-1')
    fleet.run(1.0)
    near = {
        vm.own_vm.id
        for vm in fleet.entry_vms()
        if vm.own_vm.data_centre == 'dc-1'
    }
    assert _serving_vm_ids(fleet) == near
