"""Tests of the stand-ins that accept connections."""

import socket

import endless_endpoint
import pausing_endpoint
import pytest

ENDPOINTS = 20


# The thread that accepts held the port open, and was left behind.
@pytest.mark.parametrize(
    'create',
    [
        lambda: endless_endpoint.EndlessEndpoint(None),
        pausing_endpoint.PausingEndpoint,
    ],
    ids=['endless', 'pausing'],
)
def test_a_stopped_endpoint_refuses_connections(create):
    # The threads of most of them wait for a connection by the stop.
    endpoints = [create() for _ in range(ENDPOINTS)]
    for endpoint in endpoints:
        endpoint.stop()
    for endpoint in endpoints:
        host, _, port = endpoint.address.rpartition(':')
        with pytest.raises(ConnectionRefusedError):
            socket.create_connection((host, int(port)))
