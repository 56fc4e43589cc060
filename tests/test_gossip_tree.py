"""Tests of gossip over aggregators, in simulated time.

Load pattern: hundreds of VMs that come, go, freeze and are cut off, while
the cost of each must not grow with their number.
"""

import dataclasses

from carobwood_daemon.membership import directory
from carobwood_daemon.membership import gossip
from carobwood_daemon.membership import topology
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import quota
from carobwood_daemon.routing import prefix
import gossip_fleet
import pytest
import relay_builders as builders

# Time in which news reaches all VMs: from a member to its aggregator, from
# there to the others, and to their members.
SPREAD_SECONDS = 2.0
# Time in which members of a lost aggregator have found another one.
FAILOVER_SECONDS = directory.VM_SILENCE_SECONDS + SPREAD_SECONDS


def _fleet(monkeypatch, entry_vms, data_centres=6, **options):
    fleet = gossip_fleet.GossipFleet(
        monkeypatch, data_centres, entry_vms, **options
    )
    fleet.run(4.0)
    return fleet


@pytest.mark.parametrize('entry_vms', [8, 194])
def test_all_vms_learn_of_all_others(monkeypatch, entry_vms):
    fleet = _fleet(monkeypatch, entry_vms)
    everyone = set(fleet.vms_by_id)
    for vm in fleet.vms_by_id.values():
        assert vm.live_ids(fleet.clock.now) == everyone


def test_the_traffic_of_an_idle_vm_does_not_grow_with_the_fleet(monkeypatch):
    sent = {}
    for entry_vms in (30, 194):
        fleet = _fleet(monkeypatch, entry_vms)
        fleet.run(2.0)
        for vm in fleet.vms_by_id.values():
            vm.calls = vm.sent_bytes = 0
        fleet.run(10.0)
        assert max(vm.calls for vm in fleet.entry_vms()) <= 10 / 0.1 + 1
        sent[entry_vms] = max(vm.sent_bytes for vm in fleet.entry_vms())
    assert sent[194] <= 1.3 * sent[30]


def test_an_entry_vm_calls_one_aggregator_of_its_data_centre(monkeypatch):
    fleet = _fleet(monkeypatch, 60)
    for vm in fleet.entry_vms():
        assert not vm.peers
        aggregator = fleet.vms_by_id[vm.gossip._uplink._address.split(':')[0]]
        assert aggregator.own_vm.data_centre == vm.own_vm.data_centre


def test_an_announcement_reaches_all_vms_and_its_end_too(monkeypatch):
    fleet = _fleet(monkeypatch, 60)
    engine = builders.endpoint('engine-1')
    fleet.vms_by_id['core-1'].directory.merge_endpoint(engine, True)
    fleet.run(SPREAD_SECONDS)
    leaving = dataclasses.replace(engine, sequence=2, leaving=True)
    for vm in fleet.vms_by_id.values():
        assert vm.directory.find_endpoint('engine-1')
    fleet.vms_by_id['core-4'].directory.merge_endpoint(leaving, True)
    fleet.run(SPREAD_SECONDS)
    for vm in fleet.vms_by_id.values():
        assert vm.directory.find_endpoint('engine-1').leaving


def test_an_endpoint_that_goes_on_announcing_is_silent_nowhere(monkeypatch):
    fleet = _fleet(monkeypatch, 12)
    engine = builders.endpoint('engine-1')
    core = fleet.vms_by_id['core-1']

    def announce():
        sequence = int(10 * fleet.clock.now)
        core.directory.merge_endpoint(
            dataclasses.replace(
                engine, sequence=sequence, last_seen_at=fleet.clock.now
            ),
            True,
        )

    fleet.run(8.0, announce)
    for vm in fleet.vms_by_id.values():
        assert not vm.directory.silent_endpoints()
    fleet.run(10.0)
    for vm in fleet.vms_by_id.values():
        assert vm.directory.silent_endpoints()


def _announce(fleet, vm_id):
    """Have an endpoint announce itself to a VM at the simulated time."""
    fleet.vms_by_id[vm_id].directory.merge_endpoint(
        builders.endpoint(
            'engine-1',
            sequence=int(10 * fleet.clock.now),
            last_seen_at=fleet.clock.now,
        ),
        True,
    )


def _is_silent_somewhere(fleet):
    vms = fleet.vms_by_id.values()
    return any(vm.directory.silent_endpoints() for vm in vms)


# Members of the other aggregators probed it, and might drop it for good.
def test_an_endpoint_that_announces_to_a_member_is_silent_nowhere(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 12)
    for number in (6, 12, 18):
        fleet.start(f'core-{number}')
    fleet.run(FAILOVER_SECONDS)
    members = [vm for vm in fleet.core_vms() if not vm.peers]
    member_id = members[0].own_vm.id
    silent_steps = []

    def announce():
        if int(fleet.clock.now / gossip_fleet.STEP_SECONDS) % 20 == 0:
            _announce(fleet, member_id)
        silent_steps.append(_is_silent_somewhere(fleet))

    fleet.run(20.0, announce)
    assert not any(silent_steps)
    fleet.run(10.0)
    for vm in fleet.vms_by_id.values():
        assert vm.directory.silent_endpoints()


def test_strikes_and_withdrawals_reach_all_vms(monkeypatch):
    fleet = _fleet(monkeypatch, 60)
    first, second = fleet.entry_vms()[:2]
    first.crash_suspects.merge({('f1', 'engine-1/1'): fleet.clock.now})
    second.withdrawals.add({'digest-1'})
    fleet.run(SPREAD_SECONDS)
    for vm in fleet.vms_by_id.values():
        assert ('f1', 'engine-1/1') in vm.crash_suspects.strikes()
        assert 'digest-1' in vm.withdrawals.digests


def test_a_cached_prefix_becomes_known_to_all_vms_and_is_sent_once(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 60)
    engine = builders.endpoint('engine-1')
    blocks = (b'a' * prefix.DIGEST_BYTES, b'b' * prefix.DIGEST_BYTES)
    fleet.entry_vms()[7].prefix_cache_index.record_use(engine, blocks)
    fleet.run(SPREAD_SECONDS)
    for vm in fleet.vms_by_id.values():
        index = vm.prefix_cache_index
        assert index.count_cached_blocks(engine, blocks) == 2
        assert len(index.log.read(0).records) == 1


def test_members_of_a_lost_aggregator_move_to_others(monkeypatch):
    fleet = _fleet(monkeypatch, 60)
    fleet.stop('core-2')
    fleet.run(FAILOVER_SECONDS)
    remaining = set(fleet.vms_by_id)
    for vm in fleet.vms_by_id.values():
        assert vm.live_ids(fleet.clock.now) == remaining
    fleet.start('core-2')
    fleet.run(2 * FAILOVER_SECONDS)
    for vm in fleet.entry_vms():
        if vm.own_vm.data_centre == 'dc-2':
            assert vm.gossip._uplink._address == 'core-2:1'


def test_a_frozen_aggregator_is_left_and_does_not_bring_back_old_sums(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 60)
    near = [vm for vm in fleet.entry_vms() if vm.own_vm.data_centre == 'dc-2']
    near[0].loads.reserve('engine-1', fleet_loads.Load(5))
    fleet.run(SPREAD_SECONDS)
    fleet.frozen_ids.add('core-2')
    near[0].loads.subtract('engine-1', fleet_loads.Load(5))
    fleet.run(FAILOVER_SECONDS)
    fleet.frozen_ids.discard('core-2')
    fleet.run(0.2)
    for vm in fleet.entry_vms():
        assert 'engine-1' not in vm.loads.total_loads()


def test_a_data_centre_that_is_cut_off_without_its_control_vm_goes_on(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 60)
    fleet.stop('core-2')
    fleet.cut('dc-2')
    fleet.run(12.0)
    near = [vm for vm in fleet.entry_vms() if vm.own_vm.data_centre == 'dc-2']
    near_ids = {vm.own_vm.id for vm in near}
    for vm in near:
        assert vm.live_ids(fleet.clock.now) == near_ids
    near[0].loads.reserve('engine-1', fleet_loads.Load(3))
    fleet.run(SPREAD_SECONDS)
    for vm in near:
        assert vm.loads.total_loads()['engine-1'].running == 3
    fleet.heal('dc-2')
    fleet.run(12.0)
    remaining = set(fleet.vms_by_id)
    for vm in fleet.vms_by_id.values():
        assert vm.live_ids(fleet.clock.now) == remaining


def test_a_data_centre_that_is_cut_off_takes_the_others_for_silent(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 24)
    fleet.cut('dc-3')
    fleet.run(6.0)
    cut_ids = {
        vm_id
        for vm_id, vm in fleet.vms_by_id.items()
        if vm.own_vm.data_centre == 'dc-3'
    }
    for vm_id, vm in fleet.vms_by_id.items():
        expected = (
            cut_ids if vm_id in cut_ids else (set(fleet.vms_by_id) - cut_ids)
        )
        assert vm.live_ids(fleet.clock.now) == expected


@pytest.mark.parametrize('entry_vms', [8, 194])
def test_each_load_is_counted_once_by_every_vm(monkeypatch, entry_vms):
    fleet = _fleet(monkeypatch, entry_vms)
    for vm in fleet.entry_vms():
        vm.loads.reserve('engine-1', fleet_loads.Load(1, 100))
    fleet.run(SPREAD_SECONDS)
    for vm in fleet.vms_by_id.values():
        assert vm.loads.total_loads()['engine-1'].running == entry_vms


def test_a_load_is_counted_once_again_soon_after_its_vm_has_moved(monkeypatch):
    fleet = _fleet(monkeypatch, 24)
    for vm in fleet.entry_vms():
        vm.loads.reserve('engine-1', fleet_loads.Load(1))
    fleet.run(SPREAD_SECONDS)
    fleet.stop('core-2')
    fleet.run(FAILOVER_SECONDS)
    for vm in fleet.vms_by_id.values():
        assert vm.loads.total_loads()['engine-1'].running == 24


def _admit(vm, units):
    verdict = vm.quota.admit('bole', units).verdict
    return verdict is not quota.Verdict.REFUSED


def test_a_restarted_vm_admits_once_its_aggregator_has_told_it_the_usage(
    monkeypatch,
):
    fleet = _fleet(monkeypatch, 4)
    fleet.is_first_start = False
    vm = fleet.start('front-0')
    assert vm.quota.admit('bole', 1).awaits_usage
    vm.gossip._uplink.exchange()
    assert vm.quota.admit('bole', 1).verdict is quota.Verdict.WITHIN_RATE


def test_usage_is_counted_once_while_aggregators_are_lost(monkeypatch):
    # The customer stays below its rate, so all of it must be admitted.
    fleet = _fleet(monkeypatch, 60)
    refused = []
    turn = iter(range(10**6))

    def send():
        vms = fleet.entry_vms()
        vm = vms[next(turn) % len(vms)]
        if not _admit(vm, 40):
            refused.append(fleet.clock.now)

    # 40 units in each step are 800 a second, of a rate of 1000.
    fleet.run(6.0, send)
    fleet.stop('core-1')
    fleet.run(6.0, send)
    fleet.start('core-1')
    fleet.stop('core-4')
    fleet.run(6.0, send)
    assert refused == []


@pytest.mark.parametrize('load_factor', [1.7, 3.0, 6.0])
def test_the_limit_holds_while_aggregators_are_lost(monkeypatch, load_factor):
    fleet = _fleet(monkeypatch, 60)
    admitted = []
    turn = iter(range(10**6))

    def send():
        vms = fleet.entry_vms()
        for _ in range(round(load_factor * 10)):
            vm = vms[(7 * next(turn)) % len(vms)]
            if _admit(vm, 5):
                admitted.append((fleet.clock.now, 5))

    fleet.run(10.0, send)
    fleet.stop('core-1')
    fleet.run(10.0, send)
    fleet.start('core-1')
    fleet.run(5.0, send)
    bound = (1000 * 8 + 1000) * 1.1 + 1000
    worst = max(
        sum(units for at, units in admitted if end - 8.0 < at <= end)
        for end, _ in admitted[::20]
    )
    assert worst <= bound


def test_a_vm_that_is_no_aggregator_sends_members_away(monkeypatch):
    fleet = _fleet(monkeypatch, 12)
    member = fleet.entry_vms()[0]
    other = fleet.entry_vms()[1]
    message, _ = member.gossip.make_message(
        gossip_fleet.ttypes.SenderRole.MEMBER, None
    )
    reply = other.gossip.receive(message)
    assert not reply.accepted
    assert reply.records.vms
    assert reply.loads is None


def test_a_record_is_confirmed_by_every_live_vm(monkeypatch):
    fleet = _fleet(monkeypatch, 12)
    fleet.stop('front-3')
    first = fleet.entry_vms()[0]
    first.withdrawals.add({'digest-1'})
    confirmed = first.gossip.confirm('digest-1', 10)
    assert confirmed == {
        vm.address for vm in fleet.vms_by_id.values() if vm is not first
    }
    for vm in fleet.vms_by_id.values():
        assert 'digest-1' in vm.withdrawals.digests


def test_data_centres_have_few_aggregators(monkeypatch):
    fleet = _fleet(monkeypatch, 12)
    now = fleet.clock.now
    vm = fleet.entry_vms()[0]
    disks = [
        dataclasses.replace(v, has_disk=True, last_seen_at=now)
        for v in vm.directory.vms()
    ]
    chosen = topology.aggregators(disks, now)
    limit = topology.MAX_AGGREGATORS_PER_DATA_CENTRE
    assert len(chosen) == 6 * limit
    assert gossip.MIN_PERIOD_SECONDS < gossip.MAX_PERIOD_SECONDS
