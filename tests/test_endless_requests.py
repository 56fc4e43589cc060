"""Tests of requests to a VM's listeners that never end or are many."""

import itertools
import json
import pathlib
import select
import threading

import control_processes
import endless_caller
import endless_endpoint
import fake_endpoint
import pytest
import relay_test_fleet

from carobwood import addresses
from carobwood import clocks
from carobwood_daemon.limits import buffer_budget
from carobwood_daemon.relay import gateway
from carobwood_daemon.relay import http_server

MEGABYTE = endless_endpoint.MEGABYTE
MEMORY_LIMIT_MEGABYTES = 150
# Together more than a VM with this limit can keep.
ENDLESS_BYTES = 64 * MEGABYTE
# Wait for the end of each.
ENDLESS_SECONDS = 10.0
# Callers that send this much of a body that the configuration allows.
WAITING_CALLERS = 100
SENT_BYTES = 3_900_000
# Pause before each byte of a slow request.
PAUSE_SECONDS = 0.05
LARGE_BYTES = 4 * MEGABYTE
LISTENERS = ('callers', 'other VMs', 'readiness', 'metrics', 'control API')
LINK_SECRET = pathlib.Path(control_processes.ROOT, 'deploy/link-secret')


def _limit_memory(fleet):
    for vm in (*fleet.control_vms, fleet.entry_vm):
        vm.fields['limits'] = {'memory_mb': MEMORY_LIMIT_MEGABYTES}


@pytest.fixture(scope='module')
def unconfigured(tmp_path_factory):
    """Run a control VM and an entry VM without a configuration."""
    folder = tmp_path_factory.mktemp('unconfigured')
    fleet = control_processes.ProcessFleet(folder, control_vm_count=1)
    _limit_memory(fleet)
    with fleet:
        for target in _targets(fleet).values():
            relay_test_fleet.await_reply(
                target.ask, lambda reply: reply.status
            )
        yield fleet


def _targets(fleet, seconds=5.0):
    secret = LINK_SECRET.read_bytes().strip()
    return endless_caller.listeners_of(fleet, secret, seconds)


def _process_of(fleet, listener):
    vm = fleet.control_vms[0] if listener == 'control API' else fleet.entry_vm
    return vm.process


@pytest.mark.parametrize('listener', LISTENERS)
def test_a_request_without_end_to_a_listener_without_limits(
    unconfigured, listener
):
    """Before the first configuration, no limit of it is known."""
    target = _targets(unconfigured)[listener]
    pid = _process_of(unconfigured, listener).pid
    endless_endpoint.reset_peak_memory(pid)
    callers_by_kind = {
        kind: endless_caller.EndlessCaller(target, kind, ENDLESS_BYTES)
        for kind in endless_caller.REQUESTS_BY_KIND
    }
    small = target.ask()
    ends_at = clocks.now() + ENDLESS_SECONDS
    for caller in callers_by_kind.values():
        caller.wait(max(0.0, ends_at - clocks.now()))
    peak = endless_endpoint.peak_memory_bytes(pid) // MEGABYTE
    kept = [
        kind
        for kind, caller in callers_by_kind.items()
        if not caller.has_ended
    ]
    for caller in callers_by_kind.values():
        caller.close()
    assert peak < MEMORY_LIMIT_MEGABYTES
    assert not kept
    assert small.status, 'a small request had no answer'


@pytest.fixture(scope='module')
def configured(tmp_path_factory):
    """Run VMs and an endpoint that answers; its ``ProcessFleet``."""
    folder = tmp_path_factory.mktemp('configured')
    fleet = control_processes.ProcessFleet(folder, control_vm_count=3)
    _limit_memory(fleet)
    endpoint = fake_endpoint.FakeEngine('orders-0', 'orders')
    numbers = itertools.count(1)
    fleet.announce = lambda: _announce(fleet, endpoint, next(numbers))
    with fleet:
        relay_test_fleet.await_reply(
            lambda: fleet.put_configuration(0, 1), lambda status: status == 200
        )
        _await_answer(fleet)
        yield fleet
    endpoint.stop()


def _announce(fleet, endpoint, number):
    target = _targets(fleet)['control API']
    relay_test_fleet.ask(
        target.port,
        'PUT',
        f'/v1/instances/{endpoint.name}',
        json.dumps(endpoint.announcement(number, 'ready')).encode(),
        host=target.host,
    )


def _await_answer(fleet):
    """Return the answer to a small request once the endpoint gives it."""
    fleet.announce()
    return relay_test_fleet.await_reply(
        _targets(fleet)['callers'].ask, lambda reply: reply.status == 200
    )


def _await_given_back(fleet):
    """Wait until nothing of others' messages is kept."""
    relay_test_fleet.await_reply(
        _targets(fleet)['metrics'].ask,
        lambda reply: b'{name="buffered_bytes"} 0.0' in reply.body,
    )


class _WaitingCaller:
    """Sends a large part of a body and waits.

    Attributes:
        answer: what it has received once ``has_sent``.
        has_sent: whether the part is sent or the connection has ended.
    """

    def __init__(self, target):
        self.has_sent = threading.Event()
        self.connection = target.connect()
        self._start = target.start_with(endless_caller.WAITING)
        threading.Thread(target=self._send, daemon=True).start()

    def _send(self):
        try:
            self.connection.sendall(self._start)
            self.connection.sendall(bytes(SENT_BYTES))
        except OSError:
            pass
        self.has_sent.set()

    def read_refusal(self):
        """Return the whole answer if its beginning has come."""
        self.connection.setblocking(False)
        answer = b''
        try:
            answer = self.connection.recv(65536)
            self.connection.settimeout(relay_test_fleet.WAIT_SECONDS)
            while not answer.endswith(b'}}'):
                part = self.connection.recv(65536)
                if not part:
                    break
                answer += part
        except OSError:
            # Nothing has come, or the connection has failed.
            pass
        return answer


def _await_any_input(callers):
    poller = select.poll()
    for caller in callers:
        poller.register(caller.connection, select.POLLIN)
    assert poller.poll(1000 * relay_test_fleet.WAIT_SECONDS)


@pytest.mark.parametrize('listener', ('callers', 'other VMs', 'control API'))
def test_many_callers_that_send_most_of_a_large_body_and_wait(
    configured, listener
):
    """Each body is within its limit; all of them are not."""
    target = _targets(configured)[listener]
    pid = _process_of(configured, listener).pid
    _await_answer(configured)
    endless_endpoint.reset_peak_memory(pid)
    callers = [_WaitingCaller(target) for _ in range(WAITING_CALLERS)]
    for caller in callers:
        caller.has_sent.wait(relay_test_fleet.WAIT_SECONDS)
    small = _await_answer(configured)
    _await_any_input(callers)
    peak = endless_endpoint.peak_memory_bytes(pid) // MEGABYTE
    refusals = [caller.read_refusal() for caller in callers]
    for caller in callers:
        caller.connection.close()
    assert peak < MEMORY_LIMIT_MEGABYTES
    assert small.status == 200
    assert all(b'not-run' in refusal for refusal in refusals if refusal)
    full = [
        refusal for refusal in refusals if refusal.startswith(b'HTTP/1.1 503 ')
    ]
    assert full
    for refusal in full:
        assert b'retry-after: 1\r\n' in refusal.lower()
        assert b'"outcome": "not-run"' in refusal
    _await_given_back(configured)


@pytest.mark.parametrize('listener', ('callers', 'other VMs'))
def test_bodies_that_come_byte_by_byte_are_refused_at_their_deadline(
    configured, listener
):
    """The timeout of each read is far longer."""
    target = _targets(configured, seconds=1.0)[listener]
    callers_by_kind = {
        kind: endless_caller.EndlessCaller(
            target, kind, ENDLESS_BYTES, PAUSE_SECONDS
        )
        for kind in endless_caller.BODY_KINDS
    }
    assert _await_answer(configured).status == 200
    for kind, caller in callers_by_kind.items():
        caller.wait_for_answer()
        assert b'"outcome": "not-run"' in caller.answer, kind
        caller.close()


def _echo(request):
    return gateway.ApiResponse(200, 'OK', request.body)


@pytest.fixture
def budget():
    """Return a budget that takes one large body."""
    return buffer_budget.BufferBudget(LARGE_BYTES)


@pytest.fixture
def listener(budget, monkeypatch):
    """Run a listener of an API in this process, with a short timeout."""
    monkeypatch.setattr(http_server, 'SOCKET_TIMEOUT_SECONDS', 1.0)
    server = http_server.HttpServer(
        addresses.Address('127.0.0.1', 0),
        gateway.make_api_gateway(_echo),
        2 * len(endless_caller.REQUESTS_BY_KIND),
        buffers=budget,
    )
    server.start()
    yield endless_caller.Target('127.0.0.1', server.port, 'POST', '/', {})
    server.stop()


def test_a_request_that_comes_byte_by_byte_holds_a_worker_for_a_time(
    listener,
):
    callers_by_kind = {
        kind: endless_caller.EndlessCaller(
            listener, kind, ENDLESS_BYTES, PAUSE_SECONDS
        )
        for kind in endless_caller.REQUESTS_BY_KIND
    }
    assert listener.ask(b'small').body == b'small'
    for kind, caller in callers_by_kind.items():
        caller.wait_for_answer()
        assert b'not-run' in caller.answer, kind
        caller.close()


def test_the_memory_of_a_body_is_given_back_after_its_answer(listener, budget):
    large = bytes(LARGE_BYTES)
    for _ in range(3):
        assert listener.ask(large).body == large
        relay_test_fleet.await_reply(
            lambda: budget.used_bytes, lambda used_bytes: not used_bytes
        )
