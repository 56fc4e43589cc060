"""HTTP listeners, each with a CherryPy application on a cheroot server."""

import json
import threading

from cheroot import wsgi as cheroot_wsgi
import cherrypy
from cherrypy import _cprequest

from carobwood import errors
from carobwood import events

from ..limits import buffer_budget

from . import connection_log
from . import request_reads
from . import server_stop
from . import stopping_connection
from . import strict_request
from . import tls_connection

SOCKET_TIMEOUT_SECONDS = 30.0
# Least time for the answers that are still being given at a stop.
MIN_ANSWER_SECONDS = 2.0
BACKLOG = 512


class _Server(server_stop.StoppingServer, cheroot_wsgi.Server):
    """The server of a listener."""


class Listener:
    """An HTTP or HTTPS listener with its own application."""

    def __init__(self, address, handler, thread_count, tls=None, buffers=None):
        """Bind the listener.

        Args:
            address: the ``Address`` to bind.
            handler: called without arguments for each request; reads the
                request from ``cherrypy.serving`` and returns the body of
                the response.
            thread_count: number of worker threads, and so of concurrent
                requests.
            tls: a ``TlsFiles`` or None for plain text.
            buffers: the ``BufferBudget`` for the bodies of requests, or None.
        """
        self._server = _Server(
            (address.host, address.port),
            _build_application(handler),
            numthreads=thread_count,
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT_SECONDS,
            shutdown_timeout=MIN_ANSWER_SECONDS,
        )
        self._server.requests = server_stop.WorkerPool(
            self._server, thread_count
        )
        self._server.ConnectionClass = stopping_connection.StoppingConnection
        self._server.buffers = buffers or buffer_budget.unlimited()
        self._connection_log = connection_log.ConnectionLog()
        self._server.connection_log = self._connection_log
        self._server.request_reads = request_reads.RequestReads()
        self._server.gateway = strict_request.Gateway
        self._server.max_request_header_size = strict_request.MAX_HEADER_BYTES
        self._server.error_log = _log_server_error
        if tls is not None:
            self._server.ssl_adapter = tls_connection.SteppedSslAdapter(
                tls.certificate, tls.key
            )
            self._server.ConnectionClass = tls_connection.TlsConnection
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='listener', daemon=True
        )

    @property
    def port(self):
        """Port number that the listener is bound to."""
        return self._server.bind_addr[1]

    def start(self):
        """Start accepting connections."""
        self._thread.start()

    def end_reads(self):
        """Wait no longer for requests that have not arrived in full."""
        self._server.request_reads.end()

    @property
    def awaits_requests(self):
        """Whether a caller may be sending a request on a connection."""
        return self._server.awaits_requests

    def set_stop_seconds(self, seconds):
        """Set the time of ``stop`` for the answers still being given."""
        self._server.shutdown_timeout = seconds

    def stop(self):
        """Close the listener and its connections."""
        self.end_reads()
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join(MIN_ANSWER_SECONDS)
        self._connection_log.note_stopped(self.port)


class _SingleHandlerDispatcher:
    """A CherryPy dispatcher that uses one handler for every path."""

    def __init__(self, handler):
        self._handler = handler

    def __call__(self, path_info):
        request = cherrypy.serving.request
        request.config = cherrypy.config.copy()
        request.handler = self._handler


def _build_application(handler):
    cherrypy.log.screen = False
    application = cherrypy.Application(None, '')
    application.log.screen = False
    application.log.access = lambda: None
    application.log.error = _log_application_error
    application.request_class = _Request
    application.merge(
        {
            '/': {
                'request.dispatch': _SingleHandlerDispatcher(handler),
                'request.process_request_body': False,
            }
        }
    )
    # Without CherryPy's exception trapper in the pipeline, an exception in
    # a streamed body aborts the connection, so that the caller does not take
    # a truncated body for a complete one.
    application.wsgiapp.pipeline = []
    return application


def _respond_internal_error():
    response = cherrypy.serving.response
    error = errors.InternalError('the request could not be processed')
    response.status = error.status
    response.headers['Content-Type'] = 'application/json'
    response.headers['Carobwood-Outcome'] = error.outcome.value
    response.body = [strict_request.encode_error(error)]


def _respond_http_error(status, message, traceback, version):
    cherrypy.serving.response.headers['Content-Type'] = 'application/json'
    outcome = errors.Outcome.NOT_RUN.value
    cherrypy.serving.response.headers['Carobwood-Outcome'] = outcome
    body = {'message': status, 'code': 'malformed_request'}
    body['outcome'] = outcome
    return json.dumps({'error': body})


class _Request(_cprequest.Request):
    """A request whose failures inside CherryPy get JSON error bodies.

    CherryPy refuses some requests before it reads the configuration of the
    application, so the error handlers are set on the class.
    """

    error_page = {'default': _respond_http_error}
    error_response = staticmethod(_respond_internal_error)
    show_tracebacks = False


def _log_application_error(msg='', context='', severity=0, traceback=False):
    if traceback:
        detail = cherrypy._cperror.format_exc()
        events.emit(events.REQUEST_CRASHED, error=detail[-2000:])


def _log_server_error(msg='', level=0, traceback=False):
    events.emit(events.REQUEST_CRASHED, error=str(msg)[:500])
