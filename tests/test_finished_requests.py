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
    _ask(fleet, 1, PATHS_BY_END[end])
    assert _await_none_kept()


# The VM that another one had forwarded a request to kept its body as well.
def test_a_forwarded_request_does_not_wait_for_the_garbage_collector(
    fleet, no_collection
):
    with cut_off_vm.cut_off(fleet, 0):
        _ask(fleet, 0, PATHS_BY_END['answered'])
        assert _await_none_kept()
