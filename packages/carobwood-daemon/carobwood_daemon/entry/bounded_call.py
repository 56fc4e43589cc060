"""HTTP calls of a VM's own, each bounded in time, size and memory.

A timeout of each read bounds no call: a peer that sends a byte now and then
never lets one expire, and one that sends without end fills the memory.
"""

import collections
import dataclasses
import io
import select
import threading

from urllib3 import connection as urllib3_connection

from carobwood import addresses
from carobwood import clocks
from carobwood import errors
from carobwood import response_body
from carobwood import response_head

from ..limits import buffer_budget

from . import bounded_reader
from . import connect_errors

# Idle connections that are kept per address, and addresses that have any.
MAX_IDLE_PER_ADDRESS = 2
MAX_IDLE_ADDRESSES = 64
# Name of the answers in the metrics of the budget.
READER_NAME = 'call-answer'
# Characters of the error text of a call, which may quote the answer.
MAX_DETAIL_CHARACTERS = 300


@dataclasses.dataclass(frozen=True)
class Call:
    """A request of a VM's own.

    Attributes:
        method: HTTP method.
        address: ``host:port`` that it is sent to.
        target: path with query.
        headers: (name, value) pairs.
        body: the body as bytes, or None.
        may_reuse: whether it may be sent on an idle connection.
    """

    method: str
    address: str
    target: str
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes | None = None
    may_reuse: bool = True


@dataclasses.dataclass(frozen=True)
class CallBounds:
    """What a call may take.

    Attributes:
        seconds: time of the whole call, from its connection to the last
            byte of the answer.
        max_bytes: size of the answer as it is sent, with its heads and its
            framing.
        connect_seconds: time in which the connection must be made, or None
            for that of the call.
    """

    seconds: float
    max_bytes: int
    connect_seconds: float | None = None


@dataclasses.dataclass(frozen=True)
class CallAnswer:
    """The whole answer to a call.

    Attributes:
        status: HTTP status.
        headers: headers by name; names are case-insensitive.
        data: the body as bytes.
    """

    status: int
    headers: object
    data: bytes


class HttpCaller:
    """Makes calls and keeps their connections for the next ones.

    A connection on which anything went wrong is closed. Methods may be
    called by any thread.
    """

    def __init__(self, buffers=None):
        """Create a caller without connections.

        Args:
            buffers: the ``BufferBudget`` for the answers, or None.
        """
        self._buffers = buffers or buffer_budget.unlimited()
        self._lock = threading.Lock()
        # Lists of connections by address, most recently used last.
        self._idle_by_address = collections.OrderedDict()
        self._is_closed = False

    def call(self, call, bounds):
        """Send a request and return the whole answer.

        Args:
            call: the ``Call``.
            bounds: the ``CallBounds``.

        Returns:
            The ``CallAnswer``.

        Raises:
            CallOutOfBounds: the answer did not end within a bound.
            EngineCallFailed: no whole answer was received.
        """
        try:
            with self._buffers.reserve(READER_NAME) as reservation:
                return self._call(call, _Allowance(bounds, reservation))
        except errors.CallOutOfBounds as error:
            self._buffers.count(f'calls_out_of_bounds.{error.bound}')
            raise errors.CallOutOfBounds(
                error.bound, f'{call.target}: {error.detail}'
            ) from error
        except connect_errors.CONNECTION_ERRORS as error:
            raise errors.EngineCallFailed(
                f'{call.target}: {_describe(error)}'
            ) from error

    def close(self):
        """Close the idle connections, and others once they are idle."""
        with self._lock:
            self._is_closed = True
            idle = list(self._idle_by_address.values())
            self._idle_by_address.clear()
        _close_all(connection for group in idle for connection in group)

    def _call(self, call, allowance):
        connection = self._take_idle(call.address) if call.may_reuse else None
        try:
            if connection is None:
                connection = _connect(call.address, allowance)
            answer = connection.exchange(call, allowance)
        except connect_errors.TIMEOUT_ERRORS as error:
            if connection is None:
                raise
            raise allowance.exceeded_deadline() from error
        finally:
            self._keep_or_close(call.address, connection)
        return answer

    def _take_idle(self, address):
        while True:
            with self._lock:
                idle = self._idle_by_address.get(address)
                if not idle:
                    return None
                connection = idle.pop()
            if connection.may_be_used():
                return connection
            connection.close()

    def _keep_or_close(self, address, connection):
        if connection is None:
            return
        surplus = [connection]
        if connection.is_reusable:
            with self._lock:
                surplus = self._keep(address, connection)
        _close_all(surplus)

    def _keep(self, address, connection):
        """Keep an idle connection; return those that are too many."""
        if self._is_closed:
            return [connection]
        idle = self._idle_by_address.setdefault(address, [])
        self._idle_by_address.move_to_end(address)
        idle.append(connection)
        surplus = idle[:-MAX_IDLE_PER_ADDRESS]
        del idle[: len(surplus)]
        if len(self._idle_by_address) > MAX_IDLE_ADDRESSES:
            _, oldest = self._idle_by_address.popitem(last=False)
            surplus += oldest
        return surplus


class _Allowance:
    """What is left of the bounds of a call in progress."""

    def __init__(self, bounds, reservation):
        self._bounds = bounds
        self._reservation = reservation
        self._ends_at = clocks.now() + bounds.seconds
        self._received_bytes = 0

    def seconds_left(self):
        """Return the time that is left, which is more than 0.

        Raises:
            CallOutOfBounds: none is left.
        """
        seconds = self._ends_at - clocks.now()
        if seconds <= 0:
            raise self.exceeded_deadline()
        return seconds

    def connect_seconds(self):
        """Return the time in which a connection must be made."""
        seconds = self.seconds_left()
        if self._bounds.connect_seconds is None:
            return seconds
        return min(seconds, self._bounds.connect_seconds)

    def take(self, size):
        """Count bytes of the answer.

        Raises:
            CallOutOfBounds: they are too many.
        """
        self._received_bytes += size
        self.check_size(self._received_bytes)
        if not self._reservation.try_extend(size):
            raise errors.CallOutOfBounds(
                'memory', 'no memory is left for the answer'
            )

    def check_size(self, size):
        """Check a size that the answer has or announces.

        Raises:
            CallOutOfBounds: it is too large.
        """
        if size > self._bounds.max_bytes:
            raise errors.CallOutOfBounds(
                'size', f'the answer exceeds {self._bounds.max_bytes} bytes'
            )

    def exceeded_deadline(self):
        """Return the error of a call that takes too long."""
        return errors.CallOutOfBounds(
            'deadline', f'the call exceeds {self._bounds.seconds:g} s'
        )


class _AnswerReader(bounded_reader.BoundedReader):
    """Reads from a socket what the allowance of a call lets it."""

    def __init__(self, sock):
        super().__init__(sock)
        self.allowance = None

    def readinto(self, buffer):
        """See ``io.RawIOBase``; without a call, there is nothing to read."""
        if self.allowance is None:
            return None
        # The size is checked by the allowance.
        self.bound(self.allowance.seconds_left(), len(buffer))
        count = super().readinto(buffer)
        self.allowance.take(count or 0)
        return count


class _CallConnection:
    """A connection with at most one call in progress.

    Attributes:
        is_reusable: whether the last call on it has ended well and another
            one may follow.
    """

    def __init__(self, address, sock):
        self.is_reusable = False
        self._address = address
        self._socket = sock
        self._raw_reader = _AnswerReader(sock)
        self._reader = io.BufferedReader(self._raw_reader)

    def may_be_used(self):
        """Tell whether an idle connection has neither ended nor got bytes."""
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return not poller.poll(0)

    def exchange(self, call, allowance):
        """Send a request and return the ``CallAnswer``."""
        self.is_reusable = False
        self._send(call, allowance)
        self._raw_reader.allowance = allowance
        response = self._read_head(call.method, allowance)
        allowance.check_size(response.length or 0)
        body = response_body.open_body(response)
        # Detached, as it would close the reader.
        response.fp = None
        content = b''.join(response_body.read_parts(body))
        self._raw_reader.allowance = None
        self.is_reusable = not (
            response.will_close
            or body.has_surplus_bytes
            or self._reader.peek(1)
        )
        return CallAnswer(response.status, response.headers, content)

    def close(self):
        """Close the connection."""
        self._reader.close()
        self._socket.close()

    def _send(self, call, allowance):
        connection = urllib3_connection.HTTPConnection(
            self._address.host, self._address.port
        )
        connection.sock = self._socket
        self._socket.settimeout(allowance.seconds_left())
        connection.putrequest(call.method, call.target)
        for name, value in call.headers:
            connection.putheader(name, value)
        if call.body is not None:
            connection.putheader('Content-Length', str(len(call.body)))
        connection.endheaders()
        if call.body:
            self._socket.settimeout(allowance.seconds_left())
            connection.send(call.body)

    def _read_head(self, method, allowance):
        """Return the response once its head is read."""
        self._socket.settimeout(allowance.seconds_left())
        response = response_head.StrictResponse(self._socket, method=method)
        response.fp.close()
        response.fp = self._reader
        try:
            response.begin()
        except BaseException:
            response.fp = None
            raise
        return response


def _describe(error):
    return repr(error)[:MAX_DETAIL_CHARACTERS]


def _connect(address, allowance):
    parsed = addresses.parse_address(address)
    connection = urllib3_connection.HTTPConnection(
        parsed.host, parsed.port, timeout=allowance.connect_seconds()
    )
    try:
        connection.connect()
    except BaseException:
        connection.close()
        raise
    return _CallConnection(parsed, connection.sock)


def _close_all(connections):
    for connection in connections:
        connection.close()
