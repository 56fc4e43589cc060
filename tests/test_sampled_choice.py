"""Tests of the choice among a few engines that are drawn at random."""

import random

import relay_builders as builders

from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import placement
from carobwood_daemon.relay import sampled_choice

DEMAND = placement.Demand(6300, 2900, 10)
BUSY = fleet_loads.Load(6, 20_000, 60_000)


def _chosen(candidates, demand=DEMAND, seed=1):
    source = random.Random(seed)
    choice = sampled_choice.choose(candidates, demand, source)
    return choice and choice.candidate.endpoint.id


def _idle(count=20):
    return [builders.candidate(f'idle-{number}') for number in range(count)]


def test_the_affinity_engine_is_always_among_those_drawn():
    preferred = builders.candidate(
        'preferred', has_affinity=True, cached_tokens=6300
    )
    # They have the start of the prefix, as many prompts share it.
    common = [
        builders.candidate(f'common-{number}', cached_tokens=2500)
        for number in range(20)
    ]
    for seed in range(50):
        assert _chosen([*common, preferred], seed=seed) == 'preferred'


def test_an_engine_with_the_whole_prefix_is_drawn_among_many_with_its_start():
    whole = builders.candidate('whole', cached_tokens=6300)
    common = [
        builders.candidate(f'common-{number}', cached_tokens=2500)
        for number in range(20)
    ]
    for seed in range(50):
        assert _chosen([*common, whole], seed=seed) == 'whole'


def test_vms_of_one_moment_leave_a_busy_holder_for_different_engines():
    busy = builders.candidate(
        'busy', has_affinity=True, cached_tokens=6300, load=BUSY
    )
    chosen = {_chosen([busy, *_idle()], seed=seed) for seed in range(40)}
    assert 'busy' not in chosen
    assert len(chosen) > 10


def test_a_fast_engine_gets_a_prompt_before_a_slow_one():
    fast = builders.candidate('fast', prefill_speed=64_000)
    slow = builders.candidate('slow', prefill_speed=24_000)
    for seed in range(20):
        assert _chosen([fast, slow], seed=seed) == 'fast'


def test_one_engine_with_room_is_found_among_many_full_ones():
    full = [
        builders.candidate(f'full-{number}', slots=1, load=BUSY)
        for number in range(59)
    ]
    for seed in range(20):
        candidates = [*full, builders.candidate('free')]
        assert _chosen(candidates, seed=seed) == 'free'


def test_nothing_is_chosen_if_all_are_full():
    full = builders.candidate(slots=1, load=BUSY)
    assert _chosen([full]) is None
