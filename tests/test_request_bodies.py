"""Tests of requests whose answer comes before their body was read."""

import contextlib
import socket

import pytest

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.entry import request_body
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import caller_request
from carobwood_daemon.relay import http_server

HOST = b'Host: x\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
REFUSED = b'POST /refused HTTP/1.1\r\n' + HOST
PROPER = b'POST /proper HTTP/1.1\r\n' + HOST
SMALL = b'a' * 5
LARGE = b'b' * 300_000
MAX_BODY_BYTES = 4_000_000
READ_SECONDS = 20
IDLE_CONNECTIONS = 30
MAX_THREADS = 8


class _Gateway:
    """Refuses requests for /refused without reading their bodies."""

    def __init__(self, parsed):
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Answer with the body that was read."""
        with self._caller as caller:
            self._answer(caller)

    def _answer(self, caller):
        if caller.path == '/refused':
            caller.send_response(404, 'Not Found', [], b'refused')
            return
        try:
            body = caller.read_body() or b''
        except errors.CarobwoodError as error:
            caller.send_response(error.status, error.code, [], b'')
            return
        caller.send_response(200, 'OK', [], body)


@pytest.fixture
def server():
    """Run a server with a limit on bodies and on threads."""
    listening = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0), _Gateway, MAX_THREADS
    )
    listening.set_limits(16384, MAX_BODY_BYTES)
    listening.start()
    yield listening
    listening.stop()


@pytest.fixture
def budget(server):
    """Give the server memory for no large body."""
    server._server.buffers = buffer_budget.BufferBudget(100_000)
    return server._server.buffers


class _Client:
    """A connection that a test writes bytes to.

    Attributes:
        sock: the socket.
    """

    def __init__(self, server):
        self.sock = socket.create_connection(
            ('127.0.0.1', server.port), READ_SECONDS
        )
        self._file = self.sock.makefile('rb')

    def send(self, *parts):
        """Send bytes, each part by itself."""
        for part in parts:
            self.sock.sendall(part)

    def read_answer(self):
        """Return status, lower-case head and body of the next answer."""
        status_line = self._file.readline()
        head = b''
        while (line := self._file.readline()) not in (b'\r\n', b''):
            head += line.lower()
        assert line, 'the connection ended in the head of an answer'
        lengths = [
            int(line.partition(b':')[2])
            for line in head.splitlines()
            if line.startswith(b'content-length:')
        ]
        body = self._file.read(lengths[0])
        return int(status_line.split()[1]), head, body

    def is_at_end(self):
        """Tell whether the connection ends without further bytes."""
        return self._file.read(1) == b''

    def close(self):
        """Close the connection."""
        self._file.close()
        self.sock.close()


def _connect(server):
    return contextlib.closing(_Client(server))


def _chunks(body, trailer=b''):
    return b'%x\r\n%s\r\n0\r\n%s\r\n' % (len(body), body, trailer)


def _with_length(body):
    return b'Content-Length: %d\r\n\r\n%s' % (len(body), body)


def _bodies():
    for name, body in (('small', SMALL), ('large', LARGE)):
        yield f'{name} with length', _with_length(body)
        yield f'{name} in chunks', CHUNKED + b'\r\n' + _chunks(body)
    trailer = _chunks(SMALL, b'X-Checksum: 1\r\nX-Other: 2\r\n')
    yield 'chunks and trailer', CHUNKED + b'\r\n' + trailer


BODIES = dict(_bodies())


# Proper requests were denied: the body of a refused request was left on the
# connection and taken for the next request.
@pytest.mark.parametrize('name', BODIES)
def test_the_request_after_a_refused_one_is_served(server, name):
    with _connect(server) as client:
        for _ in range(3):
            client.send(REFUSED + BODIES[name])
            assert client.read_answer()[0] == 404
            client.send(PROPER + BODIES['small in chunks'])
            status, _, body = client.read_answer()
            assert (status, body) == (200, SMALL)


@pytest.mark.parametrize('name', BODIES)
def test_a_body_that_follows_later_is_left_out_as_well(server, name):
    head, _, body = BODIES[name].partition(b'\r\n\r\n')
    half = len(body) // 2
    with _connect(server) as client:
        client.send(REFUSED + head + b'\r\n\r\n', body[:half], body[half:])
        assert client.read_answer()[0] == 404
        client.send(PROPER + _with_length(SMALL))
        assert client.read_answer()[2] == SMALL


# A trailer field after a chunked body brought an answer to no request.
@pytest.mark.parametrize('name', BODIES)
def test_each_body_is_read_to_its_end(server, name):
    with _connect(server) as client:
        for _ in range(3):
            client.send(PROPER + BODIES[name])
            status, _, body = client.read_answer()
            assert status == 200 and body in (SMALL, LARGE)
        client.sock.shutdown(socket.SHUT_WR)
        assert client.is_at_end()


# A close with unread bytes makes the kernel send a reset, which can destroy
# the answer that was just sent.
@pytest.mark.parametrize(
    'start',
    [
        # The rest of these bodies does not come.
        REFUSED + CHUNKED + b'\r\n40\r\nabc',
        REFUSED + b'Content-Length: 900000\r\n\r\nabc',
        # More than the limit on bodies.
        PROPER + b'Content-Length: 5000000\r\n\r\n',
        # Not a request.
        b'GET / SPDY/1\r\n',
    ],
)
def test_an_answer_arrives_although_its_body_is_not_read(server, start):
    with _connect(server) as client:
        client.send(start)
        status, head, _ = client.read_answer()
        assert status in (400, 404, 413)
        assert b'connection: close' in head
        with contextlib.suppress(ConnectionError):
            client.send(LARGE)


def test_an_answer_arrives_before_the_reset_of_a_body_without_end(server):
    with _connect(server) as client:
        client.send(PROPER + b'Content-Length: 5000000\r\n\r\n')
        with contextlib.suppress(ConnectionError):
            client.send(*[LARGE] * 5)
        assert client.read_answer()[0] == 413


@pytest.mark.parametrize(
    'body, status',
    [
        (b'5\r\nabcdefg', 400),
        (b'-5\r\nabcde\r\n0\r\n\r\n', 400),
        (b'0x5\r\nabcde\r\n0\r\n\r\n', 400),
        (b'+5\r\nabcde\r\n0\r\n\r\n', 400),
        (b'5\nabcde\r\n0\r\n\r\n', 400),
        (b'5;' + b'x' * 9000 + b'\r\nabcde\r\n0\r\n\r\n', 400),
        (b'0\r\n' + b'A: b\r\n' * 9000 + b'\r\n', 400),
        (b'5\r\nabcde\r\n0\r\nA: b', 400),
        (b'4c4b40\r\n' + LARGE, 413),
    ],
)
def test_a_malformed_chunked_body_ends_the_connection(server, body, status):
    with _connect(server) as client:
        client.send(PROPER + CHUNKED + b'\r\n' + body)
        client.sock.shutdown(socket.SHUT_WR)
        found, head, _ = client.read_answer()
        assert found == status
        assert b'connection: close' in head
        assert client.is_at_end()


# Idle connections whose last request came in chunks held a thread each.
def test_idle_connections_after_chunked_requests_hold_no_threads(server):
    with contextlib.ExitStack() as stack:
        for _ in range(IDLE_CONNECTIONS):
            client = stack.enter_context(_connect(server))
            client.send(PROPER + BODIES['small in chunks'])
            assert client.read_answer()[0] == 200
        last = stack.enter_context(_connect(server))
        last.send(PROPER + _with_length(SMALL))
        assert last.read_answer()[2] == SMALL


def test_the_timeout_of_a_connection_is_restored_after_a_bounded_read():
    own, peer = socket.socketpair()
    own.settimeout(READ_SECONDS)
    reader = request_body.ConnectionReader(own, 100)
    with contextlib.closing(own), contextlib.closing(peer):
        peer.sendall(SMALL)
        reader.bound(0.5, 100)
        assert reader.read(len(SMALL)) == SMALL
        reader.release()
        assert own.gettimeout() == READ_SECONDS


@pytest.mark.parametrize('is_chunked', (False, True))
def test_a_body_without_memory_is_not_taken_for_the_next_request(
    server, budget, is_chunked
):
    content = _with_length(LARGE)
    if is_chunked:
        content = CHUNKED + b'\r\n' + _chunks(LARGE)
    with _connect(server) as client:
        client.send(PROPER, content, PROPER, _with_length(SMALL))
        assert client.read_answer()[0] == 503
        status, _, body = client.read_answer()
        assert (status, body) == (200, SMALL)
    assert budget.used_bytes == 0
