"""TLS handshakes of callers, beside connections that begin or end none."""

import contextlib
import socket
import ssl
import threading

from carobwood import addresses
from carobwood_daemon.entry import listener
from carobwood_daemon.entry import listener_connections
from carobwood_daemon.entry import request_body
from carobwood_daemon import settings
import certificates
import cherrypy
import pytest
import relay_test_fleet

MAX_THREADS = 2
# More connections than threads.
CONNECTIONS = 2 * MAX_THREADS
REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
LAST_REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
HALF_HELLO_BYTES = 40


def _answer():
    cherrypy.serving.response.headers['Content-Type'] = 'text/plain'
    return [b'answer']


@pytest.fixture
def context(tmp_path):
    """Return the ``ssl.SSLContext`` of callers."""
    certificates.create(tmp_path)
    return ssl.create_default_context(cafile=tmp_path / 'vm.pem')


@pytest.fixture
def server(context, tmp_path):
    """Yield a TLS listener."""
    files = settings.TlsFiles(
        str(tmp_path / 'vm.pem'), str(tmp_path / 'vm.key')
    )
    serving = listener.Listener(
        addresses.Address('127.0.0.1', 0), _answer, MAX_THREADS, files
    )
    serving.start()
    yield serving
    serving.stop()


@pytest.fixture
def open_sockets():
    """Yield an ``ExitStack`` that closes callers' sockets."""
    with contextlib.ExitStack() as stack:
        yield stack


def _connect(server):
    return socket.create_connection(
        ('127.0.0.1', server.port), relay_test_fleet.WAIT_SECONDS / 4
    )


def _shake_hands(context, client):
    return context.wrap_socket(client, server_hostname='127.0.0.1')


def _read_all(client):
    with client.makefile('rb') as answers:
        return answers.read()


def _ask_on(client):
    """Send a request on a connection that is kept, and read its answer."""
    client.sendall(REQUEST)
    data = b''
    while not data.endswith(b'answer'):
        part = client.recv(4096)
        assert part, 'the connection ended before the answer'
        data += part


def _ask(server, context):
    with _shake_hands(context, _connect(server)) as client:
        client.sendall(LAST_REQUEST)
        return _read_all(client)


def _make_hello(context):
    """Return the first bytes of a handshake."""
    outgoing = ssl.MemoryBIO()
    handshake = context.wrap_bio(
        ssl.MemoryBIO(), outgoing, server_hostname='127.0.0.1'
    )
    with contextlib.suppress(ssl.SSLWantReadError):
        handshake.do_handshake()
    return outgoing.read()


def _send_nothing(server, context):
    return _connect(server)


def _send_half_a_hello(server, context):
    client = _connect(server)
    client.sendall(_make_hello(context)[:HALF_HELLO_BYTES])
    return client


def _send_a_hello(server, context):
    client = _connect(server)
    client.sendall(_make_hello(context))
    return client


def _only_shake_hands(server, context):
    return _shake_hands(context, _connect(server))


# A caller behind a connection that sent nothing waited for up to 30 s.
@pytest.mark.parametrize(
    'open_one',
    [_send_nothing, _send_half_a_hello, _send_a_hello, _only_shake_hands],
)
def test_silent_connections_hold_up_no_caller_behind_them(
    server, context, open_sockets, open_one
):
    for _ in range(CONNECTIONS):
        silent = open_sockets.enter_context(open_one(server, context))
        relay_test_fleet.await_accepted(server, silent.getsockname()[1])
    assert _ask(server, context).endswith(b'answer')


def test_a_connection_that_was_silent_is_answered_in_its_turn(
    server, context, open_sockets
):
    silent = open_sockets.enter_context(_connect(server))
    assert _ask(server, context).endswith(b'answer')
    client = open_sockets.enter_context(_shake_hands(context, silent))
    client.sendall(LAST_REQUEST)
    assert _read_all(client).endswith(b'answer')


def test_requests_on_a_kept_tls_connection_are_answered(
    server, context, open_sockets
):
    client = open_sockets.enter_context(_only_shake_hands(server, context))
    for _ in range(3):
        _ask_on(client)


# Each byte began the time of a handshake anew.
def test_a_handshake_that_comes_byte_by_byte_ends_in_time(
    server, context, open_sockets
):
    server._server.timeout = 0.5
    client = open_sockets.enter_context(_connect(server))
    client.settimeout(0.05)
    with contextlib.suppress(ConnectionError):
        for byte in _make_hello(context):
            client.sendall(bytes([byte]))
            with contextlib.suppress(TimeoutError):
                assert not client.recv(1)
                return
    pytest.fail('the handshake was read to its end')


def test_a_silent_connection_is_closed_in_the_end(
    server, context, open_sockets
):
    server._server.idle_seconds = 0.0
    client = open_sockets.enter_context(_connect(server))
    assert not client.recv(1)


def test_a_handshake_that_fails_closes_its_connection_only(
    server, context, open_sockets
):
    client = open_sockets.enter_context(_connect(server))
    client.sendall(REQUEST)
    with contextlib.suppress(ConnectionError):
        assert not _read_all(client).startswith(b'HTTP/1.1 200')
    assert _ask(server, context).endswith(b'answer')


def test_the_one_that_waits_for_longest_makes_room_for_other_handshakes(
    server, context, open_sockets, monkeypatch
):
    monkeypatch.setattr(listener_connections, 'MAX_HANDSHAKES', CONNECTIONS)
    monkeypatch.setattr(listener_connections, 'MIN_IDLE_SECONDS', 0.0)
    silent = [
        open_sockets.enter_context(_connect(server))
        for _ in range(CONNECTIONS + 1)
    ]
    assert not silent[0].recv(1)
    assert _ask(server, context).endswith(b'answer')


# No test failed if handshakes had no bound while none had waited for long.
def test_a_handshake_beyond_the_bound_waits_for_the_end_of_another(
    server, context, open_sockets, monkeypatch
):
    monkeypatch.setattr(listener_connections, 'MAX_HANDSHAKES', CONNECTIONS)
    monkeypatch.setattr(
        listener_connections,
        'MIN_IDLE_SECONDS',
        2 * relay_test_fleet.WAIT_SECONDS,
    )
    silent = [
        open_sockets.enter_context(_connect(server))
        for _ in range(CONNECTIONS)
    ]
    for each in silent:
        relay_test_fleet.await_accepted(server, each.getsockname()[1])
    connections = server._server._connections
    looks = []
    has_room = connections._has_room_for_handshake

    def look():
        looks.append(has_room())
        return looks[-1]

    connections._has_room_for_handshake = look
    beyond = open_sockets.enter_context(_connect(server))
    relay_test_fleet.await_reply(lambda: len(looks), lambda n: n > 1)
    assert not any(looks)
    assert len(connections._handshakes) == CONNECTIONS
    silent[0].close()
    client = open_sockets.enter_context(_shake_hands(context, beyond))
    client.sendall(LAST_REQUEST)
    assert _read_all(client).endswith(b'answer')


# They took the descriptors, and kept connections were closed for them.
def test_silent_connections_make_room_before_those_that_are_kept(
    server, context, open_sockets, monkeypatch
):
    kept = open_sockets.enter_context(_only_shake_hands(server, context))
    _ask_on(kept)
    silent = open_sockets.enter_context(_connect(server))
    relay_test_fleet.await_accepted(server, silent.getsockname()[1])
    monkeypatch.setattr(listener_connections, 'MIN_IDLE_SECONDS', 0.0)
    monkeypatch.setattr(listener_connections, '_is_reserved', lambda _: True)
    open_sockets.enter_context(_connect(server))
    assert not silent.recv(1)
    monkeypatch.undo()
    kept.sendall(LAST_REQUEST)
    assert b'answer' in _read_all(kept)


# A caller was reset as the process ended: it was behind a connection that
# sent nothing as the stop began.
@pytest.mark.parametrize('has_begun', [False, True])
def test_a_connection_that_waits_for_its_handshake_at_a_stop_is_refused(
    server, context, open_sockets, monkeypatch, has_begun
):
    monkeypatch.setattr(
        request_body, 'MAX_DRAIN_SECONDS', relay_test_fleet.WAIT_SECONDS
    )
    server.set_stop_seconds(relay_test_fleet.WAIT_SECONDS)
    silent = open_sockets.enter_context(_connect(server))
    client = open_sockets.enter_context(_connect(server))
    for each in (silent, client):
        relay_test_fleet.await_accepted(server, each.getsockname()[1])
    incoming, outgoing = ssl.MemoryBIO(), ssl.MemoryBIO()
    handshake = context.wrap_bio(
        incoming, outgoing, server_hostname='127.0.0.1'
    )
    if has_begun:
        with contextlib.suppress(ssl.SSLWantReadError):
            handshake.do_handshake()
        client.sendall(outgoing.read())
        relay_test_fleet.await_input(client)
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    relay_test_fleet.await_reply(
        lambda: server._server.socket, lambda sock: sock is None
    )
    answer = _talk(client, handshake, incoming, outgoing)
    silent.close()
    client.close()
    stopping.join(relay_test_fleet.WAIT_SECONDS)
    assert answer.startswith(b'HTTP/1.1 503 ')
    assert b'"outcome": "not-run"' in answer
    assert b'connection: close' in answer.lower()
    assert not stopping.is_alive()


def _talk(client, handshake, incoming, outgoing):
    """End a handshake, send nothing, and return what comes to the end."""
    answer = b''
    is_shaking_hands = True
    while True:
        try:
            if is_shaking_hands:
                handshake.do_handshake()
                is_shaking_hands = False
            answer += handshake.read(4096)
        except ssl.SSLWantReadError:
            client.sendall(outgoing.read())
            data = client.recv(4096)
            if not data:
                return answer
            incoming.write(data)


def test_silent_connections_do_not_hold_a_stop_up(
    server, context, open_sockets, monkeypatch
):
    monkeypatch.setattr(request_body, 'MAX_DRAIN_SECONDS', 0.1)
    for open_one in (_send_nothing, _send_half_a_hello, _send_a_hello):
        silent = open_sockets.enter_context(open_one(server, context))
        relay_test_fleet.await_accepted(server, silent.getsockname()[1])
    stopping = threading.Thread(target=server.stop, daemon=True)
    stopping.start()
    stopping.join(relay_test_fleet.WAIT_SECONDS / 4)
    assert not stopping.is_alive()


# The caller of a VM whose system takes no more bytes just then.
def test_a_handshake_goes_on_once_its_bytes_can_be_sent(
    server, context, open_sockets, monkeypatch
):
    shake_hands = ssl.SSLSocket.do_handshake
    steps = []

    def refuse_once(sock, *args):
        steps.append(sock)
        try:
            return shake_hands(sock, *args)
        except ssl.SSLWantReadError:
            # All that has come is read.
            if len(steps) == 1:
                raise ssl.SSLWantWriteError() from None
            raise

    with monkeypatch.context() as patch:
        patch.setattr(ssl.SSLSocket, 'do_handshake', refuse_once)
        open_sockets.enter_context(_send_half_a_hello(server, context))
        relay_test_fleet.await_reply(lambda: len(steps), lambda n: n > 1)
    assert _ask(server, context).endswith(b'answer')


def test_a_fault_in_a_handshake_leaves_the_workers_alive(
    server, context, open_sockets, monkeypatch
):
    def fail(sock, *_):
        raise ValueError('a fault')

    with monkeypatch.context() as patch:
        patch.setattr(ssl.SSLSocket, 'do_handshake', fail)
        for _ in range(CONNECTIONS):
            client = open_sockets.enter_context(_connect(server))
            client.sendall(REQUEST)
            with contextlib.suppress(ConnectionError):
                assert not client.recv(1)
    assert _ask(server, context).endswith(b'answer')
