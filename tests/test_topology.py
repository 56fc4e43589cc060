"""Tests of which VMs exchange gossip."""

import dataclasses

from carobwood_daemon.membership import directory
from carobwood_daemon.membership import topology
import pytest

NOW = 1000.0


def _vm(name, data_centre, has_disk=False, **changes):
    vm = directory.Vm(
        name, data_centre, f'{name}:1', '', 1, has_disk, not has_disk, NOW
    )
    return dataclasses.replace(vm, **changes)


def _fleet(data_centres=3, cores=1, fronts=8):
    vms = []
    for place in range(data_centres):
        vms += [
            _vm(f'core-{place}-{n}', f'dc-{place}', True) for n in range(cores)
        ]
        vms += [
            _vm(f'front-{place}-{n}', f'dc-{place}') for n in range(fronts)
        ]
    return vms


def _silent(vms, is_silent):
    return [
        dataclasses.replace(vm, last_seen_at=0.0) if is_silent(vm) else vm
        for vm in vms
    ]


def _ids(vms):
    return {vm.id for vm in vms}


@pytest.mark.parametrize(('cores', 'expected'), [(1, 3), (2, 6), (5, 6)])
def test_each_data_centre_has_few_aggregators_with_a_disk(cores, expected):
    chosen = topology.aggregators(_fleet(cores=cores), NOW)
    assert len(chosen) == expected
    assert all(vm.has_disk for vm in chosen)


def test_all_vms_with_the_same_view_choose_the_same_aggregators():
    vms = _fleet(cores=5)
    assert _ids(topology.aggregators(vms, NOW)) == _ids(
        topology.aggregators(vms[::-1], NOW)
    )


def test_without_vms_with_a_disk_one_vm_of_each_data_centre_aggregates():
    vms = _silent(_fleet(), lambda vm: vm.has_disk)
    chosen = topology.aggregators(vms, NOW)
    assert sorted(vm.data_centre for vm in chosen) == ['dc-0', 'dc-1', 'dc-2']


def test_a_member_prefers_the_aggregators_of_its_data_centre():
    vms = _fleet(cores=2)
    own = next(vm for vm in vms if vm.id == 'front-1-0')
    addresses = topology.uplink_addresses(own, vms, (), NOW)
    assert {a.split(':')[0] for a in addresses[:2]} == {
        'core-1-0',
        'core-1-1',
    }


def test_members_are_spread_over_the_aggregators_of_a_data_centre():
    vms = _fleet(data_centres=1, cores=2, fronts=100)
    counts = {}
    for vm in vms:
        if not vm.has_disk:
            first = topology.uplink_addresses(vm, vms, (), NOW)[0]
            counts[first] = counts.get(first, 0) + 1
    assert len(counts) == 2
    assert min(counts.values()) >= 30


def test_an_isolated_member_asks_neighbours_before_all_silent_vms():
    vms = _silent(_fleet(data_centres=6), lambda vm: vm.id != 'front-1-0')
    own = next(vm for vm in vms if vm.id == 'front-1-0')
    addresses = topology.uplink_addresses(own, vms, ('seed:1',), NOW)
    neighbours = [a for a in addresses if a.startswith('front-1-')]
    assert len(neighbours) == topology.MAX_FALLBACK_VMS
    assert addresses.index(neighbours[0]) <= 1
    assert 'seed:1' in addresses


def test_a_vm_does_not_report_to_itself():
    vms = _fleet()
    for own in vms:
        addresses = topology.uplink_addresses(
            own, vms, (own.link_address,), NOW
        )
        assert own.link_address not in addresses


def test_aggregators_look_for_silent_vms_with_a_disk_and_unknown_seeds():
    vms = _silent(_fleet(), lambda vm: vm.id == 'core-2-0')
    own = vms[0]
    addresses = topology.mesh_addresses(
        own, vms, ('seed:1', 'core-1-0:1'), NOW
    )
    assert addresses == ['core-1-0:1', 'core-2-0:1', 'seed:1']


def test_a_vm_without_a_disk_that_knows_no_live_vm_looks_for_one():
    vms = _silent(_fleet(), lambda vm: vm.id != 'front-1-0')
    own = next(vm for vm in vms if vm.id == 'front-1-0')
    assert topology.is_aggregator(own, vms, NOW)
    assert not topology.needs_no_uplink(own, vms, NOW)


def test_a_vm_with_a_disk_that_knows_no_live_vm_waits_for_members():
    vms = _silent(_fleet(), lambda vm: vm.id != 'core-1-0')
    own = next(vm for vm in vms if vm.id == 'core-1-0')
    assert topology.needs_no_uplink(own, vms, NOW)
