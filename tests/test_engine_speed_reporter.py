"""Tests of what operators are told of engines' speeds and loads."""

import types

import relay_builders as builders

from carobwood import events
from carobwood_daemon.observe import metrics
from carobwood_daemon.relay import engine_speed_reporter
from carobwood_daemon.relay import engine_speeds
from carobwood_daemon.relay import fleet_loads

WORK = engine_speeds.PromptWork(5000, 0)


class _Harness:
    """A reporter over engines that are learned but carry no load."""

    def __init__(self, monkeypatch, count):
        self.clock = builders.Clock()
        self.lines = []
        monkeypatch.setattr(
            events, 'emit', lambda event, **fields: self.lines.append(fields)
        )
        self.engines = [
            builders.endpoint(f'engine-{number}') for number in range(count)
        ]
        self.speeds = engine_speeds.EngineSpeeds(self.clock)
        for engine in self.engines:
            self.speeds.note_first_event(engine, WORK, 0.1)
        self.loads = fleet_loads.FleetLoads(self.clock)
        self.metrics = metrics.PrometheusMetrics()
        self._reporter = engine_speed_reporter.EngineSpeedReporter(
            self.speeds,
            self.loads,
            types.SimpleNamespace(serving_endpoints=lambda: self.engines),
            self.metrics,
        )

    def sample(self, count=engine_speed_reporter.SAMPLES_PER_LINE):
        """Take some samples."""
        for _ in range(count):
            self._reporter.sample()


def test_a_line_tells_the_busiest_engine_by_the_mean(monkeypatch):
    harness = _Harness(monkeypatch, count=4)
    harness.loads.reserve('engine-2', fleet_loads.Load(1, 0, 9000))
    harness.loads.reserve('engine-3', fleet_loads.Load(1, 0, 3000))
    harness.sample()
    (line,) = harness.lines
    assert line['engines'] == 4
    assert line['unevenness'] == 3.0
    assert list(line['busiest'])[:2] == ['engine-2', 'engine-3']
    assert 'engine_load_unevenness"} 3.0' in harness.metrics.text().decode()


def test_a_line_is_bounded(monkeypatch):
    harness = _Harness(monkeypatch, count=60)
    harness.sample()
    (line,) = harness.lines
    assert len(line['busiest']) == engine_speed_reporter.MAX_LOGGED_ENGINES


def test_nothing_is_logged_before_a_speed_is_learned(monkeypatch):
    harness = _Harness(monkeypatch, count=0)
    harness.sample()
    assert harness.lines == []
