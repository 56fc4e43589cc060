"""Tests of founding a fleet, replacing its voters and its state."""

import relay_test_fleet

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replica as replicas
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
from carobwood_daemon.replication import timing
import pytest

MEMBERS = tuple(
    commands.Member(f'r{number}', f'vm{number}', f'10.0.0.{number}:1')
    for number in range(4)
)


def _replica(number=0):
    replica = replicas.Replica(
        data_folder.Identity(f'r{number}', 'fleet'),
        f'vm{number}',
        f'10.0.0.{number}:1',
        logs.MemoryLog(),
        stable_store.MemoryStableStore(),
        timing.Timing(),
    )
    # Without recent contact to a leader, the replica may vote at once.
    replica.leader_contact_at = -100.0
    return replica


def _vote_request(target):
    return ttypes.VoteRequest('fleet', 5, 'r9', 100, 4, False, False, target)


def test_vote_request_for_another_replica_is_refused():
    replica = _replica()
    assert replica.requests.handle_vote(_vote_request('r0')).granted
    with pytest.raises(errors.LinkRefused):
        # The request is for the replica that the VM ran before it lost
        # its disk.
        replica.requests.handle_vote(_vote_request('r0-of-the-lost-disk'))


def test_append_request_for_another_replica_is_refused():
    entry = ttypes.LogEntry(1, 1, commands.encode(commands.NoOperation()))
    request = ttypes.AppendRequest(
        'fleet', 1, 'r9', '10.0.0.9:1', 0, 0, [entry], 0, 'another'
    )
    replica = _replica()
    with pytest.raises(errors.LinkRefused):
        replica.requests.handle_append(request)
    assert replica.log.last.index == 0


def _start_fleet(folder, **options):
    return relay_test_fleet.RelayFleet(folder, **options)


def _put_configuration(fleet, version, number=0):
    body = relay_test_fleet.builders.configuration_body(version)
    return fleet.control('PUT', '/v1/config', body, number)


def test_all_seeds_found_the_same_fleet(tmp_path):
    fleet = _start_fleet(tmp_path, control_vm_count=3, entry_vm_count=0)
    try:
        assert _put_configuration(fleet, 1).status == 200
        ids = {vm.replica_runner.fleet_id for vm in fleet.vms}
        assert len(ids) == 1 and '' not in ids
    finally:
        fleet.stop()


def test_a_fleet_forms_while_a_seed_is_missing(tmp_path):
    fleet = _start_fleet(
        tmp_path, control_vm_count=3, entry_vm_count=0, absent_control_vms=(0,)
    )
    try:
        assert _put_configuration(fleet, 1, number=1).status == 200
        assert _put_configuration(fleet, 2, number=2).status == 200
    finally:
        fleet.stop()


def test_a_voter_that_lost_its_disk_is_replaced(tmp_path):
    fleet = _start_fleet(tmp_path, control_vm_count=3, entry_vm_count=0)
    try:
        assert _put_configuration(fleet, 1).status == 200
        fleet.restart_empty(2)
        own_id = fleet.vms[2].replica_runner.member.replica_id

        def voters():
            for vm in fleet.vms:
                if (
                    vm.replica_runner.is_running
                    and vm.replica_runner.replica.is_leader
                ):
                    return vm.replica_runner.replica.membership
            return None

        relay_test_fleet.await_reply(
            voters,
            lambda found: (
                found is not None
                and len(found.voters) == 3
                and found.is_voter(own_id)
            ),
        )
        # The fleet tolerates the failure of one voter again.
        fleet.vms.pop(0).stop()
        assert _put_configuration(fleet, 2, number=1).status == 200
    finally:
        fleet.stop()


def test_configuration_with_the_highest_version_stays_in_force():
    fleet = fleet_state.FleetState()
    for index, version in enumerate((3, 7, 5, 7), start=1):
        command = commands.PutConfiguration(version, b'%d' % index)
        fleet, _ = fleet.apply(index, command)
    assert fleet.configuration == commands.ConfigurationHeld(7, b'2')


def test_highest_version_of_the_weights_is_kept():
    fleet = fleet_state.FleetState()
    for index, version in enumerate((2, 4, 3), start=1):
        fleet, _ = fleet.apply(index, commands.NameWeights('m', version))
    assert fleet.weights_by_model == {'m': 4}


def test_reading_the_configuration_does_not_change_the_fleet_state():
    state = state_machine.StateMachine()
    put = commands.PutConfiguration(3, b'x')
    state.apply(logs.Entry(1, 1, b''), put)
    read = commands.ReadConfiguration()
    result = state.apply(logs.Entry(2, 1, b''), read)
    assert result == commands.ConfigurationHeld(3, b'x')
    assert state.fleet.version == 1
    assert not state_machine.is_fleet_command(read)


def test_snapshot_of_the_fleet_state_includes_the_configuration():
    fleet, _ = fleet_state.FleetState().apply(
        4, commands.PutConfiguration(3, b'x')
    )
    source = state_store.StateStore()
    source.update(fleet, ())
    follower = state_store.StateStore()
    follower.update_by_snapshot(source.snapshot())
    assert follower.fleet.configuration.version == 3
