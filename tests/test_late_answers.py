"""Answers that are ready before the deadline, at a VM that is held up."""

import signal
import threading

from carobwood import clocks
import fleet as fleets
import pausing_endpoint
import pytest
import relay_test_fleet
import small_vm

DEADLINE_SECONDS = 2.0
# Far beyond the end of the test.
SILENCE_MS = 600_000
# Chunks of an answer that takes more than one read.
LARGE_COUNT = 10_000


def _ask(address, path):
    host, port = address
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Deadline_Ms=str(int(1000 * DEADLINE_SECONDS))
    )
    return relay_test_fleet.ask(
        port, 'POST', path, b'prompt', headers, host=host
    )


class _HeldUpVm:
    """Stops the process of a VM while an endpoint answers it."""

    def __init__(self, process, endpoint):
        self._process = process
        self._endpoint = endpoint
        self._is_stopped = threading.Event()

    def stop(self):
        """Stop the process; the endpoint calls this before its answer."""
        self._process.send_signal(signal.SIGSTOP)
        fleets.wait_until(self._has_stopped, 'the process to be stopped')
        self._is_stopped.set()

    def _has_stopped(self):
        with open(f'/proc/{self._process.pid}/stat') as stat:
            return stat.read().rpartition(')')[2].split()[0] == 'T'

    def go_on_after(self, seconds):
        """Continue the process once the answer is sent and a time is over."""
        assert self._is_stopped.wait(relay_test_fleet.WAIT_SECONDS)
        fleets.wait_until(lambda: self._endpoint.silences, 'the answer')
        ends_at = clocks.now() + seconds
        fleets.wait_until(lambda: clocks.now() > ends_at, 'the deadline')
        self._process.send_signal(signal.SIGCONT)


@pytest.fixture
def endpoint():
    """Yield the endpoint."""
    started = pausing_endpoint.PausingEndpoint()
    yield started
    started.stop()


# It got 504, although all of its content had come before the deadline.
@pytest.mark.parametrize('chunk_count', [1, LARGE_COUNT])
def test_an_answer_that_lacks_only_its_trailer_is_delivered_late(
    tmp_path, endpoint, chunk_count
):
    announcements = {endpoint.name: endpoint.announcement()}
    with small_vm.run(tmp_path, announcements) as fleet:
        address = small_vm.entry_address(fleet)
        relay_test_fleet.await_reply(
            lambda: _ask(address, '/orders/chunk-0'),
            lambda reply: reply.body == b'whole',
        )
        held_up = _HeldUpVm(fleet.entry_vm.process, endpoint)
        endpoint.silences = 0
        endpoint.chunk_count = chunk_count
        endpoint.on_run = held_up.stop
        waker = threading.Thread(
            target=held_up.go_on_after, args=(DEADLINE_SECONDS,)
        )
        waker.start()
        reply = _ask(address, f'/orders/trailer-{SILENCE_MS}')
        waker.join()
    assert (reply.status, reply.body) == (200, chunk_count * b'whole')
