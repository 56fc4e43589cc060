"""Connections to endpoints for which a VM has no descriptor left."""

import errno
import json

from carobwood_daemon.entry import connect_errors
from carobwood_daemon.relay import connection_pool
from carobwood_daemon.relay import endpoint_health
import pytest
import relay_test_fleet
import urllib3

# Position of the first entry VM behind the three control VMs.
FIRST_ENTRY_VM = 3
REQUESTS = 4


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own with two entry VMs."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


def _refuse_descriptors(connection):
    cause = OSError(errno.EMFILE, 'Too many open files')
    raise urllib3.exceptions.NewConnectionError(connection, 'failed') from (
        cause
    )


# A VM without a descriptor for new connections took each endpoint for dead,
# and itself for cut off: requests were refused long after it had some again.
def test_a_vm_without_descriptors_does_not_blame_endpoints(fleet, monkeypatch):
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    with monkeypatch.context() as patch:
        patch.setattr(
            connection_pool.urllib3_connection.HTTPConnection,
            'connect',
            _refuse_descriptors,
        )
        for endpoint in (*fleet.engines, fleet.plain_endpoint):
            vm.pool.close_idle(endpoint.address)
        replies = [fleet.fleet.ask('/orders/whole') for _ in range(REQUESTS)]
        is_cut_off = vm.reachability.is_cut_off
    assert [reply.status for reply in replies] == [503] * REQUESTS
    codes = {json.loads(reply.body)['error']['code'] for reply in replies}
    assert codes == {'descriptors_used_up'}
    assert not is_cut_off
    assert fleet.fleet.ask('/orders/whole').status == 200


# A VM that had no local port left for connections to an endpoint, as many of
# its connections to it had just ended, took the endpoint for dead.
@pytest.mark.parametrize('has_port', [False, True])
def test_a_vm_without_local_ports_tries_and_blames_no_endpoint(
    fleet, monkeypatch, has_port
):
    vm = fleet.fleet.vms[FIRST_ENTRY_VM]
    connect = connection_pool.urllib3_connection.HTTPConnection.connect
    refused_ports = []

    def refuse_first(connection):
        if not refused_ports:
            refused_ports.append(connection.port)
        if connection.port != refused_ports[0]:
            return connect(connection)
        cause = OSError(errno.EADDRNOTAVAIL, 'Cannot assign')
        raise urllib3.exceptions.NewConnectionError(connection, '') from cause

    results = []
    note_unreachable = endpoint_health.EndpointHealth.note_unreachable
    with monkeypatch.context() as patch:
        patch.setattr(
            connection_pool.urllib3_connection.HTTPConnection,
            'connect',
            refuse_first,
        )
        patch.setattr(connect_errors, 'has_local_port', lambda: has_port)
        patch.setattr(
            endpoint_health.EndpointHealth,
            'note_unreachable',
            lambda health, endpoint: (
                results.append(endpoint.address),
                note_unreachable(health, endpoint),
            ),
        )
        for engine in fleet.engines:
            vm.pool.close_idle(engine.address)
        replies = [fleet.fleet.ask('/checks/x') for _ in range(REQUESTS)]
    assert [reply.status for reply in replies] == [200] * REQUESTS
    assert refused_ports
    assert bool(results) is has_port


def test_a_bound_port_is_a_local_port():
    assert connect_errors.has_local_port()


def test_idle_connections_to_endpoints_make_room_for_a_new_one(monkeypatch):
    pool = connection_pool.ConnectionPool()
    made = object()
    closed = []
    results = iter((errno.EMFILE, None))

    class Upstream:
        def is_reusable(self):
            return True

        def set_idle(self, is_idle):
            del is_idle

        def close(self):
            closed.append(self)

    def connect(address, timeout):
        del address, timeout
        number = next(results)
        if number is not None:
            raise connection_pool.errors.DescriptorsUsedUp('none is left')
        return made

    monkeypatch.setattr(connection_pool, '_connect', connect)
    pool.release('127.0.0.1:1', Upstream(), None)
    assert pool.acquire('127.0.0.1:2') is made
    assert len(closed) == 1
