"""Tests of what a VM keeps of requests that have ended."""

import gc
import http.client
import threading

from carobwood_daemon.relay import admission
import cut_off_vm
import pytest
import relay_test_fleet

BODY = b'a body that no other request has'
# Paths by how their request ends; see ``FakeEngine``.
PATHS_BY_END = {
    'answered': '/orders/whole',
    'streamed': '/checks/x',
    'resumed': '/captions/reset-after-2',
    'interrupted': '/checks/reset-after-2',
    'failed': '/orders/unsigned',
    'not-run': '/orders/full',
}
POLL_SECONDS = 0.05
MAX_POLLS = 100


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Yield a fleet."""
    test_fleet = relay_test_fleet.RelayTestFleet(
        tmp_path_factory.mktemp('fleet')
    )
    yield test_fleet
    test_fleet.stop()


@pytest.fixture
def no_collection():
    """Keep the garbage collector from running."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


def _ask(test_fleet, number, path):
    try:
        test_fleet.fleet.ask(
            path, BODY, number, X_Carobwood_Deadline_Ms='1500'
        )
    except (OSError, http.client.HTTPException):
        # The response was interrupted, as the path says.
        pass


def _ask_served(test_fleet, number, path):
    """Send a request that has to reach an endpoint."""
    test_fleet.clear_requests()
    _ask(test_fleet, number, path)
    endpoints = (*test_fleet.engines, test_fleet.plain_endpoint)
    assert any(endpoint.requests for endpoint in endpoints)


def _kept_requests():
    return [
        thing
        for thing in gc.get_objects()
        if type(thing) is admission.AdmittedRequest and thing.body == BODY
    ]


def _await_none_kept():
    never_set = threading.Event()
    for _ in range(MAX_POLLS):
        if not _kept_requests():
            return True
        never_set.wait(POLL_SECONDS)
    return False


# Bodies of ended requests stayed in memory until the garbage collector came.
@pytest.mark.parametrize('end', PATHS_BY_END)
def test_a_finished_request_does_not_wait_for_the_garbage_collector(
    fleet, no_collection, end
):
    _ask_served(fleet, 1, PATHS_BY_END[end])
    assert _await_none_kept()


# The VM that another one had forwarded a request to kept its body as well.
def test_a_forwarded_request_does_not_wait_for_the_garbage_collector(
    fleet, no_collection
):
    with cut_off_vm.cut_off(fleet, 0):
        # It does not know yet that it reaches no endpoint.
        _ask(fleet, 0, PATHS_BY_END['answered'])
        assert _await_none_kept()
        relay_test_fleet.await_reply(
            lambda: fleet.fleet.ask(PATHS_BY_END['answered']),
            lambda reply: reply.status == 200,
        )
        _ask_served(fleet, 0, PATHS_BY_END['answered'])
        assert _await_none_kept()
