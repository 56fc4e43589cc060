"""Requests that callers send on kept connections as a VM closes them."""

import contextlib
import socket
import ssl
import threading

from carobwood import addresses
from carobwood import clocks
from carobwood import errors
from carobwood_daemon.entry import exchange as exchanges
from carobwood_daemon.entry import lingering_close
from carobwood_daemon.entry import listener
from carobwood_daemon.entry import listener_connections
from carobwood_daemon.entry import request_gate
from carobwood_daemon.entry import server_stop
from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.observe import tracing
from carobwood_daemon import settings
import certificates
import fake_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet
import waiting_stops

STOP_SECONDS = 20.0
MAX_THREADS = 4
MAX_BODY_BYTES = 1000
WHOLE = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
EMPTY_LINE = b'\r\n'
REQUESTS_BY_BODY = {
    'no body': WHOLE,
    'length': b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc',
    'chunks': (
        b'POST / HTTP/1.1\r\nHost: x\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n'
    ),
}
CONFIGURATION = b'GET /v1/config HTTP/1.1\r\nHost: x\r\n\r\n'


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of one entry VM."""
    with relay_test_fleet.RelayFleet(
        tmp_path, stop_seconds=STOP_SECONDS
    ) as relay_fleet:
        relay_fleet.control('PUT', '/v1/config', builders.configuration_body())
        yield relay_fleet


@pytest.fixture
def engine(fleet):
    """Yield an engine that is in use."""
    started = fake_endpoint.FakeEngine('engine-0', 'engines')
    with started:
        fleet.control('PUT', '/v1/instances/engine-0', started.announcement())
        relay_test_fleet.await_reply(
            lambda: fleet.ask('/checks/x'), lambda reply: reply.status == 200
        )
        started.requests.clear()
        yield started


@pytest.fixture
def patient(monkeypatch):
    """Let stops wait long for a further request, however busy the machine."""
    monkeypatch.setattr(
        listener_connections, 'MIN_IDLE_SECONDS', relay_test_fleet.WAIT_SECONDS
    )


@pytest.fixture
def stops(monkeypatch, patient):
    """Return the ``WaitingStops``, which wait long."""
    return waiting_stops.WaitingStops(monkeypatch)


@pytest.fixture
def idle(monkeypatch):
    """Have kept connections count as idle for long at once."""
    monkeypatch.setattr(listener_connections, 'MIN_IDLE_SECONDS', 0.0)


def _encode(path, request_id):
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=request_id
    )
    head = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    return f'POST {path} HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n'.encode()


def _read_to(client, end):
    data = b''
    while not data.endswith(end):
        byte = client.recv(1)
        assert byte, 'the connection ended before the answer'
        data += byte
    return data


def _read_last(client):
    """Return what comes to the end, without the body of an answer before."""
    with client.makefile('rb') as answers:
        data = answers.read()
    return data[data.rfind(b'HTTP/1.1 ') :]


def _check_refusal(answer):
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'"outcome": "not-run"' in answer
    assert b'connection: close' in answer.lower()


# A caller's next request on its kept connection got neither an answer nor a
# refusal: a stop closed right after a stream that had begun before it.
def test_the_request_after_a_stream_that_ends_in_a_stop_is_refused(
    fleet, engine, stops
):
    vm = fleet.vms[len(fleet.control_ports)]
    is_paused = threading.Event()
    may_end = threading.Event()

    def pause():
        is_paused.set()
        may_end.wait(relay_test_fleet.WAIT_SECONDS)

    engine.on_pause = pause
    with socket.create_connection(
        ('127.0.0.1', fleet.entry_ports[0]), relay_test_fleet.WAIT_SECONDS
    ) as client:
        client.sendall(_encode('/captions/pause-0-after-2', 'r-stream'))
        head = _read_to(client, b'\r\n\r\n')
        assert is_paused.wait(relay_test_fleet.WAIT_SECONDS)
        stopping = threading.Thread(target=vm.stop)
        stopping.start()
        relay_test_fleet.await_reply(lambda: vm.gate.is_draining, bool)
        may_end.set()
        _read_to(client, b'0\r\n\r\n')
        answer = stops.ask(client, _encode('/checks/x', 'r-next'), stopping)
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    assert b'connection: close' not in head.lower()
    _check_refusal(answer)
    assert len(engine.requests) == 1
    assert not stopping.is_alive()


# A request on a connection that had been idle for over a second got neither an
# answer nor a refusal: it crossed the close at the end of a stop.
@pytest.mark.parametrize('is_late', [False, True])
def test_a_request_on_an_idle_connection_is_refused_beside_a_stop(
    fleet, engine, idle, is_late
):
    vm = fleet.vms[len(fleet.control_ports)]
    is_paused = threading.Event()
    may_end = threading.Event()

    def pause():
        is_paused.set()
        may_end.wait(relay_test_fleet.WAIT_SECONDS)

    engine.on_pause = pause
    address = ('127.0.0.1', fleet.entry_ports[0])
    with (
        socket.create_connection(
            address, relay_test_fleet.WAIT_SECONDS
        ) as client,
        socket.create_connection(
            address, relay_test_fleet.WAIT_SECONDS
        ) as streaming,
    ):
        client.sendall(_encode('/checks/x', 'r-first'))
        head = _read_to(client, b'\r\n\r\n')
        streaming.sendall(_encode('/captions/pause-0-after-2', 'r-stream'))
        assert is_paused.wait(relay_test_fleet.WAIT_SECONDS)
        stopping = threading.Thread(target=vm.stop)
        stopping.start()
        relay_test_fleet.await_reply(lambda: vm.gate.is_draining, bool)
        if is_late:
            may_end.set()
            stopping.join(relay_test_fleet.WAIT_SECONDS)
        client.sendall(_encode('/checks/x', 'r-next'))
        answer = _read_last(client)
        may_end.set()
        _read_to(streaming, b'0\r\n\r\n')
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    assert head.startswith(b'HTTP/1.1 200 ')
    _check_refusal(answer)
    assert len(engine.requests) == 2


# An operator's next request met the close of a control VM that stopped.
def test_the_request_after_an_answer_of_a_stopping_control_vm_is_answered(
    fleet, stops
):
    vm = fleet.vms[0]
    with socket.create_connection(
        ('127.0.0.1', fleet.control_ports[0]), relay_test_fleet.WAIT_SECONDS
    ) as client:
        client.sendall(CONFIGURATION)
        head = _read_to(client, b'\r\n\r\n')
        waiting_stops.read_body(client, head)
        stopping = threading.Thread(target=vm.stop)
        stopping.start()
        answer = stops.ask(client, CONFIGURATION, stopping)
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    assert b'connection: close' not in head.lower()
    assert b'HTTP/1.1 ' in answer
    assert b'connection: close' in answer.lower()
    assert not stopping.is_alive()


class _Application:
    """Answers requests of a listener of carobwoodd.

    Attributes:
        gate: the ``RequestGate``.
    """

    def __init__(self):
        self.gate = request_gate.RequestGate(MAX_THREADS)
        self._tracer = tracing.make_tracer('none', '', 'vm1')

    def handle(self):
        """Answer the request that CherryPy has parsed."""
        exchange = exchanges.Exchange(
            self.gate, self._tracer, metric_clients.Metrics()
        )
        try:
            exchange.admit()
            exchange.read_body(MAX_BODY_BYTES)
        except errors.CarobwoodError as error:
            return exchange.respond_error(error)
        return exchange.respond(200, {}, b'answer', errors.Outcome.COMPLETE)


@pytest.fixture
def application():
    """Return an ``_Application``."""
    return _Application()


@pytest.fixture
def server(application):
    """Yield a listener of carobwoodd in front of the application."""
    serving = listener.Listener(
        addresses.Address('127.0.0.1', 0), application.handle, MAX_THREADS
    )
    serving.start()
    yield serving
    serving.stop()


def _start_stop(server, application):
    application.gate.drain(0)
    stopping = threading.Thread(
        target=server_stop.stop_together,
        args=([server], clocks.now() + STOP_SECONDS, 0.0),
    )
    stopping.start()
    return stopping


# The same at a stop of carobwoodd.
def test_the_request_after_an_answer_of_a_stopping_listener_is_refused(
    server, application, stops
):
    with _ask_first(server) as client:
        stopping = _start_stop(server, application)
        answer = stops.ask(client, WHOLE, stopping)
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    _check_refusal(answer)
    assert not stopping.is_alive()


def test_a_connection_whose_caller_has_gone_does_not_hold_a_stop_up(
    server, application, patient
):
    _ask_first(server).close()
    stopping = _start_stop(server, application)
    stopping.join(STOP_SECONDS / 2)
    assert not stopping.is_alive()


# A caller that keeps its connection open and sends nothing.
def test_a_kept_connection_does_not_hold_a_stop_up_beyond_its_time(
    server, application, patient
):
    with _ask_first(server) as client:
        stopping = threading.Thread(
            target=server_stop.stop_together,
            args=([server], clocks.now(), 0.0),
        )
        stopping.start()
        stopping.join(STOP_SECONDS)
        assert not stopping.is_alive()
        _check_refusal(_read_last(client))


@pytest.fixture
def tls_server(application, tmp_path):
    """Yield a TLS listener of carobwoodd and the context of its callers."""
    certificate, key = certificates.create(tmp_path)
    serving = listener.Listener(
        addresses.Address('127.0.0.1', 0),
        application.handle,
        MAX_THREADS,
        settings.TlsFiles(certificate, key),
    )
    serving.start()
    yield serving, ssl.create_default_context(cafile=certificate)
    serving.stop()


# The same on an idle connection of carobwoodd.
def test_a_request_after_the_stop_of_a_listener_is_refused(server):
    with _keep(server) as client:
        server.stop()
        client.sendall(WHOLE)
        _check_refusal(_read_last(client))


def test_a_request_after_the_stop_of_a_tls_listener_is_refused(tls_server):
    server, context = tls_server
    with _connect_tls(server, context) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
        _await_idle(server)
        server.stop()
        client.sendall(WHOLE)
        _check_refusal(_read_last(client))


# An empty line behind a request (RFC 9112, section 2.2) ended the connection
# at a stop without a word, or held a thread until the next request came.
@pytest.mark.parametrize('body', REQUESTS_BY_BODY)
def test_a_request_behind_an_empty_line_is_refused_after_a_stop(server, body):
    with _connect(server) as client:
        client.sendall(REQUESTS_BY_BODY[body] + EMPTY_LINE)
        _read_to(client, b'answer')
        server.stop()
        client.sendall(WHOLE)
        _check_refusal(_read_last(client))


def test_a_request_behind_an_empty_line_with_tls_is_refused_after_a_stop(
    tls_server,
):
    server, context = tls_server
    with _connect_tls(server, context) as client:
        client.sendall(WHOLE + EMPTY_LINE)
        _read_to(client, b'answer')
        server.stop()
        client.sendall(WHOLE)
        _check_refusal(_read_last(client))


def test_a_request_behind_a_lone_empty_line_is_refused_after_a_stop(server):
    with _connect(server) as client:
        client.sendall(EMPTY_LINE)
        _await_idle(server)
        server.stop()
        client.sendall(WHOLE)
        _check_refusal(_read_last(client))


def test_an_empty_line_counts_as_no_request_without_an_answer(server):
    with _connect(server) as client:
        client.sendall(WHOLE + EMPTY_LINE)
        _read_to(client, b'answer')
        kept = _await_idle(server)
        assert kept.rfile.received_bytes == len(WHOLE + EMPTY_LINE)
        assert not kept.unanswered_bytes


def test_empty_lines_behind_requests_hold_no_threads(server):
    with contextlib.ExitStack() as stack:
        clients = [
            stack.enter_context(_connect(server))
            for _ in range(MAX_THREADS + 1)
        ]
        for client in clients:
            client.sendall(WHOLE + EMPTY_LINE)
            _read_to(client, b'answer')
        for client in clients:
            client.sendall(WHOLE)
            _read_to(client, b'answer')


@pytest.mark.parametrize('is_apart', [False, True])
def test_a_second_empty_line_before_a_request_is_refused(server, is_apart):
    with _connect(server) as client:
        client.sendall(EMPTY_LINE)
        if is_apart:
            _await_idle(server)
        client.sendall(EMPTY_LINE)
        assert _read_last(client).startswith(b'HTTP/1.1 400 ')


def _connect(server):
    return socket.create_connection(
        ('127.0.0.1', server.port), relay_test_fleet.WAIT_SECONDS
    )


def _connect_tls(server, context):
    return context.wrap_socket(_connect(server), server_hostname='127.0.0.1')


def _await_idle(server):
    """Return the connection that a listener keeps."""
    manager = server._server._connections
    relay_test_fleet.await_reply(
        lambda: manager._num_connections, lambda idle: idle == 1
    )
    [kept] = [
        connection
        for _, connection in manager._selector.connections
        if connection is not server._server
    ]
    return kept


def _ask_first(server):
    """Return a caller's connection that has been answered once."""
    client = _connect(server)
    client.sendall(WHOLE)
    _read_to(client, b'answer')
    return client


def _keep(server):
    """Return the same once the listener has it back."""
    client = _ask_first(server)
    _await_idle(server)
    return client


# A reset answered a request that was sent in parts as its connection closed:
# the caller could not send the rest, and did not look for a refusal.
def test_a_request_in_parts_after_a_refusal_meets_no_reset(
    server, monkeypatch
):
    monkeypatch.setattr(
        lingering_close, 'LINGER_SECONDS', relay_test_fleet.WAIT_SECONDS
    )
    with _keep(server) as client:
        server.stop()
        for byte in WHOLE:
            client.sendall(bytes([byte]))
        _check_refusal(_read_last(client))


@pytest.mark.parametrize('leaves', [False, True])
def test_a_refused_connection_is_closed_in_the_end(
    server, monkeypatch, leaves
):
    seconds = relay_test_fleet.WAIT_SECONDS if leaves else 0.0
    monkeypatch.setattr(lingering_close, 'LINGER_SECONDS', seconds)
    with _keep(server) as client:
        kept = _await_idle(server)
        server.stop()
        if leaves:
            client.close()
        relay_test_fleet.await_reply(
            kept.socket.fileno, lambda descriptor: descriptor < 0
        )


def test_a_refused_connection_is_closed_without_a_thread(server, monkeypatch):
    with _keep(server) as client:
        kept = _await_idle(server)
        with monkeypatch.context() as patch:
            patch.setattr(threading.Thread, 'start', _refuse_start)
            server.stop()
        assert kept.socket.fileno() < 0
        _check_refusal(_read_last(client))


def _refuse_start(thread):
    raise RuntimeError("can't start new thread")
