"""Kept connections to endpoints, and answers read from them.

An answer on a kept connection could belong to an earlier request. So
every answer must name its request, a connection with unexpected bytes is
closed, and one that broke off is never used again.
"""

import dataclasses
import enum
import http.client
import select
import socket
import threading

import urllib3
from urllib3 import connection as urllib3_connection

from carobwood import addresses
from carobwood import clocks
from carobwood import errors

from ..entry import answer_body

# Links take milliseconds; an endpoint that takes longer is lost or its
# first packet was, and another endpoint is sooner.
CONNECT_SECONDS = 0.15
# Sent bytes that are not acknowledged within this time end a connection.
UNACKNOWLEDGED_MS = 1500
KEEPALIVE_SECONDS = 1
KEEPALIVE_PROBES = 2
# Idle time after which a connection is not used again.
MAX_IDLE_SECONDS = 6.0
# Part of the idle time that an endpoint grants which is used.
IDLE_SHARE = 0.6
MAX_KEPT = 16

SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]
_CONNECT_FAILURES = (OSError, urllib3.exceptions.HTTPError)
_BREAKS = (http.client.HTTPException, OSError, ValueError, EOFError)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request as it is sent to an endpoint.

    Attributes:
        method: HTTP method.
        target: path and query as the caller sent them.
        headers: (name, value) pairs.
        body: the body, or None if the caller sent none.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class Wait(enum.Enum):
    """What ended a wait for an answer."""

    READABLE = 'readable'
    CALLER_LEFT = 'caller-left'
    TIMED_OUT = 'timed-out'


class Upstream:
    """A connection to an endpoint with at most one request on it.

    Attributes:
        is_fresh: whether no request went over it before.
    """

    def __init__(self, address, sock):
        self.is_fresh = True
        self._address = address
        self._socket = sock
        # One reader for all answers, so that no byte between two is lost.
        self._reader = sock.makefile('rb')
        self._body = None
        self._ends_with_answer = False
        # A socket tells of a reset once; afterwards it seems ended.
        self._break = None

    def send(self, call, timeout):
        """Send a request.

        Raises:
            EndpointFailed: the connection broke; the endpoint may have
                received the request.
        """
        connection = urllib3_connection.HTTPConnection(
            self._address.host, self._address.port
        )
        connection.sock = self._socket
        try:
            self._socket.settimeout(timeout)
            connection.putrequest(
                call.method,
                call.target,
                skip_host=True,
                skip_accept_encoding=True,
            )
            for name, value in call.headers:
                connection.putheader(name, value)
            if call.body is not None:
                connection.putheader('Content-Length', str(len(call.body)))
            connection.endheaders(call.body)
        except _BREAKS as error:
            raise errors.EndpointFailed(f'sending: {error!r}') from error

    def read_head(self, method, timeout):
        """Return status and headers by lower-case name.

        Raises:
            EndpointFailed: no answer in the protocol came.
        """
        response = http.client.HTTPResponse(self._socket, method=method)
        response.fp.close()
        response.fp = self._reader
        if self._break is not None:
            response.fp = None
            raise errors.EndpointFailed(f'answer: {self._break!r}')
        try:
            self._socket.settimeout(timeout)
            response.begin()
        except _BREAKS as error:
            response.fp = None
            raise errors.EndpointFailed(f'answer: {error!r}') from error
        self._body = answer_body.open_body(response)
        self._ends_with_answer = response.will_close
        # Or the response would close the reader with itself.
        response.fp = None
        return response.status, {
            name.lower(): value for name, value in response.getheaders()
        }

    @property
    def has_ended(self):
        """Whether the body's end is known without another read."""
        return self._body.has_ended

    def read_some(self, timeout):
        """Return bytes of the body at hand, or empty bytes at its end.

        Raises:
            EndpointFailed: the body broke off.
        """
        if self._break is not None:
            raise errors.EndpointFailed(f'body: {self._break!r}')
        try:
            self._socket.settimeout(timeout)
            return self._body.read_some()
        except _BREAKS as error:
            raise errors.EndpointFailed(f'body: {error!r}') from error

    def wait(self, caller_socket, timeout):
        """Wait until the endpoint sends or the caller leaves.

        Args:
            caller_socket: the caller's socket, or None.
            timeout: seconds.

        Returns:
            A ``Wait``.
        """
        if self._has_buffered():
            return Wait.READABLE
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if caller_socket is not None:
            poller.register(caller_socket, select.POLLIN | select.POLLRDHUP)
        due_at = clocks.now() + timeout
        while True:
            left = max(0.0, due_at - clocks.now())
            ready = {fd for fd, _ in poller.poll(left * 1000)}
            if self._socket.fileno() in ready:
                return Wait.READABLE
            if not ready:
                return Wait.TIMED_OUT
            if has_left(caller_socket):
                return Wait.CALLER_LEFT
            # It has sent its next request already.
            poller.unregister(caller_socket)

    def is_reusable(self):
        """Tell whether the answer ended and nothing followed it."""
        if self._ends_with_answer:
            return False
        if self._body is not None and self._body.has_rest:
            return False
        return not self._has_buffered() and not _is_readable(self._socket)

    def close(self):
        """Close the connection, which cancels unfinished work."""
        self._reader.close()
        self._socket.close()

    def _has_buffered(self):
        try:
            self._socket.settimeout(0)
            return bool(self._reader.peek(1))
        except (OSError, ValueError) as error:
            self._break = error
            return True


class UpstreamPool:
    """Idle connections by address."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._kept_by_address = {}

    def take(self, address, may_be_kept=True, timeout=CONNECT_SECONDS):
        """Return an ``Upstream``, a kept one if there is a sound one.

        Args:
            address: ``host:port`` of the endpoint.
            may_be_kept: whether it may be one that was used before.
            timeout: seconds for a new connection.

        Raises:
            EndpointUnreachable: no connection came about.
        """
        while may_be_kept:
            kept = self._pop(address)
            if kept is None:
                break
            if kept.is_reusable():
                kept.is_fresh = False
                return kept
            kept.close()
        return _connect(address, timeout)

    def give_back(self, address, upstream, idle_seconds):
        """Keep a connection whose answer was read to its end."""
        limit = MAX_IDLE_SECONDS
        if idle_seconds is not None:
            limit = min(limit, idle_seconds * IDLE_SHARE)
        if limit <= 0 or not upstream.is_reusable():
            upstream.close()
            return
        expires_at = self._clock() + limit
        with self._lock:
            kept = self._kept_by_address.setdefault(address, [])
            kept.append((expires_at, upstream))
            surplus = kept[:-MAX_KEPT]
            del kept[:-MAX_KEPT]
        for _, old in surplus:
            old.close()

    def drop(self, address):
        """Close the idle connections to an address."""
        with self._lock:
            kept = self._kept_by_address.pop(address, [])
        for _, upstream in kept:
            upstream.close()

    def drop_expired(self):
        """Close connections that have idled too long."""
        now = self._clock()
        expired = []
        with self._lock:
            for address, kept in list(self._kept_by_address.items()):
                expired += [item for item in kept if item[0] <= now]
                left = [item for item in kept if item[0] > now]
                self._kept_by_address[address] = left
                if not left:
                    del self._kept_by_address[address]
        for _, upstream in expired:
            upstream.close()

    def _pop(self, address):
        now = self._clock()
        with self._lock:
            kept = self._kept_by_address.get(address)
            while kept:
                expires_at, upstream = kept.pop()
                if expires_at > now:
                    return upstream
                upstream.close()
        return None


def _connect(address, timeout):
    parsed = addresses.parse_address(address)
    connection = urllib3_connection.HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=timeout,
        socket_options=SOCKET_OPTIONS,
    )
    try:
        connection.connect()
    except _CONNECT_FAILURES as error:
        connection.close()
        raise errors.EndpointUnreachable(
            f'no connection: {type(error).__name__}'
        ) from error
    return Upstream(parsed, connection.sock)


def has_left(sock):
    """Tell whether the other end of a socket has closed it."""
    try:
        # A read of a socket with a timeout would wait for bytes.
        return _is_readable(sock) and sock.recv(1, socket.MSG_PEEK) == b''
    except (OSError, ValueError):
        return True


def _is_readable(sock):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(0))
