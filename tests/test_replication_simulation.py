"""The replicated log under random kills, lost messages and failed writes."""

import os

import pytest
import replication_simulation

# More seeds are drawn by hand: REPLICATION_SEEDS=200.
SEEDS = range(int(os.environ.get('REPLICATION_SEEDS', '40')))
STEP_COUNT = 600


@pytest.mark.parametrize('seed', SEEDS)
def test_what_is_committed_is_on_a_majority_of_disks_and_stays(
    tmp_path, monkeypatch, seed
):
    # Only kills are simulated: what was written outlives them unsynced.
    monkeypatch.setattr(os, 'fdatasync', lambda descriptor: None)
    monkeypatch.setattr(os, 'fsync', lambda descriptor: None)
    simulation = replication_simulation.Simulation(tmp_path, seed)
    simulation.run(STEP_COUNT)
    assert simulation.committed_by_index
    simulation.close()
