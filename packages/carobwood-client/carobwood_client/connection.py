"""Authenticated calls to the operators' HTTP API of the VMs."""

import contextlib
import http.client
import json
import socket
import threading
import urllib.parse

import urllib3
from urllib3 import connection as urllib3_connection

from carobwood import errors
from carobwood import response_body
from carobwood import response_head

CONNECT_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 30.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_FAILURES = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)


class ErrorResponse(errors.CarobwoodError):
    """A VM answered a call with an error.

    Attributes:
        code: error code that the VM reports, such as ``not_found``.
        status: HTTP status of the response.
    """

    def __init__(self, code, status, detail):
        super().__init__(detail)
        self.code = code
        self.status = status


class Unreachable(errors.CarobwoodError):
    """A VM, or each VM that was tried, gave no usable response."""

    code = 'unreachable'


class Connection:
    """Calls the first VM that answers, in the order of their addresses.

    Attributes:
        operators: addresses ``IP:PORT`` of the operators' listeners.
    """

    def __init__(self, operators, token, ca_file=''):
        """Create a connection; nothing is sent yet.

        Args:
            operators: addresses ``IP:PORT`` of the operators' listeners.
            token: the operator's bearer token.
            ca_file: PEM file of the certificate authority that signed the
                listeners' certificates, or empty for HTTP without TLS.
        """
        self.operators = tuple(operators)
        self._scheme = 'https' if ca_file else 'http'
        self._ca_file = ca_file
        self._headers = {
            'Authorization': f'Bearer {token}',
            'Content-Type': 'application/json',
        }
        self._idle_by_operator = {}

    def get(self, path, **fields):
        """Return the decoded response to a GET request.

        Args:
            path: path of the call.
            **fields: parameters of the query.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: no VM gave a usable response.
        """
        return self._call_first_reachable('GET', path, None, fields)

    def post(self, path, /, read_timeout=READ_TIMEOUT_SECONDS, **fields):
        """Return the decoded response to a POST request.

        If a VM does not answer, the request is sent to the next one.
        Changes carry an operation id, which keeps them from being
        applied twice.

        Args:
            path: path of the call.
            read_timeout: seconds in which the response must end.
            **fields: fields of the JSON body.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: no VM gave a usable response.
        """
        return self._call_first_reachable(
            'POST', path, fields, None, read_timeout
        )

    def post_to(self, operator, path, **fields):
        """Return the decoded response to a POST request to one VM.

        Args:
            operator: address ``IP:PORT`` of the VM's operators' listener.
            path: path of the call.
            **fields: fields of the JSON body.

        Raises:
            ErrorResponse: the VM answered with an error.
            Unreachable: the VM gave no usable response.
        """
        return self._call(operator, 'POST', path, fields, None)

    def _call_first_reachable(
        self, method, path, body, query, read_timeout=READ_TIMEOUT_SECONDS
    ):
        failures = []
        for operator in self.operators:
            try:
                return self._call(
                    operator, method, path, body, query, read_timeout
                )
            except Unreachable as error:
                failures.append(error.detail)
        raise Unreachable('; '.join(failures) or 'no addresses of VMs given')

    def _call(
        self,
        operator,
        method,
        path,
        body,
        query,
        read_timeout=READ_TIMEOUT_SECONDS,
    ):
        data = json.dumps(body).encode('utf-8') if body is not None else None
        target = f'{path}?{urllib.parse.urlencode(query)}' if query else path
        try:
            status, content = self._exchange(
                operator, (method, target, data, self._headers), read_timeout
            )
        except _FAILURES as error:
            raise Unreachable(f'{operator}: {type(error).__name__}') from (
                error
            )
        return _decode(operator, status, content)

    def _exchange(self, operator, request, seconds):
        """Send a request; return the status and body of the response."""
        connection = self._take_idle(operator) or self._connect(operator)
        try:
            with _Watchdog(operator, connection.sock, seconds):
                connection.timeout = seconds
                connection.sock.settimeout(seconds)
                connection.request(*request)
                # urllib3 would read the body in its own, lenient way.
                response = http.client.HTTPConnection.getresponse(connection)
                with contextlib.closing(response):
                    body = response_body.open_body(response)
                    content = _read_all(operator, body)
        except BaseException:
            connection.close()
            raise
        if body.has_surplus_bytes:
            # It is not used again, since it is not connected any more.
            connection.close()
        self._idle_by_operator[operator] = connection
        return response.status, content

    def _take_idle(self, operator):
        connection = self._idle_by_operator.pop(operator, None)
        if connection is None or connection.is_connected:
            return connection
        connection.close()
        return None

    def _connect(self, operator):
        url = urllib3.util.parse_url(f'{self._scheme}://{operator}')
        host = url.host.strip('[]')
        if self._ca_file:
            connection = urllib3_connection.HTTPSConnection(
                host,
                url.port,
                timeout=CONNECT_TIMEOUT_SECONDS,
                cert_reqs='CERT_REQUIRED',
                ca_certs=self._ca_file,
            )
        else:
            connection = urllib3_connection.HTTPConnection(
                host, url.port, timeout=CONNECT_TIMEOUT_SECONDS
            )
        connection.response_class = response_head.StrictResponse
        try:
            connection.connect()
        except BaseException:
            connection.close()
            raise
        return connection


class _Watchdog:
    """Ends a connection unless its call ends in time.

    A timeout of the socket would be one of each read.
    """

    def __init__(self, operator, sock, seconds):
        self._operator = operator
        self._socket = sock
        self._seconds = seconds
        self._has_ended_call = False
        self._timer = threading.Timer(seconds, self._end)
        self._timer.daemon = True

    def __enter__(self):
        self._timer.start()
        return self

    def __exit__(self, *exception):
        self._timer.cancel()
        if self._has_ended_call:
            raise Unreachable(
                f'{self._operator}: the call exceeds {self._seconds:g} s'
            )

    def _end(self):
        self._has_ended_call = True
        try:
            # Below TLS, so that the thread of the call alone uses its state.
            socket.socket.shutdown(self._socket, socket.SHUT_RDWR)
        except OSError:
            # The connection has ended already.
            pass


def _read_all(operator, body):
    parts = []
    size = 0
    for part in response_body.read_parts(body):
        parts.append(part)
        size += len(part)
        if size > MAX_RESPONSE_BYTES:
            raise Unreachable(
                f'{operator}: the response exceeds {MAX_RESPONSE_BYTES} bytes'
            )
    return b''.join(parts)


def _decode(operator, status, content):
    try:
        decoded = json.loads(content)
    except (ValueError, RecursionError) as error:
        raise Unreachable(f'{operator}: the response is not JSON') from error
    if status == 200:
        return decoded
    error_fields = _error_fields(operator, decoded)
    raise ErrorResponse(
        error_fields.get('code', 'unknown'),
        status,
        error_fields.get('message', f'HTTP status {status}'),
    )


def _error_fields(operator, decoded):
    """Return the fields of an error response; they may be missing."""
    if not isinstance(decoded, dict):
        raise Unreachable(f'{operator}: the response is no object')
    fields = decoded.get('error', {})
    if not isinstance(fields, dict):
        raise Unreachable(f'{operator}: the error is no object')
    return fields
