"""Replays of rollouts in fleets with faults, without a network.

``ROLLOUT_SEEDS=200`` runs more seeds than CI does.
"""

import itertools
import os
import random

import pytest
import rollout_simulation as simulation
import version_builders as builders

SEEDS = range(int(os.environ.get('ROLLOUT_SEEDS', '10')))
VM_COUNTS = (8, 75, 200)
# Bounds that callers of a bad version are promised.
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
ROLLBACK_SECONDS = 5.0
# A fleet whose parts all work.
NO_FAULTS = simulation.Faults()
# All cases of badness, alone and in pairs.
CASES = tuple(
    itertools.chain(
        itertools.combinations(simulation.BAD_KINDS, 1),
        itertools.combinations(simulation.BAD_KINDS, 2),
    )
)


def _faults(seed):
    """Return the faults of a seed."""
    rng = random.Random(f'faults-{seed}')
    return simulation.Faults(
        loss=rng.choice((0.0, 0.05, 0.2)),
        delay=rng.choice((0.02, 0.2, 0.5)),
        cut_share=rng.choice((0.0, 0.1, 0.3)),
        frozen_share=rng.choice((0.0, 0.1, 0.2)),
        owner_losses=rng.choice(((), (3.0,), (8.0,), (4.0, 9.0))),
    )


def _run(vm_count, kinds, faults, seed):
    badness = tuple(simulation.BAD_KINDS[kind] for kind in kinds)
    return simulation.RolloutSimulation(vm_count, badness, faults, seed).run()


def _check_bad(result):
    """Check the promises about a bad version."""
    assert result.phase is not builders.Phase.SUCCEEDED
    allowed = EXPOSURE_SHARE * result.sent + EXPOSURE_SLACK
    assert result.exposed <= allowed
    assert result.untouched_sent == 0
    assert result.refused == 0
    if result.known_bad_at is not None:
        latest = result.known_bad_at + ROLLBACK_SECONDS
        assert result.last_sent_at <= latest


@pytest.mark.parametrize('vm_count', VM_COUNTS)
@pytest.mark.parametrize('kinds', CASES, ids='+'.join)
def test_a_bad_version_is_rolled_back_within_its_bounds(kinds, vm_count):
    result = _run(vm_count, kinds, NO_FAULTS, 1)
    assert result.phase is builders.Phase.ROLLED_BACK
    _check_bad(result)


@pytest.mark.parametrize('vm_count', VM_COUNTS)
@pytest.mark.parametrize('seed', SEEDS)
def test_the_bounds_hold_beside_faults_of_the_fleet(seed, vm_count):
    kinds = random.Random(f'kinds-{seed}').choice(CASES)
    _check_bad(_run(vm_count, kinds, _faults(seed), seed))


@pytest.mark.parametrize('vm_count', VM_COUNTS)
@pytest.mark.parametrize('seed', SEEDS)
def test_a_sound_version_gets_all_requests_beside_faults(seed, vm_count):
    result = _run(vm_count, (), _faults(seed), seed)
    assert result.phase is builders.Phase.SUCCEEDED
    assert result.untouched_sent == 0
    assert result.refused == 0
