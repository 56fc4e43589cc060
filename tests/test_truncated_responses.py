"""Responses that are cut at any byte are never taken for whole ones."""

import http.client
import io
import socket

from carobwood import addresses
from carobwood import errors
from carobwood import response_head
from carobwood_daemon.entry import upstream
from carobwood_daemon.relay import connection_pool
from carobwood_daemon.relay import endpoint_connections
import pytest

READ_SECONDS = 5.0
MAX_BODY_BYTES = 1000
BODY = b'the whole body'
STAMP = b'X-Carobwood-Response-Stamp: 3e1b.07\r\nX-Request-Id: abcdef\r\n'
WITH_LENGTH = (
    b'HTTP/1.1 200 OK\r\n'
    + STAMP
    + b'Content-Length: %d\r\n\r\n%s' % (len(BODY), BODY)
)
CHUNKS = b'%x\r\n%s\r\n0\r\n\r\n' % (len(BODY), BODY)
CHUNKED = (
    b'HTTP/1.1 200 OK\r\n'
    + STAMP
    + b'Transfer-Encoding: chunked\r\n\r\n'
    + CHUNKS
)
INTERIM = b'HTTP/1.1 100 Continue\r\n\r\n'
HINTS = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'


def _read_by_relay(data):
    """Return the body that the relay reads from an endpoint's bytes."""
    own, peer = socket.socketpair()
    peer.sendall(data)
    peer.close()
    connection = endpoint_connections.EndpointConnection(
        addresses.Address('127.0.0.1', 1), own
    )
    try:
        connection.read_head('POST', READ_SECONDS)
        parts = []
        while not connection.has_ended:
            parts.append(connection.read_available(READ_SECONDS))
        return b''.join(parts)
    finally:
        connection.close()


class _Connection(http.client.HTTPConnection):
    """A connection whose socket a test has made."""

    def __init__(self, sock):
        super().__init__('127.0.0.1')
        self.sock = sock


def _read_by_entry(data):
    """Return the body that the callers' own interface reads."""
    own, peer = socket.socketpair()
    connection = _Connection(own)
    peer.sendall(data)
    peer.shutdown(socket.SHUT_WR)
    request = upstream.UpstreamRequest(
        'GET', '/', {}, None, 'abcdef', False, READ_SECONDS, READ_SECONDS
    )
    try:
        response = upstream.send(connection, request)
        return response.read_all(MAX_BODY_BYTES)
    finally:
        connection.close()
        peer.close()


READERS = [_read_by_relay, _read_by_entry]


@pytest.mark.parametrize('read', READERS)
@pytest.mark.parametrize(
    'answer',
    [
        WITH_LENGTH,
        CHUNKED,
        INTERIM + WITH_LENGTH,
        HINTS + WITH_LENGTH,
        HINTS + INTERIM + CHUNKED,
    ],
)
# An engine stopped in the head of its answer, and clients got a 200 with an
# empty or a short body that looked whole.
def test_an_answer_that_is_cut_anywhere_is_not_whole(read, answer):
    assert read(answer) == BODY
    for end in range(len(answer)):
        with pytest.raises(errors.CarobwoodError):
            read(answer[:end])


@pytest.mark.parametrize('read', READERS)
@pytest.mark.parametrize(
    'header',
    [
        b'Content-Length: abc',
        b'Content-Length: -5',
        b'Content-Length: 5, 6',
        b'Content-Length: 5\r\nContent-Length: 6',
        b'Transfer-Encoding: chunk',
        b'Transfer-Encoding: gzip, chunked',
        b'Transfer-Encoding: chunked\r\nContent-Length: 5',
        b'Content-Length: 5\r\nTransfer-Encoding: chunked',
    ],
)
def test_an_answer_of_unclear_length_is_not_whole(read, header):
    body = CHUNKS if b': chunked' in header else b'hello'
    with pytest.raises(errors.EndpointFailed):
        read(b'HTTP/1.1 200 OK\r\n' + header + b'\r\n\r\n' + body)


@pytest.mark.parametrize('read', READERS)
def test_an_answer_may_end_with_its_connection(read):
    assert read(b'HTTP/1.1 200 OK\r\n' + STAMP + b'\r\n' + BODY) == BODY


def test_a_reader_without_a_socket_is_closed_with_the_response():
    class Socket:
        """Gives the bytes of a response."""

        def makefile(self, mode):
            return io.BytesIO(WITH_LENGTH)

    response = response_head.StrictResponse(Socket())
    response.begin()
    assert response.read() == BODY
    assert response.isclosed()


def test_a_pooled_connection_is_not_kept_after_a_cut_head():
    listener = socket.create_server(('127.0.0.1', 0))
    pool = connection_pool.ConnectionPool()
    connection = pool.acquire('127.0.0.1:%d' % listener.getsockname()[1])
    accepted, _ = listener.accept()
    accepted.sendall(b'HTTP/1.1 200 OK\r\nContent-Le')
    accepted.close()
    with pytest.raises(errors.EndpointFailed):
        connection.read_head('GET', READ_SECONDS)
    assert not connection.is_reusable()
    connection.close()
    listener.close()
