"""An endpoint that answers with given bytes, maybe before it has read all."""

import dataclasses
import http.client
import socket
import struct
import threading

import accepting_endpoint

from carobwood_daemon.entry import upstream

# Value of SO_LINGER with which closing a connection resets it.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_READ_BYTES = 4096


@dataclasses.dataclass(frozen=True)
class Manner:
    """How an endpoint ends a connection once it has answered.

    Attributes:
        resets: whether it resets the connection; it closes it otherwise.
        pause_seconds: time between the answer and that.
        reads_all: whether it first reads until the caller has closed. A
            connection that is closed with unread bytes is reset.
    """

    resets: bool = False
    pause_seconds: float = 0.0
    reads_all: bool = False


class RawEndpoint(accepting_endpoint.AcceptingEndpoint):
    """A server that answers once it has read the head of a request.

    Attributes:
        answer: bytes that it sends, or a function from the bytes of the
            request's head to them.
        manner: the ``Manner``.
    """

    def __init__(self, answer, manner=None):
        """Start the server; see the attributes."""
        self.answer = answer
        self.manner = manner or Manner()
        self._ended = threading.Event()
        super().__init__()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self._ended.set()
        self.stop()

    def serve(self, connection):
        """See ``AcceptingEndpoint``."""
        with connection:
            try:
                self._answer(connection)
            except OSError:
                # The caller has ended the connection.
                pass

    def _answer(self, connection):
        head = b''
        while b'\r\n\r\n' not in head:
            data = connection.recv(_READ_BYTES)
            if not data:
                return
            head += data
        answer = self.answer
        if callable(answer):
            answer = answer(head.partition(b'\r\n\r\n')[0])
        connection.sendall(answer)
        self._ended.wait(self.manner.pause_seconds)
        if self.manner.reads_all:
            connection.shutdown(socket.SHUT_WR)
            while connection.recv(_READ_BYTES):
                pass
        if self.manner.resets:
            connection.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )


def announcement(address, service, sequence, state, **changes):
    """Return what an endpoint announces to control VMs.

    Args:
        address: its ``host:port``.
        service: name of the service that it belongs to.
        sequence: number of the announcement.
        state: its state.
        **changes: further fields.
    """
    return {
        'service': service,
        'address': address,
        'zone': 'bole',
        'state': state,
        'seq_no': sequence,
        'born': 1_700_000_000_000,
        'version': 'v1',
        **changes,
    }


def find_header(head, name):
    """Return the value of a header of a request, or empty.

    Args:
        head: the bytes of the head.
        name: name of the header in lower case, as bytes.
    """
    for line in head.split(b'\r\n'):
        key, _, value = line.partition(b': ')
        if key.lower() == name:
            return value
    return b''


class _Connection(http.client.HTTPConnection):
    """A connection whose socket a test has made."""

    def __init__(self, sock):
        super().__init__('127.0.0.1')
        self.sock = sock


def read_by_entry(answer, seconds):
    """Return the status and the body that the callers' interface reads.

    Args:
        answer: the bytes of an endpoint; the connection ends after them.
        seconds: time limit of each step.
    """
    own, peer = socket.socketpair()
    with peer:
        peer.sendall(answer)
        peer.shutdown(socket.SHUT_WR)
        request = upstream.UpstreamRequest(
            'GET', '/', {}, None, 'abcdef', False, seconds, seconds
        )
        response = upstream.send(_Connection(own), request)
        try:
            return response.status, response.read_all(len(answer))
        finally:
            response.close()
