"""Tests of the link server, over the loopback interface."""

import socket
import threading

from carobwood import addresses
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import link
from carobwood_daemon.membership import link_server
import pytest

SECRET = b'secret of the fleet'
TIMEOUT_SECONDS = 10.0


class Handler:
    """Lends what is asked for; a call for 0 tokens waits for a release.

    Attributes:
        is_waiting: set once a call waits.
        is_released: lets waiting calls end.
    """

    def __init__(self):
        self.is_waiting = threading.Event()
        self.is_released = threading.Event()

    def lend_tokens(self, request):
        """Lend tokens; see ``FleetHandler``."""
        if not request.tokens:
            self.is_waiting.set()
            self.is_released.wait(TIMEOUT_SECONDS)
        if request.tokens < 0:
            raise ValueError('negative')
        return ttypes.LendReply(request.tokens)


@pytest.fixture
def handler():
    return Handler()


@pytest.fixture
def server(handler):
    running = link_server.LinkServer(
        addresses.Address('127.0.0.1', 0), SECRET, handler
    )
    running.start()
    yield running
    handler.is_released.set()
    running.stop()


def _link(server, secret=SECRET):
    return link.Link(addresses.Address('127.0.0.1', server.port), secret)


def _lend(caller, tokens):
    request = ttypes.LendRequest('bole', tokens)
    return caller.call('lend_tokens', request, TIMEOUT_SECONDS).tokens


def _thread_count():
    return sum(t.name.startswith('link') for t in threading.enumerate())


def test_a_connection_serves_one_call_after_the_other(server):
    caller = _link(server)
    assert [_lend(caller, n) for n in (1.0, 2.0, 3.0)] == [1.0, 2.0, 3.0]


def test_idle_connections_take_no_threads(server):
    callers = [_link(server) for _ in range(100)]
    for caller in callers:
        assert _lend(caller, 1.0) == 1.0
    # The selector's thread, and workers for calls that overlapped.
    assert _thread_count() < 10
    for caller in callers:
        caller.close()


def test_a_call_that_waits_does_not_delay_others(server, handler):
    waiting = threading.Thread(target=lambda: _lend(_link(server), 0.0))
    waiting.start()
    assert handler.is_waiting.wait(TIMEOUT_SECONDS)
    assert _lend(_link(server), 5.0) == 5.0
    handler.is_released.set()
    waiting.join(TIMEOUT_SECONDS)
    assert not waiting.is_alive()


def test_a_caller_with_another_secret_is_refused(server):
    with pytest.raises((errors.LinkFailed, errors.LinkRefused)):
        _lend(_link(server, b'another secret'), 1.0)
    assert _lend(_link(server), 1.0) == 1.0


def test_bytes_that_are_no_call_end_only_their_connection(server):
    address = ('127.0.0.1', server.port)
    with socket.create_connection(address, TIMEOUT_SECONDS) as connection:
        connection.sendall(b'GET / HTTP/1.1\r\n\r\n' * 10)
        connection.settimeout(TIMEOUT_SECONDS)
        try:
            while connection.recv(4096):
                pass
        except ConnectionError:
            pass
    assert _lend(_link(server), 1.0) == 1.0


def test_a_fault_of_a_handler_is_an_error_for_its_caller_only(server):
    with pytest.raises(errors.LinkFailed):
        _lend(_link(server), -1.0)
    assert _lend(_link(server), 1.0) == 1.0
