"""Requests that come while a VM has all that it may have."""

import concurrent.futures
import contextlib
import http.client
import json
import socket

from carobwood_daemon import relay_servers
import pytest
import relay_test_fleet

PLACES = 4
# Callers of a burst, and the requests that each sends on its connection.
CALLERS = 60
REQUESTS = 4
SLOW_PARTS = {
    'head': b'POST /orders/whole HTTP/1.1\r\nHost: ',
    'body': (
        b'POST /orders/whole HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n'
    ),
}
DEADLINE_MS = str(int(relay_test_fleet.WAIT_SECONDS * 1000))


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    """Return a fleet whose VMs have few places."""
    monkeypatch.setattr(relay_servers, 'MAX_REQUESTS', PLACES)
    small = relay_test_fleet.RelayTestFleet(tmp_path)
    yield small
    small.stop()


def _begin(fleet, path, request_id):
    connection = http.client.HTTPConnection(
        '127.0.0.1',
        fleet.fleet.entry_ports[0],
        timeout=relay_test_fleet.WAIT_SECONDS / 10,
    )
    _send(connection, path, request_id)
    return connection


def _send(connection, path, request_id):
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=request_id, X_Carobwood_Deadline_Ms=DEADLINE_MS
    )
    connection.request('POST', path, b'prompt', headers)


def _received_ids(fleet):
    return [
        headers['x-carobwood-request-id']
        for headers in fleet.plain_endpoint.requests
    ]


@pytest.fixture
def held(fleet):
    """Return the connections of requests that take all places."""
    connections = [
        _begin(fleet, '/orders/silent', f'held-{number}')
        for number in range(PLACES)
    ]
    relay_test_fleet.await_reply(
        lambda: len(_received_ids(fleet)), lambda count: count == PLACES
    )
    yield connections
    for connection in connections:
        connection.close()


@pytest.fixture
def no_extra_workers(monkeypatch):
    """Leave no worker to read what comes beyond the places."""
    monkeypatch.setattr(relay_servers, 'EXTRA_CALLER_THREADS', 0)


# A request whose caller had left before it was read reached an endpoint.
def test_a_request_whose_caller_has_left_unread_is_not_sent(
    no_extra_workers, fleet, held
):
    left = [
        _begin(fleet, '/orders/whole', f'left-{number}') for number in range(2)
    ]
    for connection in left:
        connection.close()
    held[0].close()
    relay_test_fleet.await_reply(
        lambda: fleet.fleet.ask('/orders/whole', X_Carobwood_Request_Id='r'),
        lambda reply: reply.status == 200,
    )
    assert not [each for each in _received_ids(fleet) if 'left' in each]


def _read_refusal(connection):
    """Check that a request is refused at once, as one that has not run."""
    response = connection.getresponse()
    body = json.loads(response.read())
    assert response.status == 503
    assert body['error']['code'] == 'saturated'
    assert body['error']['outcome'] == 'not-run'
    assert response.getheader('Retry-After') == '1'


# A request beyond the places was held unread until another one had ended.
def test_a_request_beyond_the_places_is_refused(fleet, held):
    beyond = _begin(fleet, '/orders/whole', 'beyond')
    _read_refusal(beyond)
    beyond.close()
    assert 'beyond' not in _received_ids(fleet)


def _come_back_at_once(fleet, number):
    """Send requests one after the other on a kept connection."""
    connection = _begin(fleet, '/orders/whole', f'beyond-{number}')
    _read_refusal(connection)
    for _ in range(1, REQUESTS):
        _send(connection, '/orders/whole', f'beyond-{number}')
        _read_refusal(connection)
    connection.close()


# All callers of a burst beyond the places waited unread.
def test_a_burst_beyond_the_places_is_refused(fleet, held):
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        burst = [
            pool.submit(_come_back_at_once, fleet, number)
            for number in range(CALLERS)
        ]
        for caller in burst:
            caller.result()
    assert not [each for each in _received_ids(fleet) if 'beyond' in each]


# Slow callers took the workers that refuse what has no place.
@pytest.mark.parametrize('part', SLOW_PARTS)
def test_a_request_is_refused_beside_slow_callers(fleet, held, part):
    address = ('127.0.0.1', fleet.fleet.entry_ports[0])
    with contextlib.ExitStack() as stack:
        for _ in range(relay_servers.EXTRA_CALLER_THREADS - 1):
            slow = stack.enter_context(socket.create_connection(address))
            slow.sendall(SLOW_PARTS[part])
        beyond = _begin(fleet, '/orders/whole', 'beyond')
        stack.callback(beyond.close)
        _read_refusal(beyond)
    assert 'beyond' not in _received_ids(fleet)


def test_a_place_that_is_free_again_is_taken(fleet, held):
    _read_refusal(_begin(fleet, '/orders/whole', 'beyond'))
    held[0].close()
    reply = relay_test_fleet.await_reply(
        lambda: fleet.fleet.ask('/orders/whole', X_Carobwood_Request_Id='r'),
        lambda reply: reply.status == 200,
    )
    assert reply.body == b'whole'
