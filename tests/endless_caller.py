"""Callers whose requests never end, and listeners of real processes."""

import dataclasses
import socket
import threading

import endless_endpoint
import relay_builders as builders
import relay_test_fleet

from carobwood_daemon.relay import forwarding_headers

MEGABYTE = endless_endpoint.MEGABYTE
_BLOCK = b'x' * 65536
_CHUNKED = b'Transfer-Encoding: chunked\r\n\r\n'
_VERSION = b' HTTP/1.1\r\n'
# Requests by the part that has no end: their bytes after the method and the
# target, and the part. Those without a version end in the request line.
REQUESTS_BY_KIND = {
    'request-line': (b'', _BLOCK),
    'header-line': (b'X-Name: ', _BLOCK),
    'headers': (b'', b'X-Name: value\r\n' * 4096),
    'size-line': (_CHUNKED, b'0' * 65536),
    'extension': (_CHUNKED + b'5;name=', _BLOCK),
    'chunk': (_CHUNKED + b'ffffffff\r\n', _BLOCK),
    'chunks': (_CHUNKED, b'10000\r\n' + _BLOCK + b'\r\n'),
    'trailer-line': (_CHUNKED + b'2\r\n{}\r\n0\r\nX-Name: ', _BLOCK),
    'trailer': (_CHUNKED + b'2\r\n{}\r\n0\r\n', b'X-Name: value\r\n' * 4096),
    'length': (b'Content-Length: 99999999999\r\n\r\n', _BLOCK),
}
# A request whose body is sent in part, of a length that is allowed.
WAITING = b'Content-Length: 4000000\r\n\r\n'
# A body of a length that is allowed.
REQUESTS_BY_KIND['part'] = (WAITING, _BLOCK)
HEAD_KINDS = ('request-line', 'header-line', 'headers')
BODY_KINDS = tuple(kind for kind in REQUESTS_BY_KIND if kind not in HEAD_KINDS)


@dataclasses.dataclass(frozen=True)
class Target:
    """A listener and a request that it serves.

    Attributes:
        host: IP address of the listener.
        port: its port.
        method: HTTP method.
        path: path of the request.
        headers: values by header name.
    """

    host: str
    port: int
    method: str
    path: str
    headers: dict

    def start_of(self, kind):
        """Return the bytes of an endless request up to its endless part."""
        line = f'{self.method} {self.path}'.encode()
        if kind == 'request-line':
            return line
        return self.start_with(REQUESTS_BY_KIND[kind][0])

    def start_with(self, rest):
        """Return the head of a request up to further bytes of it."""
        line = f'{self.method} {self.path}'.encode()
        lines = ''.join(
            f'{name}: {value}\r\n' for name, value in self.headers.items()
        )
        return line + _VERSION + lines.encode() + rest

    def connect(self):
        """Return a connection to the listener."""
        return socket.create_connection(
            (self.host, self.port), relay_test_fleet.WAIT_SECONDS
        )

    def ask(self, body=b''):
        """Send a whole request on a new connection; return the ``Reply``."""
        return relay_test_fleet.ask(
            self.port, self.method, self.path, body, self.headers, self.host
        )


class EndlessCaller:
    """Sends a request without end until the listener ends the connection.

    Attributes:
        answer: what it has received.
        sent_bytes: number of bytes that it has sent.
        has_ended: whether the listener has ended the connection.
    """

    def __init__(self, target, kind, max_bytes, pause=0.0):
        """Begin to send.

        Args:
            target: the ``Target``.
            kind: the part that has no end, of ``REQUESTS_BY_KIND``.
            max_bytes: bytes after which it gives up.
            pause: seconds before each byte; 0 for as fast as it can.
        """
        self.answer = b''
        self.sent_bytes = 0
        self.has_ended = False
        self._kind = kind
        self._max_bytes = max_bytes
        self._pause = pause
        self._stopped = threading.Event()
        self._connection = target.connect()
        self._threads = [
            threading.Thread(target=run, args=arguments, daemon=True)
            for run, arguments in (
                (self._send, (target.start_of(kind),)),
                (self._receive, ()),
            )
        ]
        for thread in self._threads:
            thread.start()

    def wait(self, seconds=relay_test_fleet.WAIT_SECONDS):
        """Wait until the connection has ended or all bytes are sent."""
        self._threads[0].join(seconds)
        if self.sent_bytes < self._max_bytes:
            self._threads[1].join(seconds)

    def wait_for_answer(self):
        """Wait until the listener has answered and ended the connection."""
        self._threads[1].join(relay_test_fleet.WAIT_SECONDS)

    def close(self):
        """Close the connection."""
        self._stopped.set()
        self._connection.close()

    def _send(self, start):
        part = REQUESTS_BY_KIND[self._kind][1]
        try:
            self._connection.sendall(start)
            while self.sent_bytes < self._max_bytes:
                self._send_part(part)
        except OSError:
            self.has_ended = True

    def _send_part(self, part):
        if not self._pause:
            self._connection.sendall(part)
            self.sent_bytes += len(part)
            return
        for byte in part:
            if self._stopped.wait(self._pause):
                raise OSError('the caller has left')
            self._connection.sendall(bytes([byte]))
            self.sent_bytes += 1

    def _receive(self):
        try:
            while data := self._connection.recv(65536):
                self.answer += data
        except OSError:
            # Its answer may have been destroyed by what it went on sending.
            pass
        self.has_ended = True


def listeners_of(fleet, secret, seconds):
    """Return the listeners of the processes of a fleet, by name.

    Args:
        fleet: the ``ProcessFleet``.
        secret: its shared secret, as bytes.
        seconds: time that requests leave until their answer is due.
    """
    entry = fleet.entry_vm.fields
    ports = entry['port_range']
    host = entry['ip']
    deadline = str(int(1000 * seconds))
    caller = relay_test_fleet.caller_headers(X_Carobwood_Deadline_Ms=deadline)
    path = '/orders/whole'
    forwarded = forwarding_headers.ForwardedRequest('front-9', seconds, True)
    pairs = forwarding_headers.format_request(forwarded, 'POST', path, secret)
    control = fleet.control_vms[0].fields['listen']['control']
    return {
        'callers': Target(
            *_split(entry['listen']['front']), 'POST', path, caller
        ),
        'other VMs': Target(
            host, ports[0] + 2, 'POST', path, {**caller, **dict(pairs)}
        ),
        'readiness': Target(*_split(entry['listen']['ready']), 'GET', '/', {}),
        'metrics': Target(host, ports[0] + 1, 'GET', '/metrics', {}),
        'control API': Target(
            *_split(control), 'PUT', '/v1/instances/a', {'Host': builders.HOST}
        ),
    }


def _split(address):
    host, _, port = address.partition(':')
    return host, int(port)
