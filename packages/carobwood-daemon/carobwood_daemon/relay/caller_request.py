"""A caller's request and the client connection that it arrived on."""

import http

from carobwood import errors

from ..entry import body_reader
from ..entry import connection_log
from ..entry import strict_request

from . import endpoint_connections
from . import forwarding_headers

# Hop-by-hop headers, which concern one connection only and are not
# forwarded (RFC 9110, 7.6.1), and Content-Length and Expect, which the
# relay handles itself on each connection.
HOP_BY_HOP_HEADERS = frozenset(
    (
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


def reason_phrase(status):
    """Return the reason phrase of a status, empty if it is unregistered."""
    try:
        return http.HTTPStatus(status).phrase
    except ValueError:
        return ''


def end_to_end_headers(headers_by_name):
    """Return the (name, value) pairs of a response that may be passed on."""
    return [
        (name, value)
        for name, value in headers_by_name.items()
        if name not in HOP_BY_HOP_HEADERS
        and name not in forwarding_headers.ALL
    ]


class CallerRequest:
    """A request as cheroot has parsed it, and the means to respond to it.

    As a context manager, it gives the memory of its body back at the end.

    Attributes:
        method: HTTP method.
        target: path and query, unchanged.
        headers: values by header name in lower case.
        has_started_response: whether the head of a response was sent.
    """

    def __init__(self, parsed):
        """Wrap a parsed request.

        Args:
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        self._parsed = parsed
        self.method = parsed.method.decode('latin-1')
        self.target = parsed.uri.decode('latin-1')
        self.headers = {
            name.decode('latin-1').lower(): value.decode('latin-1')
            for name, value in parsed.inheaders.items()
        }
        self.has_started_response = False
        self._reservation = parsed.server.buffers.reserve('request')
        self._sent_before = parsed.conn.wfile.bytes_written

    def note_id(self, request_id):
        """Name the request in log lines of its connection."""
        self._parsed.conn.last_request_id = request_id

    @property
    def peer(self):
        """Address and port of the caller's side of the connection."""
        return connection_log.peer_of(self._parsed.conn)

    @property
    def response_bytes(self):
        """Number of bytes of the response that were written."""
        return self._parsed.conn.wfile.bytes_written - self._sent_before

    @property
    def path(self):
        """The target without its query."""
        return self.target.partition('?')[0]

    @property
    def host(self):
        """The host of the ``Host`` header in lower case, without a port."""
        return self.headers.get('host', '').partition(':')[0].lower()

    @property
    def socket(self):
        """The socket of the client connection, for polling."""
        return self._parsed.conn.socket

    def end_to_end_headers(self):
        """Return the (name, value) pairs that may be forwarded.

        Hop-by-hop headers are left out, and so are the headers that the
        ``Connection`` header names.
        """
        listed = self.headers.get('connection', '').lower()
        connection_options = {name.strip() for name in listed.split(',')}
        return [
            (name, value)
            for name, value in self.headers.items()
            if name not in HOP_BY_HOP_HEADERS
            and name not in forwarding_headers.ALL
            and name not in connection_options
        ]

    def has_disconnected(self):
        """Tell whether the caller has closed its connection."""
        return endpoint_connections.is_closed_by_peer(self.socket)

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        # Nobody sends the body any more.
        self._reservation.release()

    def read_body(self, seconds=None):
        """Return the whole body, or None if the request has none.

        Its bytes are taken from the VM's memory until the request ends.

        Args:
            seconds: time within which it must end, or None for the timeout
                of the connection.

        Raises:
            MalformedRequest: the body is truncated or cannot be decoded.
            BodyTooLarge: the body exceeds the server's limit.
            BodyTimeout: it has not ended within the time.
            BuffersFull: the VM has no memory left for it.
            Stopping: the rest of it is not waited for any more.
        """
        if seconds is None:
            seconds = self._parsed.server.timeout
        reads = self._parsed.server.request_reads
        with reads.track(self._parsed.conn):
            try:
                return self._read_whole_body(seconds)
            except errors.MalformedRequest as error:
                if reads.is_ended:
                    raise errors.Stopping(
                        'this VM is shutting down'
                    ) from error
                raise

    def _read_whole_body(self, seconds):
        parsed = self._parsed
        if not parsed.chunked_read and 'content-length' not in self.headers:
            return None
        body = body_reader.read(
            parsed.rfile, parsed.conn.rfile, self._reservation, seconds
        )
        declared = self.headers.get('content-length', '')
        if not parsed.chunked_read and len(body) != int(declared or 0):
            raise errors.MalformedRequest(
                'the request body is shorter than its Content-Length'
            )
        return body

    def send_response(self, status, reason, headers, body):
        """Send a whole response.

        Args:
            status: HTTP status.
            reason: reason phrase of the status line.
            headers: (name, value) pairs without ``Content-Length``.
            body: the body; it is not sent in response to ``HEAD``.

        Raises:
            CallerLeft: the connection failed before the head was sent.
            OSError: it failed while the body was sent.
        """
        length = ('Content-Length', str(len(body)))
        self._send_head(status, reason, [*headers, length])
        if body and self.method != 'HEAD':
            self._parsed.write(body)

    def start_stream(self, status, reason, headers):
        """Send the head of a streamed response.

        Args:
            status: HTTP status.
            reason: reason phrase of the status line.
            headers: (name, value) pairs.

        Raises:
            CallerLeft: the caller has closed its connection.
        """
        self._send_head(status, reason, headers)

    def write(self, data):
        """Send a part of a streamed response.

        Raises:
            CallerLeft: the caller no longer reads.
        """
        try:
            self._parsed.write(data)
        except OSError as error:
            raise errors.CallerLeft(
                'the caller disconnected during the response'
            ) from error

    def abort_response(self):
        """Close the connection such that the response is incomplete.

        The final chunk of a chunked response is not sent, and a response
        without chunks ends with a reset, so that the caller can tell a
        truncated response from a complete one.
        """
        self._parsed.conn.abort(self._parsed)
        self._parsed.chunked_write = False
        self._parsed.close_connection = True
        self._parsed.sent_headers = True

    def close_after_response(self):
        """Close the connection once the response is sent."""
        self._parsed.close_connection = True

    def close_if(self, is_closing):
        """Close the connection after the response if a condition holds.

        It is kept for requests that have been read behind this one.

        Args:
            is_closing: function without arguments, called as the response
                begins.
        """
        self._parsed.is_closing = is_closing

    def _send_head(self, status, reason, headers):
        parsed = self._parsed
        self.has_started_response = True
        parsed.sent_headers = True
        parsed.status = f'{status} {reason}'.encode('latin-1')
        parsed.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]
        try:
            parsed.send_headers()
        except OSError as error:
            raise errors.CallerLeft(
                'the caller disconnected before the response'
            ) from error


def encode_error_body(error, request_id):
    """Return the body of an error response that the relay itself gives.

    Args:
        error: the ``CarobwoodError``.
        request_id: the caller's id of the request, or empty.
    """
    return strict_request.encode_error(error, request_id)
