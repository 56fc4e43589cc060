"""Fleets of tests that fail in their own start, and what they leave."""

import socket

from carobwood import timer
from carobwood_daemon.membership import gossip
from carobwood_daemon.membership import link_server
from carobwood_daemon.membership import state_poller
from carobwood_daemon.relay import http_server
from carobwood_daemon import relay_vm
from carobwood_daemon.replication import proposer
import control_processes
import fake_endpoint
import pytest
import relay_test_fleet

VM_COUNT = 5
# A step that fails, and as which of its calls.
FAILING_STEPS = [
    (relay_vm.RelayVm, 'start', VM_COUNT),
    (relay_test_fleet.RelayTestFleet, 'configure', 1),
    (relay_test_fleet.RelayTestFleet, 'announce', 2),
]
# Steps of the start of a VM, in their order.
VM_STEPS = [
    timer.Timer,
    proposer.Proposer,
    link_server.LinkServer,
    gossip.Gossip,
    state_poller.StatePoller,
    http_server.HttpServer,
]


class _SetupFailed(Exception):
    """A step of the start fails in this test."""


class _Started:
    """Keeps what the classes of tests start.

    Attributes:
        vms: the VMs.
        ports: ports of the VMs for callers and operators.
        endpoints: the endpoints.
    """

    def __init__(self, monkeypatch):
        self.vms = []
        self.ports = []
        self.endpoints = []
        self._keep(monkeypatch, relay_vm.RelayVm, self._add_vm)
        self._keep(
            monkeypatch, fake_endpoint.FakeEngine, self.endpoints.append
        )

    def _keep(self, monkeypatch, kept_class, add):
        create = kept_class.__init__

        def create_and_add(self, *arguments):
            create(self, *arguments)
            add(self)

        monkeypatch.setattr(kept_class, '__init__', create_and_add)

    def _add_vm(self, vm):
        self.vms.append(vm)
        self.ports += [
            listen.port
            for listen in (
                vm._settings.caller_listen,
                vm._settings.control_listen,
                vm._settings.link_listen,
                vm._settings.ready_listen,
                vm._settings.forward_listen,
            )
            if listen is not None
        ]


def _is_refused(port):
    try:
        with socket.create_connection(('127.0.0.1', port)):
            return False
    except ConnectionRefusedError:
        return True


# The VMs ran on beside all tests that followed.
@pytest.mark.parametrize('owner, step, count', FAILING_STEPS)
def test_a_fleet_that_fails_in_its_start_leaves_nothing_behind(
    tmp_path, monkeypatch, owner, step, count
):
    started = _Started(monkeypatch)
    take_step = getattr(owner, step)
    steps = []

    def fail_late(self, *arguments):
        take_step(self, *arguments)
        steps.append(self)
        if len(steps) == count:
            raise _SetupFailed

    monkeypatch.setattr(owner, step, fail_late)
    with pytest.raises(_SetupFailed):
        relay_test_fleet.RelayTestFleet(tmp_path)
    assert len(started.vms) == VM_COUNT
    assert bool(started.endpoints) is (owner is not relay_vm.RelayVm)
    assert [port for port in started.ports if not _is_refused(port)] == []
    assert not any(each.is_serving for each in started.endpoints)


# A VM whose start failed in its first steps kept its link port bound, and its
# stop failed.
@pytest.mark.parametrize('part', VM_STEPS)
def test_vms_that_fail_in_their_start_leave_no_port_bound(
    tmp_path, monkeypatch, part
):
    started = _Started(monkeypatch)

    def fail(self, *arguments):
        raise _SetupFailed

    monkeypatch.setattr(part, 'start', fail)
    with pytest.raises(_SetupFailed) as failure:
        relay_test_fleet.RelayFleet(tmp_path, control_vm_count=1)
    assert len(started.vms) == 2
    assert [port for port in started.ports if not _is_refused(port)] == []
    assert not hasattr(failure.value, '__notes__'), 'the stop failed as well'


# A context manager that fails as it is entered is not left.
def test_processes_of_a_fleet_that_fails_in_its_start_are_killed(
    tmp_path, monkeypatch
):
    start = control_processes.ProcessVm.start
    started = []

    def fail_late(vm):
        if started:
            raise _SetupFailed
        started.append(vm)
        start(vm)

    monkeypatch.setattr(control_processes.ProcessVm, 'start', fail_late)
    try:
        with pytest.raises(_SetupFailed):
            with control_processes.ProcessFleet(tmp_path, 1):
                raise AssertionError('the fleet was entered')
        assert started[0].process.poll() is not None
    finally:
        for vm in started:
            vm.kill()
