"""One HTTP exchange: a caller's request and the response to it."""

import os
import secrets
import socket
import threading

import cherrypy

from carobwood import errors
from carobwood import events

from . import authentication
from . import body_reader
from . import headers
from . import strict_request

_REQUEST_ID_BYTES = 12
READ_BYTES = 64 * 1024


class Exchange:
    """A caller's request and the response to it.

    Attributes:
        request_id: random id, sent to endpoints and returned to the caller.
        trace: the ``RequestTrace``.
        caller: the ``Caller``; ``ANONYMOUS`` until it is authenticated.
        method: HTTP method.
        target: the request target as received.
    """

    def __init__(self, gate, tracer, metrics):
        self.request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        self.method = cherrypy.serving.request.method
        self.trace = tracer.start('caller', request_id=self.request_id)
        self.caller = authentication.ANONYMOUS
        environ = cherrypy.serving.request.wsgi_environ
        self.target = environ['REQUEST_URI']
        self._gate = gate
        self._metrics = metrics
        self._connection = environ[strict_request.CONNECTION_KEY]
        self._connection.conn.last_request_id = self.request_id
        # Once the VM stops, connections are closed after their response: a
        # later request on one might get no answer.
        self._connection.is_closing = lambda: not gate.is_ready
        self._reads = self._connection.server.request_reads
        self._input = environ['wsgi.input']
        self._length = environ.get('CONTENT_LENGTH') or ''
        self._is_chunked = 'HTTP_TRANSFER_ENCODING' in environ
        self._reservation = self._connection.server.buffers.reserve('request')
        self._is_body_read = False
        self._is_counted = False
        self._is_finished = False
        self._finish_lock = threading.Lock()

    @property
    def request_headers(self):
        """Headers of the request."""
        return cherrypy.serving.request.headers

    @property
    def content_length(self):
        """Length of the body in bytes, or None if it is chunked."""
        if self._is_chunked:
            return None
        return int(self._length) if self._length else 0

    def admit(self):
        """Count the request as in flight; see ``RequestGate.admit``."""
        self._gate.admit()
        self._is_counted = True

    def check_caller_connected(self):
        """Check that the caller has not closed its connection.

        Raises:
            CallerLeft: the caller has closed its connection.
        """
        peek_flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        fd = self._connection.conn.socket.fileno()
        try:
            # Peeks at the socket below TLS: a caller that ends its TLS
            # session closes the TCP connection, too.
            with socket.socket(fileno=os.dup(fd)) as duplicate:
                is_closed = duplicate.recv(1, peek_flags) == b''
        except BlockingIOError:
            return
        except OSError:
            is_closed = True
        if is_closed:
            raise errors.CallerLeft('the caller closed its connection')

    def finish(self, outcome):
        """End the accounting of the request.

        Calls after the first one have no effect.

        Args:
            outcome: the ``Outcome`` for metrics and the trace.
        """
        with self._finish_lock:
            if self._is_finished:
                return
            self._is_finished = True
        # Nobody sends the body any more.
        self._reservation.release()
        if self._is_counted:
            self._gate.release()
        self._metrics.count(f'outcome.{outcome.value}')
        self.trace.end(outcome=outcome.value)

    def read_body(self, limit, seconds=None):
        """Return the complete body.

        Its bytes are taken from the VM's memory until the request ends.

        Args:
            limit: maximum size in bytes.
            seconds: time within which it must end, or None for the timeout
                of the connection.

        Raises:
            BodyTooLarge: the body exceeds ``limit`` bytes.
            BodyTimeout: it has not ended within the time.
            BuffersFull: the VM has no memory left for it.
            MalformedRequest: the body is incomplete or malformed.
            Stopping: the rest of it is not waited for any more.
        """
        length = self.content_length
        if (length or 0) > limit:
            raise errors.BodyTooLarge(f'the body exceeds {limit} bytes')
        connection = self._connection.conn
        if seconds is None:
            seconds = self._connection.server.timeout
        try:
            with self._reads.track(connection):
                body = body_reader.read(
                    self._input,
                    connection.rfile,
                    self._reservation,
                    seconds,
                    limit,
                )
            if length is not None and len(body) < length:
                raise errors.MalformedRequest('the body is incomplete')
        except errors.MalformedRequest:
            self._check_reads(errors.Stopping)
            raise
        self._is_body_read = True
        return body

    def iterate_body(self, stop_error=errors.Stopping):
        """Yield the body in pieces of at most ``READ_BYTES``.

        Args:
            stop_error: class of the error if the rest of it is not waited
                for any more, as the VM stops.

        Raises:
            MalformedRequest: the body is incomplete or malformed.
            CarobwoodError: the ``stop_error``.
        """
        remaining = self.content_length
        while remaining is None or remaining > 0:
            size = (
                READ_BYTES if remaining is None else min(READ_BYTES, remaining)
            )
            part = self._read_part(size, stop_error)
            if not part:
                break
            if remaining is not None:
                remaining -= len(part)
            yield part
        if remaining:
            self._check_reads(stop_error)
            raise errors.MalformedRequest('the body is incomplete')
        self._is_body_read = True

    def _read_part(self, size, stop_error):
        try:
            with self._reads.track(self._connection.conn):
                return self._input.read(size)
        except errors.MalformedRequest:
            self._check_reads(stop_error)
            raise
        except (OSError, ValueError) as error:
            self._check_reads(stop_error)
            raise errors.MalformedRequest('the body is malformed') from error

    def _check_reads(self, stop_error):
        if self._reads.is_ended:
            raise stop_error('this VM is shutting down')

    def respond(self, status, response_headers, body, outcome):
        """Respond with a complete body and finish the exchange.

        Returns:
            The body for CherryPy.
        """
        self._set_response_head(status, response_headers)
        response = cherrypy.serving.response
        response.headers[headers.OUTCOME] = outcome.value
        response.headers['Content-Length'] = str(len(body))
        self.finish(outcome)
        return [body]

    def respond_stream(self, status, response_headers, stream, outcome=None):
        """Respond with a streamed body.

        Args:
            status: HTTP status.
            response_headers: headers by name.
            stream: iterable of bytes with a ``close`` method; it has to
                call ``finish``.
            outcome: the ``Outcome`` to announce in the headers, or None
                if it is known only at the end of the stream.

        Returns:
            The body for CherryPy.
        """
        self._set_response_head(status, response_headers)
        response = cherrypy.serving.response
        if outcome is not None:
            response.headers[headers.OUTCOME] = outcome.value
        response.stream = True
        environ = cherrypy.serving.request.wsgi_environ
        environ[strict_request.STREAM_KEY] = stream
        return stream

    def respond_error(self, error):
        """Respond with the JSON body of an error.

        Returns:
            The body for CherryPy.
        """
        event = events.REQUEST_REFUSED
        if error.outcome is not errors.Outcome.NOT_RUN:
            event = events.REQUEST_FAILED
        events.emit(
            event,
            request_id=self.request_id,
            customer=self.caller.customer_id,
            code=error.code,
            detail=error.detail,
        )
        self._metrics.count(f'refused.{error.code}')
        response_headers = {'Content-Type': 'application/json'}
        if error.retry_after is not None:
            # The header takes whole seconds. Adding one ensures that the
            # time has passed when the caller retries.
            response_headers['Retry-After'] = str(int(error.retry_after) + 1)
        if not self._is_body_read and self.content_length != 0:
            response_headers['Connection'] = 'close'
            self._connection.close_connection = True
        body = strict_request.encode_error(error, self.request_id)
        return self.respond(
            error.status, response_headers, body, error.outcome
        )

    def _set_response_head(self, status, response_headers):
        response = cherrypy.serving.response
        response.status = status
        response.headers.pop('Server', None)
        response.headers.pop('X-Powered-By', None)
        response.headers.pop('Content-Type', None)
        for name, value in response_headers.items():
            response.headers[name] = value
        response.headers[headers.REQUEST_ID] = self.request_id
