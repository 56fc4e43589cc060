"""A faulty endpoint whose answers never end, and the memory of a process."""

import dataclasses
import pathlib
import threading

import accepting_endpoint

MEGABYTE = 1024 * 1024
_HEAD = b'HTTP/1.1 200 OK\r\n'
_CHUNKED = _HEAD + b'Transfer-Encoding: chunked\r\n\r\n'
_BLOCK = b'x' * 65536


@dataclasses.dataclass(frozen=True)
class EndlessAnswer:
    """An answer that never ends.

    Attributes:
        start: bytes that are sent first.
        part: bytes that are sent again and again.
    """

    start: bytes
    part: bytes

    def with_headers(self, lines):
        """Return the answer with further header lines after its status."""
        status, separator, rest = self.start.partition(b'\r\n')
        if not separator:
            return self
        return dataclasses.replace(
            self, start=status + separator + lines + rest
        )


# Answers by the part that has no end.
ANSWERS_BY_KIND = {
    'status-line': EndlessAnswer(b'HTTP/1.1 200 ', _BLOCK),
    'header-line': EndlessAnswer(_HEAD + b'X-Name: ', _BLOCK),
    'headers': EndlessAnswer(_HEAD, b'X-Name: value\r\n'),
    'interim': EndlessAnswer(b'', b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'size-line': EndlessAnswer(_CHUNKED, b'0' * 65536),
    'extension': EndlessAnswer(_CHUNKED + b'5;name=', _BLOCK),
    'chunk': EndlessAnswer(_CHUNKED + b'fffffffffff\r\n', _BLOCK),
    'chunks': EndlessAnswer(_CHUNKED, b'10000\r\n' + _BLOCK + b'\r\n'),
    'trailer-line': EndlessAnswer(
        _CHUNKED + b'2\r\n{}\r\n0\r\nX-Name: ', _BLOCK
    ),
    'trailer': EndlessAnswer(
        _CHUNKED + b'2\r\n{}\r\n0\r\n', b'X-Name: value\r\n'
    ),
    'length': EndlessAnswer(
        _HEAD + b'Content-Length: 99999999999\r\n\r\n', _BLOCK
    ),
    'until-close': EndlessAnswer(_HEAD + b'\r\n', _BLOCK),
    'event': EndlessAnswer(
        _HEAD + b'Content-Type: text/event-stream\r\n\r\ndata: ', _BLOCK
    ),
}
# Pause in seconds before each byte of a slow answer.
SLOW_PAUSE_SECONDS = 0.02


class EndlessEndpoint(accepting_endpoint.AcceptingEndpoint):
    """A server that answers each request without end.

    Attributes:
        answer: the ``EndlessAnswer``.
        is_slow: whether the answer comes byte by byte.
        headers: further header lines of the answer, for example those that
            sign it; or a function from the head of a request to them.
        requests: heads of the requests that it has received, as bytes.
        ended_connections: connections that their callers have ended.
    """

    def __init__(self, answer, is_slow=False, headers=b''):
        """Start the server; see the attributes."""
        self.answer = answer
        self.is_slow = is_slow
        self.headers = headers
        self.requests = []
        self.ended_connections = 0
        self._stopped = threading.Event()
        super().__init__()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.stop()

    def stop(self):
        """Stop serving."""
        self._stopped.set()
        super().stop()

    def choose_answer(self, head):
        """Return the answer to a request, and whether it is slow.

        Args:
            head: head of the request, as bytes.
        """
        return self.answer, self.is_slow

    def serve(self, connection):
        """See ``AcceptingEndpoint``."""
        with connection:
            try:
                head = self._read_head(connection)
                if head:
                    self._send_without_end(connection, head)
            except OSError:
                # The caller has ended the connection.
                pass
            self.ended_connections += 1

    def _read_head(self, connection):
        head = b''
        while b'\r\n\r\n' not in head:
            data = connection.recv(65536)
            if not data:
                return b''
            head += data
        self.requests.append(head)
        return head

    def _send_without_end(self, connection, head):
        lines = self.headers
        if callable(lines):
            lines = lines(head)
        answer, is_slow = self.choose_answer(head)
        answer = answer.with_headers(lines)
        connection.sendall(answer.start)
        while not self._stopped.is_set():
            if is_slow:
                for byte in answer.part:
                    self._stopped.wait(SLOW_PAUSE_SECONDS)
                    connection.sendall(bytes([byte]))
            else:
                connection.sendall(answer.part)


def reset_peak_memory(pid):
    """Begin to measure the peak memory of a process anew."""
    pathlib.Path(f'/proc/{pid}/clear_refs').write_text('5')


def peak_memory_bytes(pid):
    """Return the peak of the resident memory of a process."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM:'):
            return int(line.split()[1]) * 1024
    raise ValueError(f'process {pid} has no memory')
