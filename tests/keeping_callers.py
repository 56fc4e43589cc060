"""Callers that keep their connections and note how each request ended.

They send bodies with a length, in chunks and slowly, several requests at
once, and requests that are refused before their body was read.
"""

import dataclasses
import random
import socket
import threading
import time

import relay_builders as builders
import relay_test_fleet

# Pause before a caller connects again.
RECONNECT_SECONDS = 0.05
# Pause within a body that is sent slowly.
SLOW_SECONDS = 0.05
# Requests that are sent at once.
BATCH = 3
KINDS = ('length', 'chunks', 'slow', 'batch', 'read-slowly')


@dataclasses.dataclass(frozen=True)
class Exchange:
    """A request and how it ended.

    Attributes:
        request_id: its id.
        path: its path.
        kind: how it was sent, one of ``KINDS``.
        is_whole: whether all of it was written to the socket.
        status: status of its answer, or 0 if the connection ended.
        is_first: whether it was the first one of its connection.
        began_at: monotonic time at which it was sent.
        ended_at: monotonic time of its end.
        error: what ended the connection or is wrong with the answer, or
            empty.
        local_port: port of the caller's side.
    """

    request_id: str
    path: str
    kind: str
    is_whole: bool
    status: int
    is_first: bool
    began_at: float
    ended_at: float
    error: str
    local_port: int


class KeepingCallers:
    """Threads that send requests to an entry VM until they are stopped.

    Attributes:
        exchanges: the ``Exchange`` of each request.
    """

    def __init__(
        self, address, count, seed, paths, keys, first_pause_seconds=0.0
    ):
        """Plan the callers.

        Args:
            address: host and port of the entry VM.
            count: number of callers.
            seed: seed of what they send.
            paths: paths that they ask for.
            keys: keys that they send.
            first_pause_seconds: pause of a caller between the opening of a
                connection and its first request.
        """
        self.exchanges = []
        self._first_pause_seconds = first_pause_seconds
        self._address = address
        self._paths = paths
        self._keys = keys
        self._stopped = threading.Event()
        self._threads = [
            threading.Thread(target=self._call, args=(f'{seed}-{number}',))
            for number in range(count)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def _call(self, name):
        source = random.Random(name)
        number = 0
        while not self._stopped.is_set():
            try:
                client = socket.create_connection(
                    self._address, relay_test_fleet.WAIT_SECONDS
                )
            except OSError:
                self._stopped.wait(RECONNECT_SECONDS)
                continue
            with client, client.makefile('rb') as answers:
                time.sleep(self._first_pause_seconds)
                connection = _Connection(client, answers)
                while not self._stopped.is_set() and connection.is_kept:
                    number += 1
                    self.exchanges += connection.exchange(
                        source.choice(KINDS),
                        source.choice(self._paths),
                        source.choice(self._keys),
                        f'{name}-{number}',
                    )


class _Connection:
    """A connection of a caller.

    Attributes:
        is_kept: whether another request may follow.
    """

    def __init__(self, client, answers):
        self.is_kept = True
        self._client = client
        self._answers = answers
        self._count = 0

    def exchange(self, kind, path, key, name):
        """Send a request, or several at once, and read the answers."""
        count = BATCH if kind == 'batch' else 1
        ids = [f'{name}-{number}' for number in range(count)]
        parts = [
            part
            for request_id in ids
            for part in _encode(kind, path, key, request_id)
        ]
        began_at = time.monotonic()
        port = self._client.getsockname()[1]
        is_whole, error = self._send(parts, kind)
        for request_id in ids:
            is_first = not self._count
            self._count += 1
            status = 0
            if self.is_kept or not error:
                status, error = self._read(kind, request_id)
            yield Exchange(
                request_id,
                path,
                kind,
                is_whole,
                status,
                is_first,
                began_at,
                time.monotonic(),
                error,
                port,
            )
            if not status or not self.is_kept:
                self.is_kept = False
                return

    def _send(self, parts, kind):
        try:
            if kind == 'batch':
                self._client.sendall(b''.join(parts))
                return True, ''
            for part in parts:
                self._client.sendall(part)
                if kind == 'slow':
                    time.sleep(SLOW_SECONDS)
            return True, ''
        except OSError:
            # An answer may have come before.
            return False, ''

    def _read(self, kind, request_id):
        """Read an answer; return its status and what is wrong with it."""
        if kind == 'read-slowly':
            time.sleep(SLOW_SECONDS)
        try:
            status, headers = self._read_head()
            body = self._read_body(int(headers['content-length']), kind)
        except (OSError, ValueError, KeyError, IndexError) as error:
            self.is_kept = False
            return 0, repr(error)
        if len(body) < int(headers['content-length']):
            self.is_kept = False
            return 0, f'the connection ended after {len(body)} bytes'
        if headers.get('connection', '').lower() == 'close':
            self.is_kept = False
        if status == 200 and body not in (b'whole', request_id.encode()):
            return status, f'the answer is {body}'
        return status, ''

    def _read_head(self):
        line = self._answers.readline()
        if not line:
            raise ValueError('the connection ended')
        headers = {}
        while (field := self._answers.readline()) not in (b'\r\n', b''):
            name, _, value = field.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        return int(line.split()[1]), headers

    def _read_body(self, length, kind):
        if kind != 'read-slowly':
            return self._answers.read(length)
        body = b''
        while len(body) < length:
            part = self._answers.read1(min(length - len(body), 65536))
            if not part:
                break
            body += part
            if len(body) < length:
                time.sleep(SLOW_SECONDS)
        return body


def _encode(kind, path, key, request_id):
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {builders.HOST}\r\n'
        f'Authorization: Bearer {key}\r\n'
        'X-Carobwood-Deadline-Ms: 5000\r\n'
        f'X-Carobwood-Request-Id: {request_id}\r\n'
    )
    if kind in ('length', 'read-slowly'):
        return [
            f'{head}Content-Length: 9\r\n\r\n'.encode() + b'abc',
            b'defghi',
        ]
    return [
        f'{head}Transfer-Encoding: chunked\r\n\r\n'.encode(),
        b'4\r\nabcd\r\n',
        b'5;x=1\r\nefghi\r\n',
        b'0\r\nX-T: 1\r\n\r\n',
    ]
