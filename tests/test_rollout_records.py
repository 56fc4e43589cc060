"""Tests of the replicated records of rollouts."""

import msgspec

from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import state_machine
import pytest
import rollout_builders as builders

SERVICE = builders.SERVICE
Phase = fleet_state.RolloutPhase


def _apply(fleet, index, command):
    return fleet.apply(index, command)


def _started(version='v2', index=5):
    fleet, _ = _apply(
        fleet_state.FleetState(),
        index,
        commands.StartRollout(SERVICE, version, 10_000),
    )
    return fleet


def _ended(phase):
    fleet = _started()
    command = commands.AdvanceRollout(SERVICE, 5, phase.value, 'canary', 'why')
    fleet, _ = _apply(fleet, 6, command)
    return fleet


def test_an_order_starts_a_rollout_that_its_log_index_identifies():
    fleet, held = _apply(
        fleet_state.FleetState(),
        5,
        commands.StartRollout(SERVICE, 'v2', 10_000),
    )
    assert held == commands.RolloutHeld(5, 'v2', 'canary')
    record = fleet.rollouts_by_service[SERVICE]
    assert record == fleet_state.RolloutRecord(5, SERVICE, 'v2', 10_000)


@pytest.mark.parametrize(
    'fleet', [_started(), _ended(Phase.SUCCEEDED), _ended(Phase.ROLLED_BACK)]
)
def test_a_repeated_order_never_starts_a_second_rollout(fleet):
    before = fleet.rollouts_by_service
    fleet, held = _apply(
        fleet, 9, commands.StartRollout(SERVICE, 'v2', 20_000)
    )
    assert held.index == 5
    assert fleet.rollouts_by_service == before


def test_another_version_has_to_wait_for_the_end_of_a_rollout():
    order = commands.StartRollout(SERVICE, 'v3', 10_000)
    _, held = _apply(_started(), 9, order)
    assert held.target_version == 'v2'
    _, held = _apply(_ended(Phase.ROLLED_BACK), 9, order)
    assert held == commands.RolloutHeld(9, 'v3', 'canary')


def test_rollouts_of_several_services_run_beside_each_other():
    fleet, _ = _apply(
        _started(), 9, commands.StartRollout('orders', 'v7', 10_000)
    )
    assert set(fleet.rollouts_by_service) == {SERVICE, 'orders'}


def test_a_phase_changes_only_from_the_expected_one():
    fleet = _started()
    late = commands.AdvanceRollout(SERVICE, 5, 'settling', 'shifting', '')
    _, held = _apply(fleet, 6, late)
    assert held.phase == 'canary'
    other = commands.AdvanceRollout(SERVICE, 4, 'shifting', 'canary', '')
    _, held = _apply(fleet, 6, other)
    assert held.phase == 'canary'


@pytest.mark.parametrize('phase', [Phase.SUCCEEDED, Phase.ROLLED_BACK])
def test_an_ended_rollout_stays_as_it_is(phase):
    fleet = _ended(phase)
    for command in (
        commands.AdvanceRollout(SERVICE, 5, 'canary', phase.value, ''),
        commands.ReserveExposure(SERVICE, 5, 99),
    ):
        _, held = _apply(fleet, 9, command)
        assert (held.phase, held.reserved) == (phase.value, 0)
        assert held.reason == 'why'


def test_the_reserved_exposure_only_grows():
    fleet = _started()
    for total, expected in ((25, 25), (10, 25), (40, 40)):
        fleet, held = _apply(
            fleet, 7, commands.ReserveExposure(SERVICE, 5, total)
        )
        assert held.reserved == expected


def test_a_command_on_an_unknown_rollout_changes_nothing():
    fleet = fleet_state.FleetState()
    for command in (
        commands.AdvanceRollout(SERVICE, 5, 'canary', 'shifting', ''),
        commands.ReserveExposure(SERVICE, 5, 99),
    ):
        changed, held = _apply(fleet, 9, command)
        assert held == commands.RolloutHeld(0)
        assert changed.rollouts_by_service == {}


def test_a_phase_of_a_newer_build_is_kept():
    fleet = _started()
    record = msgspec.structs.replace(
        fleet.rollouts_by_service[SERVICE], phase='waiting'
    )
    machine = state_machine.StateMachine()
    machine.fleet = msgspec.structs.replace(
        fleet, rollouts_by_service={SERVICE: record}
    )
    restored = state_machine.StateMachine()
    restored.restore(machine.snapshot())
    assert restored.fleet.rollouts_by_service == {SERVICE: record}
    assert not record.has_ended
