"""Tests of connections to endpoints and their pool, on raw sockets."""

import contextlib
import socket
import struct
import threading

from carobwood import errors
from carobwood_daemon.relay import connection_pool
from carobwood_daemon.relay import endpoint_connections
import pytest

REQUEST = endpoint_connections.OutgoingRequest(
    'POST', '/x', (('Host', 'e'),), b'body'
)
TIMEOUT_SECONDS = 5.0


class ScriptedServer:
    """Sends the next of the given responses to each request."""

    def __init__(self, *responses, closes_connection=True):
        self._responses = responses
        self._closes_connection = closes_connection
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.connection_count = 0
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        responses = iter(self._responses)
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            self.connection_count += 1
            for response in responses:
                if not self._read_request(connection):
                    break
                connection.sendall(response)
            else:
                if self._closes_connection:
                    connection.close()

    def _read_request(self, connection):
        data = b''
        while b'body' not in data:
            chunk = connection.recv(4096)
            if not chunk:
                return False
            data += chunk
        return True


def _send_and_read_head(pool, server):
    connection = pool.acquire(server.address)
    connection.send(REQUEST, TIMEOUT_SECONDS)
    assert (
        connection.wait(None, TIMEOUT_SECONDS)
        is endpoint_connections.WaitResult.READABLE
    )
    status, headers = connection.read_head('POST', TIMEOUT_SECONDS)
    return connection, status, headers


def _read_body(connection):
    chunks = []
    while not connection.has_ended:
        chunks.append(connection.read_available(TIMEOUT_SECONDS))
    return b''.join(chunks)


RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
CHUNKED_RESPONSE = (
    b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
    b'1\r\no\r\n1\r\nk\r\n0\r\n\r\n'
)


@pytest.mark.parametrize('response', [RESPONSE, CHUNKED_RESPONSE])
def test_connection_is_reused_for_several_requests(response):
    server = ScriptedServer(
        response, response, response, closes_connection=False
    )
    pool = connection_pool.ConnectionPool()
    for _ in range(3):
        connection, status, _ = _send_and_read_head(pool, server)
        assert (status, _read_body(connection)) == (200, b'ok')
        assert connection.is_reusable()
        pool.release(server.address, connection, None)
    assert server.connection_count == 1


def test_end_of_body_with_length_is_known_without_another_read():
    server = ScriptedServer(RESPONSE, closes_connection=False)
    connection, _, _ = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    assert connection.read_available(TIMEOUT_SECONDS) == b'ok'
    assert connection.is_complete


def test_connection_with_bytes_after_response_is_not_reusable():
    server = ScriptedServer(
        RESPONSE + b'HTTP/1.1 200 OK\r\n', closes_connection=False
    )
    connection, _, _ = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    assert _read_body(connection) == b'ok'
    assert not connection.is_reusable()


def test_late_response_is_read_before_the_next_one():
    late_response = RESPONSE.replace(b'ok', b'no').replace(
        b'OK\r\n', b'OK\r\nId: 1\r\n'
    )
    server = ScriptedServer(late_response + RESPONSE, closes_connection=False)
    connection, _, headers = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    assert headers['id'] == '1'
    assert _read_body(connection) == b'no'
    status, headers = connection.read_head('POST', TIMEOUT_SECONDS)
    assert status == 200 and 'id' not in headers
    assert _read_body(connection) == b'ok'


def test_truncated_body_raises_endpoint_failed():
    server = ScriptedServer(RESPONSE[:-1])
    connection, _, _ = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    assert connection.read_available(TIMEOUT_SECONDS) == b'o'
    with pytest.raises(errors.EndpointFailed):
        connection.read_available(TIMEOUT_SECONDS)


def test_reset_during_body_raises_endpoint_failed():
    listener = socket.create_server(('127.0.0.1', 0))
    pool = connection_pool.ConnectionPool()
    connection = pool.acquire('127.0.0.1:%d' % listener.getsockname()[1])
    server, _ = listener.accept()
    connection.send(REQUEST, TIMEOUT_SECONDS)
    # Without a length, the end of the connection is the end of the body, so
    # that a reset must not be taken for it.
    server.sendall(b'HTTP/1.1 200 OK\r\n\r\nhal')
    assert (
        connection.wait(None, TIMEOUT_SECONDS)
        is endpoint_connections.WaitResult.READABLE
    )
    connection.read_head('POST', TIMEOUT_SECONDS)
    assert connection.read_available(TIMEOUT_SECONDS) == b'hal'
    # Closing a socket with a linger time of zero resets the connection.
    linger = struct.pack('ii', 1, 0)
    server.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    server.close()
    # The socket reports the reset to the first of these calls only.
    for _ in range(3):
        assert (
            connection.wait(None, TIMEOUT_SECONDS)
            is endpoint_connections.WaitResult.READABLE
        )
    with pytest.raises(errors.EndpointFailed):
        connection.read_available(TIMEOUT_SECONDS)


def test_malformed_response_raises_endpoint_failed():
    server = ScriptedServer(b'what?\r\n\r\n')
    connection = connection_pool.ConnectionPool().acquire(server.address)
    connection.send(REQUEST, TIMEOUT_SECONDS)
    with pytest.raises(errors.EndpointFailed):
        connection.read_head('POST', TIMEOUT_SECONDS)


# A write that waits for room must not wait for an endpoint that has answered.
def test_an_answer_to_a_body_that_is_not_read_ends_its_write():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        connection = connection_pool.ConnectionPool().acquire(address)
        peer, _ = listener.accept()
        with peer:
            peer.sendall(b'HTTP/1.1 413 Large\r\nContent-Length: 0\r\n\r\n')
            body = b'x' * 64_000_000
            connection.send(
                endpoint_connections.OutgoingRequest('POST', '/', (), body),
                TIMEOUT_SECONDS,
            )
            assert connection.read_head('POST', TIMEOUT_SECONDS)[0] == 413
            assert not connection.is_reusable()
            connection.close()


@pytest.mark.parametrize('body_bytes', [64_000_000, 1])
def test_sending_and_a_head_in_part_end_when_the_caller_leaves(body_bytes):
    caller_socket, client_socket = socket.socketpair()
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        connection = connection_pool.ConnectionPool().acquire(address)
        connection.begin_request(
            endpoint_connections.OutgoingRequest(
                'POST', '/', (), b'x' * body_bytes
            )
        )
        is_sent = connection.write_available()
        assert is_sent == (body_bytes == 1)
        client_socket.close()
        wait = (
            connection.wait_for_input
            if is_sent
            else (connection.wait_for_room)
        )
        assert (
            wait(caller_socket, TIMEOUT_SECONDS)
            is endpoint_connections.WaitResult.CALLER_LEFT
        )
        connection.close()
    caller_socket.close()


def test_connection_closed_by_endpoint_is_not_reused():
    server = ScriptedServer(RESPONSE, RESPONSE)
    pool = connection_pool.ConnectionPool()
    for _ in range(2):
        connection, _, _ = _send_and_read_head(pool, server)
        _read_body(connection)
        pool.release(server.address, connection, None)
        server_closed = connection.wait(None, TIMEOUT_SECONDS)
        if server.connection_count == 2:
            assert server_closed is endpoint_connections.WaitResult.READABLE
            break
    connection = pool.acquire(server.address)
    assert connection.is_new


def test_connection_with_zero_idle_timeout_is_not_kept():
    server = ScriptedServer(RESPONSE, closes_connection=False)
    pool = connection_pool.ConnectionPool()
    connection, _, _ = _send_and_read_head(pool, server)
    _read_body(connection)
    pool.release(server.address, connection, 0.0)
    assert pool.acquire(server.address).is_new


def test_wait_ends_when_the_caller_disconnects():
    server = ScriptedServer(RESPONSE, closes_connection=False)
    connection = connection_pool.ConnectionPool().acquire(server.address)
    caller_socket, client_socket = socket.socketpair()
    client_socket.close()
    assert (
        connection.wait(caller_socket, TIMEOUT_SECONDS)
        is endpoint_connections.WaitResult.CALLER_LEFT
    )


def test_wait_continues_when_the_caller_sends_bytes():
    server = ScriptedServer(RESPONSE, closes_connection=False)
    connection = connection_pool.ConnectionPool().acquire(server.address)
    caller_socket, client_socket = socket.socketpair()
    client_socket.sendall(b'next')
    connection.send(REQUEST, TIMEOUT_SECONDS)
    assert (
        connection.wait(caller_socket, TIMEOUT_SECONDS)
        is endpoint_connections.WaitResult.READABLE
    )


def test_address_without_listener_is_unreachable():
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        address = '127.0.0.1:%d' % unused.getsockname()[1]
        with pytest.raises(errors.EndpointUnreachable) as raised:
            connection_pool.ConnectionPool().acquire(address)
    assert not raised.value.is_timeout


def test_a_connection_that_is_not_accepted_in_time_has_timed_out():
    with socket.create_server(('127.0.0.1', 0), backlog=0) as server:
        address = '127.0.0.1:%d' % server.getsockname()[1]
        pool = connection_pool.ConnectionPool()
        with contextlib.ExitStack() as stack:
            with pytest.raises(errors.EndpointUnreachable) as raised:
                while True:
                    stack.callback(pool.acquire(address).close)
    assert raised.value.is_timeout


LATE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate'


def test_a_late_response_is_skipped_before_the_next_one():
    server = ScriptedServer(LATE_RESPONSE + RESPONSE, closes_connection=False)
    connection, _, _ = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    connection.skip_body(TIMEOUT_SECONDS, 100)
    status, _ = connection.read_head('POST', TIMEOUT_SECONDS)
    assert (status, _read_body(connection)) == (200, b'ok')


class EndlessServer:
    """Sends a head, and then the same bytes until the caller closes.

    Attributes:
        is_closed: set once the caller has closed the connection.
    """

    def __init__(self, head, repeated, pause=0.0):
        self.is_closed = threading.Event()
        self._head = head
        self._repeated = repeated
        self._pause = pause
        self._listener = socket.create_server(('127.0.0.1', 0))
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self):
        connection, _ = self._listener.accept()
        connection.recv(4096)
        try:
            connection.sendall(self._head)
            while not self.is_closed.wait(self._pause):
                connection.sendall(self._repeated)
        except OSError:
            self.is_closed.set()


@pytest.mark.parametrize(
    ('head', 'repeated', 'pause'),
    [
        (b'', b'HTTP/1.1 100 Continue\r\n\r\n', 0.0),
        (b'HTTP/1.1 200 OK\r\n', b'X: ' + b'x' * 60000, 0.0),
        (b'', b'\0' * 4096, 0.0),
        (b'HTTP/1.1 200 OK\r\nX: ', b'x', 0.01),
    ],
)
def test_a_head_without_end_is_given_up(monkeypatch, head, repeated, pause):
    monkeypatch.setattr(endpoint_connections, 'MAX_HEAD_SECONDS', 0.2)
    server = EndlessServer(head, repeated, pause)
    connection = connection_pool.ConnectionPool().acquire(server.address)
    connection.send(REQUEST, TIMEOUT_SECONDS)
    with pytest.raises(errors.EndpointFailed):
        connection.read_head('POST', TIMEOUT_SECONDS)
    connection.close()
    assert server.is_closed.wait(TIMEOUT_SECONDS)


# A VM that was held up past a deadline put it down to the endpoint.
def test_a_head_that_has_come_is_read_after_the_deadline():
    server = ScriptedServer(RESPONSE, closes_connection=False)
    connection = connection_pool.ConnectionPool().acquire(server.address)
    connection.send(REQUEST, TIMEOUT_SECONDS)
    connection.wait(None, TIMEOUT_SECONDS)
    status, _ = connection.read_head('POST', TIMEOUT_SECONDS, -1.0)
    assert (status, _read_body(connection)) == (200, b'ok')


@pytest.mark.parametrize(
    ('repeated', 'pause'), [(b'x' * 4096, 0.0), (b'x', 0.01)]
)
def test_a_late_body_without_end_is_given_up(repeated, pause):
    server = EndlessServer(b'HTTP/1.1 200 OK\r\n\r\n', repeated, pause)
    connection, _, _ = _send_and_read_head(
        connection_pool.ConnectionPool(), server
    )
    with pytest.raises(errors.EndpointFailed):
        connection.skip_body(0.2, 1024 * 1024)
    connection.close()
    assert server.is_closed.wait(TIMEOUT_SECONDS)


def test_a_connection_that_is_given_up_with_a_request_is_reset():
    # Bytes that a partition holds up are delivered when it heals, unless
    # their sender has reset the connection.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        connection = connection_pool.ConnectionPool().acquire(address)
        peer, _ = listener.accept()
        with peer:
            peer.settimeout(10.0)
            connection.send(
                endpoint_connections.OutgoingRequest('GET', '/', (), None), 1.0
            )
            connection.close()
            with pytest.raises(ConnectionResetError):
                while peer.recv(4096):
                    pass


def test_a_connection_that_has_served_its_request_is_closed_in_order():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        connection = connection_pool.ConnectionPool().acquire(address)
        peer, _ = listener.accept()
        with peer:
            peer.settimeout(10.0)
            connection.send(
                endpoint_connections.OutgoingRequest('GET', '/', (), None), 1.0
            )
            peer.recv(4096)
            peer.sendall(b'HTTP/1.1 204 No Content\r\n\r\n')
            assert connection.read_head('GET', 1.0)[0] == 204
            connection.close()
            assert peer.recv(1) == b''


def _user_timeout_ms(connection):
    return connection.socket.getsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT
    )


def test_silence_of_a_sound_endpoint_ends_no_request_but_idle_connections():
    # The kernel gives a connection up after this time without an
    # acknowledgement, keep-alive probes included.
    with socket.create_server(('127.0.0.1', 0)) as listener:
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        pool = connection_pool.ConnectionPool()
        connection = pool.acquire(address)
        peer, _ = listener.accept()
        with peer:
            peer.settimeout(10.0)
            connection.send(
                endpoint_connections.OutgoingRequest('GET', '/', (), None), 1.0
            )
            in_use = _user_timeout_ms(connection)
            peer.recv(4096)
            peer.sendall(b'HTTP/1.1 204 No Content\r\n\r\n')
            connection.read_head('GET', 1.0)
            pool.release(address, connection, None)
            idle = _user_timeout_ms(connection)
            assert pool.acquire(address) is connection
            assert _user_timeout_ms(connection) == in_use
            connection.close()
    # A second or so of silence is no fault, a connection that went silent
    # for good must not be used again for long.
    assert in_use >= 2500
    assert idle <= 1500
