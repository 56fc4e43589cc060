"""Suspects, which may have crashed an engine, beside a silent engine."""

import dataclasses
import http.server
import threading
import time
import types

from carobwood import errors
from carobwood_daemon.entry import engine_attempt
import pytest
import test_engine_attempt

SILENCE_SECONDS = 1.3
LOCK_TIMEOUT_SECONDS = 10.0

context = test_engine_attempt.context


class _Engine(http.server.BaseHTTPRequestHandler):
    """An engine that is silent for a while, and then healthy."""

    silent_until = 0.0

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Answer a health check once the silence has ended."""
        time.sleep(max(0.0, self.silent_until - time.monotonic()))
        self.send_response(200)
        self.send_header('Content-Length', '0')
        self.end_headers()

    def log_message(self, format, *args):
        """Log nothing."""


@pytest.fixture
def silent_engine():
    """Yield an endpoint whose engine is silent for a while."""
    _Engine.silent_until = time.monotonic() + SILENCE_SECONDS
    server = http.server.ThreadingHTTPServer(('127.0.0.1', 0), _Engine)
    server.handle_error = lambda *_: None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    address = f'127.0.0.1:{server.server_address[1]}'
    yield dataclasses.replace(test_engine_attempt.ENGINE, address=address)
    server.shutdown()
    server.server_close()


# The engine counted as dead, as it answered no health check within 0.5 s.
def test_a_silent_engine_refuses_no_suspect(context, silent_engine):
    attempt = engine_attempt.EngineAttempt(
        context, silent_engine, test_engine_attempt.PREPARED
    )
    attempt.start_exclusively(LOCK_TIMEOUT_SECONDS)
    assert context.endpoint_locks.held == 1
    assert not context.circuit_breakers.is_open(silent_engine)
    attempt.finish()
    assert context.endpoint_locks.held == 0


def _fail_attempt(context, endpoint):
    """Break the connection of an attempt; return whether it is a suspect."""
    context.gossip = types.SimpleNamespace(confirm=lambda *_: None)
    attempt = engine_attempt.EngineAttempt(
        context, endpoint, test_engine_attempt.PREPARED
    )
    attempt.start()
    attempt.note_connected()
    attempt.fail(errors.EndpointFailed('the connection was reset'))
    assert context.loads.open_requests(endpoint) == 0
    return context.crash_suspects.is_suspect(test_engine_attempt.FINGERPRINT)


# The engine counted as crashed, as it answered no health check within 0.5 s.
def test_a_broken_connection_to_a_silent_engine_is_no_strike(
    context, silent_engine
):
    assert not _fail_attempt(context, silent_engine)


def test_a_broken_connection_to_an_engine_that_stays_silent_is_a_strike(
    context, silent_engine, monkeypatch
):
    monkeypatch.setattr(engine_attempt, 'PROBE_TIMEOUT_SECONDS', 0.1)
    monkeypatch.setattr(engine_attempt, 'SILENCE_SECONDS', 0.2)
    assert _fail_attempt(context, silent_engine)
