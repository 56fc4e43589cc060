"""A VM that reaches no endpoint, while the other VMs reach them."""

import contextlib
import dataclasses
import http.client
import socket
import threading

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.entry import strict_request
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.relay import forwarding_headers
import fake_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet

# Position of the first entry VM behind the three control VMs.
FIRST_ENTRY_VM = 3
# The events of a whole stream.
EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
NO_RETRY = {'retry_ratio': 0.0, 'retry_slack': 0.0}


@pytest.fixture
def fleet(tmp_path, request):
    """Yield a fleet of its own with two entry VMs.

    A parameter holds further arguments of ``RelayTestFleet``.
    """
    options = getattr(request, 'param', {})
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path, **options)
    yield test_fleet
    test_fleet.stop()


@pytest.fixture
def cut_off(fleet, monkeypatch):
    """Return a function that cuts an entry VM off from all endpoints."""

    def cut(number):
        vm = fleet.fleet.vms[FIRST_ENTRY_VM + number]

        def refuse(address, timeout):
            vm.reachability.note(address, False)
            raise errors.EndpointUnreachable('cut off')

        monkeypatch.setattr(vm.pool, 'connect', refuse)
        for endpoint in (*fleet.engines, fleet.plain_endpoint):
            vm.pool.close_idle(endpoint.address)

    return cut


def _ask_until_served(fleet, path, **headers):
    """Ask VM 0 until it has noticed that it is cut off."""
    relay_test_fleet.await_reply(
        lambda: fleet.fleet.ask(path, **headers),
        lambda reply: reply.status == 200,
    )
    fleet.clear_requests()


def test_requests_are_served_through_a_vm_that_reaches_endpoints(
    fleet, cut_off
):
    cut_off(0)
    _ask_until_served(fleet, '/checks/x')
    stream = fleet.fleet.ask('/checks/x', X_Carobwood_Request_Id='r-7')
    whole = fleet.fleet.ask('/orders/whole', X_Carobwood_Request_Id='r-8')
    assert stream.status == whole.status == 200
    assert stream.body.count(b'data:') == fake_endpoint.STREAM_EVENT_COUNT
    assert stream.headers['x-carobwood-request-id'] == 'r-7'
    assert whole.headers['x-carobwood-response-stamp'] == 'orders-0'
    assert whole.body == b'whole'
    assert len(fleet.engine_requests) == 1
    assert len(fleet.plain_endpoint.requests) == 1


def _strand_vm_0(fleet, cut_off):
    cut_off(0)
    _ask_until_served(fleet, '/checks/x')


# Twenty retries of a refusal reached the deadline of 5 s beside load: 504.
@pytest.mark.parametrize('fleet', [NO_RETRY], indirect=True, ids=['no-retry'])
def test_an_error_of_the_other_vm_keeps_its_status_and_outcome(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    full = fleet.fleet.ask('/orders/full')
    assert full.status == 503
    assert b'"not-run"' in full.body
    unsigned = fleet.fleet.ask('/orders/unsigned')
    assert unsigned.status == 502
    assert b'"unknown"' in unsigned.body


def test_a_request_that_may_run_once_reaches_one_endpoint_once(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    reply = fleet.fleet.ask('/orders/silent', X_Carobwood_Deadline_Ms='500')
    assert reply.status == 504
    assert len(fleet.plain_endpoint.requests) == 1


def test_neither_the_key_nor_headers_between_vms_reach_an_endpoint(
    fleet, cut_off
):
    _strand_vm_0(fleet, cut_off)
    fleet.fleet.ask('/checks/x', X_Carobwood_Deadline_Ms='3000')
    (received,) = fleet.engine_requests
    assert 'authorization' not in received
    assert not set(received) & forwarding_headers.ALL
    assert received['x-carobwood-tenant'] == builders.customer().name
    assert 0 < int(received['x-carobwood-deadline-ms']) < 3000


def test_a_vm_tells_the_next_one_when_a_request_has_come(
    fleet, cut_off, monkeypatch
):
    parsed = []
    parse = forwarding_headers.parse_request

    def record(*arguments):
        parsed.append(parse(*arguments))
        return parsed[-1]

    monkeypatch.setattr(forwarding_headers, 'parse_request', record)
    _strand_vm_0(fleet, cut_off)
    parsed.clear()
    fleet.fleet.ask('/checks/x')
    [forwarded] = parsed
    assert 0 <= forwarded.time_used < relay_test_fleet.WAIT_SECONDS


def test_headers_between_vms_do_not_reach_the_caller(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    for path in ('/checks/x', '/orders/full'):
        reply = fleet.fleet.ask(path)
        assert not set(reply.headers) & forwarding_headers.ALL


def test_a_body_of_a_megabyte_is_forwarded_whole(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    reply = fleet.fleet.ask('/orders/whole', body=b'x' * 1_000_000)
    assert reply.status == 200
    (received,) = fleet.plain_endpoint.requests
    assert received['content-length'] == '1000000'


def test_a_stream_breaks_off_where_the_other_vm_does(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    # Streams of this route may not be resumed, so the other VM breaks off.
    reply = fleet.fleet.ask('/orders/reset-after-2')
    assert reply.status == 0


def _send_order(fleet, path, request_id):
    """Send a request to VM 0 and return the open connection."""
    connection = http.client.HTTPConnection(
        '127.0.0.1', fleet.fleet.entry_ports[0], timeout=30.0
    )
    headers = {
        'Host': builders.HOST,
        'Authorization': f'Bearer {builders.KEY}',
        'X-Carobwood-Request-Id': request_id,
        'X-Carobwood-Deadline-Ms': '60000',
    }
    connection.request('POST', path, b'order', headers)
    return connection


def test_a_caller_that_leaves_cancels_the_request_at_the_endpoint(
    fleet, cut_off
):
    _strand_vm_0(fleet, cut_off)
    connection = _send_order(fleet, '/orders/silent', 'r-left')
    relay_test_fleet.await_reply(
        lambda: fleet.plain_endpoint.requests, lambda requests: requests
    )
    connection.close()
    relay_test_fleet.await_reply(
        lambda: fleet.plain_endpoint.cancelled_ids,
        lambda cancelled_ids: cancelled_ids == ['r-left'],
    )


def test_events_are_forwarded_as_they_come(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    connection = _send_order(fleet, '/orders/stall-after-2', 'r-events')
    # The rest of the stream never comes.
    events_before = b'id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n'
    response = connection.getresponse()
    assert response.read(len(events_before)) == events_before
    connection.close()


def test_a_request_without_the_proof_of_a_vm_is_not_run(fleet):
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    address = addresses.parse_address(vm.directory.own_vm.forward_address)
    reply = relay_test_fleet.ask(
        address.port, 'POST', '/checks/x', b'prompt', {'Host': builders.HOST}
    )
    assert reply.status == 503
    assert fleet.engine_requests == []


def test_requests_are_forwarded_to_a_vm_that_is_not_stopping(fleet, cut_off):
    _strand_vm_0(fleet, cut_off)
    fleet.fleet.vms[FIRST_ENTRY_VM + 1].stop()
    reply = relay_test_fleet.await_reply(
        lambda: fleet.fleet.ask('/checks/x'),
        lambda reply: b'"no_endpoint_reachable"' in reply.body,
    )
    assert reply.status == 503
    assert b'"not-run"' in reply.body


def test_a_vm_sends_requests_itself_once_it_reaches_endpoints(
    fleet, monkeypatch, cut_off
):
    _strand_vm_0(fleet, cut_off)
    monkeypatch.undo()
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    relay_test_fleet.await_reply(
        lambda: vm.reachability.is_cut_off, lambda is_cut_off: not is_cut_off
    )
    assert fleet.fleet.ask('/checks/x').status == 200


def test_a_request_is_refused_at_once_if_no_vm_reaches_endpoints(
    fleet, cut_off
):
    for number in range(2):
        cut_off(number)
    for number in range(2):
        reply = relay_test_fleet.await_reply(
            lambda number=number: fleet.fleet.ask('/checks/x', number=number),
            lambda reply: b'"no_endpoint_reachable"' in reply.body,
        )
        assert reply.status == 503
        assert int(reply.headers['retry-after']) >= 1
    assert fleet.engine_requests == []


@contextlib.contextmanager
def _listen(answer):
    """Give an address at which each request gets an answer and the end."""
    with socket.create_server(('127.0.0.1', 0)) as listener:

        def serve():
            while True:
                try:
                    peer, _ = listener.accept()
                except OSError:
                    return
                with peer:
                    peer.recv(65536)
                    peer.sendall(answer)

        threading.Thread(target=serve, daemon=True).start()
        yield '127.0.0.1:%d' % listener.getsockname()[1]
        listener.shutdown(socket.SHUT_RDWR)


@pytest.fixture
def closing_address():
    """Yield an address at which each request ends its connection."""
    with _listen(b'') as address:
        yield address


@pytest.fixture
def stopping_address():
    """Yield an address at which a listener stops before each request."""
    body = strict_request.encode_error(errors.Stopping('it stops'))
    head = (
        'HTTP/1.1 503 stopping\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(body)}\r\nCarobwood-Outcome: not-run\r\n'
        'Connection: close\r\n\r\n'
    )
    with _listen(head.encode() + body) as address:
        yield address


@pytest.fixture
def ask_first(fleet, monkeypatch):
    """Return a function that has VM 0 ask the VM at an address first."""
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    choose = vm.peers.choose

    def arrange(address):
        def choose_first(asked_ids):
            if asked_ids:
                return choose(asked_ids)
            return dataclasses.replace(
                vm.directory.own_vm, id='front-9', forward_address=address
            )

        monkeypatch.setattr(vm.peers, 'choose', choose_first)

    return arrange


@pytest.mark.parametrize(
    ('path', 'status', 'runs'),
    [('/captions/x', 200, 1), ('/orders/x', 502, 0)],
)
def test_only_what_may_run_twice_is_forwarded_again_after_a_vm_broke_off(
    fleet, cut_off, ask_first, closing_address, path, status, runs
):
    _strand_vm_0(fleet, cut_off)
    ask_first(closing_address)
    assert fleet.fleet.ask(path).status == status
    requests = fleet.engine_requests + fleet.plain_endpoint.requests
    assert len(requests) == runs


# A caller got the refusal that a stopping VM had given to another VM, although
# a third one would have taken the request.
@pytest.mark.parametrize('path', ['/captions/x', '/orders/whole'])
def test_a_request_goes_to_another_vm_if_the_listener_of_one_stops(
    fleet, cut_off, ask_first, stopping_address, path
):
    _strand_vm_0(fleet, cut_off)
    ask_first(stopping_address)
    assert fleet.fleet.ask(path).status == 200


# Its request, which may have run, was said not to have run.
def test_a_vm_that_stops_does_not_say_that_a_request_has_not_run(
    fleet, cut_off, monkeypatch, closing_address, stopping_address
):
    _strand_vm_0(fleet, cut_off)
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    left = [closing_address, stopping_address]

    def choose(asked_ids):
        if len(asked_ids) >= len(left):
            return None
        return dataclasses.replace(
            vm.directory.own_vm,
            id=f'front-{len(asked_ids)}',
            forward_address=left[len(asked_ids)],
        )

    monkeypatch.setattr(vm.peers, 'choose', choose)
    reply = fleet.fleet.ask('/captions/x')
    assert reply.status == 502
    assert b'"unknown"' in reply.body


# A request that had run was said not to have run by two VMs without endpoints.
def test_what_may_have_run_at_the_other_vm_is_not_said_not_to_have_run(
    fleet, cut_off
):
    _strand_vm_0(fleet, cut_off)
    other_vm = fleet.fleet.vms[FIRST_ENTRY_VM + 1]

    def cut_off_and_fail(*_request):
        cut_off(1)
        for endpoint in (*fleet.engines, fleet.plain_endpoint):
            with contextlib.suppress(errors.EndpointUnreachable):
                other_vm.pool.connect(endpoint.address, 1.0)
        raise ConnectionResetError('the engine fails')

    for engine in fleet.engines:
        engine.on_run = cut_off_and_fail
    reply = fleet.fleet.ask('/captions/x')
    assert len(fleet.engine_requests) == 1
    assert reply.status == 502
    assert b'"unknown"' in reply.body


def test_a_vm_that_reaches_no_endpoint_removes_none(
    fleet, cut_off, monkeypatch
):
    _strand_vm_0(fleet, cut_off)
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    known = len(vm.directory.endpoints())
    # All seem silent at once, as if no announcement had come for long.
    monkeypatch.setattr(endpoint_table, 'ENDPOINT_SILENCE_SECONDS', -1.0)
    monkeypatch.setattr(vm.directory, '_confirmed_at', float('-inf'))
    assert vm.directory.silent_endpoints()
    vm.silent_endpoint_prober.run_once()
    assert len(vm.directory.endpoints()) == known


# A stream that waited for another endpoint was cut, as its VM reached none.
def test_a_begun_stream_goes_on_once_its_vm_reaches_an_endpoint(
    fleet, monkeypatch
):
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    connect = vm.pool.connect
    wait_for_change = vm._shared.wait_queue.wait_for_change
    is_partitioned = threading.Event()

    def connect_or_time_out(address, timeout):
        if not is_partitioned.is_set():
            return connect(address, timeout)
        vm.reachability.note(address, False)
        error = errors.EndpointUnreachable('no connection in time')
        error.is_timeout = True
        raise error

    def begin_partition(*_request):
        if not vm.reachability.is_cut_off:
            vm.pool._close_all_idle()
            is_partitioned.set()

    def end_partition(entry):
        if vm.reachability.is_cut_off:
            is_partitioned.clear()
        return wait_for_change(entry)

    monkeypatch.setattr(vm.pool, 'connect', connect_or_time_out)
    monkeypatch.setattr(
        vm._shared.wait_queue, 'wait_for_change', end_partition
    )
    for engine in fleet.engines:
        engine.on_run = begin_partition
    reply = fleet.fleet.ask('/captions/reset-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 2
