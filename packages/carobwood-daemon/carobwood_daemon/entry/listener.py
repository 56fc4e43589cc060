"""HTTP listeners: CherryPy applications on CherryPy's server."""

import json
import threading

from cheroot.ssl import builtin
from cheroot import wsgi as cheroot_wsgi
import cherrypy
from cherrypy import _cprequest

from carobwood import errors
from carobwood import events

from . import strict_request

SOCKET_TIMEOUT = 30.0
SHUTDOWN_TIMEOUT = 2.0
BACKLOG = 512


class Listener:
    """One HTTP or HTTPS listener with an application of its own."""

    def __init__(self, address, handler, threads, tls=None):
        """Bind the listener.

        Args:
            address: the ``Address`` to bind.
            handler: called without arguments for each request; uses
                ``cherrypy.serving`` and returns the body.
            threads: number of requests served at once.
            tls: a ``TlsFiles`` or None for plain text.
        """
        self._server = cheroot_wsgi.Server(
            (address.host, address.port),
            _application(handler),
            numthreads=threads,
            request_queue_size=BACKLOG,
            timeout=SOCKET_TIMEOUT,
            shutdown_timeout=SHUTDOWN_TIMEOUT,
        )
        self._server.ConnectionClass = strict_request.StrictConnection
        self._server.gateway = strict_request.Gateway
        self._server.max_request_header_size = strict_request.MAX_HEADER_BYTES
        self._server.error_log = _log_server_error
        if tls is not None:
            self._server.ssl_adapter = builtin.BuiltinSSLAdapter(
                tls.certificate, tls.key
            )
        self._server.prepare()
        self._thread = threading.Thread(
            target=self._server.serve, name='listener', daemon=True
        )

    @property
    def port(self):
        """Port that the listener is bound to."""
        return self._server.bind_addr[1]

    def start(self):
        """Start serving."""
        self._thread.start()

    def stop(self):
        """Close the listener and its connections."""
        self._server.stop()
        if self._thread.is_alive():
            self._thread.join(SHUTDOWN_TIMEOUT)


class _SingleHandler:
    """A CherryPy dispatcher that sends every path to one handler."""

    def __init__(self, handler):
        self._handler = handler

    def __call__(self, path_info):
        request = cherrypy.serving.request
        request.config = cherrypy.config.copy()
        request.handler = self._handler


def _application(handler):
    cherrypy.log.screen = False
    application = cherrypy.Application(None, '')
    application.log.screen = False
    application.log.access = lambda: None
    application.log.error = _log_application_error
    application.request_class = _Request
    application.merge(
        {
            '/': {
                'request.dispatch': _SingleHandler(handler),
                'request.process_request_body': False,
            }
        }
    )
    # An exception in a stream must break the connection off.
    application.wsgiapp.pipeline = []
    return application


def _answer_crash():
    response = cherrypy.serving.response
    error = errors.InternalError('the request could not be processed')
    response.status = error.status
    response.headers['Content-Type'] = 'application/json'
    response.headers['Carobwood-Outcome'] = error.outcome.value
    response.body = [strict_request.encode_error(error)]


def _error_page(status, message, traceback, version):
    cherrypy.serving.response.headers['Content-Type'] = 'application/json'
    outcome = errors.Outcome.NOT_RUN.value
    cherrypy.serving.response.headers['Carobwood-Outcome'] = outcome
    body = {'message': status, 'code': 'malformed_request'}
    body['outcome'] = outcome
    return json.dumps({'error': body})


class _Request(_cprequest.Request):
    """A request whose early failures are typed JSON too.

    CherryPy refuses some requests before it reads the application's
    configuration, so the answers stand here.
    """

    error_page = {'default': _error_page}
    error_response = staticmethod(_answer_crash)
    show_tracebacks = False


def _log_application_error(msg='', context='', severity=0, traceback=False):
    if traceback:
        detail = cherrypy._cperror.format_exc()
        events.emit(events.REQUEST_CRASHED, error=detail[-2000:])


def _log_server_error(msg='', level=0, traceback=False):
    events.emit(events.REQUEST_CRASHED, error=str(msg)[:500])
