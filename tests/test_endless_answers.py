"""Answers of endpoints that never end, to requests of callers."""

import concurrent.futures
import contextlib
import http.client
import socket
import threading

from carobwood import errors
from carobwood_daemon.entry import upstream
import cut_off_vm
import endless_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet
import small_vm

DEADLINE_MS = '3000'
# The codes of requests whose endpoint gave no whole answer.
FAILED = (502, 504)
WHOLE_KINDS = ('trailer', 'trailer-line')
ANSWER_NAMES = [
    f'{kind}/{speed}'
    for kind in endless_endpoint.ANSWERS_BY_KIND
    for speed in ('fast', 'slow')
]
WAIT_SECONDS = 30.0
# Status of an answer that was cut after its head.
CUT = -1
# Answers that are passed on because the VM has no memory for them.
CUT_REPLIES = {(kind, CUT) for kind in ('chunk', 'chunks', 'until-close')}
# Budget of a VM that keeps all endless answers of a test to their bounds.
AMPLE_BYTES = 512 * 1024 * 1024
# Callers of each kind of endless answer at one VM of little memory.
CALLERS_OF_EACH = 4


class FaultyEndpoint(endless_endpoint.EndlessEndpoint):
    """An endpoint whose answer the end of the request's path names."""

    def __init__(self, service='orders'):
        super().__init__(None, headers=_sign)
        self.service = service
        self.name = f'{service}-0'

    def announcement(self, sequence=1, state='ready'):
        """Return its announcement to control VMs."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'bole',
            'state': state,
            'seq_no': sequence,
            'born': 1_700_000_000_000,
            'version': 'v1',
        }

    def choose_answer(self, head):
        """Return the answer to a request, and whether it is slow."""
        kind, speed = head.split(b' ')[1].decode().split('/')[-2:]
        if kind == 'sound':
            return _SOUND, False
        return endless_endpoint.ANSWERS_BY_KIND[kind], speed == 'slow'


# What follows the answer is nothing of it.
_SOUND = endless_endpoint.EndlessAnswer(
    b'HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nsound',
    b' ',
)


def _sign(head):
    lines = head.decode('latin-1').split('\r\n')
    service = lines[0].split('/')[1]
    (request_id,) = (
        line.partition(': ')[2]
        for line in lines
        if line.lower().startswith('x-carobwood-request-id:')
    )
    return (
        f'X-Carobwood-Request-Id: {request_id}\r\n'
        f'X-Carobwood-Response-Stamp: {service}-0\r\n'
    ).encode()


@pytest.fixture(scope='module')
def endpoint():
    """Yield the faulty endpoint."""
    with FaultyEndpoint() as faulty_endpoint:
        yield faulty_endpoint


@pytest.fixture(scope='module')
def fleet(tmp_path_factory, endpoint):
    """Yield a fleet whose service ``orders`` has the faulty endpoint only.

    Its entry VM 1 takes requests of callers, and passes those of VM 0 on.
    """
    folder = tmp_path_factory.mktemp('fleet')
    with relay_test_fleet.RelayTestFleet(folder) as test_fleet:
        test_fleet.announce(endpoint, 1000)
        for number in range(2):
            relay_test_fleet.await_reply(
                lambda number=number: _ask(test_fleet, number, 'sound/fast'),
                lambda reply: reply.body == b'sound',
            )
        with cut_off_vm.cut_off(test_fleet, 0):
            relay_test_fleet.await_reply(
                lambda: _ask(test_fleet, 0, 'sound/fast'),
                lambda reply: reply.body == b'sound',
            )
            yield test_fleet


def _ask(test_fleet, number, answer_name, timeout=WAIT_SECONDS):
    return relay_test_fleet.ask(
        test_fleet.fleet.entry_ports[number],
        'POST',
        f'/orders/{answer_name}',
        b'prompt',
        relay_test_fleet.caller_headers(
            X_Carobwood_Request_Id='r-' + answer_name.replace('/', '-'),
            X_Carobwood_Deadline_Ms=DEADLINE_MS,
        ),
        timeout=timeout,
    )


def _ask_until_sent(test_fleet, number, answer_name):
    """Ask again while the endpoint gets nothing because of its failures."""
    return relay_test_fleet.await_reply(
        lambda: _ask(test_fleet, number, answer_name),
        lambda reply: reply.status != 503,
    )


def _ask_vm(address, path, number):
    """Ask a VM again while it refuses the request as not run."""
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=f'r-{number}',
        X_Carobwood_Deadline_Ms=DEADLINE_MS,
    )
    return relay_test_fleet.await_reply(
        lambda: _ask_once(address, path, headers),
        lambda reply: reply.status != 503,
    )


def _ask_once(address, path, headers):
    """Return the reply, with the status ``CUT`` if its body was cut.

    Raises:
        TimeoutError: the VM sent nothing for ``WAIT_SECONDS``.
    """
    connection = http.client.HTTPConnection(*address, timeout=WAIT_SECONDS)
    with contextlib.closing(connection):
        connection.request('POST', path, b'prompt', headers)
        response = connection.getresponse()
        try:
            body = response.read()
        except (http.client.IncompleteRead, ConnectionResetError):
            return relay_test_fleet.Reply(CUT, {}, b'')
        return relay_test_fleet.Reply(response.status, {}, body)


def _is_proper(answer_name, reply):
    kind, _, _ = answer_name.partition('/')
    if kind in WHOLE_KINDS:
        return (reply.status, reply.body) == (200, b'{}')
    return reply.status in FAILED


# A faulty engine sent bytes without end, and callers got no answer.
@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
def test_a_request_with_an_endless_answer_is_answered(
    fleet, endpoint, number, monkeypatch
):
    # An answer that is passed on for want of memory is cut after its head.
    for budget in fleet.fleet.budgets_by_vm.values():
        monkeypatch.setattr(budget, 'total_bytes', AMPLE_BYTES)
    endpoint.requests.clear()
    with concurrent.futures.ThreadPoolExecutor(len(ANSWER_NAMES)) as threads:
        replies = threads.map(
            lambda name: _ask_until_sent(fleet, number, name), ANSWER_NAMES
        )
        wrong = {
            name: (reply.status, reply.body[:200])
            for name, reply in zip(ANSWER_NAMES, replies, strict=True)
            if not _is_proper(name, reply)
        }
    assert not wrong
    assert len(endpoint.requests) == len(ANSWER_NAMES)


# The VM went on reading for callers that had left.
@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
def test_an_endless_answer_ends_when_its_caller_leaves(
    fleet, endpoint, number
):
    requests = []
    for name in ANSWER_NAMES:
        endpoint.requests.clear()
        ended = endpoint.ended_connections
        connection = _send(fleet, number, name)
        _await(lambda: endpoint.requests)
        connection.close()
        requests.append((name, ended))
        _await(lambda ended=ended: endpoint.ended_connections > ended)


def _send(test_fleet, number, answer_name):
    """Send a request whose deadline is beyond the test's end."""
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Deadline_Ms='600000', Content_Length='0'
    )
    lines = ''.join(f'{name}: {value}\r\n' for name, value in headers.items())
    port = test_fleet.fleet.entry_ports[number]
    connection = socket.create_connection(('127.0.0.1', port))
    connection.sendall(
        f'POST /orders/{answer_name} HTTP/1.1\r\n{lines}\r\n'.encode()
    )
    return connection


def _await(is_true):
    never_set = threading.Event()
    for _ in range(int(WAIT_SECONDS / 0.02)):
        if is_true():
            return
        never_set.wait(0.02)
    raise AssertionError('it did not come true in time')


# A VM kept all bytes of endless answers and ran out of memory; the requests
# of its other callers ended with it.
def test_endless_answers_leave_memory_for_other_requests(tmp_path, endpoint):
    names = [name for name in ANSWER_NAMES if name.endswith('/fast')]
    names *= CALLERS_OF_EACH
    changes = {
        'routes': [
            builders.route_fields(
                service, kind='unsafe', service=service, sticky=False
            )
            for service in ('orders', 'notes')
        ],
        'services': [
            {'name': 'orders', 'max_conns': 100},
            {'name': 'notes', 'max_conns': 100},
        ],
    }
    with FaultyEndpoint('notes') as sound:
        announcements = {e.name: e.announcement() for e in (endpoint, sound)}
        with small_vm.run(tmp_path, announcements, **changes) as fleet:
            address = small_vm.entry_address(fleet)
            for service in ('orders', 'notes'):
                relay_test_fleet.await_reply(
                    lambda service=service: _ask_vm(
                        address, f'/{service}/sound/fast', 0
                    ),
                    lambda reply: reply.body == b'sound',
                )
            pid = fleet.entry_vm.process.pid
            endless_endpoint.reset_peak_memory(pid)
            replies, small_replies = _ask_beside(address, names)
            peak = endless_endpoint.peak_memory_bytes(pid)
    assert peak < small_vm.MEMORY_MEGABYTES * endless_endpoint.MEGABYTE
    wrong = {
        name: (reply.status, reply.body[:200])
        for name, reply in zip(names, replies, strict=True)
        if not _is_proper(name, reply)
        and (name.partition('/')[0], reply.status) not in CUT_REPLIES
    }
    assert not wrong
    assert {reply.body for reply in small_replies} == {b'sound'}


def _ask_beside(address, names):
    """Ask for endless answers, and for small ones all the while."""
    with concurrent.futures.ThreadPoolExecutor(len(names)) as threads:
        pending = [
            threads.submit(_ask_vm, address, f'/orders/{name}', number)
            for number, name in enumerate(names)
        ]
        small_replies = []
        while not all(future.done() for future in pending):
            small_replies.append(
                _ask_vm(address, '/notes/sound/fast', 'small')
            )
        return [future.result() for future in pending], small_replies


# carobwoodd's time for a head began anew with each byte or interim head.
@pytest.mark.parametrize('speed', ['fast', 'slow'])
@pytest.mark.parametrize(
    'kind', ['status-line', 'header-line', 'headers', 'interim']
)
def test_a_head_without_end_is_given_up_by_the_entry(endpoint, kind, speed):
    request = upstream.UpstreamRequest(
        'GET',
        f'/orders/{kind}/{speed}',
        {'X-Carobwood-Request-Id': 'r-1'},
        None,
        'r-1',
        False,
        0.5,
        0.5,
    )
    ended = endpoint.ended_connections
    connection = upstream.open_connection(endpoint.address)
    with pytest.raises((errors.EndpointFailed, errors.EndpointTimeout)):
        upstream.send(connection, request)
    _await(lambda: endpoint.ended_connections > ended)
