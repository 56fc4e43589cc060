"""A sound endpoint that accepts no connection for a while."""

import contextlib
import socket
import threading

import pytest
import relay_test_fleet

DEADLINE_MS = '15000'
PAUSE_SECONDS = 1.5


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
