"""Requests that arrive or run while a VM stops, over relay VMs."""

import socket
import threading

import fake_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet

from carobwood_daemon.entry import request_reads
from carobwood_daemon.relay import http_server
from carobwood_daemon.relay import request_sender
from carobwood_daemon.relay import stop_admission
from carobwood_daemon.replication import proposer

STOP_SECONDS = 3.0
SLOWEST = 1.0
PLAIN_SLOTS = 6
READ_AHEAD = 3


@pytest.fixture
def fleet(tmp_path):
    """Yield two entry VMs that stop within a few seconds."""
    with relay_test_fleet.RelayFleet(
        tmp_path, entry_vm_count=2, stop_seconds=STOP_SECONDS
    ) as relay_fleet:
        relay_fleet.control('PUT', '/v1/config', builders.configuration_body())
        yield relay_fleet


@pytest.fixture
def endpoint(fleet):
    """Yield an endpoint of the service ``orders`` that is in use."""
    started = fake_endpoint.FakeEngine('orders-0', 'orders')
    with started:
        fleet.control('PUT', '/v1/instances/orders-0', started.announcement())
        for number in range(2):
            relay_test_fleet.await_reply(
                lambda number=number: fleet.ask(
                    '/orders/whole', number=number
                ),
                lambda reply: reply.status == 200,
            )
        started.requests.clear()
        yield started


class _Call(threading.Thread):
    """A request to an entry VM that is in flight.

    Attributes:
        reply: the ``Reply`` once it has come.
    """

    def __init__(self, fleet, path, request_id):
        super().__init__(daemon=True)
        self.reply = None
        self._ask = lambda: fleet.ask(
            path,
            X_Carobwood_Request_Id=request_id,
            X_Carobwood_Deadline_Ms='6000',
        )
        self.start()

    def run(self):
        """Send the request and await its reply."""
        self.reply = self._ask()

    def await_status(self):
        """Return the status of the reply."""
        self.join(relay_test_fleet.WAIT_SECONDS)
        return self.reply.status


def _await_arrivals(endpoint, count):
    relay_test_fleet.await_reply(
        lambda: len(endpoint.requests), lambda found: found >= count
    )


def _await_drain(vm):
    """Wait until a stopping VM takes no requests any more."""
    relay_test_fleet.await_reply(
        lambda: vm.gate.is_draining, lambda is_draining: is_draining
    )


# In a planned stop, requests were cut with no answer at the end of the grace,
# among them some that may not be repeated.
def test_what_still_runs_at_the_end_of_a_stop_gets_an_answer(fleet, endpoint):
    running = [
        _Call(fleet, '/orders/silent', f'r-{number}')
        for number in range(PLAIN_SLOTS)
    ]
    _await_arrivals(endpoint, PLAIN_SLOTS)
    waiting = _Call(fleet, '/orders/whole', 'r-waiting')
    vm = fleet.vms[len(fleet.control_ports)]
    relay_test_fleet.await_reply(
        lambda: vm.gate.in_flight, lambda count: count > PLAIN_SLOTS
    )
    vm.stop()
    assert [call.await_status() for call in running] == [502] * PLAIN_SLOTS
    for call in running:
        assert b'"outcome": "unknown"' in call.reply.body
    # It has not been sent to an endpoint.
    assert waiting.await_status() == 503
    assert b'"outcome": "not-run"' in waiting.reply.body
    assert len(endpoint.requests) == PLAIN_SLOTS


def test_what_may_outlast_the_stop_is_refused_unsent(
    fleet, endpoint, monkeypatch
):
    monkeypatch.setattr(
        stop_admission.RouteDurations,
        'slowest',
        lambda durations, route_name: {'orders': 0.01}.get(route_name),
    )
    # Nothing is known of the captions, whose requests may last 6 s.
    running = _Call(fleet, '/orders/silent', 'r-1')
    _await_arrivals(endpoint, 1)
    vm = fleet.vms[len(fleet.control_ports)]
    vm.gate.mark_not_ready(STOP_SECONDS)
    reply = fleet.ask('/captions/whole', X_Carobwood_Deadline_Ms='60000')
    assert reply.status == 503
    assert reply.headers['connection'] == 'close'
    assert b'"code": "stopping"' in reply.body
    # This route answers within milliseconds.
    reply = fleet.ask('/orders/whole', X_Carobwood_Deadline_Ms='60000')
    assert reply.status == 200
    assert reply.headers['connection'] == 'close'
    assert len(endpoint.requests) == 2
    vm.stop()
    assert running.await_status() == 502


# A request that had waited for capacity was sent shortly before the end of a
# stop, and interrupted at it.
def test_what_waits_is_refused_unsent_if_it_may_outlast_the_stop(
    fleet, endpoint
):
    running = [
        _Call(fleet, '/orders/late-1200', f'r-{number}')
        for number in range(PLAIN_SLOTS)
    ]
    _await_arrivals(endpoint, PLAIN_SLOTS)
    waiting = _Call(fleet, '/orders/late-1200', 'r-waiting')
    vm = fleet.vms[len(fleet.control_ports)]
    relay_test_fleet.await_reply(
        lambda: vm.gate.in_flight, lambda count: count > PLAIN_SLOTS
    )
    vm.stop()
    assert waiting.await_status() == 503
    assert b'"code": "stopping"' in waiting.reply.body
    for call in running:
        call.await_status()
    assert len(endpoint.requests) == PLAIN_SLOTS


def test_a_refusal_of_a_stopping_vm_closes_the_connection(fleet, endpoint):
    running = _Call(fleet, '/orders/silent', 'r-1')
    _await_arrivals(endpoint, 1)
    vm = fleet.vms[len(fleet.control_ports)]
    stopping = threading.Thread(target=vm.stop)
    stopping.start()
    _await_drain(vm)
    reply = fleet.ask('/orders/whole')
    assert reply.status == 503
    assert reply.headers['connection'] == 'close'
    assert running.await_status() == 502
    stopping.join()


# The answer to a request that was in flight at the SIGTERM kept its connection
# open, and its caller's next request met the close of the stop.
@pytest.mark.parametrize('path', ['/orders/whole', '/orders/stream'])
def test_an_answer_after_a_stop_began_closes_its_connection(
    fleet, endpoint, monkeypatch, path
):
    vm = fleet.vms[len(fleet.control_ports)]
    has_arrived = threading.Event()
    may_answer = threading.Event()
    send = request_sender.RequestSender.send

    def send_late(*arguments):
        has_arrived.set()
        may_answer.wait(relay_test_fleet.WAIT_SECONDS)
        return send(*arguments)

    monkeypatch.setattr(request_sender.RequestSender, 'send', send_late)
    call = _Call(fleet, path, 'r-1')
    assert has_arrived.wait(relay_test_fleet.WAIT_SECONDS)
    vm.gate.mark_not_ready(STOP_SECONDS)
    may_answer.set()
    assert call.await_status() == 200
    assert call.reply.headers['connection'] == 'close'


# A stop outlasted its time, and the process was killed: its listeners were
# stopped one after another.
def test_listeners_stop_side_by_side(fleet, monkeypatch):
    vm = fleet.vms[len(fleet.control_ports)]
    count = len(vm._servers)
    all_stopping = threading.Barrier(count)
    stopped = []
    stop = http_server.HttpServer.stop

    def stop_together(server):
        try:
            all_stopping.wait(relay_test_fleet.WAIT_SECONDS)
            stopped.append(server)
        except threading.BrokenBarrierError:
            # They are stopped one after another.
            pass
        stop(server)

    monkeypatch.setattr(http_server.HttpServer, 'stop', stop_together)
    vm.stop()
    monkeypatch.undo()
    assert len(stopped) == count > 1


# Requests that a stopping VM had read behind another one ended without an
# answer: the answer to the first closed the connection.
@pytest.mark.parametrize(
    'is_draining, status', [(False, b'200'), (True, b'503')]
)
def test_requests_read_ahead_are_answered_at_a_stop(
    fleet, endpoint, is_draining, status
):
    vm = fleet.vms[len(fleet.control_ports)]
    # Long enough for any request, however slow its route was lately.
    vm.gate.mark_not_ready(relay_test_fleet.WAIT_SECONDS)
    if is_draining:
        assert vm.gate.drain(0)
    with socket.create_connection(
        ('127.0.0.1', fleet.entry_ports[0]), relay_test_fleet.WAIT_SECONDS
    ) as client:
        request = HALF_REQUESTS['length'] + b'defghi'
        client.sendall(request * READ_AHEAD)
        with client.makefile('rb') as answers:
            data = answers.read()
    assert data.count(b'HTTP/1.1 ' + status) == READ_AHEAD
    assert data.lower().count(b'connection: close') == 1


def _half_requests():
    head = (
        f'POST /orders/whole HTTP/1.1\r\nHost: {builders.HOST}\r\n'
        f'Authorization: Bearer {builders.KEY}\r\n'
        'X-Carobwood-Request-Id: r-half\r\n'
    )
    yield 'head', head.encode()
    yield 'length', f'{head}Content-Length: 9\r\n\r\nabc'.encode()
    yield 'chunk', f'{head}Transfer-Encoding: chunked\r\n\r\n9\r\na'.encode()


HALF_REQUESTS = dict(_half_requests())


# What was half read at the end of a stop held the stop up beyond its time, and
# was answered with 400 although it was proper so far.
@pytest.mark.parametrize('name', HALF_REQUESTS)
def test_a_half_read_request_is_refused_as_not_run_at_a_stop(
    fleet, endpoint, monkeypatch, name
):
    vm = fleet.vms[len(fleet.control_ports)]
    is_reading = threading.Event()
    track = request_reads.RequestReads.track

    def track_and_tell(reads, connection):
        is_reading.set()
        return track(reads, connection)

    monkeypatch.setattr(request_reads.RequestReads, 'track', track_and_tell)
    with socket.create_connection(
        ('127.0.0.1', fleet.entry_ports[0]), relay_test_fleet.WAIT_SECONDS
    ) as client:
        client.sendall(HALF_REQUESTS[name])
        assert is_reading.wait(relay_test_fleet.WAIT_SECONDS)
        vm.stop()
        with client.makefile('rb') as answer:
            head, _, body = answer.read().partition(b'\r\n\r\n')
    assert head.startswith(b'HTTP/1.1 503 ')
    assert b'connection: close' in head.lower()
    assert b'"outcome": "not-run"' in body
    assert endpoint.requests == []


def _route(name):
    fields = builders.configuration_fields()['routes']
    body = builders.configuration_body(routes=fields)
    parsed = relay_test_fleet.dialect.PlatformDialect().parse_configuration(
        body
    )
    return next(route for route in parsed.routes if route.name == name)


@pytest.mark.parametrize(
    'name, slowest, time_allowed, stop_seconds, is_taken',
    [
        ('orders', None, 3.0, 4.0, True),
        ('orders', None, 5.0, 4.0, False),
        ('orders', SLOWEST, 5.0, 3.2, False),
        ('orders', SLOWEST, 5.0, 3.3, True),
        ('orders', 3 * SLOWEST, 9.0, 5.9, False),
        ('orders', 3 * SLOWEST, 9.0, 6.1, True),
        ('lookups', SLOWEST, 5.0, 3.2, False),
        ('lookups', SLOWEST, 5.0, 3.3, True),
    ],
)
def test_only_what_ends_in_time_beside_a_silence_is_taken(
    name, slowest, time_allowed, stop_seconds, is_taken
):
    found = stop_admission.may_finish(
        _route(name), slowest, time_allowed, stop_seconds
    )
    assert found is is_taken


# A stream that was taken late in a stop was interrupted at its end, as its
# endpoint had been silent for a second.
@pytest.mark.parametrize('name', ['captions', 'lookups', 'orders'])
@pytest.mark.parametrize('silence', [1.0, 1.3, 2.0])
@pytest.mark.parametrize('lasts', [0.01, 1.0, 2.9])
def test_what_is_taken_ends_before_the_stop_beside_a_silence(
    name, silence, lasts
):
    deadline = 15.0
    left = [number / 100 for number in range(700)]
    taken = [
        seconds
        for seconds in left
        if stop_admission.may_finish(_route(name), lasts, deadline, seconds)
    ]
    assert taken
    assert min(taken) >= lasts + silence


def test_the_slowest_answer_is_forgotten_after_two_windows():
    clock = builders.Clock()
    durations = stop_admission.RouteDurations(clock)
    assert durations.slowest('orders') is None
    durations.note('orders', 3.0)
    durations.note('orders', 1.0)
    clock.advance(stop_admission.WINDOW_SECONDS)
    durations.note('orders', 2.0)
    assert durations.slowest('orders') == 3.0
    clock.advance(stop_admission.WINDOW_SECONDS)
    assert durations.slowest('orders') == 2.0
    clock.advance(2 * stop_admission.WINDOW_SECONDS)
    assert durations.slowest('orders') is None


# A control VM whose disk hung did not end its stop, and was killed with what
# it still had to answer.
def test_a_stop_ends_although_the_disk_of_the_replica_hangs(
    fleet, monkeypatch
):
    vm = fleet.vms[0]
    disk_works = threading.Event()
    monkeypatch.setattr(
        vm._replica_runner,
        'stop',
        lambda: disk_works.wait(relay_test_fleet.WAIT_SECONDS),
    )
    stopping = threading.Thread(target=vm.stop, daemon=True)
    stopping.start()
    stopping.join(relay_test_fleet.WAIT_SECONDS / 2)
    has_ended = not stopping.is_alive()
    is_locked = not vm._data_folder._lock_file.closed
    disk_works.set()
    stopping.join()
    assert has_ended
    # Its thread may still write.
    assert is_locked
    vm._data_folder.close()


# A change that came on a kept connection as the control API closed it was
# answered by the thread that stops the VM, which waited for it without limit.
def test_a_stop_ends_although_a_change_that_came_last_hangs(
    fleet, monkeypatch
):
    vm = fleet.vms[0]
    may_commit = threading.Event()
    body = builders.configuration_body(version=2)
    head = (
        'PUT /v1/config HTTP/1.1\r\nHost: x\r\n'
        f'Content-Length: {len(body)}\r\n\r\n'
    )
    close = http_server.RelayConnection.close
    with socket.create_connection(
        ('127.0.0.1', fleet.control_ports[0]), relay_test_fleet.WAIT_SECONDS
    ) as client:
        client.sendall(b'GET /v1/config HTTP/1.1\r\nHost: x\r\n\r\n')
        assert client.recv(65536)
        own_port = client.getsockname()[1]

        def send_and_close(connection):
            if connection.remote_port == own_port:
                client.sendall(head.encode() + body)
                relay_test_fleet.await_input(connection.socket)
            close(connection)

        monkeypatch.setattr(
            http_server.RelayConnection, 'close', send_and_close
        )
        monkeypatch.setattr(
            proposer.Proposer,
            'submit',
            lambda *arguments: may_commit.wait(relay_test_fleet.WAIT_SECONDS),
        )
        stopping = threading.Thread(target=vm.stop, daemon=True)
        stopping.start()
        stopping.join(relay_test_fleet.WAIT_SECONDS / 2)
        has_ended = not stopping.is_alive()
        may_commit.set()
        stopping.join()
    assert has_ended


# A request on a new connection got neither an answer nor a refusal at a stop,
# and no line told of it: it came just after the reads had ended.
@pytest.mark.parametrize('comes_before_close', [True, False])
def test_a_request_that_comes_as_the_reads_end_is_refused_as_not_run(
    fleet, endpoint, monkeypatch, comes_before_close
):
    vm = fleet.vms[len(fleet.control_ports)]
    request = HALF_REQUESTS['length'] + b'defghi'
    client = socket.socket()
    client.settimeout(relay_test_fleet.WAIT_SECONDS)
    client.bind(('127.0.0.1', 0))
    port = client.getsockname()[1]
    close = http_server.RelayConnection.close

    def send_and_close(connection):
        if comes_before_close and connection.remote_port == port:
            client.sendall(request)
            relay_test_fleet.await_input(connection.socket)
        close(connection)

    monkeypatch.setattr(http_server.RelayConnection, 'close', send_and_close)
    with client:
        client.connect(('127.0.0.1', fleet.entry_ports[0]))
        caller_server = next(
            server
            for server in vm._servers
            if server.port == fleet.entry_ports[0]
        )
        relay_test_fleet.await_accepted(caller_server, port)
        vm.stop()
        with client.makefile('rb') as answer:
            data = answer.read()
    assert data.startswith(b'HTTP/1.1 503 ')
    assert b'"outcome": "not-run"' in data
    assert b'Connection: close' in data
    assert endpoint.requests == []
