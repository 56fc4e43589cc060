"""Tests of the platform's calls to a control VM."""

import json

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import gateway
from carobwood_platform import control_api
import pytest

HEARTBEAT = {
    'service': 'engines',
    'address': '10.128.0.9:8080',
    'zone': 'bole',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'models': [{'name': 'ruling', 'version': 3, 'adapters': []}],
    'seq_no': 4,
    'born': 1_700_000_000_000,
}


class StandInControl:
    """Records the verbs that are called."""

    def __init__(self, failure=None):
        self.calls = []
        self._failure = failure

    def __getattr__(self, verb):
        """Return a verb that records its call."""

        def call(*arguments):
            self.calls.append((verb, *arguments))
            if self._failure is not None:
                raise self._failure
            return b'{"version": 1}'

        return call


def _ask(control, method, path, body=b''):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    request = gateway.ServiceRequest(method, path, {}, body)
    return control_api.ControlApi(control).handle(request).status


def test_a_heartbeat_becomes_an_endpoint():
    control = StandInControl()
    assert _ask(control, 'PUT', '/v1/instances/i-1', HEARTBEAT) == 200
    verb, endpoint = control.calls[0]
    assert verb == 'announce'
    assert endpoint.id == 'i-1'
    assert endpoint.order == (1_700_000_000_000, 4)
    assert endpoint.pool == 'engines'
    assert endpoint.data_centre == 'bole'
    assert endpoint.weights_version == '3'
    assert not endpoint.leaving


def test_a_draining_heartbeat_is_leaving():
    control = StandInControl()
    leaving = {**HEARTBEAT, 'state': 'draining'}
    assert _ask(control, 'PUT', '/v1/instances/i-1', leaving) == 200
    assert control.calls[0][1].leaving


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'address': 'somewhere'},
        {'seq_no': '4'},
        {'born': 1.5},
        {'service': None},
        {'models': [{'name': 'ruling'}]},
    ],
)
def test_a_heartbeat_of_another_writer_names_no_engine(change):
    control = StandInControl()
    body = {**HEARTBEAT, **change}
    assert _ask(control, 'PUT', '/v1/instances/i-1', body) == 400
    assert control.calls == []


def test_a_heartbeat_without_a_field_names_no_engine():
    for name in ('state', 'address', 'seq_no', 'born', 'service', 'zone'):
        body = {k: v for k, v in HEARTBEAT.items() if k != name}
        control = StandInControl()
        assert _ask(control, 'PUT', '/v1/instances/i-1', body) == 400
        assert control.calls == []


def test_the_other_calls_reach_their_verbs():
    control = StandInControl()
    named = {'model': 'ruling', 'version': 2}
    assert _ask(control, 'DELETE', '/v1/instances/i-1') == 200
    assert _ask(control, 'PUT', '/v1/config', b'{}') == 200
    assert _ask(control, 'GET', '/v1/config') == 200
    assert _ask(control, 'POST', '/v1/version-put', named) == 200
    assert [call[0] for call in control.calls] == [
        'retire',
        'put_configuration',
        'read_configuration',
        'name_weights',
    ]


def test_failures_become_statuses():
    invalid = StandInControl(errors.ConfigurationInvalid(['no routes']))
    assert _ask(invalid, 'PUT', '/v1/config', b'{}') == 400
    unsure = StandInControl(errors.ChangeUncertain('no quorum'))
    assert _ask(unsure, 'PUT', '/v1/config', b'{}') == 503
    assert _ask(unsure, 'GET', '/v1/config') == 503
    assert _ask(StandInControl(), 'POST', '/v1/version-put', b'{') == 400
    assert _ask(StandInControl(), 'GET', '/v1/nothing') == 404


@pytest.mark.parametrize(
    ('failure', 'status'),
    [
        (errors.ConfigurationInvalid(['no routes']), 400),
        (errors.ChangeUncertain('no quorum'), 503),
    ],
)
def test_a_call_that_fails_is_told_in_the_log(monkeypatch, failure, status):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    assert _ask(StandInControl(failure), 'PUT', '/v1/config') == status
    [(event, fields)] = lines
    assert event is events.CONTROL_CALL_FAILED
    assert fields == {
        'method': 'PUT',
        'path': '/v1/config',
        'status': status,
        'code': failure.code,
        'detail': failure.detail,
    }
