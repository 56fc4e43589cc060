"""Requests that are read late, while a VM has all that it may have."""

import http.client

from carobwood_daemon import relay_servers
import pytest
import relay_test_fleet

PLACES = 4
DEADLINE_MS = str(int(relay_test_fleet.WAIT_SECONDS * 1000))


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    """Return a fleet whose VMs have few places."""
    monkeypatch.setattr(relay_servers, 'RELAY_THREADS', PLACES)
    small = relay_test_fleet.RelayTestFleet(tmp_path)
    yield small
    small.stop()


def _begin(fleet, path, request_id):
    connection = http.client.HTTPConnection(
        '127.0.0.1',
        fleet.fleet.entry_ports[0],
        timeout=relay_test_fleet.WAIT_SECONDS / 10,
    )
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=request_id, X_Carobwood_Deadline_Ms=DEADLINE_MS
    )
    connection.request('POST', path, b'prompt', headers)
    return connection


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


# A request whose caller had left before it was read reached an endpoint.
def test_a_request_whose_caller_has_left_unread_is_not_sent(fleet, held):
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


# A request beyond the places was held unread until another one had ended.
def test_a_request_beyond_the_places_is_refused(fleet, held):
    beyond = _begin(fleet, '/orders/whole', 'beyond')
    response = beyond.getresponse()
    assert response.status == 503
    assert b'saturated' in response.read()
    beyond.close()
    assert 'beyond' not in _received_ids(fleet)
