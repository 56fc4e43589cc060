"""Replays of whole rollouts, from the order to their end."""

import os

from carobwood_daemon.replication import commands
import owner_simulation
import pytest
import rollout_builders as builders

Fault = owner_simulation.Fault
# More seeds are drawn by hand: ROLLOUT_SEEDS=200.
SEEDS = range(int(os.environ.get('ROLLOUT_SEEDS', '10')))
RAMP_SECONDS = 10.0
# Time since the order over which the exposure is a share of all requests.
DEADLINE_SECONDS = 20.0
GOOD_PHASES = ['canary', 'shifting', 'settling', 'succeeded']
BAD_KINDS = {
    'failing': Fault(failure_share=0.2),
    'failing-often': Fault(failure_share=0.5),
    'slow': Fault(factor=3.0),
    'very-slow': Fault(factor=8.0),
    'failing-later': Fault(failure_share=0.3, after=7.0),
    'slow-later': Fault(factor=4.0, after=7.0),
    'slow-when-most-has-moved': Fault(factor=4.0, after=9.0),
    'failing-under-load': Fault(failure_share=0.3, from_rate=60.0),
    'failing-under-much-load': Fault(failure_share=0.3, from_rate=100.0),
    'failing-and-slow': Fault(failure_share=0.2, factor=3.0),
}


def _run_to_the_end(simulation, seconds=60.0):
    simulation.run(seconds)
    assert simulation.record.has_ended
    return simulation.record.phase


@pytest.mark.parametrize('seed', SEEDS)
def test_a_sound_version_gets_all_requests(seed):
    simulation = owner_simulation.Simulation(seed)
    assert _run_to_the_end(simulation) == 'succeeded', simulation.record
    assert simulation.phases == GOOD_PHASES
    began_at = simulation.clock.now - 1000.0
    assert began_at <= RAMP_SECONDS + 4.0


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('fault', BAD_KINDS.values(), ids=BAD_KINDS)
def test_a_bad_version_goes_back_within_its_exposure(seed, fault):
    simulation = owner_simulation.Simulation(seed, fault=fault)
    assert _run_to_the_end(simulation) == 'rolled-back'
    # VMs learn of it, and grants run out.
    _play(simulation, 1.0)
    exposed = simulation.exposed
    while simulation.clock.now < 1000.0 + DEADLINE_SECONDS:
        simulation.step()
    assert simulation.exposed == exposed
    assert exposed <= 0.1 * simulation.sent + 50


@pytest.mark.parametrize('count', [8, 75, 200])
def test_a_canary_stays_within_its_exposure(count):
    simulation = owner_simulation.Simulation(2, vm_count=count)

    def check():
        if simulation.record.phase == 'canary':
            assert simulation.exposed <= 0.1 * simulation.sent + 50

    simulation.run(60.0, check)
    assert simulation.record.phase == 'succeeded'


@pytest.mark.parametrize('phase', GOOD_PHASES[:3])
def test_a_new_leader_goes_on_from_each_phase(phase):
    simulation = owner_simulation.Simulation(3)
    simulation.run(60.0, lambda: _elect_once_in(simulation, phase))
    assert simulation.record.phase == 'succeeded'
    assert simulation.phases == GOOD_PHASES
    assert simulation.term == 2


@pytest.mark.parametrize('phase', GOOD_PHASES[:2])
def test_a_new_leader_rolls_a_bad_version_back(phase):
    fault = Fault(failure_share=0.3, after=2.0 if phase == 'canary' else 7.0)
    simulation = owner_simulation.Simulation(4, fault=fault)
    simulation.run(60.0, lambda: _elect_once_in(simulation, phase))
    assert simulation.record.phase == 'rolled-back'


def test_changes_of_leader_keep_the_exposure():
    simulation = owner_simulation.Simulation(5)
    for _ in range(12):
        simulation.run(0.9)
        simulation.elect()
        assert simulation.record.phase == 'canary'
        assert simulation.exposed <= 0.1 * simulation.sent + 50


def test_a_deposed_leader_grants_nothing():
    simulation = owner_simulation.Simulation(6)
    simulation.run(2.0)
    former = simulation.owner
    simulation.elect()
    simulation.owner, current = former, simulation.owner
    simulation.run(2.0)
    before = simulation.exposed
    simulation.run(5.0)
    assert simulation.exposed == before
    assert simulation.record.phase == 'canary'
    simulation.owner = current
    assert _run_to_the_end(simulation) == 'succeeded'


def test_a_leader_that_loses_its_lease_for_a_moment_goes_on():
    simulation = owner_simulation.Simulation(7)
    simulation.run(4.0)
    simulation.has_quorum = False
    simulation.run(1.0)
    simulation.has_quorum = True
    assert _run_to_the_end(simulation) == 'succeeded'
    assert simulation.clock.now - 1000.0 <= RAMP_SECONDS + 5.0


def test_a_vm_that_is_cut_off_gets_no_further_requests_to_the_target():
    simulation = owner_simulation.Simulation(8)
    simulation.run(3.0)
    lost = simulation.vms[0]
    lost.is_cut_off = True
    simulation.run(1.5)
    before = lost.exposed
    assert _run_to_the_end(simulation) == 'succeeded'
    assert lost.exposed == before


def test_a_rollout_without_endpoints_goes_back_and_keeps_callers_served():
    simulation = owner_simulation.Simulation(9)
    target = simulation.directory.find_endpoint('engine-v2')
    simulation.directory.drop_endpoint(target)
    assert _run_to_the_end(simulation) == 'rolled-back'
    assert 'no endpoint' in simulation.record.reason


def test_a_rollout_whose_endpoints_vanish_goes_back():
    simulation = owner_simulation.Simulation(10)

    def drop():
        if simulation.record.phase == 'shifting':
            target = simulation.directory.find_endpoint('engine-v2')
            if target is not None:
                simulation.directory.drop_endpoint(target)

    simulation.run(60.0, drop)
    assert simulation.phases == ['canary', 'shifting', 'rolled-back']


def test_a_service_with_hardly_any_requests_gets_to_its_end():
    simulation = owner_simulation.Simulation(11, rate=0.5)
    assert _run_to_the_end(simulation) == 'succeeded'


def test_a_rollout_that_operators_cancel_ends():
    simulation = owner_simulation.Simulation(12)
    simulation.run(3.0)
    cancel = commands.AdvanceRollout(
        builders.SERVICE,
        simulation.record.index,
        'rolled-back',
        'canary',
        'cancelled',
    )
    simulation.commit(commands.encode(cancel))
    _play(simulation, 1.0)
    before = simulation.exposed
    _play(simulation, 2.0)
    assert simulation.exposed == before
    assert simulation.record.reason == 'cancelled'


def _play(simulation, seconds):
    """Play some seconds, also of a rollout that has ended."""
    for _ in range(round(seconds / owner_simulation.TICK_SECONDS)):
        simulation.step()


def _elect_once_in(simulation, phase):
    if simulation.record.phase == phase and simulation.term == 1:
        # In the midst of the phase.
        if simulation.random.random() < 0.05:
            simulation.elect()
