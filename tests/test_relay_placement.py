"""Tests of the choice of an endpoint."""

import relay_builders as build

from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import placement

DEMAND = placement.Demand(6300, 2900, 100)


def _chosen(*candidates, demand=DEMAND):
    choice = placement.choose(list(candidates), demand)
    return choice and choice.candidate.endpoint.id


def test_the_engine_that_holds_the_prefix_is_chosen():
    holder = build.candidate('holder', cached_tokens=6300)
    for _ in range(20):
        assert _chosen(build.candidate('other'), holder) == 'holder'


def test_a_holder_with_much_work_is_left():
    holder = build.candidate(
        'holder',
        cached_tokens=6300,
        load=fleet_loads.Load(6, 20_000, 20_000),
    )
    assert _chosen(build.candidate('other'), holder) == 'other'


def test_a_prefix_that_no_engine_holds_goes_to_its_home():
    home = build.candidate('home', is_home=True)
    for _ in range(20):
        assert _chosen(build.candidate('other'), home) == 'home'


def test_a_prefix_that_two_engines_hold_goes_to_its_home():
    home = build.candidate('home', is_home=True, cached_tokens=6300)
    other = build.candidate('other', cached_tokens=6300)
    for _ in range(20):
        assert _chosen(other, home) == 'home'


def test_a_home_with_much_work_is_left_for_the_first_read():
    home = build.candidate(
        'home', is_home=True, load=fleet_loads.Load(2, 12_000, 12_000)
    )
    assert _chosen(build.candidate('other'), home) == 'other'


def test_memory_binds_before_slots():
    full = build.candidate(
        'full', cached_tokens=6300, load=fleet_loads.Load(9, 84_000, 0)
    )
    assert _chosen(full) is None
    assert _chosen(full, build.candidate('other')) == 'other'


def test_slots_bind_plain_services():
    busy = build.candidate(
        'busy', memory_tokens=0, slots=6, load=fleet_loads.Load(6)
    )
    assert _chosen(busy, demand=placement.Demand()) is None


def test_an_endpoint_that_fails_requests_is_avoided():
    failing = build.candidate('failing', cached_tokens=6300, failure_rate=0.5)
    assert _chosen(failing, build.candidate('other')) == 'other'


def test_long_prompts_keep_away_from_streams():
    streaming = build.candidate(
        'streaming', is_home=True, load=fleet_loads.Load(9, 900, 0, 9)
    )
    assert _chosen(build.candidate('other'), streaming) == 'other'


def test_streams_keep_away_from_engines_that_read():
    reading = build.candidate('reading', is_home=True, reading_share=0.6)
    stream = placement.Demand(198, 628, 300)
    assert _chosen(build.candidate('other'), reading, demand=stream) == 'other'


def test_equal_endpoints_are_drawn_by_lot():
    chosen = {
        _chosen(build.candidate('a'), build.candidate('b')) for _ in range(60)
    }
    assert chosen == {'a', 'b'}


def test_nothing_is_fetched_from_an_engine_with_other_weights():
    holder = build.candidate(
        'holder', cached_tokens=6300, weights_version=1, memory_tokens=1
    )
    other = build.candidate('other', weights_version=2)
    choice = placement.choose([holder, other], DEMAND)
    assert choice.candidate is other
    assert choice.load.unread_tokens == 6300 + 2900


def test_what_can_be_fetched_does_not_count_as_unread():
    load = placement.load_of(build.candidate(), DEMAND, held=6300)
    assert load.unread_tokens == 2900
