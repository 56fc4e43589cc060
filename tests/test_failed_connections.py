"""Connections that a listener can neither watch nor close after an answer."""

import errno
import http.client

from carobwood import addresses
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server
from cheroot import server as cheroot_server
import pytest
import relay_test_fleet

MAX_THREADS = 4


@pytest.fixture
def server():
    """Yield an ``HttpServer`` that answers all requests."""
    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        gateway.make_api_gateway(lambda _: gateway.ApiResponse(200, 'OK')),
        MAX_THREADS,
    )
    listener.start()
    yield listener
    listener.stop()


def _ask(server, **headers):
    connection = http.client.HTTPConnection(
        '127.0.0.1', server.port, timeout=relay_test_fleet.WAIT_SECONDS
    )
    _ask_again(connection, **headers)
    return connection


def _ask_again(connection, **headers):
    connection.request('GET', '/', headers=headers)
    response = connection.getresponse()
    assert (response.status, response.read()) == (200, b'')


# A listener ended for good, and its VM lived on without it: the system had no
# memory left to watch one connection.
def test_a_listener_goes_on_after_one_connection_cannot_be_watched(
    server, monkeypatch
):
    selector = server._server._connections._selector
    register = selector.register
    failures = [OSError(errno.ENOMEM, 'Cannot allocate memory')]

    def fail_once(descriptor, wanted_events, data):
        # A new connection is watched as well if its request comes late.
        if failures and data.answered_requests:
            raise failures.pop()
        return register(descriptor, wanted_events, data)

    monkeypatch.setattr(selector, 'register', fail_once)
    unwatched = _ask(server)
    relay_test_fleet.await_reply(lambda: failures, lambda left: not left)
    # It is closed, as nobody would serve its next request.
    assert unwatched.sock.recv(1) == b''
    unwatched.close()
    kept = _ask(server)
    _ask_again(kept)
    kept.close()


# The same for one that could not be closed.
def test_a_listener_goes_on_after_one_connection_cannot_be_closed(
    server, monkeypatch
):
    close = cheroot_server.HTTPConnection.close
    failures = [OSError(errno.EIO, 'Input/output error')]

    def fail_once(connection):
        close(connection)
        if failures:
            raise failures.pop()

    monkeypatch.setattr(cheroot_server.HTTPConnection, 'close', fail_once)
    _ask(server, Connection='close').close()
    relay_test_fleet.await_reply(lambda: failures, lambda left: not left)
    workers = server._server.requests._threads
    relay_test_fleet.await_reply(
        lambda: [worker.conn for worker in workers if worker.is_alive()],
        lambda connections: not any(connections),
    )
    assert len(workers) == sum(worker.is_alive() for worker in workers) > 0
    _ask(server).close()
