"""Tests of the platform's HTTP API of a control VM."""

import json

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import gateway
from carobwood_daemon.replication import commands
from carobwood_daemon.rollouts import operations
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
    """Stands in for ``ControlOperations``: records the calls of its methods.

    Attributes:
        calls: the name and arguments of each call.
    """

    def __init__(self, failure=None):
        self.calls = []
        self._failure = failure

    def __getattr__(self, name):
        """Return a method that records its call."""

        def call(*arguments):
            self.calls.append((name, *arguments))
            if self._failure is not None:
                raise self._failure
            return b'{"version": 1}'

        return call


def _request_status(control, method, path, body=b''):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    request = gateway.ApiRequest(method, path, {}, body)
    return control_api.ControlApi(control).handle(request).status


def test_a_heartbeat_announces_an_endpoint():
    control = StandInControl()
    assert (
        _request_status(control, 'PUT', '/v1/instances/i-1', HEARTBEAT) == 200
    )
    name, endpoint = control.calls[0]
    assert name == 'record_announcement'
    assert endpoint.id == 'i-1'
    assert endpoint.order == (1_700_000_000_000, 4)
    assert endpoint.pool == 'engines'
    assert endpoint.data_centre == 'bole'
    assert endpoint.weights_version == '3'
    assert not endpoint.leaving


def test_a_draining_endpoint_is_leaving():
    control = StandInControl()
    draining = {**HEARTBEAT, 'state': 'draining'}
    assert (
        _request_status(control, 'PUT', '/v1/instances/i-1', draining) == 200
    )
    assert control.calls[0][1].leaving


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'asleep'},
        {'address': 'somewhere'},
        {'seq_no': '4'},
        {'born': 1.5},
        {'version': 2},
        {'version': ''},
        {'service': None},
        {'models': [{'name': 'ruling'}]},
    ],
)
def test_a_heartbeat_with_an_invalid_field_is_refused(change):
    control = StandInControl()
    body = {**HEARTBEAT, **change}
    assert _request_status(control, 'PUT', '/v1/instances/i-1', body) == 400
    assert control.calls == []


def test_a_heartbeat_without_a_required_field_is_refused():
    for missing in (
        'state',
        'address',
        'seq_no',
        'born',
        'service',
        'zone',
        'version',
    ):
        body = {
            name: value for name, value in HEARTBEAT.items() if name != missing
        }
        control = StandInControl()
        assert (
            _request_status(control, 'PUT', '/v1/instances/i-1', body) == 400
        )
        assert control.calls == []


def test_the_other_requests_call_their_methods_of_control():
    control = StandInControl()
    weights = {'model': 'ruling', 'version': 2}
    assert _request_status(control, 'DELETE', '/v1/instances/i-1') == 200
    assert _request_status(control, 'PUT', '/v1/config', b'{}') == 200
    assert _request_status(control, 'GET', '/v1/config') == 200
    assert _request_status(control, 'POST', '/v1/version-put', weights) == 200
    assert [call[0] for call in control.calls] == [
        'retire_endpoint',
        'put_configuration',
        'read_configuration',
        'set_weights_version',
    ]


def test_errors_are_answered_with_their_http_status():
    invalid = StandInControl(errors.ConfigurationInvalid(['no routes']))
    assert _request_status(invalid, 'PUT', '/v1/config', b'{}') == 400
    uncertain = StandInControl(errors.ChangeUncertain('no quorum'))
    assert _request_status(uncertain, 'PUT', '/v1/config', b'{}') == 503
    assert _request_status(uncertain, 'GET', '/v1/config') == 503
    assert (
        _request_status(StandInControl(), 'POST', '/v1/version-put', b'{')
        == 400
    )
    assert _request_status(StandInControl(), 'GET', '/v1/nothing') == 404


@pytest.mark.parametrize(
    ('failure', 'status'),
    [
        (errors.ConfigurationInvalid(['no routes']), 400),
        (errors.ChangeUncertain('no quorum'), 503),
    ],
)
def test_a_failed_request_is_logged(monkeypatch, failure, status):
    emitted = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: emitted.append((event, fields))
    )
    assert (
        _request_status(StandInControl(failure), 'PUT', '/v1/config') == status
    )
    [(event, fields)] = emitted
    assert event is events.CONTROL_CALL_FAILED
    assert fields == {
        'method': 'PUT',
        'path': '/v1/config',
        'status': status,
        'code': failure.code,
        'detail': failure.detail,
    }


@pytest.mark.parametrize(
    ('body', 'incarnation'),
    [(b'', None), (b'{}', None), ({'born': 1700000000000}, 1700000000000)],
)
def test_the_end_of_an_endpoint_may_name_its_incarnation(body, incarnation):
    control = StandInControl()
    path = '/v1/instances/i-1'
    assert _request_status(control, 'DELETE', path, body) == 200
    assert control.calls == [('retire_endpoint', 'i-1', incarnation)]


def test_the_end_of_an_endpoint_with_an_invalid_incarnation_is_rejected():
    control = StandInControl()
    path = '/v1/instances/i-1'
    assert _request_status(control, 'DELETE', path, {'born': 'x'}) == 400
    assert control.calls == []


ROLLOUT = {'service': 'engines', 'to': 'v2', 'ramp_s': 12}


class StandInControlOfRollouts(StandInControl):
    """Stands in for ``ControlOperations`` of a VM that serves rollouts."""

    def __init__(self, failure=None, phase='canary'):
        super().__init__()
        self.rollouts = StandInControl(failure)
        self.rollouts.read = lambda service: commands.RolloutHeld(
            5, 'v2', phase
        )


def _call(control, method, path, body=b''):
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    request = gateway.ApiRequest(method, path, {}, body)
    return control_api.ControlApi(control).handle(request)


def test_an_order_of_a_rollout_is_translated():
    control = StandInControlOfRollouts()
    assert _request_status(control, 'POST', '/v1/rollouts', ROLLOUT) == 200
    order = operations.RolloutOrder('engines', 'v2', 12_000)
    assert control.rollouts.calls == [('start', order)]


@pytest.mark.parametrize(
    ('phase', 'state'),
    [
        ('canary', 'running'),
        ('shifting', 'running'),
        ('settling', 'running'),
        ('a-phase-of-a-newer-build', 'running'),
        ('succeeded', 'succeeded'),
        ('rolled-back', 'rolled_back'),
    ],
)
def test_the_state_of_a_rollout_is_translated(phase, state):
    control = StandInControlOfRollouts(phase=phase)
    reply = _call(control, 'GET', '/v1/rollouts/engines')
    assert reply.status == 200
    assert json.loads(reply.body) == {'state': state, 'to': 'v2'}


@pytest.mark.parametrize(
    ('field', 'change'),
    [
        ('service', {'service': 7}),
        ('service', {'service': ''}),
        ('to', {'to': 2}),
        ('to', {'to': None}),
        ('ramp_s', {'ramp_s': 0}),
        ('ramp_s', {'ramp_s': -1}),
        ('ramp_s', {'ramp_s': '12'}),
        ('ramp_s', {'ramp_s': True}),
        ('ramp_s', {'ramp_s': float('nan')}),
        ('ramp_s', {'ramp_s': float('inf')}),
        ('ramp_s', {'ramp_s': 1e300}),
        ('ramp_s', {'ramp_s': 10**400}),
        ('ramp_s', {'ramp_s': None}),
        ('service', {'service': ['engines']}),
        ('to', {'to': '\ud800'}),
        ('speed', {'speed': 1}),
    ],
)
def test_a_wrong_field_of_an_order_is_named(field, change):
    control = StandInControlOfRollouts()
    reply = _call(control, 'POST', '/v1/rollouts', {**ROLLOUT, **change})
    assert reply.status == 400
    [fault] = json.loads(reply.body)['faults']
    assert fault.startswith(f'{field}: ')
    assert control.rollouts.calls == []


@pytest.mark.parametrize('field', sorted(ROLLOUT))
def test_a_missing_field_of_an_order_is_named(field):
    body = {name: ROLLOUT[name] for name in ROLLOUT if name != field}
    reply = _call(StandInControlOfRollouts(), 'POST', '/v1/rollouts', body)
    assert reply.status == 400
    assert json.loads(reply.body)['faults'] == [f'{field}: is missing']


@pytest.mark.parametrize('body', [b'', b'{', b'[]', b'7', b'\xff'])
def test_an_order_that_is_no_object_is_refused(body):
    control = StandInControlOfRollouts()
    assert _request_status(control, 'POST', '/v1/rollouts', body) == 400


@pytest.mark.parametrize(
    ('failure', 'status'),
    [
        (errors.RolloutInvalid('to', 'wrong'), 400),
        (errors.RolloutConflict('another'), 409),
        (errors.FeatureMissing('rollouts', ['a']), 503),
        (errors.ConfigurationMissing('none'), 503),
        (errors.ChangeUncertain('no quorum'), 503),
    ],
)
def test_a_refused_order_of_a_rollout_has_its_status(failure, status):
    control = StandInControlOfRollouts(failure)
    assert _request_status(control, 'POST', '/v1/rollouts', ROLLOUT) == status


def test_a_deployment_without_rollouts_knows_no_such_path():
    control = StandInControl()
    control.rollouts = None
    assert _request_status(control, 'POST', '/v1/rollouts', ROLLOUT) == 404
    assert _request_status(control, 'GET', '/v1/rollouts/engines') == 404
