"""Tests of answers that are read after the deadline of their request."""

import contextlib
import dataclasses
import http.client
import socket

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import answer_reader
from carobwood_daemon.relay import caller_request
from carobwood_daemon.relay import endpoint_connections
from carobwood_daemon.relay import http_server
from carobwood_daemon.relay import whole_answer
import pytest
import relay_test_fleet

READ_SECONDS = 5.0
# Seconds left of a request whose deadline has passed.
SECONDS_LEFT = -8.0
STATUS = b'HTTP/1.1 200 OK\r\n'
HEAD = STATUS + b'Transfer-Encoding: chunked\r\n\r\n'
CONTENT = b'5\r\nwhole\r\n'
LAST_CHUNK = b'0\r\n'
# Fits into a socket, but not into one read.
LARGE = bytes(range(256)) * 512
CHUNK_BYTES = 1000
# Beyond what the answers of these tests take.
MAX_READS = 10_000
PARTS_AT_ONCE = 1000
# Trailers whose end has not come.
OPEN_TRAILERS = [b'', b'\r', b'X-Na', b'X-Name: value\r\n']


@dataclasses.dataclass(frozen=True)
class _Caller:
    """A caller that stays."""

    socket: object = None


def _open_connection(data, head=HEAD):
    """Return a connection on which the head and then data have come.

    The endpoint's side of it, which is returned too, stays open.
    """
    own, peer = socket.socketpair()
    # Where a socket takes less, the test fails instead of waiting.
    peer.settimeout(READ_SECONDS)
    peer.sendall(head + data)
    connection = endpoint_connections.EndpointConnection(
        addresses.Address('127.0.0.1', 1), own
    )
    connection.read_head('POST', READ_SECONDS)
    return connection, peer


def _read(connection, seconds_left, before_read=lambda: None):
    reader = answer_reader.AnswerReader(connection, _Caller(), READ_SECONDS)
    parts = []
    for _ in range(MAX_READS):
        if reader.has_ended:
            return b''.join(parts)
        before_read()
        parts.append(reader.read(seconds_left))
    raise AssertionError('the reads do not end')


# It got 504: the deadline passed while the end of the trailer was awaited.
@pytest.mark.parametrize('seconds_left', [SECONDS_LEFT, 0.0])
@pytest.mark.parametrize('trailer', OPEN_TRAILERS)
def test_a_whole_answer_with_an_open_trailer_is_read_late(
    trailer, seconds_left
):
    connection, peer = _open_connection(CONTENT + LAST_CHUNK + trailer)
    with peer:
        assert _read(connection, seconds_left) == b'whole'
        assert not connection.is_reusable()
        connection.close()


def test_a_whole_answer_with_its_trailer_keeps_its_connection():
    connection, peer = _open_connection(
        CONTENT + LAST_CHUNK + b'X-Name: value\r\n\r\n'
    )
    with peer:
        assert _read(connection, SECONDS_LEFT) == b'whole'
        assert connection.is_reusable()
        connection.close()


@pytest.mark.parametrize(
    'content', [b'', CONTENT, CONTENT + b'0', CONTENT + b'0\r', b'5\r\nwho']
)
def test_an_answer_without_its_last_chunk_is_not_whole(content):
    connection, peer = _open_connection(content)
    with peer:
        with pytest.raises(errors.EndpointTimeout):
            _read(connection, SECONDS_LEFT)
        connection.close()


def _chunks():
    parts = []
    for start in range(0, len(LARGE), CHUNK_BYTES):
        part = LARGE[start : start + CHUNK_BYTES]
        parts.append(b'%x\r\n%s\r\n' % (len(part), part))
    return b''.join(parts)


LARGE_ANSWERS = {
    'length': (STATUS + b'Content-Length: %d\r\n\r\n' % len(LARGE), LARGE),
    'chunks': (HEAD, _chunks() + LAST_CHUNK + b'\r\n'),
    'open-trailer': (HEAD, _chunks() + LAST_CHUNK),
    'until-close': (STATUS + b'\r\n', LARGE),
}


# It got 504: one read only was made after the deadline.
@pytest.mark.parametrize('kind', LARGE_ANSWERS)
def test_a_large_answer_that_has_come_is_read_late(kind):
    head, data = LARGE_ANSWERS[kind]
    connection, peer = _open_connection(data, head)
    with peer:
        if kind == 'until-close':
            peer.shutdown(socket.SHUT_WR)
        assert _read(connection, SECONDS_LEFT) == LARGE
        connection.close()


@pytest.mark.parametrize('kind', LARGE_ANSWERS)
def test_a_large_answer_that_has_come_in_part_is_not_whole(kind):
    head, data = LARGE_ANSWERS[kind]
    connection, peer = _open_connection(data[:-1000], head)
    with peer:
        with pytest.raises(errors.EndpointTimeout):
            _read(connection, SECONDS_LEFT)
        connection.close()


# Each read of an endpoint that sends without end makes room for more.
@pytest.mark.parametrize('part', [b'5\r\nwhole\r\n', b'0' * 900])
def test_an_answer_without_end_is_read_late_in_bounds(part):
    connection, peer = _open_connection(b'')
    peer.setblocking(False)
    unsent = b''

    def fill():
        """Leave as much to read as the socket takes."""
        nonlocal unsent
        with contextlib.suppress(BlockingIOError):
            while True:
                unsent = unsent or PARTS_AT_ONCE * part
                unsent = unsent[peer.send(unsent) :]

    with peer:
        with pytest.raises((errors.EndpointTimeout, errors.EndpointFailed)):
            _read(connection, SECONDS_LEFT, fill)
        connection.close()


class _Gateway:
    """Forwards an answer whose content is whole after the deadline."""

    def __init__(self, parsed):
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Answer the request."""
        with self._caller as caller:
            connection, peer = _open_connection(CONTENT + LAST_CHUNK)
            answer = whole_answer.WholeAnswer(
                caller, 200, {}, buffer_budget.BufferBudget(1024)
            )
            reader = answer_reader.AnswerReader(
                connection, caller, READ_SECONDS
            )
            with peer:
                answer.forward(reader, lambda: SECONDS_LEFT, lambda: None)
            connection.close()


@pytest.fixture
def server():
    """Run a listener."""
    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0), _Gateway, 2
    )
    listener.start()
    yield listener
    listener.stop()


def test_a_whole_answer_with_an_open_trailer_reaches_its_caller_late(server):
    connection = http.client.HTTPConnection(
        '127.0.0.1', server.port, timeout=relay_test_fleet.WAIT_SECONDS
    )
    connection.request('GET', '/')
    response = connection.getresponse()
    assert (response.status, response.read()) == (200, b'whole')
    connection.close()
