"""Listeners of which the kernel's queue of connections is full."""

import contextlib
import http.client
import socket
import threading

import pytest
import relay_test_fleet

from carobwood import addresses
from carobwood_daemon.entry import listener
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server

DEADLINE_MS = '15000'
PAUSE_SECONDS = 1.5
BACKLOG = 8
ANSWER_TIMEOUT_SECONDS = 10.0


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet whose service ``orders`` has one endpoint."""
    fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    fleet.keep_announcing()
    yield fleet
    fleet.stop()


def _try_connect(address):
    """Connect once more; return the socket, or None if none is accepted."""
    try:
        return socket.create_connection(address, 0.2)
    except TimeoutError:
        return None


@contextlib.contextmanager
def _full_backlog(endpoint):
    """Have an endpoint accept nothing, as a stopped process does."""
    server = endpoint._server
    server.shutdown()
    server.socket.listen(0)
    with contextlib.ExitStack() as stack:
        while True:
            waiting = _try_connect(server.server_address)
            if waiting is None:
                break
            stack.callback(waiting.close)
        timer = threading.Timer(PAUSE_SECONDS, server.serve_forever)
        timer.daemon = True
        timer.start()
        yield


# The only endpoint counted as dead, and its requests were refused.
@pytest.mark.parametrize('route', ['orders', 'lookups'])
def test_a_full_backlog_of_the_only_endpoint_refuses_no_request(fleet, route):
    endpoint = fleet.plain_endpoint
    with _full_backlog(endpoint):
        reply = fleet.fleet.ask(
            f'/{route}/whole', X_Carobwood_Deadline_Ms=DEADLINE_MS
        )
    assert (reply.status, reply.body) == (200, b'whole')
    assert len(endpoint.requests) == 1


def _make_http_server(address):
    response = gateway.ApiResponse(200, 'OK', b'answer')
    api = gateway.make_api_gateway(lambda request: response)
    return http_server.HttpServer(address, api, 4)


def _make_listener(address):
    return listener.Listener(address, lambda: b'answer', 4)


def _fill(port, stack):
    """Send requests on new connections until none is accepted."""
    connections = []
    while (sock := _try_connect(('127.0.0.1', port))) is not None:
        connection = http.client.HTTPConnection('127.0.0.1', port)
        connection.sock = sock
        stack.callback(connection.close)
        sock.settimeout(ANSWER_TIMEOUT_SECONDS)
        connection.request('GET', '/')
        connections.append(connection)
    return connections


# The kernel queues one connection more than it is asked to. The last one was
# reset, with its request, as the listener stopped.
@pytest.mark.parametrize('make_server', (_make_http_server, _make_listener))
def test_all_that_wait_in_a_full_backlog_at_a_stop_are_answered(
    monkeypatch, make_server
):
    monkeypatch.setattr(http_server, 'BACKLOG', BACKLOG)
    monkeypatch.setattr(listener, 'BACKLOG', BACKLOG)
    server = make_server(addresses.Address('127.0.0.1', 0))
    with contextlib.ExitStack() as stack:
        connections = _fill(server.port, stack)
        server.stop()
        statuses = {x.getresponse().status for x in connections}
    assert len(connections) > BACKLOG
    assert statuses <= {200, 503}
