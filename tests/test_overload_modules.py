"""Tests of the single decisions of the admission under overload."""

import random
import types

import pytest
import relay_builders as builders

from carobwood_daemon.relay import concurrency_average
from carobwood_daemon.relay import concurrency_limit
from carobwood_daemon.relay import engine_room
from carobwood_daemon.relay import overload_control
from carobwood_daemon.relay import place_shares
from carobwood_daemon.relay import return_times
from carobwood_daemon.relay import urgency
from carobwood_daemon.relay import wait_forecast

URGENT = urgency.Urgency(1, 0)
OTHER = urgency.Urgency(1, 2)
BEYOND_RATE = urgency.Urgency(9, 0)


def _state(**changes):
    fields = {
        'slots': 24,
        'running': 0,
        'prefill_tokens': 0,
        'prefill_speed': 40_000.0,
    }
    return engine_room.EngineState(**{**fields, **changes})


def _need(clock, **changes):
    fields = {
        'service': 'engines',
        'urgency': OTHER,
        'target_latency': 1.0,
        'late_at': clock.now + 1.0,
    }
    return overload_control.Need(**{**fields, **changes})


def _offers(count=3, **changes):
    return [
        overload_control.Offer(f'engine-{n}', _state(**changes), 700)
        for n in range(count)
    ]


def _select(control, need, offers, report, is_waiting=False):
    return control.select(need, offers, report, is_waiting).endpoint_ids


def _control(clock, vms=1):
    return overload_control.OverloadControl(
        clock, lambda: vms, random.Random(1)
    )


def test_the_route_decides_among_customers_of_one_priority():
    assert URGENT < OTHER < urgency.Urgency(2, 0) < BEYOND_RATE


@pytest.mark.parametrize(
    'customer, route, is_within_rate, rank',
    [(1, 0, True, 0), (1, 2, True, 1), (2, 0, True, 2), (9, 0, False, 9)],
)
def test_engines_rank_requests_by_customer_and_route(
    customer, route, is_within_rate, rank
):
    stub = types.SimpleNamespace
    configuration = stub(
        routes=[stub(priority=0), stub(priority=2)],
        customers=[stub(priority=1), stub(priority=2)],
    )
    request = stub(
        priority=customer,
        route=stub(priority=route),
        is_within_rate=is_within_rate,
        configuration=configuration,
    )
    assert urgency.engine_rank(request) == rank


def test_places_are_kept_for_more_urgent_requests_that_come():
    clock = builders.Clock()
    averages = concurrency_average.ConcurrencyAverage(clock)
    assert averages.mean_above('engines', OTHER) == 0
    averages.add('engines', URGENT)
    clock.advance(10)
    assert averages.mean_above('engines', OTHER) == pytest.approx(1, abs=0.01)
    assert averages.mean_above('engines', URGENT) == 0
    averages.remove('engines', URGENT)
    clock.advance(10)
    assert averages.mean_above('engines', OTHER) < 0.01


def test_no_place_is_kept_if_none_more_urgent_comes():
    assert engine_room.reserved_places(0.0, 24) == 0
    assert engine_room.reserved_places(0.5, 24) == 2
    # Even a flood of urgent requests leaves most places to the others.
    assert engine_room.reserved_places(1000.0, 24) == 4


def test_a_place_that_is_kept_goes_to_the_urgent_request_only():
    state = _state(running=22)
    assert not engine_room.has_place(state, 0, engine_room.Terms(1.0, 2))
    assert engine_room.has_place(state, 0, engine_room.Terms(1.0, 0))


def test_a_large_prompt_passes_an_idle_engine():
    terms = engine_room.Terms(10.0, max_ahead_seconds=0.4)
    assert engine_room.has_place(_state(), 39_000, terms)
    busy = _state(prefill_tokens=100)
    assert not engine_room.has_place(busy, 39_000, terms)


def test_long_pauses_lower_the_limit_and_it_recovers_without_answers():
    clock = builders.Clock()
    limit = concurrency_limit.ConcurrencyLimit(clock)
    for _ in range(40):
        clock.advance(0.1)
        limit.note_answer('engines', is_late=True)
    assert limit.fraction('engines') < 0.8
    assert limit.fraction('engines') >= concurrency_limit.MIN_FRACTION
    clock.advance(10)
    assert limit.fraction('engines') == 1.0


# All VMs saw one engine that had loaded weights, and sent it all they had.
@pytest.mark.parametrize('vms', [8, 64, 200])
def test_many_vms_do_not_overrun_an_engine_that_all_see_free(vms):
    source = random.Random(1)
    taken = 0
    for _ in range(vms):
        clock = builders.Clock()
        shares = place_shares.PlaceShares(lambda: vms, clock, source)
        while shares.may_take(1.0, 'engine', 24):
            shares.take('engine')
            taken += 1
    assert 12 <= taken <= 36


def test_shares_are_drawn_anew_while_no_report_comes():
    clock = builders.Clock()
    shares = place_shares.PlaceShares(lambda: 1, clock, random.Random(1))
    while shares.may_take(1.0, 'engine', 2):
        shares.take('engine')
    clock.advance(place_shares.REDRAW_SECONDS)
    assert shares.may_take(1.0, 'engine', 2)


def test_waits_in_vain_close_the_wait_and_it_reopens_by_itself():
    clock = builders.Clock()
    forecast = wait_forecast.WaitForecast(clock)
    assert forecast.is_worth_waiting('engines', OTHER, 1, 1.0)
    for _ in range(10):
        forecast.note_wait('engines', OTHER, was_placed=False)
    assert not forecast.is_worth_waiting('engines', OTHER, 1, 1.0)
    # The first one may wait, as do those of another urgency.
    assert forecast.is_worth_waiting('engines', OTHER, 0, 1.0)
    assert forecast.is_worth_waiting('engines', URGENT, 1, 1.0)
    clock.advance(5)
    assert forecast.level('engines', OTHER) == 1.0


def test_a_clock_that_steps_back_closes_nothing():
    clock = builders.Clock()
    control = _control(clock)
    need = _need(clock)
    control.note_arrival(need)
    control.note_placed(need, 'engine-0')
    control.note_wait(need, was_placed=False)
    clock.advance(-100)
    need = _need(clock)
    assert _select(control, need, _offers(), clock.now)
    assert 0 < control.level(need) <= 1


def test_returns_are_spread_within_what_callers_honour():
    source = random.Random(1)
    times = [
        return_times.seconds_until_return(15.0, source) for _ in range(100)
    ]
    assert max(times) <= 5.0
    assert min(times) >= 3.0
    assert max(times) - min(times) > 1.5


def test_a_request_that_names_much_less_time_has_come_back():
    clock = builders.Clock()
    deadlines = return_times.UsualDeadlines(clock)
    assert not deadlines.has_returned('checks', 15.0)
    assert not deadlines.has_returned('checks', 13.0)
    assert deadlines.has_returned('checks', 10.0)
    assert not deadlines.has_returned('checks', None)
    # Operators lower the time of the route.
    for _ in range(3):
        clock.advance(return_times.WINDOW_SECONDS)
        deadlines.has_returned('checks', 10.0)
    assert not deadlines.has_returned('checks', 10.0)


def test_nothing_is_refused_while_places_are_free():
    clock = builders.Clock()
    control = _control(clock)
    need = _need(clock)
    for _ in range(100):
        control.note_arrival(need)
        assert _select(control, need, _offers(running=3), clock.now)


def test_a_late_request_takes_spare_room_only():
    clock = builders.Clock()
    control = _control(clock)
    need = _need(clock, late_at=clock.now - 0.1)
    assert not control.can_be_on_time(need, _offers())
    assert _select(control, need, _offers(running=10), clock.now)
    assert not _select(control, need, _offers(running=20), clock.now)
    assert not control.is_worth_waiting(need, 1)


def test_a_vm_that_has_just_started_serves_at_once():
    clock = builders.Clock()
    control = _control(clock, vms=200)
    assert _select(control, _need(clock), _offers(), 0.0)


# The aggregator is frozen or cut off: no report comes any more.
def test_old_reports_close_nothing_for_good():
    clock = builders.Clock()
    control = _control(clock, vms=8)
    report = clock.now
    served = 0
    for _ in range(200):
        clock.advance(0.1)
        need = _need(clock)
        selected = _select(control, need, _offers(), report, True)
        if selected:
            served += 1
            control.note_placed(need, min(selected))
    assert served >= 100


def test_a_changed_level_is_reported_once():
    clock = builders.Clock()
    control = _control(clock)
    need = _need(clock)
    assert control.take_changed_level(need) is None
    control.note_wait(need, was_placed=False)
    assert control.take_changed_level(need) == pytest.approx(0.5)
    assert control.take_changed_level(need) is None


# Arrivals that may have come since the last report filled whole engines.
def test_old_reports_leave_idle_engines_to_less_urgent_requests():
    clock = builders.Clock()
    control = _control(clock, vms=64)
    report = clock.now
    urgent = _need(clock, urgency=URGENT)
    served = 0
    for _ in range(100):
        clock.advance(0.25)
        control.note_arrival(urgent)
        control.note_placed(urgent, 'engine-0')
        control.note_end(urgent)
        need = _need(clock)
        selected = _select(control, need, _offers(12), report, True)
        if selected:
            served += 1
            control.note_placed(need, min(selected))
    assert served >= 25


# A route with a short target kept others off busy engines after it had gone.
def test_targets_of_routes_that_have_gone_do_not_count():
    clock = builders.Clock()
    control = _control(clock)
    former = _need(clock, urgency=urgency.Urgency(0, 0), target_latency=0.01)
    control.note_arrival(former)
    control.note_end(former)
    control.note_arrival(_need(clock, urgency=URGENT))
    clock.advance(30)
    need = _need(clock)
    busy = _offers(prefill_tokens=2_000)
    assert _select(control, need, busy, clock.now)
    control.note_arrival(former)
    clock.advance(1)
    need = _need(clock)
    assert not _select(control, need, busy, clock.now)


# The first requests of a long prefix were late before they began, and refused
# as long as there was no spare room.
def test_a_prefix_that_is_cached_nowhere_does_not_make_a_request_late():
    clock = builders.Clock()
    control = _control(clock)
    need = _need(clock)
    uncached = [
        overload_control.Offer(f'engine-{n}', _state(), 60_000)
        for n in range(3)
    ]
    assert control.can_be_on_time(need, uncached)
    # Beside an engine that has it, the others are too slow.
    cached = overload_control.Offer('engine-3', _state(), 700)
    offers = [*uncached, cached]
    assert _select(control, need, offers, clock.now) == {'engine-3'}


# A caller with an hour left was told to return after twelve minutes or more.
def test_returns_come_within_seconds_where_callers_have_hours():
    latest = return_times.MAX_SECONDS_UNTIL_RETURN
    source = random.Random(1)
    for _ in range(20):
        seconds = return_times.seconds_until_return(3600.0, source)
        assert 0.5 * latest < seconds <= latest
