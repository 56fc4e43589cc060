"""Sends HTTP requests to endpoints, each on a new connection.

Connections are never shared or reused. So a late response cannot be taken for
the response to another request, and no request is sent on an idle connection
that has been lost without a sign.
"""

import contextlib
import dataclasses
import functools
import http.client
import io
import select
import socket

from urllib3 import connection as urllib3_connection

from carobwood import addresses
from carobwood import errors
from carobwood import response_body
from carobwood import response_head

from . import bounded_reader
from . import connect_errors
from . import headers

CONNECT_TIMEOUT_SECONDS = 1.0
KEEPALIVE_INTERVAL_SECONDS = 2
KEEPALIVE_PROBES = 3
# Bound of a response's head, interim responses included.
MAX_HEAD_BYTES = 256 * 1024
# TCP keepalive detects connections that a device on the path has dropped.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]


@dataclasses.dataclass(frozen=True)
class UpstreamRequest:
    """A request to an endpoint.

    Attributes:
        method: HTTP method.
        target: path with query.
        headers: headers by name, including the request id.
        body: bytes, an iterable of bytes, or None.
        request_id: id of the request. A response that names another id is
            refused.
        must_echo: whether a response without the request id is refused, too.
        first_byte_seconds: time limit for the status line and headers of
            the response.
        stall_seconds: time limit for each read of the body.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: object
    request_id: str
    must_echo: bool
    first_byte_seconds: float
    stall_seconds: float


class _BoundedResponse(response_head.StrictResponse):
    """A response whose head has a bound of time and size."""

    def __init__(self, seconds, sock, **options):
        super().__init__(sock, **options)
        self._seconds = seconds
        # Keeps the socket open while the response is read.
        self._file = self.fp
        self._bounds = bounded_reader.BoundedReader(sock)
        self.fp = io.BufferedReader(self._bounds)

    def begin(self):
        """Read the head; see ``StrictResponse``."""
        self._bounds.bound(self._seconds, MAX_HEAD_BYTES)
        try:
            super().begin()
        finally:
            self._bounds.release()

    def close(self):
        """Close the response and what it has of the socket."""
        super().close()
        self._file.close()


class Response:
    """The response of an endpoint; its body is read on demand.

    Attributes:
        status: HTTP status.
        headers: headers by name; names are case-insensitive.
    """

    def __init__(self, connection, raw_response, sock):
        self._connection = connection
        self._socket = sock
        self._raw_response = raw_response
        self._body = response_body.open_body(raw_response)
        self.status = raw_response.status
        self.headers = raw_response.headers

    @property
    def has_ended(self):
        """Whether there is nothing more of the body to read."""
        return self._body.has_ended

    def read_available(self):
        """Read once, and return the bytes of the body that have come.

        They may be none before the end; see ``has_ended``.

        Raises:
            StreamBroken: the connection failed or timed out.
        """
        data = self._read_available()
        if data is None:
            raise errors.StreamBroken('no data within the stall timeout')
        return data

    def read_within(self, seconds):
        """Read once, like ``read_available``, within a time.

        Returns:
            The bytes, or None if nothing has come. The body can be read on
            then.

        Raises:
            StreamBroken: the connection failed.
        """
        self._socket.settimeout(seconds)
        return self._read_available()

    def is_readable(self):
        """Tell whether a read would not wait."""
        return _is_readable(self._socket, 0.0)

    def _read_available(self):
        try:
            return self._body.read_available()
        except connect_errors.CONNECTION_ERRORS as error:
            # The connection's own timeout, unlike a read's, has a number.
            if not isinstance(error, TimeoutError) or error.errno is not None:
                raise errors.StreamBroken(
                    f'the connection failed: {type(error).__name__}'
                ) from error
        if self._body.trailer_seconds_left is None:
            return None
        # The last chunk has come.
        self._body.give_up_trailer()
        return b''

    def read_all(self, limit):
        """Return the complete body.

        Args:
            limit: maximum size in bytes.

        Raises:
            StreamBroken: the body is truncated or exceeds ``limit``.
        """
        parts = []
        size = 0
        while not self.has_ended:
            part = self.read_available()
            parts.append(part)
            size += len(part)
            if size > limit:
                raise errors.StreamBroken('the response is too large')
        return b''.join(parts)

    @property
    def content_length(self):
        """Value of ``Content-Length``, or None."""
        value = self.headers.get('Content-Length')
        return int(value) if value and value.isdigit() else None

    def close(self):
        """Close the connection, which cancels an unfinished request."""
        self._connection.close()
        self._raw_response.close()


class SentRequest:
    """A request whose response has not been read yet."""

    def __init__(self, connection, request):
        """Send a request; see ``transmit``."""
        self._connection = connection
        self._request = request
        self._socket = connection.sock
        connection.timeout = request.first_byte_seconds
        self._socket.settimeout(request.first_byte_seconds)
        connection.request(
            request.method,
            request.target,
            body=request.body,
            headers=request.headers,
        )

    def is_readable(self, seconds):
        """Wait until something has come or the connection has ended.

        Args:
            seconds: longest time to wait.

        Returns:
            Whether it has.
        """
        return _is_readable(self._socket, seconds)

    def receive(self, seconds):
        """Wait for the headers of the response.

        The connection is closed if this fails.

        Args:
            seconds: time limit for the status line and headers.

        Returns:
            The ``Response``.

        Raises:
            EndpointTimeout: the headers did not arrive in time.
            EndpointFailed: the connection failed.
            AnswerMismatch: the response belongs to another request.
        """
        with _closed_on_failure(self._connection):
            raw_response = self._receive(seconds)
        response = Response(self._connection, raw_response, self._socket)
        _check_request_id(response, self._request)
        return response

    def close(self):
        """Close the connection, which cancels the request."""
        self._connection.close()

    def _receive(self, seconds):
        # The response class of urllib3 reads one chunk at a time, which is
        # too slow for streams of small events.
        self._connection.response_class = functools.partial(
            _BoundedResponse, seconds
        )
        raw_response = http.client.HTTPConnection.getresponse(self._connection)
        self._socket.settimeout(self._request.stall_seconds)
        return raw_response


def open_connection(address, seconds=CONNECT_TIMEOUT_SECONDS):
    """Connect to an endpoint.

    Args:
        address: ``host:port`` of the endpoint.
        seconds: time limit.

    Raises:
        EndpointUnreachable: the connection could not be established.
        DescriptorsUsedUp: this process can make none.
    """
    parsed = addresses.parse_address(address)
    connection = urllib3_connection.HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=seconds,
        socket_options=SOCKET_OPTIONS,
    )
    try:
        connection.connect()
    except connect_errors.CONNECTION_ERRORS as error:
        connection.close()
        raise connect_errors.make_error(error) from error
    return connection


def transmit(connection, request):
    """Send a request without waiting for its response.

    Once this is called, the endpoint may have run the request. The
    connection is closed if this fails.

    Args:
        connection: result of ``open_connection``.
        request: the ``UpstreamRequest``.

    Returns:
        The ``SentRequest``.

    Raises:
        EndpointTimeout: the endpoint did not take the request in time.
        EndpointFailed: the connection failed.
    """
    with _closed_on_failure(connection):
        return SentRequest(connection, request)


def send(connection, request):
    """Send a request and wait for the headers of the response.

    See ``transmit`` and ``SentRequest.receive``.

    Args:
        connection: result of ``open_connection``.
        request: the ``UpstreamRequest``.

    Returns:
        The ``Response``.
    """
    sent = transmit(connection, request)
    return sent.receive(request.first_byte_seconds)


@contextlib.contextmanager
def _closed_on_failure(connection):
    """Close a connection that fails, and raise the error of its request."""
    try:
        yield
    except connect_errors.TIMEOUT_ERRORS as error:
        connection.close()
        raise errors.EndpointTimeout('no response within the deadline') from (
            error
        )
    except connect_errors.CONNECTION_ERRORS as error:
        connection.close()
        raise errors.EndpointFailed(
            f'the connection failed: {type(error).__name__}'
        ) from error
    except BaseException:
        connection.close()
        raise


def _is_readable(sock, seconds):
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    return bool(poller.poll(1000 * max(0.0, seconds)))


def _check_request_id(response, request):
    echoed = response.headers.get(headers.REQUEST_ID)
    if echoed is None and not request.must_echo:
        return
    if echoed != request.request_id:
        response.close()
        raise errors.AnswerMismatch(
            'the response has the id of another request'
        )
