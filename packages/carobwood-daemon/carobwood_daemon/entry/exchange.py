"""One request of a caller and the answer to it."""

import os
import secrets
import socket
import threading

import cherrypy

from carobwood import errors
from carobwood import events

from . import credentials
from . import headers
from . import strict_request

_REQUEST_ID_BYTES = 12
READ_BYTES = 64 * 1024


class Exchange:
    """A caller's request while it is served.

    Attributes:
        request_id: random id, sent on to endpoints and back.
        trace: the ``RequestTrace``.
        caller: who calls, once known.
        method: HTTP method.
        target: raw request target.
    """

    def __init__(self, gate, tracer, metrics):
        self.request_id = secrets.token_hex(_REQUEST_ID_BYTES)
        self.method = cherrypy.serving.request.method
        self.trace = tracer.start('caller', request_id=self.request_id)
        self.caller = credentials.ANONYMOUS
        environ = cherrypy.serving.request.wsgi_environ
        self.target = environ['REQUEST_URI']
        self._gate = gate
        self._metrics = metrics
        self._connection = environ[strict_request.CONNECTION_KEY]
        self._input = environ['wsgi.input']
        self._length = environ.get('CONTENT_LENGTH') or ''
        self._is_chunked = 'HTTP_TRANSFER_ENCODING' in environ
        self._is_body_read = False
        self._entered = False
        self._is_finished = False
        self._finish_lock = threading.Lock()

    @property
    def received(self):
        """Headers of the request."""
        return cherrypy.serving.request.headers

    @property
    def content_length(self):
        """Length of the body, or None for a chunked one."""
        if self._is_chunked:
            return None
        return int(self._length) if self._length else 0

    def enter(self):
        """Count the request in; see ``Gate.enter``."""
        self._gate.enter()
        self._entered = True

    def refuse_left(self):
        """Refuse a request whose caller no longer waits for it.

        Raises:
            CallerLeft: the caller has closed its connection.
        """
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        fd = self._connection.conn.socket.fileno()
        try:
            # Below TLS: its end, too, ends the connection.
            with socket.socket(fileno=os.dup(fd)) as copy:
                is_closed = copy.recv(1, flags) == b''
        except BlockingIOError:
            return
        except OSError:
            is_closed = True
        if is_closed:
            raise errors.CallerLeft('the caller closed its connection')

    def finish(self, outcome):
        """Count the request out, once."""
        with self._finish_lock:
            if self._is_finished:
                return
            self._is_finished = True
        if self._entered:
            self._gate.leave()
        self._metrics.count(f'outcome.{outcome.value}')
        self.trace.end(outcome=outcome.value)

    def read_body(self, limit):
        """Return the whole body.

        Raises:
            BodyTooLarge: it exceeds ``limit`` bytes.
            MalformedRequest: it ends early.
        """
        if (self.content_length or 0) > limit:
            raise errors.BodyTooLarge(f'the body exceeds {limit} bytes')
        parts = []
        size = 0
        for part in self.iterate_body():
            size += len(part)
            if size > limit:
                raise errors.BodyTooLarge(f'the body exceeds {limit} bytes')
            parts.append(part)
        return b''.join(parts)

    def iterate_body(self):
        """Yield the body in parts.

        Raises:
            MalformedRequest: the body ends early or is broken.
        """
        missing = self.content_length
        while missing is None or missing > 0:
            size = READ_BYTES if missing is None else min(READ_BYTES, missing)
            try:
                part = self._input.read(size)
            except (OSError, ValueError) as error:
                raise errors.MalformedRequest('the body is broken') from error
            if not part:
                break
            if missing is not None:
                missing -= len(part)
            yield part
        if missing:
            raise errors.MalformedRequest('the body ends early')
        self._is_body_read = True

    def answer(self, status, answer_headers, body, outcome):
        """Answer with a whole body."""
        self._head(status, answer_headers)
        response = cherrypy.serving.response
        response.headers[headers.OUTCOME] = outcome.value
        response.headers['Content-Length'] = str(len(body))
        self.finish(outcome)
        return [body]

    def answer_stream(self, status, answer_headers, stream, outcome=None):
        """Answer with a stream that finishes the exchange itself."""
        self._head(status, answer_headers)
        response = cherrypy.serving.response
        if outcome is not None:
            response.headers[headers.OUTCOME] = outcome.value
        response.stream = True
        environ = cherrypy.serving.request.wsgi_environ
        environ[strict_request.STREAM_KEY] = stream
        return stream

    def refuse(self, error):
        """Answer with a typed error."""
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
        answer_headers = {'Content-Type': 'application/json'}
        if error.retry_after is not None:
            # Whole seconds, rounded up so that the time has passed.
            answer_headers['Retry-After'] = str(int(error.retry_after) + 1)
        if not self._is_body_read and self.content_length != 0:
            answer_headers['Connection'] = 'close'
            self._connection.close_connection = True
        body = strict_request.encode_error(error, self.request_id)
        return self.answer(error.status, answer_headers, body, error.outcome)

    def _head(self, status, answer_headers):
        response = cherrypy.serving.response
        response.status = status
        response.headers.pop('Server', None)
        response.headers.pop('X-Powered-By', None)
        response.headers.pop('Content-Type', None)
        for name, value in answer_headers.items():
            response.headers[name] = value
        response.headers[headers.REQUEST_ID] = self.request_id
