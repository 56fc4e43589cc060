"""Tests of requests that wait for a place, and what the log says of it."""

import types

import pytest
import relay_builders as build

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import health
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import placement
from carobwood_daemon.relay import selector
from carobwood_daemon.relay import waiting

FULL = fleet_loads.Load(running=selector.PLAIN_SLOTS)


class Setting:
    """A selector with one full endpoint of a plain service."""

    def __init__(self, after_each_look):
        self.clock = build.Clock()
        self.endpoint = build.endpoint(pool='orders')
        self.loads = fleet_loads.FleetLoads(self.clock)
        self.held = self.loads.reserve(self.endpoint.id, FULL)
        self.room = waiting.WaitingRoom(self.clock)
        self.caller = types.SimpleNamespace(
            has_left=lambda: after_each_look(self)
        )
        nothing = types.SimpleNamespace
        self.selector = selector.Selector(
            nothing(
                data_centre='bole',
                directory=nothing(present_endpoints=lambda: [self.endpoint]),
                health=health.Health(self.clock),
                is_settled=lambda: True,
                loads=self.loads,
                placements=nothing(note=lambda *arguments: None),
                reading=fleet_loads.ReadingShares(self.clock),
                state=nothing(configuration=nothing(services_by_name={})),
                waiting=self.room,
                weights=engine_weights.EngineWeights(),
            )
        )
        self.request = nothing(
            hints=messages.RoutingHints('r-1'),
            service='orders',
            customer=None,
            priority=2,
            demand=placement.Demand(0, 0, 0),
            on_time_until=self.clock.now + 0.1,
            due_at=self.clock.now + 0.6,
        )

    def await_place(self):
        """Let the request wait for its place."""
        return self.selector.await_place(self.request, {'gone'}, self.caller)


@pytest.fixture
def lines(monkeypatch):
    """Give the list that log lines are added to, as event and fields."""
    written = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: written.append((event, fields))
    )
    return written


def _free(setting):
    setting.held.release()
    setting.held = setting.loads.reserve(
        setting.endpoint.id, fleet_loads.Load()
    )
    return False


def _pass_time(setting):
    setting.clock.pass_seconds(0.1)
    return False


def test_a_wait_that_ends_with_a_place_is_explained(lines):
    setting = Setting(_free)
    assert setting.await_place().endpoint is setting.endpoint
    [(begun, inputs), (ended, outcome)] = lines
    assert begun is events.REQUEST_WAITING
    assert inputs['request_id'] == 'r-1'
    assert inputs['loads'] == {'engine-1': [selector.PLAIN_SLOTS, 0, 0]}
    assert (inputs['waiting'], inputs['tried']) == (1, ['gone'])
    assert 0 < inputs['until'] < 0.6
    assert ended is events.WAIT_ENDED
    assert outcome['outcome'] == 'placed'


def test_a_wait_in_vain_is_explained(lines):
    with pytest.raises(errors.Saturated):
        Setting(_pass_time).await_place()
    _, (ended, outcome) = lines
    assert ended is events.WAIT_ENDED
    assert outcome['outcome'] == errors.Saturated.code
    assert outcome['request_id'] == 'r-1'


def test_a_caller_that_leaves_its_place_is_told_in_the_log(lines):
    with pytest.raises(errors.CallerLeft):
        Setting(lambda setting: True).await_place()
    assert lines[-1][1]['outcome'] == errors.CallerLeft.code


def test_a_request_that_is_placed_at_once_says_nothing_of_waiting(lines):
    setting = Setting(_pass_time)
    _free(setting)
    setting.await_place()
    assert lines == []


def test_a_paused_endpoint_is_named_with_what_is_known_of_it(lines):
    setting = Setting(_pass_time)
    _free(setting)
    setting.selector._parts.health.note_unreachable(setting.endpoint)
    with pytest.raises(errors.Saturated):
        setting.await_place()
    (paused, fields), (_, waits), _ = lines
    assert paused is events.ENDPOINT_PAUSED
    assert fields['cause'] == 'unreachable'
    assert fields['seconds'] == health.FIRST_PAUSE_SECONDS
    assert waits['paused'] == ['engine-1']


def _candidate(name, cached):
    return build.candidate(name, cached_tokens=cached, weights_version=1)


def _source(chosen, others, held_by_store, parts=((2500, 'aa'), (3700, 'bb'))):
    nothing = types.SimpleNamespace
    store = nothing(
        address='store:1',
        count_held=lambda salt, ids: len(
            [part_id for part_id in ids if part_id in held_by_store]
        ),
    )
    hints = messages.RoutingHints(
        'r-1',
        parts=tuple(
            messages.PromptPart(name, tokens) for tokens, name in parts
        )
        + (messages.PromptPart('own', 40),),
    )
    made = selector.Selector(
        nothing(stores=nothing(find=lambda: store)),
    )
    return made._source(nothing(hints=hints), chosen, [chosen, *others], 'v1')


def test_what_a_store_holds_of_the_start_is_fetched():
    found = _source(_candidate('engine-1', 0), [], {'aa'})
    assert found == selector.Source('store:1', 'store:1')


def test_the_longest_start_is_fetched():
    holder = _candidate('engine-2', 6200)
    found = _source(_candidate('engine-1', 0), [holder], {'aa'})
    assert found == selector.Source(holder.endpoint.address, 'store:1')
    holder = _candidate('engine-2', 2500)
    found = _source(_candidate('engine-1', 0), [holder], {'aa', 'bb'})
    assert found == selector.Source('store:1', '')


def test_what_the_engine_holds_itself_is_not_fetched():
    holder = _candidate('engine-2', 6200)
    found = _source(_candidate('engine-1', 6200), [holder], set())
    assert found == selector.Source('', '')
    found = _source(_candidate('engine-1', 2500), [], set())
    assert found == selector.Source('', 'store:1')


def test_short_parts_are_kept_too():
    parts = ((120, 'aa'), (80, 'bb'))
    found = _source(_candidate('engine-1', 0), [], set(), parts)
    assert found == selector.Source('', 'store:1')


def test_a_store_is_named_in_case_the_engine_has_dropped_what_it_held():
    found = _source(_candidate('engine-1', 6200), [], {'aa', 'bb'})
    assert found == selector.Source('store:1', '')
