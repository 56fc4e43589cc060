"""Requests whose time ends before they are sent to their endpoint."""

import threading

from carobwood_daemon.relay import assignment_queue
import pytest


@pytest.fixture
def late_assignments(monkeypatch):
    """Let each request have its endpoint only once its time is over.

    That is what a VM does that gets no processor between the two steps.
    """
    await_assignment = assignment_queue.AssignmentQueue.await_assignment

    def await_late(queue, request, *arguments):
        assignment = await_assignment(queue, request, *arguments)
        while request.seconds_left > 0:
            threading.Event().wait(request.seconds_left)
        return assignment

    monkeypatch.setattr(
        assignment_queue.AssignmentQueue, 'await_assignment', await_late
    )


# The request was sent up to 12 s after its deadline: its endpoint ran it in
# vain, and its caller was told that it may have run.
@pytest.mark.parametrize('route', ['orders', 'lookups', 'checks', 'captions'])
def test_a_request_whose_time_is_over_is_not_sent(
    shared_fleet, late_assignments, route
):
    reply = shared_fleet.fleet.ask(
        f'/{route}/named', X_Carobwood_Deadline_Ms='300'
    )
    assert reply.status == 503
    endpoints = [*shared_fleet.engines, shared_fleet.plain_endpoint]
    assert [
        endpoint.requests for endpoint in endpoints if endpoint.requests
    ] == []
