"""Tests of what results say of endpoints."""

import types

import pytest
import relay_builders as build

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import evidence
from carobwood_daemon.relay import health
from carobwood_daemon.relay import messages

ENGINE = build.endpoint()
# 421 without the engine's weights, as engines send it.
TURNED_AWAY = messages.AnswerHead(
    421, ENGINE.id, 'r-1', False, True, 0, None, False, False
)


class Setting:
    """Evidence about an engine that is believed to have weights 1."""

    def __init__(self, report):
        self.asked = 0
        self._report = report
        self.weights = engine_weights.EngineWeights()
        self.weights.note_version(ENGINE, 1)
        self.health = health.Health(build.Clock())
        nothing = types.SimpleNamespace
        self.evidence = evidence.Evidence(
            nothing(dialect=self, weights=self.weights, health=self.health),
            nothing(hints=messages.RoutingHints('r-1', model=build.MODEL)),
        )
        self.place = nothing(endpoint=ENGINE, weights_version=1)

    def read_report(self, address, timeout):
        """Give the report, as the dialect does."""
        del address, timeout
        self.asked += 1
        if self._report is None:
            raise errors.EngineCallFailed('silent')
        return messages.EngineReport({build.MODEL: self._report}, False, 0)


@pytest.fixture
def lines(monkeypatch):
    """Give the list that log lines are added to, as event and fields."""
    written = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: written.append((event, fields))
    )
    return written


def test_an_engine_that_turns_away_is_asked_for_its_weights(lines):
    setting = Setting(3)
    setting.evidence.note_not_run(setting.place, TURNED_AWAY)
    assert setting.weights.version(ENGINE) == 3
    # It takes work under the weights that it has.
    assert not setting.health.is_avoided(ENGINE)
    [(event, fields)] = lines
    assert event is events.WEIGHTS_MISMATCH
    assert (fields['believed'], fields['found']) == (1, 3)


@pytest.mark.parametrize('report', [None, 1])
def test_an_engine_that_turns_away_unexplained_gets_nothing_at_once(
    lines, report
):
    setting = Setting(report)
    setting.evidence.note_not_run(setting.place, TURNED_AWAY)
    assert setting.asked == 1
    assert setting.health.is_avoided(ENGINE)
    assert lines[-1][1]['cause'] == 'refused'
