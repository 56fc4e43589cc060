"""A VM that reaches no endpoint, while the other VMs reach them."""

import pytest
import relay_test_fleet

from carobwood import errors

# Position of the first entry VM behind the three control VMs.
FIRST_ENTRY_VM = 3


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own with two entry VMs."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


@pytest.fixture
def cut_off(fleet, monkeypatch):
    """Return a function that cuts an entry VM off from all endpoints."""

    def cut(number):
        vm = fleet.fleet.vms[FIRST_ENTRY_VM + number]

        def refuse(address, timeout):
            vm.reachability.note(address, False)
            raise errors.EndpointUnreachable('cut off')

        monkeypatch.setattr(vm.pool, 'connect', refuse)
        for endpoint in (*fleet.engines, fleet.plain_endpoint):
            vm.pool.close_idle(endpoint.address)

    return cut


def _ask_until_served(fleet, path, **headers):
    """Ask VM 0 until it has noticed that it is cut off."""
    relay_test_fleet.await_reply(
        lambda: fleet.fleet.ask(path, **headers),
        lambda reply: reply.status == 200,
    )
    fleet.clear_requests()


def test_requests_are_served_through_a_vm_that_reaches_endpoints(
    fleet, cut_off
):
    cut_off(0)
    _ask_until_served(fleet, '/checks/x')
    stream = fleet.fleet.ask('/checks/x', X_Carobwood_Request_Id='r-7')
    whole = fleet.fleet.ask('/orders/whole', X_Carobwood_Request_Id='r-8')
    assert stream.status == whole.status == 200
    assert stream.body.count(b'data:') == relay_test_fleet.STREAM_EVENT_COUNT
    assert stream.headers['x-carobwood-request-id'] == 'r-7'
    assert whole.headers['x-carobwood-response-stamp'] == 'orders-0'
    assert whole.body == b'whole'
    assert len(fleet.engine_requests) == 1
    assert len(fleet.plain_endpoint.requests) == 1


def test_a_request_is_refused_at_once_if_no_vm_reaches_endpoints(
    fleet, cut_off
):
    for number in range(2):
        cut_off(number)
        relay_test_fleet.await_reply(
            lambda number=number: fleet.fleet.ask('/checks/x', number=number),
            lambda reply: reply.status == 503,
        )
    reply = fleet.fleet.ask('/checks/x')
    assert reply.status == 503
    assert b'"no_endpoint_reachable"' in reply.body
    assert int(reply.headers['retry-after']) >= 1
    assert fleet.engine_requests == []
