"""Tests of how attempt results update endpoint health and weights."""

import types

import pytest
import relay_builders as builders

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import endpoint_health
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import result_recorder

ENGINE = builders.endpoint()
# An engine's rejection because of its weights, which it does not name.
REJECTION = messages.ResponseHead(
    421, ENGINE.id, 'r-1', False, True, 0, None, False, False
)


class RecorderHarness:
    """A recorder and an engine that is recorded with weights version 1."""

    def __init__(self, reported_version):
        """Create the harness.

        Args:
            reported_version: weights version that the engine reports, or
                None if it does not answer.
        """
        self.queries = 0
        self._reported_version = reported_version
        self.weights = engine_weights.EngineWeights()
        self.weights.record_version(ENGINE, 1)
        self.health = endpoint_health.EndpointHealth(builders.Clock())
        stub = types.SimpleNamespace
        self.recorder = result_recorder.ResultRecorder(
            stub(
                dialect=self, engine_weights=self.weights, health=self.health
            ),
            stub(
                metadata=messages.RequestMetadata('r-1', model=builders.MODEL)
            ),
        )
        self.assignment = stub(endpoint=ENGINE, weights_version=1)

    def read_engine_report(self, address, timeout):
        """See ``Dialect``."""
        del address, timeout
        self.queries += 1
        if self._reported_version is None:
            raise errors.EngineCallFailed('no answer')
        return messages.EngineReport(
            {builders.MODEL: self._reported_version}, False, 0
        )


def test_an_engine_that_rejects_is_asked_for_its_weights(lines):
    harness = RecorderHarness(3)
    harness.recorder.note_not_run(harness.assignment, REJECTION)
    assert harness.weights.version(ENGINE, builders.MODEL) == 3
    # It accepts requests for the weights that it has.
    assert not harness.health.is_ejected(ENGINE)
    [(event, fields)] = lines
    assert event is events.WEIGHTS_MISMATCH
    assert (fields['believed'], fields['found']) == (1, 3)


@pytest.mark.parametrize('reported_version', [None, 1])
def test_an_engine_that_rejects_without_other_weights_is_ejected(
    lines, reported_version
):
    harness = RecorderHarness(reported_version)
    harness.recorder.note_not_run(harness.assignment, REJECTION)
    assert harness.queries == 1
    assert harness.health.is_ejected(ENGINE)
    assert lines[-1][1]['cause'] == 'refused'
