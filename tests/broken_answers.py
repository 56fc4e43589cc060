"""Answers of endpoints in trouble, and what their callers get of them."""

import contextlib
import dataclasses
import enum
import http.client
import io
import socket

from carobwood_daemon.entry import bounded_call
from carobwood_daemon.entry import upstream
import cut_off_vm
import raw_answers
import relay_builders
import relay_test_fleet

BODY = b'the whole answer'
EVENTS = b'id: 1\ndata: one\n\nid: 2\ndata: two\n\n'
STATUS_LINE = b'HTTP/1.1 200 OK'
TIMEOUT_SECONDS = 30.0
# Bounds of what reads an answer without a fleet.
READ_SECONDS = 5.0
MAX_BYTES = 1000
# Of requests that run once at most, and of those that may run again.
PATHS = ('/orders/x', '/lookups/x')
STREAM_PATHS = ('/checks/x', '/captions/x')
# Lines that RFC 9110 and 9112 do not allow for a field, by their fault.
MALFORMED_FIELD_LINES = {
    'blank in the name': b'X Name: value',
    'blank before the name': b' X-Name: value',
    'tab before the name': b'\tX-Name: value',
    'blank after the name': b'X-Name : value',
    'tab after the name': b'X-Name\t: value',
    'NUL in the name': b'X\x00Name: value',
    'control byte in the name': b'X\x01Name: value',
    'control byte before the name': b'\x1fX-Name: value',
    'vertical tab in the name': b'X\x0bName: value',
    'DEL in the name': b'X\x7fName: value',
    'CR in the name': b'X\rName: value',
    'byte beyond ASCII in the name': b'X\xa0Name: value',
    'delimiter in the name': b'X(Name): value',
    'no name': b': value',
    'no colon': b'X-Name',
    'NUL in the value': b'X-Name: a\x00value',
    'control byte in the value': b'X-Name: a\x1bvalue',
    'DEL in the value': b'X-Name: a\x7fvalue',
    'CR in the value': b'X-Name: a\rvalue',
    'CR at the end of the value': b'X-Name: value\r',
    'folded value': b'X-Name: a\r\n value',
}

# Status lines with a status that HTTP does not have, or with a form that only
# a lenient reader takes for one that it has.
MALFORMED_STATUS_LINES = [
    b'HTTP/1.1 000 OK',
    b'HTTP/1.1 0 OK',
    b'HTTP/1.1 099 OK',
    b'HTTP/1.1 600 OK',
    b'HTTP/1.1 999 OK',
    b'HTTP/1.1 20 OK',
    b'HTTP/1.1 2000 OK',
    b'HTTP/1.1 0200 OK',
    b'HTTP/1.1 +200 OK',
    b'HTTP/1.1 2_00 OK',
    b'HTTP/1.1 -200 OK',
    b'HTTP/1.1 200OK',
    b'HTTP/1.1\t200 OK',
    b'HTTP/1.x 200 OK',
    b'HTTP/0.9 200 OK',
    b'HTTP/2 200 OK',
    b' HTTP/1.1 200 OK',
    b'HTTP/1.1 200 O\x00K',
    b'HTTP/1.1 200 O\x1bK',
    b'HTTP/1.1 200 O\x7fK',
    b'HTTP/1.1 200 OK\r',
    b'HTTP/1.1 200 O\rK',
]


class Framing(enum.Enum):
    """How an endpoint tells the end of a body.

    Attributes:
        LENGTH: by ``Content-Length``.
        CHUNKED: by the last chunk.
        UNTIL_CLOSE: by the end of the connection.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until-close'


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer to one request, which may be broken.

    Attributes:
        framing: the ``Framing`` of its body.
        is_stream: whether it is an event stream.
        status_line: its first line.
        interim: bytes before that line.
        extra_line: a further line of the head, or empty.
        position: number of sound field lines before that one.
        framing_blanks: what follows the value of the field that tells the
            framing.
        framed_body: bytes in place of the body in its framing, or empty.
        length: number that ``Content-Length`` names, or None for that of the
            body.
        trailer: lines behind the last chunk, each with its CRLF.
    """

    framing: Framing
    is_stream: bool = False
    status_line: bytes = STATUS_LINE
    interim: bytes = b''
    extra_line: bytes = b''
    position: int = 0
    framing_blanks: bytes = b''
    framed_body: bytes = b''
    length: int | None = None
    trailer: bytes = b''

    @property
    def body(self):
        """The body without its framing."""
        return EVENTS if self.is_stream else BODY

    def encode(self, request_id):
        """Return its bytes.

        Args:
            request_id: id of the request that is answered, as bytes.
        """
        lines = self._field_lines(request_id)
        if self.extra_line:
            lines.insert(self.position, self.extra_line)
        head = b'\r\n'.join([self.status_line, *lines, b'', b''])
        return self.interim + head + self._encode_body()

    def positions(self):
        """Return all positions that a further line of the head may have."""
        return range(len(self._field_lines(b'')) + 1)

    def _field_lines(self, request_id):
        kind = b'text/event-stream' if self.is_stream else b'text/plain'
        lines = [
            b'X-Carobwood-Response-Stamp: stamp-of-the-endpoint',
            b'X-Carobwood-Request-Id: ' + request_id,
            b'X-Request-Id: ' + request_id,
            b'X-Weights-Version: 2026-11',
            b'Content-Type: ' + kind,
        ]
        match self.framing:
            case Framing.LENGTH:
                length = len(self.body) if self.length is None else self.length
                field = b'Content-Length: %d' % length
                lines.append(field + self.framing_blanks)
            case Framing.CHUNKED:
                field = b'Transfer-Encoding: chunked'
                lines.append(field + self.framing_blanks)
        return lines

    def _encode_body(self):
        if self.framed_body:
            return self.framed_body
        if self.framing is not Framing.CHUNKED:
            return self.body
        size = len(self.body)
        return b'%x\r\n%s\r\n0\r\n%s\r\n' % (size, self.body, self.trailer)


class AnsweringEndpoint(raw_answers.RawEndpoint):
    """An endpoint that answers each request with an ``Answer``.

    Health checks and engine reports get sound answers.

    Attributes:
        name: id of the endpoint.
        chosen: the ``Answer``.
    """

    def __init__(self, name, service):
        self.name = name
        self.chosen = Answer(Framing.LENGTH)
        self._service = service
        super().__init__(self._make_answer, raw_answers.Manner(reads_all=True))

    def announcement(self, sequence=1, state='ready'):
        """Return its announcement to control VMs."""
        models = [{'name': relay_builders.MODEL, 'version': 1}]
        return raw_answers.announcement(
            self.address, self._service, sequence, state, models=models
        )

    def _make_answer(self, head):
        target = head.split(b' ')[1]
        if target == b'/health' or target.startswith(b'/v1/report'):
            return b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
        return self.chosen.encode(
            raw_answers.find_header(head, b'x-carobwood-request-id')
            or raw_answers.find_header(head, b'x-request-id')
        )


class KeepingEndpoint(AnsweringEndpoint):
    """An endpoint that answers further requests on each connection.

    Attributes:
        connection_count: connections that it has accepted.
    """

    def __init__(self, name, service):
        self.connection_count = 0
        super().__init__(name, service)

    def _answer(self, connection):
        self.connection_count += 1
        with connection.makefile('rb') as reader:
            while head := _read_request(reader):
                connection.sendall(self._make_answer(head))


def _read_request(reader):
    """Return the head of a request, or nothing once there is none."""
    lines = []
    while (line := reader.readline()) not in (b'', b'\r\n'):
        lines.append(line)
    head = b''.join(lines)
    length = raw_answers.find_header(head, b'content-length')
    reader.read(int(length or 0))
    return head


class StandInVm(raw_answers.RawEndpoint):
    """Stands in for the VM that another one passes its requests on to.

    Attributes:
        chosen: the ``Answer`` to each request.
    """

    def __init__(self):
        self.chosen = Answer(Framing.LENGTH)
        super().__init__(
            lambda head: self.chosen.encode(
                raw_answers.find_header(head, b'x-carobwood-request-id')
            ),
            raw_answers.Manner(reads_all=True),
        )


def ask(port, path, request_id, headers, body=b'prompt', method='POST'):
    """Send a request and return all bytes that come until the end.

    A lenient reader would hide what is wrong with them.

    Args:
        port: port of a VM for callers.
        path: path of the request.
        request_id: id of the request.
        headers: further headers by name.
        body: body of the request.
        method: HTTP method.
    """
    lines = [f'{method} {path} HTTP/1.1']
    all_headers = {
        'Host': relay_builders.HOST,
        **headers,
        'X-Carobwood-Request-Id': request_id,
        'Content-Length': str(len(body)),
        'Connection': 'close',
    }
    lines += [f'{name}: {value}' for name, value in all_headers.items()]
    head = '\r\n'.join([*lines, '', '']).encode()
    data = b''
    with socket.create_connection(('127.0.0.1', port)) as connection:
        connection.settimeout(TIMEOUT_SECONDS)
        connection.sendall(head + body)
        try:
            while part := connection.recv(65536):
                data += part
        except ConnectionError:
            pass
    return data


class RelayCaller:
    """A caller of a fleet whose endpoints give the answers of a test.

    Entry VM 1 has the endpoints of all services; entry VM 0 reaches none and
    passes its requests on to VM 1.
    """

    def __init__(self, test_fleet, endpoints):
        self._fleet = test_fleet.fleet
        self._endpoints = endpoints
        self._asked = 0

    @property
    def connection_count(self):
        """Connections that ``KeepingEndpoint``s have accepted."""
        return sum(each.connection_count for each in self._endpoints)

    def entry_vm(self, number):
        """Return an entry VM by its index."""
        return self._fleet.vms[cut_off_vm.FIRST_ENTRY_VM + number]

    def ask_for(self, answer, path, number):
        """Have the endpoints give an ``Answer``; see ``ask``."""
        for endpoint in self._endpoints:
            endpoint.chosen = answer
        return self.ask(path, number)

    def ask(self, path, number):
        """Return the bytes of the answer once a request has been sent on.

        A VM refuses requests, as not run, while their endpoint is ejected.

        Args:
            path: path of the request.
            number: index of the entry VM.
        """
        return relay_test_fleet.await_reply(
            lambda: self._ask_once(path, number),
            lambda data: not data.startswith(b'HTTP/1.1 503 '),
        )

    def await_sound(self, number):
        """Wait until an entry VM uses the endpoints."""
        answer = Answer(Framing.LENGTH)
        for path in (PATHS[0], STREAM_PATHS[0]):
            relay_test_fleet.await_reply(
                lambda path=path: self.ask_for(answer, path, number),
                lambda data: BODY in data,
            )

    def _ask_once(self, path, number):
        self._asked += 1
        return ask(
            self._fleet.entry_ports[number],
            path,
            f'r-{number}-{self._asked}',
            relay_test_fleet.caller_headers(),
        )


@contextlib.contextmanager
def relay_caller(folder, endpoint_class=AnsweringEndpoint):
    """Yield the ``RelayCaller`` of a new fleet.

    Args:
        folder: path of the folder of its data.
        endpoint_class: class of its endpoints.
    """
    with contextlib.ExitStack() as stack:
        endpoints = [
            stack.enter_context(endpoint_class(name, service))
            for name, service in (
                ('orders-0', 'orders'),
                ('engine-0', 'engines'),
            )
        ]
        test_fleet = stack.enter_context(
            relay_test_fleet.RelayTestFleet(folder, ('v1',))
        )
        for endpoint in endpoints:
            test_fleet.announce(endpoint, 1000)
        caller = RelayCaller(test_fleet, endpoints)
        caller.await_sound(1)
        stack.enter_context(cut_off_vm.cut_off(test_fleet, 0))
        caller.await_sound(0)
        yield caller


def read_by_call(answer):
    """Return the status and the body that a call of a VM's own reads.

    Args:
        answer: the ``Answer``.
    """
    with (
        _serve(answer) as address,
        contextlib.closing(bounded_call.HttpCaller()) as caller,
    ):
        received = caller.call(
            bounded_call.Call('GET', address, '/'),
            bounded_call.CallBounds(READ_SECONDS, MAX_BYTES),
        )
        return received.status, received.data


def read_by_upstream(answer):
    """Return the status and the body that the callers' own interface reads.

    Args:
        answer: the ``Answer``.
    """
    request = upstream.UpstreamRequest(
        'GET', '/', {}, None, 'r-1', True, READ_SECONDS, READ_SECONDS
    )
    with _serve(answer) as address:
        connection = upstream.open_connection(address)
        with contextlib.closing(connection):
            response = upstream.send(connection, request)
            return response.status, response.read_all(MAX_BYTES)


@contextlib.contextmanager
def _serve(answer):
    """Yield the address of an endpoint that gives an answer to ``r-1``."""
    manner = raw_answers.Manner(reads_all=True)
    with raw_answers.RawEndpoint(answer.encode(b'r-1'), manner) as endpoint:
        yield endpoint.address


READERS = (read_by_call, read_by_upstream)


class _GivenBytes:
    """A socket that gives bytes which have been received before."""

    def __init__(self, data):
        self._data = data

    def makefile(self, mode):
        """Return a reader of the bytes."""
        return io.BytesIO(self._data)


def parse(data):
    """Return the status and the body of a sound answer.

    Args:
        data: its bytes.
    """
    response = http.client.HTTPResponse(_GivenBytes(data))
    response.begin()
    return response.status, response.read()


def is_refusal(data, statuses=(502,)):
    """Tell whether a VM has answered that it got no sound answer.

    Nothing of the endpoint's answer may be in it.

    Args:
        data: all bytes that the caller got.
        statuses: the statuses that say so.
    """
    starts = tuple(b'HTTP/1.1 %d ' % status for status in statuses)
    return data.startswith(starts) and not any(
        part in data
        for part in (b'stamp-of-the-endpoint', BODY, EVENTS, b'X-Name')
    )
