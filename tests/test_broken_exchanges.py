"""Connections whose exchange ends with a fault of the VM's own, at a stop."""

import socket
import threading

from carobwood import addresses
from carobwood_daemon.relay import http_server
import pytest
import relay_test_fleet

MAX_THREADS = 4
# The body looks like a request.
BODY = b'GET /body HTTP/1.1\r\nHost: x\r\n\r\n'
REQUEST = (
    b'POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % len(BODY)
) + BODY
HALF_ANSWER = b'HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\nhalf'


class _Gateway:
    """Sends half an answer, and fails once it may.

    Attributes:
        targets: the targets of the requests.
        may_fail: event that holds the failure back until it is set.
    """

    def __init__(self):
        self.targets = []
        self.may_fail = threading.Event()
        self._parsed = None

    def __call__(self, parsed):
        """Return the handler of a request."""
        self.targets.append(parsed.uri)
        self._parsed = parsed
        return self

    def respond(self):
        """Send half an answer and fail."""
        self._parsed.sent_headers = True
        self._parsed.conn.wfile.write(HALF_ANSWER)
        self.may_fail.wait(relay_test_fleet.WAIT_SECONDS)
        raise MemoryError


@pytest.fixture
def gateway():
    """Return a ``_Gateway``."""
    return _Gateway()


@pytest.fixture
def server(gateway):
    """Yield an ``HttpServer`` whose log of faults fails as well."""

    def fail(*_, **__):
        raise MemoryError

    listener = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0), gateway, MAX_THREADS
    )
    listener._server.error_log = fail
    listener.start()
    yield listener
    gateway.may_fail.set()
    listener.stop()


def _fail_at_a_stop(server, gateway, request):
    """Return what a caller gets whose exchange fails as its VM stops."""
    with socket.create_connection(
        ('127.0.0.1', server.port), relay_test_fleet.WAIT_SECONDS
    ) as client:
        client.sendall(request)
        relay_test_fleet.await_reply(lambda: gateway.targets, bool)
        server.set_stop_seconds(relay_test_fleet.WAIT_SECONDS)
        stopping = threading.Thread(target=server.stop, daemon=True)
        stopping.start()
        relay_test_fleet.await_reply(
            lambda: server._server.ready, lambda is_ready: not is_ready
        )
        gateway.may_fail.set()
        with client.makefile('rb') as answers:
            return answers.read()


# A refusal for the next request went into the middle of an answer, whose
# caller took it for a part of the body.
@pytest.mark.filterwarnings(
    'ignore::pytest.PytestUnhandledThreadExceptionWarning'
)
def test_no_refusal_follows_an_answer_that_broke_off(server, gateway):
    request = b'GET / HTTP/1.1\r\nHost: x\r\n\r\n'
    assert _fail_at_a_stop(server, gateway, request) == HALF_ANSWER


# The rest of its body was served as a request.
@pytest.mark.filterwarnings(
    'ignore::pytest.PytestUnhandledThreadExceptionWarning'
)
def test_a_body_is_no_request_after_an_answer_that_broke_off(server, gateway):
    assert _fail_at_a_stop(server, gateway, REQUEST) == HALF_ANSWER
    assert gateway.targets == [b'/']
