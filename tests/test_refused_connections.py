"""Endpoints of carobwood's own interface that refuse connections."""

import socket
import types

import pytest

from carobwood import errors
from carobwood_daemon.entry import endpoint_failover
from carobwood_daemon.entry import upstream

DEADLINE_SECONDS = 30.0


@pytest.fixture
def refusing_address():
    """Yield an address that no process listens on."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        yield '127.0.0.1:%d' % unused.getsockname()[1]


# A refused connection counted as one that had timed out.
def test_a_refused_connection_has_not_timed_out(refusing_address):
    with pytest.raises(errors.EndpointUnreachable) as raised:
        upstream.open_connection(refusing_address)
    assert not raised.value.is_timeout


# The service was connected to without a pause for three seconds.
def test_a_service_that_refuses_connections_is_tried_once(refusing_address):
    failures = []
    breakers = types.SimpleNamespace(
        record_failure=lambda endpoint, code: failures.append(code)
    )
    endpoint = types.SimpleNamespace(address=refusing_address)
    failover = endpoint_failover.EndpointFailover(
        [endpoint], breakers, DEADLINE_SECONDS, 3
    )
    assert list(failover.connections()) == []
    assert failures == [errors.EndpointUnreachable.code]
