"""Stops of the listeners of callers' and operators' interfaces."""

import queue
import socket
import ssl
import threading

from cheroot import connections

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.entry import exchange as exchanges
from carobwood_daemon.entry import listener
from carobwood_daemon.entry import request_body
from carobwood_daemon.entry import request_gate
from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.observe import tracing
from carobwood_daemon import settings
import certificates
import pytest
import relay_test_fleet

MAX_THREADS = 4
MAX_BODY_BYTES = 1000
READ_AHEAD = 3
# More than the kernel buffers for a connection.
LARGE_BYTES = 64 * 1024 * 1024
WHOLE = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
HALF_REQUESTS = {
    'head': b'GET /x HTTP/1.1\r\nHost:',
    'length': b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nabc',
    'chunk': (
        b'POST / HTTP/1.1\r\nHost: x\r\n'
        b'Transfer-Encoding: chunked\r\n\r\n9\r\na'
    ),
}


class _Application:
    """Reads the body of each request and answers once it may.

    Attributes:
        arrived: semaphore that counts the requests.
        may_answer: event that holds the answers back until it is set.
        gate: the ``RequestGate``.
        answer: the body of the answers.
    """

    def __init__(self):
        self.arrived = threading.Semaphore(0)
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.gate = request_gate.RequestGate(MAX_THREADS)
        self.answer = b'answer'
        self._tracer = tracing.make_tracer('none', '', 'vm1')

    def handle(self):
        """Answer the request that CherryPy has parsed."""
        exchange = exchanges.Exchange(
            self.gate, self._tracer, metric_clients.Metrics()
        )
        self.arrived.release()
        self.may_answer.wait(relay_test_fleet.WAIT_SECONDS)
        try:
            exchange.read_body(MAX_BODY_BYTES)
        except errors.CarobwoodError as error:
            return exchange.respond_error(error)
        return exchange.respond(200, {}, self.answer, errors.Outcome.COMPLETE)


@pytest.fixture
def application():
    """Return an ``_Application``."""
    return _Application()


def _serve(application, tls=None):
    server = listener.Listener(
        addresses.Address('127.0.0.1', 0),
        application.handle,
        MAX_THREADS,
        tls,
    )
    server.start()
    return server


@pytest.fixture
def server(application):
    """Yield a listener in front of the application."""
    serving = _serve(application)
    yield serving
    application.may_answer.set()
    serving.stop()


@pytest.fixture
def tls_server(application, tmp_path):
    """Yield a TLS listener and the ``ssl.SSLContext`` of its callers."""
    certificate, key = certificates.create(tmp_path)
    serving = _serve(application, settings.TlsFiles(certificate, key))
    yield serving, ssl.create_default_context(cafile=certificate)
    application.may_answer.set()
    serving.stop()


def _connect(server):
    return socket.create_connection(
        ('127.0.0.1', server.port), relay_test_fleet.WAIT_SECONDS
    )


def _read_all(client):
    with client.makefile('rb') as answers:
        return answers.read()


def _read_answer(client):
    data = b''
    while not data.endswith(b'answer'):
        part = client.recv(65536)
        assert part, 'the connection ended before the answer'
        data += part
    return data


def _await_reader(server):
    """Wait until a worker has a connection that it reads from."""
    workers = server._server.requests._threads
    relay_test_fleet.await_reply(
        lambda: [worker.conn for worker in workers],
        lambda found: any(
            connection is not None and connection.rfile.received_bytes
            for connection in found
        ),
    )


def _await_idle(server, count):
    """Wait until no worker has one of some kept connections."""
    manager = server._server._connections
    relay_test_fleet.await_reply(
        lambda: manager._num_connections, lambda idle: idle == count
    )


def _start_stop(server):
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    relay_test_fleet.await_reply(
        lambda: server._server.ready, lambda is_ready: not is_ready
    )
    return stopping


# A request of a caller that came on a kept connection as its listener stopped
# was closed upon, without an answer or a refusal.
def test_a_request_that_has_arrived_at_a_stop_is_answered(
    server, application, monkeypatch
):
    connection_class = server._server.ConnectionClass
    close = connection_class.close
    with _connect(server) as client:
        client.sendall(WHOLE)
        assert application.arrived.acquire(
            timeout=relay_test_fleet.WAIT_SECONDS
        )
        _read_answer(client)

        def send_and_close(connection):
            client.sendall(WHOLE)
            relay_test_fleet.await_input(connection.socket)
            close(connection)

        monkeypatch.setattr(connection_class, 'close', send_and_close)
        server.stop()
        monkeypatch.undo()
        assert _read_all(client).startswith(b'HTTP/1.1 200')


# Of requests that had come on several kept connections at a stop, those behind
# one whose answer took long got none before the process ended.
def test_requests_on_several_connections_are_answered_together_at_a_stop(
    server, application, monkeypatch
):
    manager = server._server._connections
    stop = manager.stop
    clients = [_connect(server) for _ in range(2)]
    for client in clients:
        client.sendall(WHOLE)
        assert application.arrived.acquire(
            timeout=relay_test_fleet.WAIT_SECONDS
        )
        _read_answer(client)
    _await_idle(server, len(clients))

    def stop_and_send():
        stop()
        for client in clients:
            client.sendall(WHOLE)
        for _, connection in manager._selector.connections:
            if connection is not server._server:
                relay_test_fleet.await_input(connection.socket)

    monkeypatch.setattr(manager, 'stop', stop_and_send)
    application.may_answer.clear()
    server.set_stop_seconds(relay_test_fleet.WAIT_SECONDS)
    _start_stop(server)
    are_together = [
        application.arrived.acquire(timeout=relay_test_fleet.WAIT_SECONDS / 4)
        for _ in clients
    ]
    application.may_answer.set()
    for client in clients:
        with client:
            assert _read_all(client).startswith(b'HTTP/1.1 200')
    assert are_together == [True] * len(clients)


# Requests that were read behind another one at a stop were dropped.
def test_requests_read_ahead_are_answered_at_a_stop(server, application):
    application.may_answer.clear()
    with _connect(server) as client:
        client.sendall(WHOLE * READ_AHEAD)
        assert application.arrived.acquire(
            timeout=relay_test_fleet.WAIT_SECONDS
        )
        stopping = _start_stop(server)
        application.may_answer.set()
        data = _read_all(client)
        stopping.join()
    assert data.count(b'HTTP/1.1 200') == READ_AHEAD


# What was half read at a stop was answered with 400 although it was proper so
# far, once the stop had waited for it.
@pytest.mark.parametrize('name', HALF_REQUESTS)
def test_a_half_read_request_is_refused_as_not_run_at_a_stop(server, name):
    with _connect(server) as client:
        client.sendall(HALF_REQUESTS[name])
        _await_reader(server)
        server.stop()
        head, _, body = _read_all(client).partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 ')
    assert b'connection: close' in head.lower()
    assert b'"outcome": "not-run"' in body


def test_a_half_read_request_over_tls_is_refused_as_not_run_at_a_stop(
    tls_server,
):
    server, context = tls_server
    with context.wrap_socket(
        _connect(server), server_hostname='127.0.0.1'
    ) as client:
        client.sendall(HALF_REQUESTS['length'])
        _await_reader(server)
        server.stop()
        head, _, body = _read_all(client).partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 ')
    assert b'"outcome": "not-run"' in body


# A request on a new connection got neither an answer nor a refusal at a stop:
# it came just after the reads had ended.
def test_a_connection_without_a_request_is_refused_as_not_run_at_a_stop(
    server,
):
    with _connect(server) as client:
        relay_test_fleet.await_accepted(server, client.getsockname()[1])
        server.stop()
        data = _read_all(client)
    assert data.startswith(b'HTTP/1.1 503 ')
    assert b'Connection: close' in data
    assert b'"outcome": "not-run"' in data


# The answer to a request that was in flight at the SIGTERM kept its connection
# open, and its caller's next request met the close of the stop.
def test_an_answer_after_a_stop_began_closes_its_connection(
    server, application
):
    application.may_answer.clear()
    with _connect(server) as client:
        client.sendall(WHOLE)
        assert application.arrived.acquire(
            timeout=relay_test_fleet.WAIT_SECONDS
        )
        application.gate.mark_not_ready()
        application.may_answer.set()
        data = _read_answer(client)
    assert b'connection: close' in data.lower()


# A caller that did not read its answer held the stop up beyond its time.
def test_a_stop_ends_although_a_caller_does_not_read(server, application):
    application.answer = bytes(LARGE_BYTES)
    server._server.timeout = None
    with _connect(server) as client:
        client.sendall(WHOLE)
        assert client.recv(1)
        stopping = _start_stop(server)
        stopping.join(relay_test_fleet.WAIT_SECONDS / 2)
        has_ended = not stopping.is_alive()
    stopping.join()
    assert has_ended


# An answer that outlasted the stop of its listener went out in plain text.
def test_an_answer_that_outlasts_a_stop_is_sent_over_tls(
    tls_server, application, monkeypatch
):
    server, context = tls_server
    application.may_answer.clear()
    is_cut = threading.Event()
    force_close = server._server.requests._force_close

    def force_close_and_tell(connection):
        force_close(connection)
        is_cut.set()

    monkeypatch.setattr(
        server._server.requests, '_force_close', force_close_and_tell
    )
    with context.wrap_socket(
        _connect(server), server_hostname='127.0.0.1'
    ) as client:
        client.sendall(WHOLE)
        assert application.arrived.acquire(
            timeout=relay_test_fleet.WAIT_SECONDS
        )
        stopping = _start_stop(server)
        relay_test_fleet.await_reply(
            lambda: is_cut.is_set() or not stopping.is_alive(), bool
        )
        application.may_answer.set()
        assert _read_all(client).endswith(b'answer')
    stopping.join()


@pytest.fixture
def connect_last(monkeypatch):
    """Give a function that calls one as a listener accepts for the last time.

    By then it has left its loop.
    """
    stop = connections.ConnectionManager.stop

    def arrange(connect):
        def stop_and_connect(manager):
            stop(manager)
            connect()

        monkeypatch.setattr(
            connections.ConnectionManager, 'stop', stop_and_connect
        )

    return arrange


# A caller that had connected was reset, with the request that it was about to
# send: no TLS handshake was answered as the listener closed. One that does not
# begin must not hold up those behind it.
def test_a_tls_connection_that_waits_as_a_listener_stops_gets_an_answer(
    tls_server, connect_last, monkeypatch
):
    server, context = tls_server
    monkeypatch.setattr(
        request_body, 'MAX_DRAIN_SECONDS', relay_test_fleet.WAIT_SECONDS
    )
    server.set_stop_seconds(relay_test_fleet.WAIT_SECONDS)
    clients = queue.Queue()

    def connect():
        clients.put(_connect(server))
        clients.put(_connect(server))

    connect_last(connect)
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    silent = clients.get(timeout=relay_test_fleet.WAIT_SECONDS)
    client = clients.get(timeout=relay_test_fleet.WAIT_SECONDS)
    with (
        silent,
        context.wrap_socket(client, server_hostname='127.0.0.1') as wrapped,
    ):
        wrapped.sendall(WHOLE)
        answer = _read_all(wrapped)
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    assert answer.startswith(b'HTTP/1.1 ')
    assert b'connection: close' in answer.lower()


def test_a_tls_connection_without_a_handshake_does_not_hold_a_stop_up(
    tls_server, connect_last, monkeypatch
):
    server, _ = tls_server
    monkeypatch.setattr(request_body, 'MAX_DRAIN_SECONDS', 0.1)
    clients = queue.Queue()
    connect_last(lambda: clients.put(_connect(server)))
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    with clients.get(timeout=relay_test_fleet.WAIT_SECONDS):
        stopping.join(relay_test_fleet.WAIT_SECONDS / 4)
        assert not stopping.is_alive()
