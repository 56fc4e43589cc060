"""Silence of a sound endpoint while a request is sent or an answer comes."""

import contextlib

from carobwood_daemon.relay import user_timeout
import cut_off_vm
import pausing_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet

DEADLINE_MS = '15000'
# Blocks its sender if the endpoint does not read it.
LARGE_BODY = b'x' * 4_000_000
# Fits into the buffers of both sides, but not into those of the endpoint.
MIDDLE_BODY = b'x' * 400_000
# Longer than what a write or a read of a head was given.
PAUSE_MS = 1500
# Longer than what the system may leave unacknowledged.
LONG_PAUSE_MS = user_timeout.IN_USE_MS + 500
ROUTES = ['orders', 'lookups']
ANSWER_PLACES = [p for p in pausing_endpoint.PLACES if p != 'unread']


@pytest.fixture(scope='module')
def endpoint():
    """Return the endpoint that is silent now and then."""
    return pausing_endpoint.PausingEndpoint()


@pytest.fixture(scope='module')
def _fleet(tmp_path_factory, endpoint):
    folder = tmp_path_factory.mktemp('fleet')
    with relay_test_fleet.RelayTestFleet(folder) as fleet:
        routes = builders.configuration_fields()['routes']
        for route in routes:
            route['timeout_ms'] = 15_000
        assert fleet.configure(2, routes=routes).status == 200
        fleet.plain_endpoint.stop()
        fleet.plain_endpoint = endpoint
        fleet.announce(endpoint, 1000)
        fleet.keep_announcing()
        for number in range(2):
            _await_answer(fleet, number)
        yield fleet


@pytest.fixture(params=[1, 0], ids=['direct', 'forwarded'])
def ask(request, _fleet, endpoint):
    """Return a function that sends a request to an entry VM.

    Entry VM 1 takes it, and VM 0, which reaches no endpoint, passes it on.
    """
    number = request.param
    with contextlib.ExitStack() as stack:
        if number == 0:
            stack.enter_context(cut_off_vm.cut_off(_fleet, 0))
            # Two endpoints that it can't reach make it try all.
            relay_test_fleet.await_reply(
                lambda: _ask(_fleet, 0, 'checks/x'),
                lambda reply: reply.status == 200,
            )
        _await_answer(_fleet, number)
        endpoint.runs = 0
        yield lambda path, body=b'prompt': _ask(_fleet, number, path, body)


def _await_answer(fleet, number):
    relay_test_fleet.await_reply(
        lambda: _ask(fleet, number, 'lookups/chunk-0'),
        lambda reply: reply.body == b'whole',
    )


def _ask(fleet, number, path, body=b'prompt'):
    return fleet.fleet.ask(
        f'/{path}', body, number=number, X_Carobwood_Deadline_Ms=DEADLINE_MS
    )


# The write of the body ended the request, and one that must not run twice
# could not be sent again.
@pytest.mark.parametrize('route', ROUTES)
def test_a_body_that_is_not_read_for_a_while_is_sent(ask, endpoint, route):
    reply = ask(f'{route}/unread-{PAUSE_MS}', LARGE_BODY)
    assert (reply.status, reply.body) == (200, b'whole')
    assert endpoint.runs == 1


# The system of the endpoint answered the probes of its closed window, and the
# connection was ended all the same.
@pytest.mark.parametrize('body', [LARGE_BODY, MIDDLE_BODY])
def test_a_body_that_is_not_read_for_long_is_sent(ask, endpoint, body):
    reply = ask(f'orders/unread-{LONG_PAUSE_MS}', body)
    assert (reply.status, reply.body) == (200, b'whole')
    assert endpoint.runs == 1


# A read of a head that had come in part ended the request.
@pytest.mark.parametrize('place', ANSWER_PLACES)
@pytest.mark.parametrize('route', ROUTES)
def test_an_answer_that_pauses_for_a_while_is_passed_on(
    ask, endpoint, route, place
):
    reply = ask(f'{route}/{place}-{PAUSE_MS}')
    assert (reply.status, reply.body) == (200, b'whole')
    assert endpoint.runs == 1


@pytest.fixture
def other_endpoint(_fleet):
    """Return a second endpoint of the service."""
    endpoint = pausing_endpoint.PausingEndpoint('orders-1')
    _fleet.announce(endpoint, 1000)
    relay_test_fleet.await_reply(
        lambda: _ask(_fleet, 1, 'lookups/chunk-0') and endpoint.runs,
        lambda runs: runs,
    )
    endpoint.runs = 0
    yield endpoint
    _fleet.announce(endpoint, 2000, 'draining')
    endpoint.stop()


# Waiting for a silent endpoint must not hold a request that another one could
# run.
def test_another_endpoint_goes_on_with_a_request_that_may_repeat(
    _fleet, endpoint, other_endpoint
):
    for place in ('unread', 'headers'):
        for silent in (endpoint, other_endpoint):
            reply = _ask(
                _fleet, 1, f'lookups/{place}-600000@{silent.name}', LARGE_BODY
            )
            assert (reply.status, reply.body) == (200, b'whole')
