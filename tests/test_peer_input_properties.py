"""Property tests of what endpoints, engines and operators send.

Each input gets a valid value or a typed error; no thread ends.
"""

import io
import json
import math
import types
from unittest import mock

from carobwood import errors
from carobwood_platform import control_api
from carobwood_platform import dialect
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from carobwood_daemon.entry import event_stream
from carobwood_daemon.entry import model_calls
from carobwood_daemon.entry import request_reads
from carobwood_daemon.entry import strict_request
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.membership import gossip_records
from carobwood_daemon.operators import messages
from carobwood_daemon.operators import operator_app
from carobwood_daemon.relay import gateway

EXAMPLES = 300
DEEP = b'[' * 50_000
ALLOWED_STATUSES = {200, 400, 404, 405, 503}
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=6)
    | st.sampled_from(['10.0.0.1:80', '\ud800', 'ready', 'draining']),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=4,
)
ANNOUNCEMENT = {
    'service': 'engines',
    'address': '10.0.0.1:8000',
    'zone': 'bole',
    'version': 'v1',
    'slots': 64,
    'state': 'ready',
    'cold_left_ms': 0,
    'stage': 'unified',
    'models': [{'name': 'ruling', 'version': 1, 'adapters': []}],
    'seq_no': 4,
    'born': 1_700_000_000_000,
}
REPORT = {
    'models': [{'name': 'ruling', 'version': 1}],
    'busy': False,
    'seq_no': 2,
    'running': 1,
}
CACHE_EVENTS = {
    'boot_epoch': 7,
    'next': 3,
    'lost': False,
    'events': [[2, '+', 's1', '5c1e07a2', 800, 'ruling']],
}


def _mutations(template):
    """Return a strategy of encoded objects with one other or missing field."""

    def change(key, value, is_missing):
        fields = dict(template)
        fields[key] = value
        if is_missing:
            del fields[key]
        return json.dumps(fields).encode()

    changed = st.builds(
        change, st.sampled_from(sorted(template)), JSON_VALUES, st.booleans()
    )
    whole = json.dumps(template).encode()
    cut = st.integers(0, len(whole)).map(lambda end: whole[:end])
    return changed | cut | st.binary(max_size=40) | st.just(b'[' * 50_000)


class _Control:
    """Takes the calls of the control API.

    Attributes:
        endpoints: the endpoints that were announced.
    """

    def __init__(self):
        self.endpoints = []

    def record_announcement(self, endpoint):
        """Record an endpoint."""
        self.endpoints.append(endpoint)

    def retire_endpoint(self, endpoint_id, incarnation=None):
        """Accept a retirement."""

    def set_weights_version(self, model, version):
        """Accept a version of weights."""

    def put_configuration(self, content):
        """Check a configuration."""
        dialect.PlatformDialect().parse_configuration(content)


def _write(message):
    protocol = TCompactProtocol.TCompactProtocol(TTransport.TMemoryBuffer())
    message.write(protocol)


@settings(max_examples=EXAMPLES)
@given(
    st.sampled_from(
        [
            ('PUT', '/v1/instances/engine-1'),
            ('DELETE', '/v1/instances/engine-1'),
            ('POST', '/v1/version-put'),
            ('PUT', '/v1/config'),
            ('POST', '/v1/instances/engine-1'),
        ]
    ),
    _mutations(ANNOUNCEMENT | {'model': 'ruling'}),
)
def test_each_call_of_the_control_api_is_answered(call, body):
    control = _Control()
    method, path = call
    response = control_api.ControlApi(control).handle(
        gateway.ApiRequest(method, path, {}, body)
    )
    assert response.status in ALLOWED_STATUSES
    for endpoint in control.endpoints:
        # Other VMs are told of it.
        _write(gossip_records.endpoint_to_thrift(endpoint, 0.0))


def _dialect_that_receives(body):
    receiving = dialect.PlatformDialect()
    receiving._call = lambda *args, **kwargs: types.SimpleNamespace(
        status=200, data=body
    )
    return receiving


@settings(max_examples=EXAMPLES)
@given(_mutations(REPORT))
def test_a_report_of_an_engine_is_valid_or_refused(body):
    try:
        report = _dialect_that_receives(body).read_engine_report('a:1', 1.0)
    except errors.EngineCallFailed:
        return
    assert all(type(v) is int for v in report.weights_by_model.values())


@settings(max_examples=EXAMPLES)
@given(_mutations(CACHE_EVENTS))
def test_cache_events_are_valid_or_refused(body):
    try:
        batch = _dialect_that_receives(body).fetch_cache_events(
            'a:1', 0, 1.0, 1.0
        )
    except errors.EngineCallFailed:
        return
    for event in batch.events:
        (event.cache_salt + event.segment_id).encode('utf-8')


def test_the_templates_are_valid():
    report = _dialect_that_receives(json.dumps(REPORT).encode())
    assert report.read_engine_report('a:1', 1.0).weights_by_model
    cached = _dialect_that_receives(json.dumps(CACHE_EVENTS).encode())
    assert len(cached.fetch_cache_events('a:1', 0, 1.0, 1.0).events) == 1
    control = _Control()
    response = control_api.ControlApi(control).handle(
        gateway.ApiRequest(
            'PUT',
            '/v1/instances/engine-1',
            {},
            json.dumps(ANNOUNCEMENT).encode(),
        )
    )
    assert response.status == 200
    assert len(control.endpoints) == 1


@pytest.mark.parametrize('body', [DEEP, b'{"a": %s' % DEEP])
def test_an_answer_that_is_nested_too_deeply_has_no_usage(body):
    assert model_calls._parse_body_usage(body) is None


def test_an_event_that_is_nested_too_deeply_breaks_its_stream():
    with pytest.raises(errors.StreamBroken):
        event_stream.EventStream().feed(
            b'id: 0\ndata: {"usage": %s}\n\n' % DEEP
        )


def test_a_message_of_an_operator_that_is_nested_too_deeply_is_refused():
    body = b'{"unknown": %s' % DEEP
    server = types.SimpleNamespace(
        request_reads=request_reads.RequestReads(), timeout=30.0
    )
    rfile = types.SimpleNamespace(
        bound=lambda seconds: None, release=lambda: None
    )
    connection = mock.Mock(conn=mock.Mock(server=server, rfile=rfile))
    request = types.SimpleNamespace(
        body_reservation=buffer_budget.unlimited().reserve('request'),
        headers={'Content-Length': str(len(body))},
        wsgi_environ={
            'wsgi.input': io.BytesIO(body),
            strict_request.CONNECTION_KEY: connection,
        },
    )
    with pytest.raises(errors.MalformedRequest):
        operator_app._decode(request, messages.DocumentText)


@pytest.mark.parametrize('count', [math.inf, -math.inf, math.nan])
def test_usage_that_is_not_finite_is_not_counted(count):
    usage = {'prompt_tokens': count, 'completion_tokens': 1}
    assert event_stream.parse_usage(usage) is None
