"""Endpoints of carobwood's own interface that refuse connections."""

import errno
import socket
import types

import pytest
import urllib3

from carobwood import errors
from carobwood_daemon.entry import connect_errors
from carobwood_daemon.entry import endpoint_failover
from carobwood_daemon.entry import upstream

DEADLINE_SECONDS = 30.0


@pytest.fixture
def refusing_address():
    """Yield an address that no process listens on."""
    with socket.socket() as unused:
        unused.bind(('127.0.0.1', 0))
        yield '127.0.0.1:%d' % unused.getsockname()[1]


def _make_failover(address, failures):
    """Return a failover that adds the codes of failures to a list."""
    breakers = types.SimpleNamespace(
        record_failure=lambda endpoint, code: failures.append(code)
    )
    endpoint = types.SimpleNamespace(address=address)
    return endpoint_failover.EndpointFailover(
        [endpoint], breakers, DEADLINE_SECONDS, 3
    )


# A refused connection counted as one that had timed out.
def test_a_refused_connection_has_not_timed_out(refusing_address):
    with pytest.raises(errors.EndpointUnreachable) as raised:
        upstream.open_connection(refusing_address)
    assert not raised.value.is_timeout


# The service was connected to without a pause for three seconds.
def test_a_service_that_refuses_connections_is_tried_once(refusing_address):
    failures = []
    failover = _make_failover(refusing_address, failures)
    assert list(failover.connections()) == []
    assert failures == [errors.EndpointUnreachable.code]


# A VM without descriptors or local ports opened the circuit breaker of each
# endpoint that it tried.
@pytest.mark.parametrize('number', [errno.EMFILE, errno.EADDRNOTAVAIL])
def test_a_lack_of_the_vm_is_no_failure_of_a_service(
    refusing_address, monkeypatch, number
):
    def refuse(connection):
        cause = OSError(number, 'refused')
        raise urllib3.exceptions.NewConnectionError(connection, '') from cause

    monkeypatch.setattr(
        upstream.urllib3_connection.HTTPConnection, 'connect', refuse
    )
    monkeypatch.setattr(connect_errors, 'has_local_port', lambda: False)
    failures = []
    failover = _make_failover(refusing_address, failures)
    assert list(failover.connections()) == []
    assert failures == []
    assert isinstance(failover.last_error, errors.DescriptorsUsedUp)
