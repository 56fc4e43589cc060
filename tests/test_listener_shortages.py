"""Tests of a listener's connections while descriptors run short."""

import errno
import http.client
import socket
import threading

from carobwood import addresses
from carobwood_daemon.entry import listener_connections
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server
from cheroot import connections
import pytest
import relay_test_fleet


@pytest.fixture
def server():
    """Run a listener."""
    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        gateway.make_api_gateway(lambda _: gateway.ApiResponse(200, 'OK')),
        4,
    )
    listener.start()
    yield listener
    listener.stop()


def _ask(server):
    connection = http.client.HTTPConnection(
        '127.0.0.1', server.port, timeout=relay_test_fleet.WAIT_SECONDS
    )
    connection.request('GET', '/')
    assert connection.getresponse().read() == b''
    return connection


# The stop outlasted its time, and connections that were idle in it were
# never answered.
def test_a_stop_gives_up_accepting_while_no_descriptor_is_left(
    server, monkeypatch
):
    has_failed = threading.Event()
    attempts_at_stop = []

    def fail(*_):
        has_failed.set()
        if threading.current_thread() is threading.main_thread():
            attempts_at_stop.append(1)
        raise OSError(errno.EMFILE, 'Too many open files')

    monkeypatch.setattr(
        connections.ConnectionManager, '_from_server_socket', fail
    )
    address = ('127.0.0.1', server.port)
    with socket.create_connection(address):
        assert has_failed.wait(relay_test_fleet.WAIT_SECONDS)
        server.stop()
    assert len(attempts_at_stop) < http_server.BACKLOG / 2


# A connection that its caller had just closed was closed to make room and
# then looked for again: the listener logged a fault of its own.
def test_a_connection_that_has_ended_is_not_closed_twice_to_make_room(
    server, monkeypatch
):
    faults = []
    server._server.error_log = lambda msg='', **_: faults.append(msg)
    held = threading.Event()
    released = threading.Event()
    has_begun = listener_connections.ListenerConnections._has_begun

    def hold(self, connection):
        held.set()
        released.wait(relay_test_fleet.WAIT_SECONDS)
        return has_begun(self, connection)

    idle = _ask(server)
    address = ('127.0.0.1', server.port)
    monkeypatch.setattr(
        listener_connections.ListenerConnections, '_has_begun', hold
    )
    with socket.create_connection(address):
        assert held.wait(relay_test_fleet.WAIT_SECONDS)
        monkeypatch.setattr(
            listener_connections, '_is_reserved', lambda _: True
        )
        with socket.create_connection(address) as waiting:
            idle.close()
            released.set()
            waiting.sendall(b'GET / HTTP/1.0\r\n\r\n')
            assert waiting.recv(4096).startswith(b'HTTP/1.1 200 ')
    monkeypatch.undo()
    _ask(server).close()
    assert not faults


# The answer to the first of two requests closed the connection, and the
# second one, which had come with it, got neither an answer nor a refusal.
def test_a_request_behind_another_is_answered_while_descriptors_run_short(
    server, monkeypatch
):
    monkeypatch.setattr(
        server._server._connections, '_short_until', float('inf')
    )
    address = ('127.0.0.1', server.port)
    seconds = relay_test_fleet.WAIT_SECONDS
    with socket.create_connection(address, seconds) as caller:
        caller.sendall(2 * b'GET / HTTP/1.1\r\nHost: x\r\n\r\n')
        received = b''.join(iter(lambda: caller.recv(4096), b''))
    assert received.count(b'HTTP/1.1 200 OK') == 2
    assert received.count(b'Connection: close') == 1
