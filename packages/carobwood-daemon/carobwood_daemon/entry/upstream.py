"""HTTP calls to endpoints, one connection for each request.

A connection is never shared or used again, so an answer that comes late
can never meet another request, and no idle connection can go silent.
"""

import dataclasses
import http.client
import socket

import urllib3
from urllib3 import connection as urllib3_connection

from carobwood import addresses
from carobwood import errors

from . import answer_body
from . import headers

CONNECT_TIMEOUT = 1.0
KEEPALIVE_SECONDS = 2
KEEPALIVE_PROBES = 3
# Keepalive finds connections that something between the ends has lost.
SOCKET_OPTIONS = [
    (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
    (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_SECONDS),
    (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
]

# Failures of a connection that urllib3 and http.client let through.
_BREAKS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
_TIMEOUTS = (TimeoutError, urllib3.exceptions.TimeoutError)


@dataclasses.dataclass(frozen=True)
class Call:
    """A request to an endpoint.

    Attributes:
        method: HTTP method.
        target: path with query.
        headers: headers by name, the request id among them.
        body: bytes, an iterable of bytes, or None.
        request_id: id that the answer must not contradict.
        must_echo: whether the answer must repeat the request id.
        first_byte_seconds: bound on the wait for the answer's head.
        stall_seconds: bound on a silence within the answer.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: object
    request_id: str
    must_echo: bool
    first_byte_seconds: float
    stall_seconds: float


class Answer:
    """An endpoint's answer, read as it comes.

    Attributes:
        status: HTTP status.
        headers: headers by name, in any case.
    """

    def __init__(self, connection, response):
        self._connection = connection
        self._response = response
        self._body = answer_body.open_body(response)
        self.status = response.status
        self.headers = response.headers

    def read_available(self):
        """Return the bytes at hand, or empty bytes at the end.

        Raises:
            StreamBroken: the connection broke or went silent.
        """
        try:
            return self._body.read_available()
        except TimeoutError as error:
            raise errors.StreamBroken('the endpoint went silent') from error
        except _BREAKS as error:
            raise errors.StreamBroken(f'{type(error).__name__}') from error

    def read_all(self, limit):
        """Return the whole body.

        Raises:
            StreamBroken: the body is cut short or exceeds ``limit``.
        """
        parts = []
        size = 0
        while True:
            part = self.read_available()
            if not part:
                return b''.join(parts)
            parts.append(part)
            size += len(part)
            if size > limit:
                raise errors.StreamBroken('the answer is too large')

    @property
    def content_length(self):
        """Length that the endpoint declared, or None."""
        value = self.headers.get('Content-Length')
        return int(value) if value and value.isdigit() else None

    def close(self):
        """Close the connection, which cancels unfinished work."""
        self._connection.close()
        self._response.close()


def open_connection(address):
    """Connect to an endpoint.

    Raises:
        EndpointUnreachable: no connection came about.
    """
    parsed = addresses.parse_address(address)
    connection = urllib3_connection.HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=CONNECT_TIMEOUT,
        socket_options=SOCKET_OPTIONS,
    )
    try:
        connection.connect()
    except _BREAKS as error:
        connection.close()
        raise errors.EndpointUnreachable(
            f'no connection: {type(error).__name__}'
        ) from error
    return connection


def send(connection, call):
    """Send a request and wait for the head of the answer.

    From here on the request counts as run.

    Returns:
        The ``Answer``.

    Raises:
        EndpointTimeout: no answer came in time.
        EndpointFailed: the connection broke.
        AnswerMismatch: the answer belongs to another request.
    """
    try:
        response = _exchange(connection, call)
    except _TIMEOUTS as error:
        connection.close()
        raise errors.EndpointTimeout('no answer within the deadline') from (
            error
        )
    except _BREAKS as error:
        connection.close()
        raise errors.EndpointFailed(f'{type(error).__name__}') from error
    except BaseException:
        connection.close()
        raise
    answer = Answer(connection, response)
    _check_identity(answer, call)
    return answer


def _exchange(connection, call):
    connection.timeout = call.first_byte_seconds
    connection.sock.settimeout(call.first_byte_seconds)
    sock = connection.sock
    connection.request(
        call.method,
        call.target,
        body=call.body,
        headers=call.headers,
    )
    # urllib3's own response reads one chunk at a time, which is too slow
    # for streams of small events.
    response = http.client.HTTPConnection.getresponse(connection)
    sock.settimeout(call.stall_seconds)
    return response


def _check_identity(answer, call):
    echoed = answer.headers.get(headers.REQUEST_ID)
    if echoed is None and not call.must_echo:
        return
    if echoed != call.request_id:
        answer.close()
        raise errors.AnswerMismatch('the answer names another request')
