"""Tests of the pool that shares endpoints' limits, on raw sockets."""

import gc
import random
import socket

import accepting_endpoint
from carobwood import errors
from carobwood_daemon.observe import metrics
from carobwood_daemon.relay import connection_shares
from carobwood_daemon.relay import shared_connection_pool
import fake_endpoint
import pytest


class OpenEndpoint(accepting_endpoint.AcceptingEndpoint):
    """Keeps connections open, or resets them at once.

    Attributes:
        resets: whether it resets new connections.
    """

    resets = False

    def serve(self, connection):
        """Reset a connection, or keep it until the peer closes it."""
        if self.resets:
            connection.setsockopt(
                socket.SOL_SOCKET,
                socket.SO_LINGER,
                fake_endpoint.RESET_ON_CLOSE,
            )
        else:
            connection.recv(1)
        connection.close()


@pytest.fixture
def endpoint():
    """Yield an endpoint that accepts connections."""
    server = OpenEndpoint()
    yield server
    server.stop()


def _pool(endpoint, limit=20, vm_count=3):
    shares = connection_shares.ConnectionShares(
        lambda: {
            endpoint.address: connection_shares.EndpointLimit(limit, 'engine')
        },
        lambda: vm_count,
        rng=random.Random(1),
    )
    shares.refresh()
    recorder = metrics.PrometheusMetrics()
    return shared_connection_pool.SharedConnectionPool(shares, recorder), (
        recorder
    )


def _acquire(pool, endpoint, count, may_reuse=True):
    return [pool.acquire(endpoint.address, may_reuse) for _ in range(count)]


def test_an_endpoint_is_full_while_the_share_is_in_use(endpoint):
    pool, _ = _pool(endpoint)
    connections = _acquire(pool, endpoint, 5)
    assert pool.full_addresses() == {endpoint.address}
    connections[0].close()
    assert not pool.full_addresses()


def test_a_connection_that_is_dropped_without_a_close_is_not_in_use(endpoint):
    pool, _ = _pool(endpoint)
    connections = _acquire(pool, endpoint, 5)
    assert pool.full_addresses()
    connections.clear()
    gc.collect()
    assert not pool.full_addresses()


def test_no_more_are_kept_than_requests_reuse_at_a_time(endpoint):
    pool, _ = _pool(endpoint)
    connections = _acquire(pool, endpoint, 4, may_reuse=False)
    for connection in connections:
        pool.release(endpoint.address, connection, None)
    assert sum(not connection.is_closed for connection in connections) == 1
    assert pool.acquire(endpoint.address) is connections[-1]


def test_an_idle_connection_gives_way_to_one_that_must_be_new(endpoint):
    pool, _ = _pool(endpoint, limit=20, vm_count=6)
    first, second = _acquire(pool, endpoint, 2)
    pool.release(endpoint.address, first, None)
    pool.acquire(endpoint.address, may_reuse=False)
    assert first.is_closed
    assert not second.is_closed


def test_a_connection_that_is_reset_at_once_has_sent_nothing(
    monkeypatch, endpoint
):
    # The reset comes in this time also beside load.
    monkeypatch.setattr(shared_connection_pool, 'WATCH_SECONDS', 5.0)
    pool, recorder = _pool(endpoint)
    kept = pool.acquire(endpoint.address)
    pool.release(endpoint.address, kept, None)
    pool.note_reset(endpoint.address)
    assert kept.is_closed
    assert pool.seconds_until_open(endpoint.address)
    endpoint.resets = True
    with pytest.raises(errors.EndpointUnreachable) as raised:
        pool.acquire(endpoint.address, may_reuse=False)
    assert raised.value.is_reset
    assert raised.value.outcome is errors.Outcome.NOT_RUN
    assert b'connections.reset"} 2.0' in recorder.text()


def test_a_refused_connection_is_no_reset():
    server = OpenEndpoint()
    pool, _ = _pool(server)
    server.stop()
    with pytest.raises(errors.EndpointUnreachable) as raised:
        pool.acquire(server.address)
    assert not raised.value.is_reset
    assert not pool.seconds_until_open(server.address)


def test_open_connections_are_counted_by_the_kind_of_endpoint(endpoint):
    pool, recorder = _pool(endpoint)
    connections = _acquire(pool, endpoint, 3)
    pool.release(endpoint.address, connections[0], None)
    pool.close_expired()
    assert b'connections.open.engine"} 3.0' in recorder.text()
    for connection in connections:
        connection.close()
    pool.close_idle(endpoint.address)
    pool.close_expired()
    assert b'connections.open.engine"} 0.0' in recorder.text()
