"""Tests of what is heard of engines' caches."""

import types

import pytest
import relay_builders as build

from carobwood import events
from carobwood_daemon.relay import engine_caches
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import pieces
from carobwood_daemon.routing import placements

ENGINE = build.endpoint()


class Setting:
    """Placements with one part on an engine, and its cache's news."""

    def __init__(self):
        self.table = placements.Placements()
        self.piece = pieces.name_of('v1', 'aa')
        self.table.note(ENGINE, (self.piece,))
        self.cache = engine_caches.EngineCache(ENGINE, None, self.table)

    @property
    def holds(self):
        """Whether the part is believed to be there."""
        return self.table.holds(ENGINE, self.piece)

    def hear(self, *changes, has_gap=False):
        """Take news of a part that is added (True) or dropped."""
        found = tuple(
            messages.CacheChange(is_added, salt, part)
            for is_added, salt, part in changes
        )
        self.cache.take(messages.CacheNews(1, 9, found, has_gap))


@pytest.fixture
def setting(monkeypatch):
    """Give a setting whose part was sent to the engine long ago."""
    made = Setting()
    later = engine_caches.clocks.now() + 5.0
    monkeypatch.setattr(engine_caches.clocks, 'now', lambda: later)
    return made


def test_what_an_engine_dropped_is_no_longer_believed_there(setting):
    setting.hear((False, 'v1', 'aa'))
    assert not setting.holds
    [_, told] = setting.table.log.read(0).records
    assert (told.is_removed, told.pieces) == (True, (setting.piece,))


def test_a_part_under_another_wall_is_another_part(setting):
    setting.hear((False, 'v2', 'aa'), (False, 'v1', 'bb'))
    assert setting.holds
    # Nobody believes in them, so nobody has to be told.
    assert len(setting.table.log.read(0).records) == 1


def test_a_part_that_came_back_is_there(setting):
    setting.hear((False, 'v1', 'aa'), (True, 'v1', 'aa'))
    assert setting.holds


def test_a_part_used_since_its_removal_was_told_stays():
    # The request was sent after the event had been written.
    made = Setting()
    made.hear((False, 'v1', 'aa'))
    assert made.holds


def test_lost_events_are_told(setting, monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    setting.hear(has_gap=True)
    assert lines == [
        (events.CACHE_EVENTS_LOST, {'endpoint': ENGINE.id, 'position': 9})
    ]


def _watched(vm_id, others, engines):
    nothing = types.SimpleNamespace
    configuration = nothing(
        services=[
            nothing(name='engines', engine=object()),
            nothing(name='orders', engine=None),
        ]
    )
    keeper = engine_caches.EngineCaches(
        vm_id,
        nothing(configuration=configuration),
        nothing(present_endpoints=lambda: engines),
        nothing(entry_vm_ids=lambda: others),
        None,
        None,
    )
    return {endpoint.id for endpoint in keeper._watched()}


@pytest.mark.parametrize('vms', [1, 7, 58])
def test_each_engine_is_watched_by_few_vms(vms):
    names = [f'front-{number}' for number in range(vms)]
    engines = [build.endpoint(f'engine-{n}') for n in range(30)]
    engines.append(build.endpoint('orders-1', pool='orders'))
    counts = dict.fromkeys([engine.id for engine in engines], 0)
    for name in names:
        others = [other for other in names if other != name]
        for engine_id in _watched(name, others, engines):
            counts[engine_id] += 1
    expected = min(vms, engine_caches.WATCHERS)
    assert counts.pop('orders-1') == 0
    assert set(counts.values()) == {expected}


def test_the_engines_of_a_lost_vm_are_watched_by_others():
    engines = [build.endpoint(f'engine-{n}') for n in range(30)]
    found = _watched('front-0', ['front-1'], engines)
    assert found == {engine.id for engine in engines}
