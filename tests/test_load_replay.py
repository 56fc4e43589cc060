"""Placement under a burst, against baselines in the same replay."""

import load_replay
import pytest

SEEDS = range(5)
BASELINES = {
    'random': load_replay.at_random,
    'least loaded': load_replay.least_loaded,
    'home only': load_replay.home_only,
}


def _played(choose, seed, **load):
    arrivals = load_replay.burst(seed, **load)
    return load_replay.Replay(choose, seed).run(arrivals)


def _mean(choose, **load):
    shares = [_played(choose, seed, **load).on_time_share for seed in SEEDS]
    return sum(shares) / len(shares)


@pytest.mark.parametrize('name', BASELINES)
def test_a_burst_is_served_better_than_by(name):
    assert _mean(load_replay.by_cost) > _mean(BASELINES[name])


def test_a_burst_reads_prefixes_again_less_than_by_load_alone():
    for seed in SEEDS:
        ours = _played(load_replay.by_cost, seed)
        theirs = _played(load_replay.least_loaded, seed)
        assert ours.tokens_read_again <= theirs.tokens_read_again


def test_the_usual_load_is_served_on_time():
    assert _mean(load_replay.by_cost, factor=1.0) > 0.97


def test_prefixes_that_engines_dropped_are_read_again_less_if_it_is_heard():
    # More prefixes than fit, and a store that keeps them all; VMs hear of
    # a removal in 0.6 s.
    def read_again(hear_after):
        return sum(
            load_replay.Replay(
                load_replay.by_cost,
                seed,
                hear_after=hear_after,
                has_store=True,
            )
            .run(load_replay.burst(seed, prefixes=140))
            .tokens_read_again
            for seed in SEEDS
        )

    assert read_again(0.6) < 0.5 * read_again(None)
