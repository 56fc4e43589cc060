"""Tests of requests whose heads come byte by byte."""

import select
import socket

import pytest
import relay_test_fleet

from carobwood import addresses
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server

# Shorter than a head of so many bytes, longer than a pause before each byte.
TIMEOUT_SECONDS = 0.5
PAUSE_SECONDS = 0.05
HEAD_BYTES = 400
STARTS_BY_PART = {
    'request line': b'GET /',
    'request line behind an empty line': b'\r\nGET /',
    'header': b'GET / HTTP/1.1\r\nHost: x\r\nX-Word: ',
}


@pytest.fixture
def server(monkeypatch):
    """Run a listener with a short timeout."""
    monkeypatch.setattr(http_server, 'SOCKET_TIMEOUT_SECONDS', TIMEOUT_SECONDS)
    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        gateway.make_api_gateway(lambda _: gateway.ApiResponse(200, 'OK')),
        2,
    )
    listener.start()
    yield listener
    listener.stop()


# Each byte began the time anew: a caller held a thread for as long as it
# liked, and as many callers as there are threads held the listener.
@pytest.mark.parametrize('part', STARTS_BY_PART)
def test_a_head_that_comes_byte_by_byte_is_refused_in_time(server, part):
    address = ('127.0.0.1', server.port)
    seconds = relay_test_fleet.WAIT_SECONDS
    with socket.create_connection(address, seconds) as caller:
        caller.sendall(STARTS_BY_PART[part])
        poller = select.poll()
        poller.register(caller, select.POLLIN)
        sent_bytes = 0
        while sent_bytes < HEAD_BYTES and not poller.poll(
            1000 * PAUSE_SECONDS
        ):
            caller.sendall(b'a')
            sent_bytes += 1
        assert sent_bytes < HEAD_BYTES, 'the head is still read'
        assert caller.recv(65536).startswith(b'HTTP/1.1 4')
