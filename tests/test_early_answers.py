"""Parts of answers that come while a request is still being sent.

An engine answered a long upload at once with a 200, mostly without a length,
sent a part of its body and reset the connection. Its caller must never get the
part as a whole answer, on any path that the answer takes.
"""

import contextlib
import dataclasses
import http.client
import itertools

import broken_answers
from carobwood import errors
from carobwood_daemon.entry import upstream
import cut_off_vm
import endless_endpoint
import pytest
import raw_answers
import relay_test_fleet

WAIT_SECONDS = 30.0
DEADLINE_MS = '5000'
# Status of an answer whose end is missing.
CUT = -1
# An upload that the buffers of no connection hold.
LONG_BYTES = 4 * 1024 * 1024
SHORT_BYTES = 1024
PART_BYTES = 20_000
# Pauses between the part and the reset: none, and one in which the VM has
# read the part.
PAUSES_SECONDS = (0.0, 0.05)
UNTIL_CLOSE = broken_answers.Framing.UNTIL_CLOSE


@dataclasses.dataclass(frozen=True)
class Case:
    """What an endpoint sends, and how its caller sends the request.

    Attributes:
        answer_framing: the ``Framing`` of the answer.
        is_stream: whether the answer says that it is an event stream.
        upload_bytes: size of the request's body.
        is_chunked: whether the caller sends the body in chunks.
        pause_seconds: time between the part and the reset.
    """

    answer_framing: broken_answers.Framing
    is_stream: bool
    upload_bytes: int
    is_chunked: bool
    pause_seconds: float

    def __str__(self):
        """Return the id of the test."""
        kind = 'stream' if self.is_stream else 'whole'
        framing = 'chunked' if self.is_chunked else 'length'
        upload = f'{self.upload_bytes}-{framing}'
        answer = f'{kind}-{self.answer_framing.value}'
        return f'{answer}-{upload}-{self.pause_seconds}'


CASES = [
    Case(*values)
    for values in itertools.product(
        broken_answers.Framing,
        (False, True),
        (SHORT_BYTES, LONG_BYTES),
        (False, True),
        PAUSES_SECONDS,
    )
]


FIRST_CASE = Case(UNTIL_CLOSE, False, SHORT_BYTES, False, 0.0)


class EarlyEndpoint(raw_answers.RawEndpoint):
    """An endpoint of the service ``orders`` that sends a part and resets."""

    def __init__(self):
        super().__init__(self._make_answer, raw_answers.Manner(resets=True))
        self.name = 'orders-0'
        self._case = FIRST_CASE

    def announcement(self, sequence=1, state='ready'):
        """Return its announcement to control VMs."""
        return raw_answers.announcement(
            self.address, 'orders', sequence, state
        )

    def set_case(self, case):
        """Answer later requests as a ``Case`` says."""
        self._case = case
        self.manner = raw_answers.Manner(True, case.pause_seconds)

    def _make_answer(self, head):
        request_id = raw_answers.find_header(head, b'x-carobwood-request-id')
        kind = b'text/plain'
        part = b'x' * PART_BYTES
        if self._case.is_stream:
            kind = b'text/event-stream'
            part = b'id: 1\ndata: one\n\nid: 2\ndata: tw'
        return (
            b'HTTP/1.1 200 OK\r\n'
            b'X-Carobwood-Response-Stamp: orders-0\r\n'
            b'X-Carobwood-Request-Id: %s\r\n'
            b'Content-Type: %s\r\n%s'
            % (request_id, kind, _frame(self._case.answer_framing, part))
        )


def _frame(framing, part):
    """Return the end of a head and a part of the body that it announces."""
    match framing:
        case broken_answers.Framing.LENGTH:
            return b'Content-Length: %d\r\n\r\n%s' % (2 * len(part), part)
        case broken_answers.Framing.CHUNKED:
            chunk = b'%x\r\n%s\r\n' % (len(part), part)
            return b'Transfer-Encoding: chunked\r\n\r\n' + chunk
        case broken_answers.Framing.UNTIL_CLOSE:
            return b'\r\n' + part


@pytest.fixture(scope='module')
def endpoint():
    """Yield the endpoint."""
    with EarlyEndpoint() as early_endpoint:
        yield early_endpoint


@pytest.fixture(scope='module')
def fleet(tmp_path_factory, endpoint):
    """Yield a fleet whose service ``orders`` has the endpoint only.

    Its entry VM 0 reaches no endpoint and passes requests on to VM 1.
    """
    folder = tmp_path_factory.mktemp('fleet')
    with relay_test_fleet.RelayTestFleet(folder) as test_fleet:
        test_fleet.announce(endpoint, 1000)
        for number in range(2):
            _await_sent(test_fleet, number)
        with cut_off_vm.cut_off(test_fleet, 0):
            _await_sent(test_fleet, 0)
            yield test_fleet


def _await_sent(test_fleet, number):
    relay_test_fleet.await_reply(
        lambda: _ask(test_fleet, number, FIRST_CASE, 0),
        lambda reply: reply.status != 503,
    )


def _ask(test_fleet, number, case, attempt):
    """Send a request and return the ``Reply``, with ``CUT`` for a part."""
    port = test_fleet.fleet.entry_ports[number]
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=WAIT_SECONDS
    )
    body = b'x' * case.upload_bytes
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=f'r-{number}-{attempt}',
        X_Carobwood_Deadline_Ms=DEADLINE_MS,
    )
    with contextlib.closing(connection):
        connection.request(
            'POST',
            '/orders/early',
            iter([body]) if case.is_chunked else body,
            headers,
            encode_chunked=case.is_chunked,
        )
        try:
            response = connection.getresponse()
            content = response.read()
        except (http.client.HTTPException, ConnectionError):
            return relay_test_fleet.Reply(CUT, {}, b'')
        return relay_test_fleet.Reply(response.status, {}, content)


def _ask_until_sent(test_fleet, number, case):
    """Ask again while the VM refuses because of the endpoint's failures."""
    attempts = itertools.count(1)
    return relay_test_fleet.await_reply(
        lambda: _ask(test_fleet, number, case, next(attempts)),
        lambda reply: reply.status != 503,
    )


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('case', CASES, ids=str)
def test_a_part_of_an_early_answer_is_not_whole(fleet, endpoint, number, case):
    endpoint.set_case(case)
    reply = _ask_until_sent(fleet, number, case)
    assert reply.status in (CUT, 502, 504)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('pause', PAUSES_SECONDS)
def test_a_part_that_is_passed_on_for_want_of_memory_is_not_whole(
    fleet, endpoint, number, pause, monkeypatch
):
    case = Case(UNTIL_CLOSE, False, SHORT_BYTES, False, pause)
    endpoint.set_case(case)
    for budget in fleet.fleet.budgets_by_vm.values():
        monkeypatch.setattr(
            budget, 'total_bytes', budget.total_bytes - _free(budget)
        )
    reply = _ask_until_sent(fleet, number, case)
    assert reply.status in (CUT, 502, 504)


def _free(budget):
    """Return the bytes of a budget but for a request and a head."""
    return max(0, budget.total_bytes - endless_endpoint.MEGABYTE // 64)


@pytest.mark.parametrize('framing', list(broken_answers.Framing))
@pytest.mark.parametrize('size', [SHORT_BYTES, LONG_BYTES])
@pytest.mark.parametrize('pause', PAUSES_SECONDS)
@pytest.mark.parametrize('is_chunked', [False, True])
def test_a_part_of_an_early_answer_is_not_whole_for_carobwoodd(
    endpoint, framing, size, pause, is_chunked
):
    endpoint.set_case(Case(framing, False, size, is_chunked, pause))
    body = b'x' * size
    request = upstream.UpstreamRequest(
        'POST',
        '/orders/early',
        {},
        iter([body]) if is_chunked else body,
        'r-1',
        False,
        WAIT_SECONDS,
        WAIT_SECONDS,
    )
    connection = upstream.open_connection(endpoint.address)
    with contextlib.closing(connection):
        with pytest.raises(errors.CarobwoodError):
            upstream.send(connection, request).read_all(LONG_BYTES)
