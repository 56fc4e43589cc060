"""Tests of the detection of engines that hang while requests wait."""

import socket

from carobwood_daemon.entry import hang_detector
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import circuit_breakers
import pytest

ENGINE = endpoint_table.Endpoint(
    'engine-1', 1, 1, '127.0.0.1:1', 'bole', 'engines', 'production', '1'
)


class WatchdogHarness:
    """A ``HangDetector`` with a controlled clock, and a connection."""

    def __init__(self):
        self.now = 100.0
        self.circuit_breakers = circuit_breakers.CircuitBreakers(
            lambda: self.now
        )
        self.watch = hang_detector.HangDetector(
            self.circuit_breakers, lambda: self.now
        )
        self.local_socket, self.remote_socket = socket.socketpair()

    def close(self):
        """Close both ends of the connection."""
        self.local_socket.close()
        self.remote_socket.close()


@pytest.fixture
def harness():
    created = WatchdogHarness()
    yield created
    created.close()


def test_requests_that_wait_for_a_dead_engine_are_aborted(harness):
    with harness.watch.watch(ENGINE, harness.local_socket) as pending_response:
        harness.now += hang_detector.OVERDUE_SECONDS + 0.1
        harness.watch._apply_probe_result(ENGINE, False)
        assert pending_response.is_aborted
        assert harness.remote_socket.recv(1) == b''
    assert harness.circuit_breakers.is_open(ENGINE)


def test_requests_that_wait_for_a_live_engine_go_on(harness):
    with harness.watch.watch(ENGINE, harness.local_socket) as pending_response:
        harness.now += hang_detector.OVERDUE_SECONDS + 0.1
        assert harness.watch._overdue_endpoints() == [ENGINE]
        # An engine has only one health check at a time.
        assert harness.watch._overdue_endpoints() == []
        harness.watch._apply_probe_result(ENGINE, True)
        assert not pending_response.is_aborted
        assert pending_response.last_alive_at == harness.now
    assert not harness.circuit_breakers.is_open(ENGINE)


def test_a_request_that_has_just_started_is_not_aborted(harness):
    with harness.watch.watch(ENGINE, harness.local_socket) as pending_response:
        assert harness.watch._overdue_endpoints() == []
        harness.watch._apply_probe_result(ENGINE, False)
        assert not pending_response.is_aborted
