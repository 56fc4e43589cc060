"""Log lines that tell how a request or its connection has ended."""

import contextlib
import socket

import pytest

from carobwood import addresses
from carobwood import errors
from carobwood import events
from carobwood_daemon.entry import connection_log
from carobwood_daemon.entry import exchange as exchanges
from carobwood_daemon.entry import listener
from carobwood_daemon.entry import listener_connections
from carobwood_daemon.entry import request_gate
from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.observe import tracing
from carobwood_daemon.relay import caller_request
from carobwood_daemon.relay import http_server
import relay_builders as builders
import relay_test_fleet

READ_SECONDS = 20
MAX_THREADS = 4
WHOLE = b'GET /x HTTP/1.1\r\nHost: x\r\n\r\n'
HALF_HEAD = b'GET /x HTTP/1.1\r\nHost:'


class _Gateway:
    """Answers each request, or breaks the answer off at /aborted."""

    def __init__(self, parsed):
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Answer the request."""
        self._caller.note_id('r-1')
        if self._caller.path == '/aborted':
            self._caller.start_stream(200, 'OK', [])
            self._caller.write(b'part')
            self._caller.abort_response()
            return
        self._caller.send_response(200, 'OK', [], b'answer')


@pytest.fixture
def server(lines):
    """Yield a listener that is stopped at the end."""
    listening = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        _Gateway,
        MAX_THREADS,
        lambda: {'stage': 'serving', 'configuration': 3},
    )
    listening.start()
    yield listening
    listening.stop()


def _connect(server):
    return socket.create_connection(('127.0.0.1', server.port), READ_SECONDS)


def _read_to(client, end):
    data = b''
    while not data.endswith(end):
        byte = client.recv(1)
        assert byte, 'the connection ended before the answer'
        data += byte
    return data


def _ends(lines):
    return [
        fields
        for event, fields in lines
        if event is events.CONNECTION_UNANSWERED
    ]


def test_a_half_read_head_at_a_stop_names_side_and_byte(server, lines):
    with _connect(server) as client:
        client.sendall(WHOLE)
        sent = _read_to(client, b'answer')
        client.sendall(HALF_HEAD)
        server.stop()
        [fields] = _ends(lines)
        assert fields['peer'] == '%s:%d' % client.getsockname()
    assert fields['closed_by'] == 'vm'
    assert fields['unanswered'] + fields['unread'] == len(HALF_HEAD)
    assert fields['answered'] == 1
    assert fields['last_request_id'] == 'r-1'
    assert fields['sent'] >= len(sent)
    assert (fields['stage'], fields['configuration']) == ('serving', 3)


# A request was cut on a new connection at a stop, and no line told of it.
def test_a_connection_that_is_refused_unread_at_a_stop_has_a_line(
    server, lines
):
    with _connect(server) as client:
        relay_test_fleet.await_accepted(server, client.getsockname()[1])
        server.stop()
        peer = '%s:%d' % client.getsockname()
    [fields] = [
        fields for event, fields in lines if event is events.CONNECTION_REFUSED
    ]
    assert fields == {'peer': peer}


def test_a_half_read_head_of_a_caller_that_left_names_that_side(server, lines):
    with _connect(server) as client:
        client.sendall(HALF_HEAD)
    [fields] = relay_test_fleet.await_reply(lambda: _ends(lines), bool)
    assert fields['closed_by'] == 'peer'
    assert fields['unanswered'] == len(HALF_HEAD)


def test_a_connection_whose_end_was_told_has_no_line(server, lines):
    with _connect(server) as client:
        client.sendall(
            WHOLE.replace(b'\r\n\r\n', b'\r\nConnection: close\r\n\r\n')
        )
        while client.recv(100):
            pass
    with _connect(server) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
    # One more answer, so that the end of the one before was seen.
    with _connect(server) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
    server.stop()
    assert [f for e, f in lines if e is events.CONNECTION_CLOSED] == []


def test_a_broken_off_answer_is_told_from_a_caller_that_left(server, lines):
    with _connect(server) as client:
        client.sendall(WHOLE.replace(b'/x', b'/aborted'))
        while client.recv(100):
            pass
    server.stop()
    [fields] = _ends(lines)
    assert (fields['closed_by'], fields['cause']) == ('vm', 'aborted')
    assert fields['answered'] == 0


# Requests were cut at a stop, and no line told whether they had crossed the
# close of a kept connection.
def test_idle_connections_that_a_stop_closes_have_a_line_each(server, lines):
    with _connect(server) as first, _connect(server) as second:
        for client in (first, second):
            client.sendall(WHOLE)
            _read_to(client, b'answer')
        peers = {'%s:%d' % x.getsockname() for x in (first, second)}
        server.stop()
    assert _ends(lines) == []
    closes = [f for e, f in lines if e is events.CONNECTION_CLOSED]
    assert {fields['peer'] for fields in closes} == peers
    for fields in closes:
        assert (fields['cause'], fields['answered']) == ('stop', 1)
        assert fields['last_request_id'] == 'r-1'
        assert fields['unanswered'] == fields['unread'] == 0
    [fields] = [f for e, f in lines if e is events.LISTENER_STOPPED]
    assert (fields['closed'], fields['unanswered']) == (2, 0)


# A request that came on a kept connection as its listener stopped was closed
# upon, up to half a second later, without an answer or a refusal; of several,
# all but the first.
@pytest.mark.parametrize('count', [1, 3])
def test_a_request_that_has_arrived_at_a_stop_is_answered(
    server, lines, monkeypatch, count
):
    with _connect(server) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
        close = http_server.RelayConnection.close

        def send_and_close(connection):
            client.sendall(WHOLE * count)
            relay_test_fleet.await_input(connection.socket)
            close(connection)

        monkeypatch.setattr(
            http_server.RelayConnection, 'close', send_and_close
        )
        server.stop()
        with client.makefile('rb') as answers:
            data = answers.read()
    assert data.count(b'HTTP/1.1 200') == count
    assert _ends(lines) == []


def test_lines_are_bounded_and_those_left_out_are_counted(lines):
    clock = builders.Clock()
    log = connection_log.ConnectionLog(clock=clock)
    end = connection_log.ConnectionEnd(
        'x:1', 'peer', 'ended', 0, '', 10, 10, 0, 0
    )
    limit = connection_log.MAX_LINES_PER_SECOND
    for _ in range(limit + 7):
        log.note(end)
    assert len(_ends(lines)) == limit
    clock.advance(1.0)
    log.note(end)
    assert _ends(lines)[-1]['suppressed'] == 7


# Requests were cut at a stop of over 50 kept connections, and those beyond
# were named nowhere: they were only counted, the last of them not at all.
def test_each_connection_that_a_stop_closes_is_named(server, lines):
    count = connection_log.MAX_LINES_PER_SECOND + 3
    with contextlib.ExitStack() as stack:
        clients = [stack.enter_context(_connect(server)) for _ in range(count)]
        for client in clients:
            client.sendall(WHOLE)
            _read_to(client, b'answer')
        peers = {'%s:%d' % client.getsockname() for client in clients}
        server.stop()
        relay_test_fleet.await_reply(
            lambda: _named_peers(lines), lambda named: len(named) == count
        )
    assert set(_named_peers(lines)) == peers


def _named_peers(lines):
    alone = [
        fields['peer']
        for event, fields in lines
        if event is events.CONNECTION_CLOSED
    ]
    together = [
        peer
        for event, fields in lines
        if event is events.CONNECTIONS_CLOSED
        for peer in fields['peers']
    ]
    return alone + together


def test_peers_that_are_left_out_are_named_together(lines):
    clock = builders.Clock()
    log = connection_log.ConnectionLog(clock=clock)
    alone = connection_log.MAX_LINES_PER_SECOND
    count = alone + connection_log.PEERS_PER_LINE + 2
    peers = [f'x:{number}' for number in range(count)]
    for peer in peers:
        log.note(
            connection_log.ConnectionEnd(
                peer, 'vm', 'ended', 1, '', 10, 0, 0, 9, is_kept=True
            )
        )
    assert _named_peers(lines) == peers[:-2]
    log.note_stopped(80)
    assert _named_peers(lines) == peers


# Idle connections that are closed as they have expired, or to make room.
@pytest.mark.parametrize('reason', ['expired', 'room'])
def test_idle_connections_that_are_closed_are_named(
    server, lines, monkeypatch, reason
):
    manager = server._server._connections
    with _connect(server) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
        relay_test_fleet.await_reply(
            lambda: manager._num_connections, lambda idle: idle == 1
        )
        peer = '%s:%d' % client.getsockname()
        if reason == 'expired':
            monkeypatch.setattr(server._server, 'idle_seconds', 0.0)
            for _, kept in list(manager._selector.connections):
                kept.idle_seconds = 0.0
            manager._expire(threshold=float('inf'))
        else:
            monkeypatch.setattr(listener_connections, 'MIN_IDLE_SECONDS', 0.0)
            manager._make_room('reserve')
        assert client.recv(1) == b''
    assert _named_peers(lines) == [peer]


# A request that crossed the close of a kept connection of carobwoodd was found
# nowhere in its log.
def test_idle_connections_that_a_stop_of_carobwoodd_closes_have_a_line(lines):
    gate = request_gate.RequestGate(MAX_THREADS)
    tracer = tracing.make_tracer('none', '', 'vm1')
    ids = []

    def handle():
        exchange = exchanges.Exchange(gate, tracer, metric_clients.Metrics())
        ids.append(exchange.request_id)
        return exchange.respond(200, {}, b'answer', errors.Outcome.COMPLETE)

    serving = listener.Listener(
        addresses.Address('127.0.0.1', 0), handle, MAX_THREADS
    )
    serving.start()
    with _connect(serving) as client:
        client.sendall(WHOLE)
        _read_to(client, b'answer')
        peer = '%s:%d' % client.getsockname()
        serving.stop()
    [fields] = [f for e, f in lines if e is events.CONNECTION_CLOSED]
    assert (fields['peer'], fields['cause']) == (peer, 'stop')
    assert [fields['last_request_id']] == ids
    [fields] = [f for e, f in lines if e is events.LISTENER_STOPPED]
    assert (fields['closed'], fields['unanswered']) == (1, 0)
