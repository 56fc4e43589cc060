"""Engines in the process of a test, and an opener of requests to them."""

import contextlib
import http.server
import threading
import types

from carobwood import clocks
from carobwood_daemon.entry import engine_liveness
from carobwood_daemon.entry import hang_detector
from carobwood_daemon.entry import response_opener
from carobwood_daemon.entry import upstream
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import circuit_breakers

WAIT_SECONDS = 30.0
WEIGHTS_VERSION = '1'


class Engine:
    """An engine that answers once it may.

    Attributes:
        request_count: number of requests that it got.
        was_left: set once the connection of a request has ended.
        may_answer: set once its requests are answered.
        is_silent: whether it does not answer health checks.
        falls_silent: whether it answers a single one.
        endpoint: its ``Endpoint``.
    """

    def __init__(self, name):
        self.request_count = 0
        self.was_left = threading.Event()
        self.may_answer = threading.Event()
        self.is_silent = False
        self.falls_silent = False
        handler = type('Handler', (_Handler,), {'engine': self})
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), handler
        )
        self._server.daemon_threads = True
        self._server.handle_error = lambda *_: None
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()
        address = f'127.0.0.1:{self._server.server_address[1]}'
        self.endpoint = endpoint_table.Endpoint(
            name,
            1,
            1,
            address,
            'bole',
            'engines',
            'production',
            WEIGHTS_VERSION,
        )

    def stop(self):
        """Stop serving."""
        self.may_answer.set()
        self._server.shutdown()
        self._server.server_close()


class _Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection to an ``Engine``."""

    protocol_version = 'HTTP/1.1'
    engine = None

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Answer a health check, unless the engine is silent."""
        if self.engine.is_silent:
            self.rfile.read(1)
            return
        self.engine.is_silent = self.engine.falls_silent
        self._answer({})

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Answer a request once the engine may."""
        engine = self.engine
        self.rfile.read(int(self.headers['Content-Length']))
        engine.request_count += 1
        threading.Thread(target=self._await_end, daemon=True).start()
        engine.may_answer.wait(WAIT_SECONDS)
        self._answer(
            {
                'X-Request-Id': self.headers['X-Request-Id'],
                'X-Weights-Version': WEIGHTS_VERSION,
            }
        )

    def log_message(self, format, *args):
        """Log nothing."""

    def _await_end(self):
        with contextlib.suppress(OSError):
            self.connection.recv(1)
        self.engine.was_left.set()

    def _answer(self, headers):
        self.send_response(200)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header('Content-Length', '0')
        self.end_headers()


class Attempt:
    """An attempt of which nothing is accounted for.

    Attributes:
        endpoint: the ``Endpoint``.
        errors: errors with which it has failed.
    """

    def __init__(self, endpoint):
        self.endpoint = endpoint
        self.errors = []

    def note_connected(self):
        """See ``EngineAttempt``."""

    def finish(self):
        """See ``EngineAttempt``."""

    def fail(self, error):
        """See ``EngineAttempt``."""
        self.errors.append(error)


class Request:
    """A request whose first engine is silent.

    Attributes:
        other_attempts: the attempts at other engines.
    """

    def __init__(self, first, others):
        self.other_attempts = []
        self._first = first
        self._others = others
        context = types.SimpleNamespace(
            hang_detector=hang_detector.HangDetector(
                circuit_breakers.CircuitBreakers()
            ),
            engine_liveness=engine_liveness.EngineLiveness(),
        )
        trace = types.SimpleNamespace(
            span=lambda *_, **__: contextlib.nullcontext()
        )
        self._opener = response_opener.ResponseOpener(
            context, types.SimpleNamespace(trace=trace), _build_request
        )

    def open(self):
        """Return the id of the engine that has begun to answer."""
        now = clocks.now()
        attempt, response = self._opener.open(
            Attempt(self._first.endpoint),
            response_opener.ResponseWait(now + WAIT_SECONDS, now),
            self._find_other,
        )
        response.close()
        return attempt.endpoint.id

    def look(self):
        """Return the ``SentAttempt`` of an engine that has begun to answer."""
        wait = response_opener.ResponseWait(clocks.now() + WAIT_SECONDS)
        return self._opener.look(lambda: False, wait, self._find_other)

    def _find_other(self, find_awake):
        tried = [attempt.endpoint for attempt in self.other_attempts]
        endpoint = find_awake(
            [
                engine.endpoint
                for engine in self._others
                if engine.endpoint not in tried
            ]
        )
        if endpoint is None:
            return None
        self.other_attempts.append(Attempt(endpoint))
        return self.other_attempts[-1]


def _build_request(_endpoint, seconds, _last_event_id):
    return upstream.UpstreamRequest(
        'POST',
        '/v1/chat/completions',
        {'X-Request-Id': 'r1'},
        b'{}',
        'r1',
        True,
        seconds,
        WAIT_SECONDS,
    )
