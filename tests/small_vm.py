"""A fleet of processes whose entry VM has little memory."""

import contextlib
import json

import control_processes
import relay_builders as builders
import relay_test_fleet

MEMORY_MEGABYTES = 150


@contextlib.contextmanager
def run(folder, announcements, **changes):
    """Run a fleet whose entry VM has little memory, once that is ready.

    Args:
        folder: folder of its files.
        announcements: announcements of endpoints by their names.
        **changes: see ``relay_builders.configuration_body``.
    """
    fleet = control_processes.ProcessFleet(folder, 3)
    fleet.entry_vm.fields['limits'] = {'memory_mb': MEMORY_MEGABYTES}
    with fleet:
        control = fleet.control_vms[0].fields['listen']['control']
        _put(control, '/v1/config', builders.configuration_body(**changes))
        for name, announcement in announcements.items():
            path = f'/v1/instances/{name}'
            _put(control, path, json.dumps(announcement).encode())
        _await_ready(fleet.entry_vm.fields['listen']['ready'])
        yield fleet


def _put(address, path, body):
    host, _, port = address.partition(':')
    relay_test_fleet.await_reply(
        lambda: relay_test_fleet.ask(int(port), 'PUT', path, body, host=host),
        lambda reply: reply.status in (200, 201, 202, 204),
    )


def _await_ready(address):
    # Its process may begin to listen later than the control VMs.
    host, _, port = address.partition(':')
    relay_test_fleet.await_reply(
        lambda: relay_test_fleet.ask(int(port), 'GET', '/', host=host),
        lambda reply: reply.status == 200,
    )


def entry_address(fleet):
    """Return host and port of the entry VM for callers."""
    host, _, port = fleet.entry_vm.fields['listen']['front'].partition(':')
    return host, int(port)
