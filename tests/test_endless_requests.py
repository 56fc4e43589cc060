"""Tests of requests to a VM's listeners that never end or are many."""

import pathlib

import control_processes
import endless_caller
import endless_endpoint
import pytest
import relay_test_fleet

from carobwood import clocks

MEGABYTE = endless_endpoint.MEGABYTE
MEMORY_LIMIT_MEGABYTES = 150
# Together more than a VM with this limit can keep.
ENDLESS_BYTES = 64 * MEGABYTE
# Wait for the end of each.
ENDLESS_SECONDS = 10.0
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


def _targets(fleet):
    secret = LINK_SECRET.read_bytes().strip()
    return endless_caller.listeners_of(fleet, secret)


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
