"""Strict parsing of HTTP requests for CherryPy's server, cheroot.

Ambiguous requests, which another server could parse differently, are refused.
This prevents request smuggling (RFC 9112, section 11.2).
"""

import json
import os
import re
import socket
import struct

from cheroot import makefile as cheroot_makefile
from cheroot import server as cheroot_server
from cheroot import wsgi as cheroot_wsgi

from carobwood import errors
from carobwood import http_grammar

from . import request_body

CONNECTION_KEY = 'carobwood.connection'
STREAM_KEY = 'carobwood.stream'
MAX_HEADER_BYTES = 32 * 1024

# SO_LINGER, on, with a timeout of 0 seconds.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_UNREPEATABLE_HEADERS = frozenset(
    (
        b'Authorization',
        b'Content-Length',
        b'Content-Type',
        b'Host',
        b'Idempotency-Key',
        b'Last-Event-Id',
        b'Transfer-Encoding',
        b'X-Api-Key',
    )
)
_CONTROL_CHARACTER = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_LENGTH_PATTERN = re.compile(rb'^[0-9]{1,18}$')


class StrictHeaderReader(cheroot_server.HeaderReader):
    """Reads headers and refuses those that are malformed or ambiguous.

    Raises ``ValueError``, which cheroot expects, with a ``RequestRefused``
    as its argument.

    Attributes:
        keeps_cookies: whether ``Cookie`` headers are kept. By default they
            are dropped before CherryPy parses them, since no route of the
            document forwards them.
    """

    keeps_cookies = False

    def __call__(self, rfile, hdict=None):
        """Read headers up to the empty line into ``hdict``.

        Returns:
            The values by name, in title case, as bytes.
        """
        headers = {} if hdict is None else hdict
        while True:
            line = rfile.readline()
            if line == b'\r\n':
                break
            self._parse_line(line, headers)
        _check_body_length(headers)
        if not self.keeps_cookies:
            headers.pop(b'Cookie', None)
        return headers

    def _parse_line(self, line, headers):
        if not line.endswith(b'\r\n') or line[:1] in (b' ', b'\t'):
            raise _header_error(
                errors.MalformedRequest(
                    'a header line is incomplete or folded'
                )
            )
        name, separator, value = line[:-2].partition(b':')
        if not separator or not http_grammar.is_field_name(name):
            raise _header_error(
                errors.MalformedRequest('a header name is malformed')
            )
        if _CONTROL_CHARACTER.search(value):
            raise _header_error(
                errors.MalformedRequest(
                    'a header value has a control character'
                )
            )
        # WSGI maps hyphens and underscores to the same variable name, so the
        # two spellings count as the same header.
        name = name.replace(b'_', b'-').title()
        value = value.strip()
        if name not in headers:
            headers[name] = value
            return
        if name in (b'Authorization', b'X-Api-Key'):
            raise _header_error(
                errors.ConflictingCredentials(
                    'a credential header is repeated'
                )
            )
        if name in _UNREPEATABLE_HEADERS:
            detail = f'{name.decode("ascii")} is repeated'
            raise _header_error(errors.ConflictingHeaders(detail))
        headers[name] = headers[name] + b', ' + value


class StrictRequest(cheroot_server.HTTPRequest):
    """A request whose syntax errors get a JSON error response.

    Attributes:
        is_closing: function without arguments; returns whether the connection
            is to be closed after the response to what has been read.
    """

    header_reader = StrictHeaderReader()
    is_closing = staticmethod(lambda: False)

    # The body, also once the gateway has replaced ``rfile``.
    _body = None

    def parse_request(self):
        """Read the head within its time; see ``cheroot.server.HTTPRequest``.

        A change of that time holds for the heads that begin after it.
        """
        seconds = self.server.head_seconds
        if seconds is None:
            seconds = self.server.timeout
        if seconds is None:
            super().parse_request()
            return
        self.conn.rfile.bound_head(seconds)
        try:
            super().parse_request()
        except TimeoutError as error:
            # By its text, cheroot tells it from a failed connection.
            raise TimeoutError('timed out') from error
        finally:
            self.conn.rfile.release()

    def read_request_line(self):
        """Read the request line; see ``cheroot.server.HTTPRequest``.

        An empty line before it is passed over (RFC 9112, section 2.2). It
        does not begin a request: nothing is waited for behind it.
        """
        while self.conn.rfile.peek(1)[:1] == b'\r':
            if self.rfile.readline() != b'\r\n' or self.conn.is_line_skipped:
                self.simple_response(
                    '400 Bad Request', 'the request line is malformed'
                )
                return False
            self.conn.note_empty_line()
            if not self.conn.has_input:
                self.conn.awaits_request = True
                return False
        return super().read_request_line()

    def respond(self):
        """Have the gateway answer; see ``cheroot.server.HTTPRequest``."""
        if self.chunked_read:
            limit = self.server.max_request_body_size
            self.rfile = request_body.ChunkedBody(self.conn.rfile, limit)
        else:
            length = int(self.inheaders.get(b'Content-Length', 0))
            self.rfile = cheroot_server.KnownLengthRFile(
                self.conn.rfile, length
            )
        self._body = self.rfile
        self.server.gateway(self).respond()
        self.ensure_headers_sent()
        if self.chunked_write:
            self.conn.wfile.write(b'0\r\n\r\n')
        self.conn.note_answered()

    def send_headers(self):
        """Send the head of the response, after what is left of the body.

        The connection is closed after the response if the body does not
        end within the bounds of ``request_body.drain``.
        """
        if not request_body.drain(self._body, self.conn.rfile):
            self.close_connection = True
            self.conn.discards_input = True
        elif self._ends_connection() and not self.conn.has_input:
            self.close_connection = True
        super().send_headers()

    def _ends_connection(self):
        return (
            not self.server.ready
            or not self.server.has_room
            or self.is_closing()
        )

    def simple_response(self, status, msg=''):
        """Respond to a request that does not reach the application.

        Args:
            status: HTTP status line, as chosen by cheroot.
            msg: the ``RequestRefused`` of the header reader, or a text.
        """
        if isinstance(msg, errors.RequestRefused):
            error = msg
        else:
            error = _error_from_status(str(status), str(msg))
        self.close_connection = True
        self.conn.discards_input = True
        body = encode_error(error)
        head = (
            f'HTTP/1.1 {error.status} {error.code}\r\n'
            'Content-Type: application/json\r\n'
            f'Content-Length: {len(body)}\r\n'
            f'Carobwood-Outcome: {error.outcome.value}\r\n'
            'Connection: close\r\n\r\n'
        )
        try:
            self.conn.wfile.write(head.encode('ascii') + body)
        except OSError:
            # The caller has disconnected, so there is no one to respond to.
            pass


class StrictConnection(cheroot_server.HTTPConnection):
    """A connection whose requests are of class ``StrictRequest``.

    Attributes:
        discards_input: whether the caller may go on sending when the
            connection is closed; that is read and discarded.
        is_aborted: whether the last response was broken off.
        answered_requests: number of requests that got a whole response.
        is_line_skipped: whether an empty line has come before the next
            request.
        awaits_request: whether nothing has come behind that line.
    """

    RequestHandlerClass = StrictRequest

    discards_input = False
    is_aborted = False
    answered_requests = 0
    is_line_skipped = False
    awaits_request = False
    _ends_with_reset = False
    _answered_bytes = 0

    def __init__(self, server, sock, makefile=cheroot_makefile.MakeFile):
        """See ``cheroot.server.HTTPConnection``."""
        super().__init__(server, sock, makefile)
        self.rfile = request_body.ConnectionReader(sock, self.rbufsize)

    def communicate(self):
        """Serve a request that has come.

        Returns:
            Whether the connection is to be kept.
        """
        self.awaits_request = False
        is_kept = super().communicate()
        return is_kept or self.awaits_request

    def abort(self, request):
        """Make an unfinished response look unfinished to the caller.

        A caller of HTTP/1.0 gets no chunks: the end of the connection would
        be the end of the body, so the connection ends with a reset.

        Args:
            request: the ``cheroot.server.HTTPRequest`` whose response is
                unfinished.
        """
        self.is_aborted = True
        if request.sent_headers and not request.chunked_write:
            self._ends_with_reset = True

    def note_answered(self):
        """Note that the request read last has got its whole response."""
        if self.is_aborted:
            return
        self.answered_requests += 1
        self.is_line_skipped = False
        self._note_done()

    def note_empty_line(self):
        """Note that an empty line was read, which needs no answer."""
        self.is_line_skipped = True
        self._note_done()

    def _note_done(self):
        buffered_bytes = self.rfile.count_buffered_bytes()
        self._answered_bytes = self.rfile.received_bytes - buffered_bytes

    @property
    def has_input(self):
        """Whether bytes have come that are not yet read as a request."""
        return bool(
            self.rfile.count_buffered_bytes()
            or request_body.count_unread_bytes(self.socket)
        )

    @property
    def unanswered_bytes(self):
        """Number of bytes read behind the last request with a response."""
        return self.rfile.received_bytes - self._answered_bytes

    def close(self):
        """Close the connection, with a reset after ``abort``."""
        if self._ends_with_reset:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
            # The descriptor itself is closed, since cheroot's writer keeps
            # the socket object open.
            os.close(self.socket.detach())
            # Tells cheroot that there is nothing to shut down.
            self.linger = True
        elif self.discards_input or request_body.count_unread_bytes(
            self.socket
        ):
            # Closed with bytes unread, it would end with a reset, which
            # destroys what the caller has not read yet.
            request_body.discard_input(self.socket, self.rfile)
        super().close()


class Gateway(cheroot_wsgi.Gateway_10):
    """Passes the connection to the application and closes its stream.

    CherryPy wraps streamed bodies in generators, which do not forward
    ``close`` to the stream if the caller disconnects.
    """

    def respond(self):
        """Serve the request and close the stream that it returned, if any."""
        try:
            super().respond()
        except Exception:
            self.req.conn.abort(self.req)
            raise
        finally:
            stream = self.env.get(STREAM_KEY)
            if stream is not None:
                stream.close()

    def get_environ(self):
        """Return the WSGI environment, with cheroot's request added."""
        environ = super().get_environ()
        environ[CONNECTION_KEY] = self.req
        return environ


def encode_error(error, request_id=''):
    """Return the JSON body for an error, in the format of the OpenAI API.

    Args:
        error: the ``CarobwoodError``.
        request_id: id of the request, or an empty string if it has none.
    """
    body = {
        'message': error.detail,
        'type': type(error).__name__,
        'code': error.code,
        'outcome': error.outcome.value,
    }
    if error.retry_after is not None:
        body['retry_after_seconds'] = error.retry_after
    if request_id:
        body['request_id'] = request_id
    return json.dumps({'error': body}).encode('utf-8')


def _header_error(error):
    return ValueError(error)


def _check_body_length(headers):
    length = headers.get(b'Content-Length')
    if length is not None and not _LENGTH_PATTERN.match(length):
        raise _header_error(
            errors.ConflictingHeaders('Content-Length is not a number')
        )
    encoding = headers.get(b'Transfer-Encoding')
    if encoding is None:
        return
    if length is not None:
        raise _header_error(
            errors.ConflictingHeaders(
                'both Content-Length and Transfer-Encoding are present'
            )
        )
    if encoding.lower() != b'chunked':
        raise _header_error(
            errors.MalformedRequest('Transfer-Encoding is not chunked')
        )


def _error_from_status(status, message):
    if status.startswith('408'):
        return errors.HeadersTimeout('the headers did not end in time')
    if status.startswith('414'):
        return errors.HeadersTooLarge('the request line is too long')
    if status.startswith('413') and 'entity' in message:
        return errors.BodyTooLarge('the body exceeds the size limit')
    if status.startswith('413'):
        return errors.HeadersTooLarge('the headers are too long')
    if status.startswith('500'):
        return errors.InternalError('the request could not be processed')
    return errors.MalformedRequest(message or status)
