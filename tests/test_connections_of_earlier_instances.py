"""Connections that were made to an earlier instance at the same address."""

import pytest

from carobwood import events
from carobwood_daemon.relay import connection_pool
import relay_builders as builders
import relay_test_fleet

ADDRESS = '127.0.0.1:1'


class _Connection:
    """A connection that may be reused.

    Attributes:
        is_closed: whether it was closed.
        is_new: see ``EndpointConnection``.
    """

    def __init__(self):
        self.is_closed = False
        self.is_new = True

    def is_reusable(self):
        """See ``EndpointConnection``."""
        return True

    def set_idle(self, is_idle):
        """See ``EndpointConnection``."""

    def close(self):
        """See ``EndpointConnection``."""
        self.is_closed = True


@pytest.fixture
def pool(monkeypatch):
    """Return a pool whose new connections reach whatever is named."""
    monkeypatch.setattr(
        connection_pool, '_connect', lambda address, timeout: _Connection()
    )
    return connection_pool.ConnectionPool()


def test_a_connection_is_reused_for_the_instance_that_it_was_made_for(pool):
    instance = builders.endpoint().instance
    kept = pool.acquire(ADDRESS, instance=instance)
    pool.release(ADDRESS, kept, None, instance)
    assert pool.acquire(ADDRESS, instance=instance) is kept


@pytest.mark.parametrize('changes', [{'name': 'other'}, {'incarnation': 2}])
def test_a_connection_is_not_reused_for_the_next_instance(pool, changes):
    first = builders.endpoint().instance
    kept = pool.acquire(ADDRESS, instance=first)
    pool.release(ADDRESS, kept, None, first)
    other = builders.endpoint(**changes).instance
    assert pool.acquire(ADDRESS, instance=other) is not kept
    assert kept.is_closed


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet whose service ``orders`` has one endpoint."""
    fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    fleet.keep_announcing()
    yield fleet
    fleet.stop()


def _known_ids(fleet):
    vms = fleet.fleet.vms[len(fleet.fleet.control_ports) :]
    return {
        endpoint.id
        for vm in vms
        for endpoint in vm.directory.serving_endpoints()
        if endpoint.pool == fleet.plain_endpoint.service
    }


# A request to an instance that had just started was reset, as it went on a
# connection to its predecessor, and used an attempt.
def test_a_request_reaches_the_next_instance_at_the_first_attempt(
    fleet, monkeypatch
):
    failures = []
    emit = events.emit

    def capture(event, **fields):
        if event is events.ATTEMPT_FAILED:
            failures.append(fields['detail'])
        emit(event, **fields)

    monkeypatch.setattr(events, 'emit', capture)
    assert fleet.fleet.ask('/lookups/whole').status == 200
    endpoint = fleet.plain_endpoint
    endpoint.name = endpoint.instance_id = f'{endpoint.name}-anew'
    endpoint.born += 1
    fleet.announce(endpoint)
    relay_test_fleet.await_reply(
        lambda: _known_ids(fleet), lambda ids: ids == {endpoint.name}
    )
    reply = fleet.fleet.ask('/lookups/whole')
    assert (reply.status, reply.body, failures) == (200, b'whole', [])
