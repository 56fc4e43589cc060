"""Tests of the known weights of engines and of their rollout."""

import relay_builders as builders

from carobwood_daemon.orders import weights_rollout
from carobwood_daemon.relay import engine_weights


def _status(name, version, is_loading=False, data_centre='bole'):
    return weights_rollout.EngineStatus(
        builders.endpoint(name, data_centre=data_centre), version, is_loading
    )


def _select(engines, wanted):
    loads = weights_rollout.choose_loads(engines, wanted)
    return [endpoint.id for endpoint in loads]


def test_only_some_of_the_engines_load_at_a_time():
    engines = [_status(f'engine-{number}', 1) for number in range(5)]
    assert len(_select(engines, 2)) == 2
    engines[0] = _status('engine-0', 1, is_loading=True)
    engines[1] = _status('engine-1', 1, is_loading=True)
    assert _select(engines, 2) == []


def test_engines_with_the_oldest_weights_go_first():
    engines = [_status('a', 3), _status('b', 1), _status('c', 2)]
    assert _select(engines, 4) == ['b', 'c']


def test_a_data_centre_does_not_lose_all_its_engines_at_once():
    engines = [
        _status('a', 1, is_loading=True, data_centre='bole'),
        _status('b', 1, data_centre='bole'),
        _status('c', 1, data_centre='yeka'),
    ]
    assert _select(engines, 2) == ['c']


def test_engines_with_the_wanted_weights_load_nothing():
    assert _select([_status('a', 2), _status('b', 2)], 2) == []


def test_versions_only_rise_within_an_incarnation():
    weights = engine_weights.EngineWeights()
    endpoint = builders.endpoint()
    weights.record_version(endpoint, 3)
    weights.record_version(endpoint, 2)
    assert weights.version(endpoint, builders.MODEL) == 3
    restarted = builders.endpoint(incarnation=2)
    assert weights.version(restarted, builders.MODEL) == 0
    weights.record_version(restarted, 1)
    weights.record_version(endpoint, 9)
    assert weights.version(restarted, builders.MODEL) == 1


def test_an_older_report_of_a_load_does_not_replace_a_newer_one():
    weights = engine_weights.EngineWeights()
    endpoint = builders.endpoint()
    assert weights.record_report(endpoint.id, 1, (2, 1), 0, True)
    assert weights.is_loading(endpoint, builders.MODEL)
    assert weights.record_report(endpoint.id, 1, (2, 2), 5, False)
    assert not weights.record_report(endpoint.id, 1, (2, 1), 0, True)
    assert not weights.record_report(endpoint.id, 1, (1, 9), 0, True)
    assert not weights.is_loading(endpoint, builders.MODEL)
    assert weights.version(endpoint, builders.MODEL) == 5


def test_a_load_whose_end_is_not_reported_times_out():
    clock = builders.Clock()
    weights = engine_weights.EngineWeights(clock)
    weights.record_report('engine-1', 1, (1, 1), 0, True)
    assert weights.is_loading(builders.endpoint(), builders.MODEL)
    clock.advance(engine_weights.MAX_LOADING_SECONDS + 0.1)
    assert not weights.is_loading(builders.endpoint(), builders.MODEL)


def test_superseded_versions_are_not_wanted():
    clock = builders.Clock()
    weights = engine_weights.EngineWeights(clock)
    weights.raise_targets({'ruling': 2})
    clock.advance(3)
    weights.raise_targets({'ruling': 3})
    clock.advance(1)
    weights.raise_targets({'ruling': 2})
    assert weights.target_version('ruling') == 3
    assert weights.seconds_since_target_set('ruling') == 1
