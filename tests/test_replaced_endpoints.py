"""Endpoints that die silently and come back as other instances.

No control VM tells that they have ended, and nothing closes the connections
that they had.
"""

import contextlib
import socket
import threading

from carobwood import errors
from carobwood import events
from carobwood_platform import dialect
import pytest
import relay_builders as builders
import relay_test_fleet

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
DEADLINE_MS = '15000'
CALL_SECONDS = 0.3


@pytest.fixture
def make_fleet(tmp_path):
    """Yield a function that starts a fleet whose endpoints can be asked."""
    started = []

    def start(max_attempts=2, **options):
        fleet = relay_test_fleet.RelayTestFleet(tmp_path, **options)
        started.append(fleet)
        fleet.keep_announcing()
        _have_endpoints_asked(fleet, max_attempts)
        return fleet

    yield start
    for fleet in started:
        fleet.stop()


def _have_endpoints_asked(fleet, max_attempts):
    fields = builders.configuration_fields()
    for service in fields['services']:
        service['health_path'] = builders.HEALTH_PATH
    for route in fields['routes']:
        if route['name'] == 'captions':
            route['max_attempts'] = max_attempts
    reply = fleet.configure(
        2, routes=fields['routes'], services=fields['services']
    )
    assert reply.status == 200
    stores = [
        vm._shared.configuration_store
        for vm in fleet.fleet.vms[len(fleet.fleet.control_ports) :]
    ]
    relay_test_fleet.await_reply(
        lambda: {store.configuration.version for store in stores},
        lambda versions: versions == {2},
    )


@pytest.fixture
def failures(monkeypatch):
    """Return a list that gets the codes of the failed attempts."""
    codes = []
    emit = events.emit

    def capture(event, **fields):
        if event is events.ATTEMPT_FAILED:
            codes.append(fields['code'])
        emit(event, **fields)

    monkeypatch.setattr(events, 'emit', capture)
    return codes


def _ask(fleet, path, **headers):
    return fleet.fleet.ask(
        path, X_Carobwood_Deadline_Ms=DEADLINE_MS, **headers
    )


def _replace(endpoint):
    endpoint.instance_id = f'{endpoint.name}-anew'


def _replace_on_run(endpoint):
    """Have another instance answer as soon as a request runs."""
    endpoint.on_run = lambda *_request: _replace(endpoint)


# The caller waited until the deadline for a stream that could not go on.
def test_the_last_attempt_at_an_endpoint_that_was_replaced_ends(
    make_fleet, failures
):
    fleet = make_fleet(max_attempts=1, software_versions=('v1',))
    _replace_on_run(fleet.engines[0])
    reply = _ask(fleet, '/captions/stall-after-2')
    assert failures == ['endpoint_failed']
    assert reply.body != EVENTS
    assert len(fleet.engine_requests) == 1


# The caller waited until the deadline for an answer that could not come.
def test_an_unsafe_request_to_an_endpoint_that_was_replaced_ends_once(
    make_fleet, failures
):
    fleet = make_fleet()
    _replace_on_run(fleet.plain_endpoint)
    reply = _ask(fleet, '/orders/silent')
    assert (reply.status, failures) == (502, ['endpoint_failed'])
    assert len(fleet.plain_endpoint.requests) == 1


def test_a_stream_of_an_endpoint_that_was_replaced_is_resumed(make_fleet):
    fleet = make_fleet()
    for engine in fleet.engines:
        engine.on_run = _first_run_replaces(fleet, engine)
    reply = _ask(fleet, '/captions/stall-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 2


def _first_run_replaces(fleet, engine):
    def run(*_request):
        if len(fleet.engine_requests) == 1:
            _replace(engine)

    return run


# Silence alone ends nothing, whatever becomes of new connections meanwhile.
def _refuse(endpoint):
    endpoint.stop()


def _accept_nothing(endpoint):
    server = endpoint._server
    server.shutdown()
    server.socket.listen(0)
    with contextlib.suppress(TimeoutError):
        while True:
            endpoint.waiting.append(
                socket.create_connection(server.server_address, 0.2)
            )


def _answer_nothing(endpoint):
    endpoint.ends_freeze = threading.Event()


def _fail_checks(endpoint):
    endpoint.health_status = 503


@pytest.mark.parametrize(
    'change', [_refuse, _accept_nothing, _answer_nothing, _fail_checks]
)
def test_a_stream_of_a_sound_endpoint_outlives_its_silence(
    make_fleet, failures, change
):
    fleet = make_fleet(max_attempts=1, software_versions=('v1',))
    engine = fleet.engines[0]
    engine.waiting = []
    engine.on_pause = lambda: change(engine)
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    for waiting in engine.waiting:
        waiting.close()
    assert (reply.status, reply.body) == (200, EVENTS)
    assert failures == []


def test_the_id_of_an_instance_is_read_on_a_new_connection(make_fleet):
    fleet = make_fleet()
    endpoint = fleet.plain_endpoint
    platform = dialect.PlatformDialect()

    def read():
        return platform.read_instance_id(
            endpoint.address,
            endpoint.name,
            builders.HEALTH_PATH,
            CALL_SECONDS,
        )

    assert read() == endpoint.name
    _replace(endpoint)
    assert read() == endpoint.instance_id
    endpoint.stop()
    # The idle connections of the earlier calls are still served.
    with pytest.raises(errors.EngineCallFailed):
        read()
    platform.close()
