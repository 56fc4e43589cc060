"""A prompt segment that crashes each engine, over relay VMs and engines."""

import itertools

import pytest
import relay_test_fleet

CRASHING_SEGMENT = 'dd'
# Requests that may still reach engines once the VMs had time to agree.
MAX_LATER_REQUESTS = 3
LATER_REQUESTS = 12


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet whose engines crash on ``CRASHING_SEGMENT``."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    for engine in test_fleet.engines:
        engine.crashing_segment = CRASHING_SEGMENT
    yield test_fleet
    test_fleet.stop()


class Caller:
    """Sends requests that differ in all but what the test shares."""

    def __init__(self, test_fleet):
        self._test_fleet = test_fleet
        self._numbers = itertools.count(1)

    def ask(self, segments, vm_number):
        """Send a request with shared segments and one of its own.

        Returns:
            The ``Reply``.
        """
        number = next(self._numbers)
        shared = ''.join(f'{segment}:40,' for segment in segments)
        return self._test_fleet.fleet.ask(
            '/checks/x',
            body=b'prompt %d' % number,
            number=vm_number,
            X_Carobwood_Request_Id=f'r-{number}',
            X_Carobwood_Prompt_Prefix=f'{shared}f{number:x}:20',
        )

    def await_answer(self, segments, vm_number):
        """Ask until the VM gets an answer."""
        relay_test_fleet.await_reply(
            lambda: self.ask(segments, vm_number),
            lambda reply: reply.status == 200,
        )


def _crashing_requests(test_fleet):
    return [
        headers
        for headers in test_fleet.engine_requests
        if f'{CRASHING_SEGMENT}:' in headers['x-carobwood-prompt-prefix']
    ]


def _ask_until_refused(test_fleet, caller):
    """Let requests with the segment crash engines until both VMs refuse."""
    for vm_number in range(2):
        relay_test_fleet.await_reply(
            lambda: _crash_engine(test_fleet, caller, vm_number),
            lambda reply: b'request_crashes_endpoints' in reply.body,
        )


def _crash_engine(test_fleet, caller, vm_number):
    reply = caller.ask(('aa', CRASHING_SEGMENT), vm_number)
    assert reply.status != 200
    _restart_engines(test_fleet)
    # Requests that share all but the segment are answered.
    for number in range(2):
        caller.await_answer(('aa', 'ee'), number)
    return reply


def _restart_engines(test_fleet):
    for engine in test_fleet.engines:
        if not engine.is_serving:
            engine.restart()


def test_a_segment_that_crashes_engines_stops_reaching_them(fleet):
    caller = Caller(fleet)
    _ask_until_refused(fleet, caller)
    fleet.clear_requests()
    for number in range(LATER_REQUESTS):
        reply = caller.ask(('aa', CRASHING_SEGMENT), number % 2)
        assert reply.status != 200
        _restart_engines(fleet)
    assert len(_crashing_requests(fleet)) <= MAX_LATER_REQUESTS
    # A request with the segment is refused at once, without a wait.
    assert reply.status == 503
    assert int(reply.headers['retry-after']) >= 1


def test_requests_beside_a_crashing_segment_are_served(fleet):
    caller = Caller(fleet)
    _ask_until_refused(fleet, caller)
    for number in range(LATER_REQUESTS):
        caller.ask(('aa', CRASHING_SEGMENT), number % 2)
        _restart_engines(fleet)
    for vm_number in range(2):
        assert caller.ask(('aa', 'ee'), vm_number).status == 200
        assert caller.ask(('aa',), vm_number).status == 200
