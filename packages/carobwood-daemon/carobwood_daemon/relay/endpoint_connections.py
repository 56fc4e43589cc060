"""Reusable connections to endpoints.

A response on a reused connection could belong to an earlier request. To
rule that out, the request id in a response is compared with that of the
request (see ``request_sender``), a connection with unexpected bytes is closed,
and a connection on which a read or a write has failed is never used again.
"""

import collections
import contextlib
import enum
import http.client
import io
import select
import socket
import struct

from carobwood import clocks
from carobwood import errors
from carobwood import response_body
from carobwood import response_head

from ..entry import bounded_reader

from . import request_encoder
from . import user_timeout

OutgoingRequest = request_encoder.OutgoingRequest

# Idle time before the first TCP keep-alive probe, and between two probes.
KEEPALIVE_INTERVAL_SECONDS = 1
# Unacknowledged probes after which a connection is closed.
KEEPALIVE_PROBES = 3

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, user_timeout.IN_USE_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
# Value of SO_LINGER with which closing a connection resets it.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# What reading from or writing to a connection can raise.
_IO_FAILURES = (http.client.HTTPException, OSError, ValueError, EOFError)
# Bounds of a response's head, interim responses included.
MAX_HEAD_SECONDS = 5.0
MAX_HEAD_BYTES = 256 * 1024
# Time for a head that has come while this VM was held up past the deadline.
MIN_HEAD_SECONDS = 0.1


class WaitResult(enum.Enum):
    """What ended a wait for an endpoint.

    Attributes:
        READABLE: bytes, an error or the end of the connection can be read.
        WRITABLE: further bytes of the request can be written.
        CALLER_LEFT: the caller has closed its connection.
        TIMED_OUT: neither happened in time.
    """

    READABLE = 'readable'
    WRITABLE = 'writable'
    CALLER_LEFT = 'caller-left'
    TIMED_OUT = 'timed-out'


class EndpointConnection:
    """A connection to an endpoint with at most one request in flight.

    Attributes:
        is_new: whether it has not been taken from the idle connections.
        is_closed: whether this VM has closed it.
        has_written: whether any byte has been written to it.
        has_read: whether a whole head of a response has come on it.
    """

    def __init__(self, address, sock):
        """Wrap a connected socket.

        Args:
            address: the ``Address`` of the endpoint.
            sock: the connected socket.
        """
        self.is_new = True
        self.is_closed = False
        self.has_written = False
        self.has_read = False
        self._address = address
        self._socket = sock
        # One buffered reader serves all responses, since a reader per
        # response would lose the bytes that it has buffered beyond it.
        self._bounds = bounded_reader.BoundedReader(sock)
        self._reader = io.BufferedReader(self._bounds)
        self._body = None
        # Blocks of the request that are not written yet.
        self._unsent = collections.deque()
        # Whether the endpoint answered before it had read the request.
        self._is_cut_short = False
        # Whether a request was sent whose response has no head yet.
        self._awaits_head = False
        self._closes_after_response = False
        # Error of an earlier read, which later reads raise again. The
        # socket reports a reset only once and an end of file from then on,
        # with which a truncated body would look complete.
        self._read_error = None

    @property
    def socket(self):
        """The connected socket."""
        return self._socket

    def set_idle(self, is_idle):
        """Set how long the endpoint may acknowledge nothing."""
        user_timeout.set_idle(self._socket, is_idle)

    def send(self, request, timeout):
        """Send a request.

        Args:
            request: the ``OutgoingRequest``.
            timeout: seconds to wait each time for room for more of it.

        Raises:
            EndpointFailed: the connection failed; the endpoint may have
                received the request.
        """
        self.begin_request(request)
        while not self.write_available():
            if self.wait_for_room(None, timeout) is WaitResult.TIMED_OUT:
                raise errors.EndpointFailed(
                    'sending the request failed: the endpoint reads nothing'
                )

    def begin_request(self, request):
        """Begin to send a request; see ``write_available``.

        Raises:
            EndpointFailed: the request can't be sent.
        """
        self._awaits_head = True
        with _failing('sending the request'):
            blocks = request_encoder.encode(request, self._address)
        self._unsent.extend(memoryview(block) for block in blocks)

    def write_available(self):
        """Write what there is room for; return whether nothing is left.

        Raises:
            EndpointFailed: the connection failed; the endpoint may have
                received the request.
        """
        with _failing('sending the request'):
            self._socket.settimeout(0)
            while self._unsent:
                try:
                    count = self._socket.send(self._unsent[0])
                except BlockingIOError:
                    return False
                self.has_written = True
                self._unsent[0] = self._unsent[0][count:]
                if not self._unsent[0]:
                    self._unsent.popleft()
        return True

    @property
    def has_room(self):
        """Whether more of a request that is being sent can be written."""
        return bool(self._unsent) and (
            self._poll(None, 0.0, select.POLLOUT) is WaitResult.WRITABLE
        )

    def wait_for_room(self, caller_socket, timeout):
        """Wait until more of the request can be written; see ``wait``.

        An endpoint may answer without reading the rest, which is not sent
        then.
        """
        result = self._poll(
            caller_socket, timeout, select.POLLIN | select.POLLOUT
        )
        if result is WaitResult.READABLE:
            self._unsent.clear()
            self._is_cut_short = True
        return result

    def read_head(
        self, method, timeout, seconds=MAX_HEAD_SECONDS, await_input=None
    ):
        """Read the head of the next response.

        Args:
            method: HTTP method of the request; a response to ``HEAD`` has
                no body.
            timeout: seconds that each read may take.
            seconds: time within which the head must end, from
                ``MIN_HEAD_SECONDS`` to ``MAX_HEAD_SECONDS``.
            await_input: called with the seconds that are left before each
                read, or None; see ``wait_for_input``. May raise an error.

        Returns:
            The status, and the headers by name in lower case.

        Raises:
            EndpointFailed: the connection failed or ended in the head, or
                what was received is not an HTTP response.
        """
        response = response_head.StrictResponse(self._socket, method=method)
        response.fp.close()
        response.fp = self._reader
        if self._read_error is not None:
            response.fp = None
            raise errors.EndpointFailed(
                f'reading the response failed: {self._read_error!r}'
            )
        try:
            self._socket.settimeout(timeout)
            seconds = max(MIN_HEAD_SECONDS, min(seconds, MAX_HEAD_SECONDS))
            self._bounds.bound(seconds, MAX_HEAD_BYTES, await_input)
            response.begin()
        except _IO_FAILURES as error:
            raise errors.EndpointFailed(
                f'reading the response failed: {error!r}'
            ) from error
        else:
            self._body = response_body.open_body(response)
        finally:
            self._bounds.release()
            # Detached, so that the response does not close the reader when
            # it is closed or collected.
            response.fp = None
        self._awaits_head = False
        self.has_read = True
        self._closes_after_response = response.will_close
        return response.status, {
            name.lower(): value for name, value in response.getheaders()
        }

    def wait_for_input(self, caller_socket, timeout):
        """Wait as ``wait`` does, but only for bytes that are not buffered.

        May be called while the connection is read.
        """
        if caller_socket is not None and is_closed_by_peer(caller_socket):
            return WaitResult.CALLER_LEFT
        return self._poll(caller_socket, timeout, select.POLLIN)

    @property
    def framing(self):
        """The ``Framing`` of the body."""
        return self._body.framing

    @property
    def declared_length(self):
        """Length of the whole body in bytes, or None if it is not known."""
        return self._body.declared_length

    @property
    def is_complete(self):
        """Whether the end of the body has been reached for certain."""
        return self._body.is_complete

    @property
    def has_ended(self):
        """Whether there is nothing more of the body to read."""
        return self._body.has_ended

    @property
    def trailer_seconds_left(self):
        """Seconds to wait for what follows the content, or None before."""
        return self._body.trailer_seconds_left

    def give_up_trailer(self):
        """Wait no longer for what follows the content."""
        self._body.give_up_trailer()

    def read_available(self, timeout):
        """Read once, and return the bytes of the body that have come.

        They may be none before the end; see ``has_ended``.

        Args:
            timeout: seconds that each read may take.

        Raises:
            EndpointFailed: the connection failed before the body's end.
        """
        if self._read_error is not None:
            raise errors.EndpointFailed(
                f'reading the body failed: {self._read_error!r}'
            )
        try:
            self._socket.settimeout(timeout)
            data = self._body.read_available()
            if not data and self._read_error is not None:
                raise self._read_error
            return data
        except _IO_FAILURES as error:
            raise errors.EndpointFailed(
                f'reading the body failed: {error!r}'
            ) from error

    def skip_body(self, seconds, max_bytes):
        """Read the rest of a body that belongs to no request.

        Args:
            seconds: time within which the body must end.
            max_bytes: size that the rest may have.

        Raises:
            EndpointFailed: the connection failed before the body's end, or
                the body exceeds the bounds.
        """
        self._bounds.bound(seconds, max_bytes)
        try:
            while not self.has_ended:
                self.read_available(seconds)
        finally:
            self._bounds.release()

    def wait(self, caller_socket, timeout):
        """Wait until the endpoint sends or the caller disconnects.

        A caller that has disconnected counts first: an endpoint that sends
        without end always has bytes to read.

        Args:
            caller_socket: socket of the caller's connection, or None.
            timeout: seconds to wait.

        Returns:
            The ``WaitResult``.
        """
        if caller_socket is not None and is_closed_by_peer(caller_socket):
            return WaitResult.CALLER_LEFT
        if self._has_buffered_bytes():
            return WaitResult.READABLE
        return self._poll(caller_socket, timeout, select.POLLIN)

    def _poll(self, caller_socket, timeout, mask):
        """Wait as ``wait`` does, for what a mask of ``select.poll`` says."""
        poller = select.poll()
        poller.register(self._socket, mask)
        if caller_socket is not None:
            poller.register(caller_socket, select.POLLIN | select.POLLRDHUP)
        deadline = clocks.now() + timeout
        while True:
            seconds_left = max(0.0, deadline - clocks.now())
            seconds = min(seconds_left, user_timeout.LOOK_SECONDS)
            ready = dict(poller.poll(seconds * 1000))
            if self._socket.fileno() in ready:
                if ready[self._socket.fileno()] & select.POLLOUT:
                    return WaitResult.WRITABLE
                return WaitResult.READABLE
            if not ready:
                if seconds == seconds_left:
                    return WaitResult.TIMED_OUT
                user_timeout.follow_window(self._socket)
                continue
            if is_closed_by_peer(caller_socket):
                return WaitResult.CALLER_LEFT
            # The caller is still connected; bytes that it has sent, such
            # as its next request, keep its socket readable.
            poller.unregister(caller_socket)

    def has_bytes(self):
        """Tell whether bytes can be read without waiting."""
        return self._has_buffered_bytes() and self._read_error is None

    def is_reusable(self):
        """Tell whether another request may be sent on this connection.

        It may not if the response announced the connection's end, or if
        bytes followed the response.
        """
        if self._closes_after_response or self._is_cut_short:
            return False
        if self._body is not None and self._body.has_surplus_bytes:
            return False
        return not self._has_buffered_bytes() and not _is_readable(
            self._socket
        )

    def interrupt(self):
        """Make the read in progress and all later ones fail.

        May be called by any thread.
        """
        self._read_error = ConnectionAbortedError('this VM stops')
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has ended already.
            pass

    def close(self):
        """Close the connection, which cancels a request in flight.

        It is reset then, so that nothing of the request that a partition
        holds up is delivered later.
        """
        self.is_closed = True
        if self._awaits_head or (self._body and not self._body.is_complete):
            self._reset_on_close()
        self._reader.close()
        self._socket.close()

    def _reset_on_close(self):
        try:
            self._socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        except OSError:
            # The connection has ended already.
            pass

    def _has_buffered_bytes(self):
        try:
            self._socket.settimeout(0)
            return bool(self._reader.peek(1))
        except (OSError, ValueError) as error:
            self._read_error = error
            return True


@contextlib.contextmanager
def _failing(action):
    """Raise ``EndpointFailed`` for what fails on the connection."""
    try:
        yield
    except _IO_FAILURES as error:
        raise errors.EndpointFailed(f'{action} failed: {error!r}') from error


def is_closed_by_peer(sock):
    """Tell whether the peer of a socket has closed the connection."""
    try:
        # The poll comes first, since a read from a socket with a timeout
        # would wait for bytes.
        return _is_readable(sock) and sock.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
        return True


def _is_readable(sock):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
