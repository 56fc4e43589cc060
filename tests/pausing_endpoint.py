"""A sound endpoint that is silent for a while at a given place."""

import re
import threading

import accepting_endpoint

# Small, so that a body that is not read blocks its sender.
RECEIVE_BUFFER_BYTES = 64 * 1024
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
# The parts of an answer, between which it is silent. Each answer is 'whole'.
_PARTS_BY_PLACE = {
    'unread': (b'Content-Length: 5\r\n\r\nwhole',),
    'status-line': (b'Content-Length: 5\r\n\r\nwhole',),
    'headers': (b'Content-', b'Length: 5\r\n\r\nwhole'),
    'length': (b'Content-Length: 5\r\n\r\nwho', b'le'),
    'size-line': (_CHUNKED + b'0', b'5\r\nwhole\r\n0\r\n\r\n'),
    'chunk': (_CHUNKED + b'5\r\nwho', b'le\r\n0\r\n\r\n'),
    'chunks': (_CHUNKED + b'3\r\nwho\r\n', b'2\r\nle\r\n0\r\n\r\n'),
    'trailer': (_CHUNKED + b'5\r\nwhole\r\n0\r\n', b'\r\n'),
}
PLACES = tuple(_PARTS_BY_PLACE)
_CHUNK = b'5\r\nwhole\r\n'


class PausingEndpoint(accepting_endpoint.AcceptingEndpoint):
    """An endpoint that the last part of the path tells where to be silent.

    ``/…/PLACE-MS`` is silent for MS milliseconds at a place: ``unread``
    before it reads the body of the request, the others within its answer.
    The last part of the path may name the only endpoint that is silent, as
    in ``/…/PLACE-MS@NAME``.

    Attributes:
        name: id of the endpoint.
        service: name of the service that it belongs to.
        runs: requests that it has read to their end.
        chunk_count: number of times that an answer has its chunk if it is
            sent as one.
        silences: silences within answers that it has begun.
        on_run: called without arguments before each answer.
        requests: nothing, as ``FakeEngine`` has it.
        received_at: nothing, as ``FakeEngine`` has it.
    """

    def __init__(self, name='orders-0', service='orders'):
        self.name = name
        self.service = service
        self.runs = 0
        self.chunk_count = 1
        self.silences = 0
        self.on_run = lambda: None
        self.requests = []
        self.received_at = []
        self._never_set = threading.Event()
        super().__init__(RECEIVE_BUFFER_BYTES)

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

    def serve(self, connection):
        """See ``AcceptingEndpoint``."""
        with connection, connection.makefile('rb') as reader:
            try:
                while self._serve_request(connection, reader):
                    pass
            except OSError:
                # The other side has reset the connection.
                pass

    def _serve_request(self, connection, reader):
        request_line = reader.readline().decode()
        if not request_line:
            return False
        headers = _read_headers(reader)
        action = request_line.split(' ')[1].rpartition('/')[2]
        action, _, silent_name = action.partition('@')
        place, _, milliseconds = action.rpartition('-')
        if silent_name not in ('', self.name):
            milliseconds = '0'
        start = self._signed_start(headers)
        seconds = int(milliseconds) / 1000
        if place == 'unread':
            self._never_set.wait(seconds)
        reader.read(int(headers.get('content-length', 0)))
        self.runs += 1
        self.on_run()
        first, *others = _PARTS_BY_PLACE[place]
        first = first.replace(_CHUNK, self.chunk_count * _CHUNK)
        if place == 'status-line':
            start, first, others = start[:9], b'', [start[9:] + first]
        connection.sendall(start + first)
        for part in others:
            self.silences += 1
            self._never_set.wait(seconds)
            connection.sendall(part)
        return True

    def _signed_start(self, headers):
        return (
            'HTTP/1.1 200 OK\r\n'
            f'X-Carobwood-Request-Id: {headers["x-carobwood-request-id"]}\r\n'
            f'X-Carobwood-Response-Stamp: {self.name}\r\n'
        ).encode()


def _read_headers(reader):
    headers = {}
    while line := reader.readline().strip().decode():
        name, value = re.fullmatch('([^:]+): *(.*)', line).groups()
        headers[name.lower()] = value
    return headers
