"""Tests of the choice of an endpoint."""

import relay_builders as builders

from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import placement

DEMAND = placement.Demand(6300, 2900, 100)


def _chosen(*candidates, demand=DEMAND):
    choice = placement.choose(list(candidates), demand)
    return choice and choice.candidate.endpoint.id


def test_the_engine_that_has_the_prefix_cached_is_chosen():
    caching = builders.candidate('caching', cached_tokens=6300)
    for _ in range(20):
        assert _chosen(builders.candidate('other'), caching) == 'caching'


def test_a_loaded_engine_that_has_the_prefix_cached_is_not_chosen():
    caching = builders.candidate(
        'caching',
        cached_tokens=6300,
        load=fleet_loads.Load(6, 20_000, 20_000),
    )
    assert _chosen(builders.candidate('other'), caching) == 'other'


def test_an_uncached_prefix_goes_to_its_affinity_engine():
    preferred = builders.candidate('preferred', has_affinity=True)
    for _ in range(20):
        assert _chosen(builders.candidate('other'), preferred) == 'preferred'


def test_a_prefix_cached_on_two_engines_goes_to_its_affinity_engine():
    preferred = builders.candidate(
        'preferred', has_affinity=True, cached_tokens=6300
    )
    other = builders.candidate('other', cached_tokens=6300)
    for _ in range(20):
        assert _chosen(other, preferred) == 'preferred'


def test_an_uncached_prefix_avoids_a_loaded_affinity_engine():
    preferred = builders.candidate(
        'preferred',
        has_affinity=True,
        load=fleet_loads.Load(2, 12_000, 12_000),
    )
    assert _chosen(builders.candidate('other'), preferred) == 'other'


def test_an_engine_with_full_memory_is_not_chosen_despite_free_slots():
    full = builders.candidate(
        'full', cached_tokens=6300, load=fleet_loads.Load(9, 84_000, 0)
    )
    assert _chosen(full) is None
    assert _chosen(full, builders.candidate('other')) == 'other'


def test_a_plain_endpoint_without_free_slots_is_not_chosen():
    busy = builders.candidate(
        'busy', kv_cache_tokens=0, slots=6, load=fleet_loads.Load(6)
    )
    assert _chosen(busy, demand=placement.Demand()) is None


def test_an_endpoint_that_fails_requests_is_avoided():
    failing = builders.candidate(
        'failing', cached_tokens=6300, failure_rate=0.5
    )
    assert _chosen(failing, builders.candidate('other')) == 'other'


def test_long_prompts_avoid_engines_with_many_streams():
    streaming = builders.candidate(
        'streaming', has_affinity=True, load=fleet_loads.Load(9, 900, 0, 9)
    )
    assert _chosen(builders.candidate('other'), streaming) == 'other'


def test_streams_avoid_engines_that_prefill_much_of_the_time():
    prefilling = builders.candidate(
        'prefilling', has_affinity=True, prefill_share=0.6
    )
    stream = placement.Demand(198, 628, 300)
    assert (
        _chosen(builders.candidate('other'), prefilling, demand=stream)
        == 'other'
    )


def test_ties_are_broken_at_random():
    chosen = {
        _chosen(builders.candidate('a'), builders.candidate('b'))
        for _ in range(60)
    }
    assert chosen == {'a', 'b'}


def test_nothing_is_fetched_from_an_engine_with_other_weights():
    caching = builders.candidate(
        'caching', cached_tokens=6300, weights_version=1, kv_cache_tokens=1
    )
    other = builders.candidate('other', weights_version=2)
    choice = placement.choose([caching, other], DEMAND)
    assert choice.candidate is other
    assert choice.load.prefill_tokens == 6300 + 2900


def test_tokens_that_can_be_fetched_are_not_counted_as_prefill():
    load = placement.load_of(builders.candidate(), DEMAND, peer_tokens=6300)
    assert load.prefill_tokens == 2900
