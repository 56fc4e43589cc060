"""Tests of VMs without a disk that some VMs have forgotten and others not.

In simulated time.
"""

from carobwood_daemon.membership import directory
import gossip_fleet
import pytest

# Time in which news reaches all VMs.
SPREAD_SECONDS = 8.0
# Around the moment from which on VMs forget one that is silent; they begin to
# count it as silent at different times.
SILENCES = [directory.VM_FORGET_SECONDS + n / 2 for n in range(-2, 9)]


def _fleet(monkeypatch, data_centres=3):
    fleet = gossip_fleet.GossipFleet(monkeypatch, data_centres, 6)
    fleet.run(4.0)
    return fleet


def _assert_all_know_all(fleet):
    fleet.run(SPREAD_SECONDS)
    known_by_id = {
        vm_id: vm.live_ids(fleet.clock.now)
        for vm_id, vm in fleet.vms_by_id.items()
    }
    everyone = set(fleet.vms_by_id)
    assert known_by_id == dict.fromkeys(everyone, everyone)


# After two minutes without each other, data centres counted the entry VMs of
# the other ones as gone for good, so that shares were computed for too few.
@pytest.mark.parametrize('silence', [*SILENCES, 200.0])
def test_vms_of_a_data_centre_that_was_cut_off_for_long_are_known_again(
    monkeypatch, silence
):
    fleet = _fleet(monkeypatch)
    fleet.cut('dc-1')
    fleet.run(silence)
    fleet.heal('dc-1')
    _assert_all_know_all(fleet)


# A VM that came back just as it was being forgotten stayed unknown to those
# that had forgotten it before its aggregator did.
@pytest.mark.parametrize('silence', SILENCES)
def test_a_vm_that_comes_back_as_others_forget_it_is_known_again(
    monkeypatch, silence
):
    fleet = _fleet(monkeypatch)
    fleet.frozen_ids.add('front-1')
    fleet.run(silence)
    fleet.frozen_ids.clear()
    _assert_all_know_all(fleet)


# An entry VM that had not run for long forgot all others, and its aggregator
# had nothing new to tell.
@pytest.mark.parametrize('data_centres', [1, 3])
def test_a_vm_that_was_frozen_for_long_knows_the_others(
    monkeypatch, data_centres
):
    fleet = _fleet(monkeypatch, data_centres)
    fleet.frozen_ids.add('front-0')
    fleet.run(2 * directory.VM_FORGET_SECONDS)
    fleet.frozen_ids.clear()
    _assert_all_know_all(fleet)


# The same for a control VM, whose members had moved to others.
def test_a_control_vm_that_was_frozen_for_long_knows_the_others(monkeypatch):
    fleet = _fleet(monkeypatch)
    fleet.frozen_ids.add('core-1')
    fleet.run(2 * directory.VM_FORGET_SECONDS)
    fleet.frozen_ids.clear()
    _assert_all_know_all(fleet)


def test_a_vm_that_is_gone_is_forgotten_by_all(monkeypatch):
    fleet = _fleet(monkeypatch)
    fleet.stop('front-1')
    fleet.run(2 * directory.VM_FORGET_SECONDS)
    assert not [
        vm
        for vm in fleet.vms_by_id.values()
        if vm.directory.find_vm('front-1') is not None
    ]
