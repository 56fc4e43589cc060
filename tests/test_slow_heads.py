"""Tests of requests whose heads come byte by byte."""

import select
import socket

import pytest
import relay_builders as builders
import relay_test_fleet

from carobwood import addresses
from carobwood import clocks
from carobwood_daemon.entry import request_body
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
    _check_slow_head(server.port, STARTS_BY_PART[part])


def _check_slow_head(port, start):
    """Check that a head whose rest comes byte by byte is refused."""
    with _connect(port) as caller:
        caller.sendall(start)
        poller = select.poll()
        poller.register(caller, select.POLLIN)
        sent_bytes = 0
        while sent_bytes < HEAD_BYTES and not poller.poll(
            1000 * PAUSE_SECONDS
        ):
            caller.sendall(b'a')
            sent_bytes += 1
        assert sent_bytes < HEAD_BYTES, 'the head is still read'
        assert caller.recv(65536).startswith(b'HTTP/1.1 408 ')


def _connect(port):
    return socket.create_connection(
        ('127.0.0.1', port), relay_test_fleet.WAIT_SECONDS
    )


@pytest.fixture(scope='module')
def caller_port(tmp_path_factory):
    """Yield the port of an entry VM whose callers have little time."""
    fleet = relay_test_fleet.RelayFleet(tmp_path_factory.mktemp('fleet'))
    limits = builders.configuration_fields()['limits']
    limits['header_timeout_ms'] = 1000 * TIMEOUT_SECONDS
    body = builders.configuration_body(limits=limits)
    fleet.control('PUT', '/v1/config', body)
    relay_test_fleet.await_reply(
        lambda: fleet.ask('/no-route'), lambda reply: reply.status == 404
    )
    yield fleet.entry_ports[0]
    fleet.stop()


# The limit of the configuration had no effect: callers had 30 s in any case.
@pytest.mark.parametrize('part', STARTS_BY_PART)
def test_a_head_has_the_time_that_the_configuration_gives(caller_port, part):
    _check_slow_head(caller_port, STARTS_BY_PART[part])


def test_a_head_that_stops_halfway_is_refused_as_not_run(caller_port):
    with _connect(caller_port) as caller:
        caller.sendall(STARTS_BY_PART['header'])
        with caller.makefile('rb') as answer:
            refusal = answer.read()
    assert refusal.startswith(b'HTTP/1.1 408 ')
    assert b'"code": "headers_timeout"' in refusal
    assert b'"outcome": "not-run"' in refusal


SHORT_SECONDS = 0.001
LONG_SECONDS = 2 * relay_test_fleet.WAIT_SECONDS


def test_a_lowered_limit_leaves_a_head_that_has_begun_its_time(server):
    server.set_head_seconds(LONG_SECONDS)
    with _connect(server.port) as caller:
        caller.sendall(STARTS_BY_PART['header'])
        _await_reader(server)
        server.set_head_seconds(SHORT_SECONDS)
        caller.sendall(b'a\r\n\r\n')
        assert caller.recv(65536).startswith(b'HTTP/1.1 200 ')


def _await_reader(server):
    """Wait until a worker has read a part of a head."""
    workers = server._server.requests._threads
    relay_test_fleet.await_reply(
        lambda: [worker.conn for worker in workers],
        lambda found: any(
            connection is not None and connection.rfile.received_bytes
            for connection in found
        ),
    )


@pytest.fixture
def pair():
    """Yield a ``ConnectionReader`` and the socket that it hears."""
    receiving, sending = socket.socketpair()
    with receiving, sending:
        receiving.settimeout(TIMEOUT_SECONDS)
        reader = request_body.ConnectionReader(receiving, 1)
        yield reader, receiving, sending


# A process that was held up refused what had come meanwhile.
def test_a_head_that_has_come_is_read_after_its_time(pair, monkeypatch):
    reader, _, sending = pair
    reader.bound_head(LONG_SECONDS)
    sending.sendall(b'GET')
    late = clocks.now() + 2 * LONG_SECONDS
    monkeypatch.setattr(clocks, 'now', lambda: late)
    assert reader.read(3) == b'GET'
    with pytest.raises(TimeoutError):
        reader.read(1)


def test_other_reads_end_with_their_time(pair, monkeypatch):
    reader, _, sending = pair
    reader.bound_head(LONG_SECONDS)
    reader.release()
    reader.bound(LONG_SECONDS)
    sending.sendall(b'GET')
    late = clocks.now() + 2 * LONG_SECONDS
    monkeypatch.setattr(clocks, 'now', lambda: late)
    with pytest.raises(TimeoutError):
        reader.read(3)


def test_a_head_may_pause_for_longer_than_other_reads(pair):
    reader, receiving, _ = pair
    reader.bound_head(LONG_SECONDS)
    assert receiving.gettimeout() == LONG_SECONDS
    reader.release()
    assert receiving.gettimeout() == TIMEOUT_SECONDS
