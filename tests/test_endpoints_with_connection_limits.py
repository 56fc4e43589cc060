"""Endpoints that reset connections beyond their limit, over relay VMs."""

import concurrent.futures
import contextlib
import socket

from carobwood_daemon.relay import load_features
from carobwood_daemon.relay import shared_connection_pool
import pytest
import relay_test_fleet

# Time in which resets of the endpoints come also beside load.
WATCH_SECONDS = 0.5
FEATURES = load_features.LoadFeatures(shares_connections=True)
PARALLEL_REQUESTS = 8


@pytest.fixture
def fleet(monkeypatch, tmp_path):
    """Yield a fleet whose VMs share connections."""
    monkeypatch.setattr(shared_connection_pool, 'WATCH_SECONDS', WATCH_SECONDS)
    test_fleet = relay_test_fleet.RelayTestFleet(
        tmp_path, load_features=FEATURES
    )
    with test_fleet:
        test_fleet.keep_announcing()
        yield test_fleet


@contextlib.contextmanager
def _filled(endpoint):
    """Let an endpoint have as many connections as it accepts."""
    endpoint.max_connections = 0
    try:
        yield
    finally:
        endpoint.max_connections = None


def _ask(fleet, path, number, vm=0):
    return fleet.fleet.ask(
        path, number=vm, X_Carobwood_Request_Id=f'r-{vm}-{number}'
    )


def _close_idle(fleet, endpoint):
    """Close idle connections of all VMs, so that new ones are needed."""
    for vm in fleet.fleet.vms:
        vm.pool.close_idle(endpoint.address)


def _make_wary(fleet, endpoint):
    """Send repeatable requests until a VM has had a connection reset."""
    _close_idle(fleet, endpoint)
    numbers = iter(range(100_000))
    relay_test_fleet.await_reply(
        lambda: _ask(fleet, '/lookups/whole', f'w{next(numbers)}'),
        lambda reply: endpoint.connection_resets > 0,
    )


# A request that reached no endpoint ended as 502, and its caller could not
# send it again.
def test_requests_to_a_full_endpoint_end_as_not_run(fleet):
    endpoint = fleet.plain_endpoint
    with _filled(endpoint):
        _make_wary(fleet, endpoint)
        fleet.clear_requests()
        replies = [_ask(fleet, '/orders/whole', n) for n in range(20)]
    assert {reply.status for reply in replies} == {503}
    assert all(reply.headers['retry-after'] for reply in replies)
    assert not endpoint.requests


def test_a_full_endpoint_is_used_again_once_it_has_room(fleet):
    endpoint = fleet.plain_endpoint
    with _filled(endpoint):
        _make_wary(fleet, endpoint)
    numbers = iter(range(100_000))
    relay_test_fleet.await_reply(
        lambda: _ask(fleet, '/orders/whole', f'o{next(numbers)}'),
        lambda reply: reply.status == 200,
    )


def test_requests_go_to_another_engine_while_one_is_full(fleet):
    _ask(fleet, '/captions/x', 'first')
    [full] = [engine for engine in fleet.engines if engine.requests]
    [other] = [engine for engine in fleet.engines if engine is not full]
    _close_idle(fleet, full)
    with _filled(full):
        replies = [_ask(fleet, '/captions/x', n, vm=n % 2) for n in range(20)]
    assert full.connection_resets
    assert {reply.status for reply in replies} == {200}
    assert other.requests


def test_a_full_endpoint_is_neither_ejected_nor_cut_off(fleet):
    endpoint = fleet.plain_endpoint
    vm = fleet.fleet.vms[-2]
    with _filled(endpoint):
        _make_wary(fleet, endpoint)
        assert not vm.reachability.is_cut_off
    resets = endpoint.connection_resets
    numbers = iter(range(100_000))
    relay_test_fleet.await_reply(
        lambda: _ask(fleet, '/orders/whole', f'e{next(numbers)}'),
        lambda reply: reply.status == 200,
    )
    assert endpoint.connection_resets == resets


def test_connections_of_parallel_requests_are_within_the_limit(fleet):
    endpoint = fleet.plain_endpoint
    endpoint.max_connections = 100
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_REQUESTS) as executor:
        replies = list(
            executor.map(
                lambda n: _ask(fleet, '/orders/late-20', n, vm=n % 2),
                range(100),
            )
        )
    assert {reply.status for reply in replies} == {200}
    assert endpoint.connection_resets == 0


def test_a_listener_that_is_gone_is_no_full_endpoint(fleet):
    endpoint = fleet.plain_endpoint
    vm = fleet.fleet.vms[-2]
    endpoint.stop()
    with pytest.raises(OSError):
        socket.create_connection(('127.0.0.1', _port(endpoint)))
    reply = _ask(fleet, '/orders/whole', 1)
    assert reply.status == 503
    assert not vm.pool.seconds_until_open(endpoint.address)


def _port(endpoint):
    return int(endpoint.address.rpartition(':')[2])
