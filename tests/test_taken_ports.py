"""VMs whose ports are taken as they start."""

import os
import socket
import subprocess
import sys

import control_processes
import pytest
import yaml

WAIT_SECONDS = 120.0


@pytest.fixture
def run_beside(tmp_path):
    """Return a function that runs a VM while one of its ports is taken.

    It returns the process that has ended.
    """

    def run(vm, address):
        path = tmp_path / 'settings.yaml'
        path.write_text(yaml.safe_dump(vm.fields))
        with socket.create_server(address):
            return subprocess.run(
                [sys.executable, 'platform/serve.py'],
                cwd=control_processes.ROOT,
                env={**os.environ, 'CAROBWOOD_CONFIG': str(path)},
                stdout=subprocess.PIPE,
                timeout=WAIT_SECONDS,
            )

    return run


def _address(text):
    host, _, port = text.partition(':')
    return host, int(port)


# The process lived on without serving, so that nothing started it again.
@pytest.mark.parametrize('port', ['front', 'ready', 'control', 'link'])
def test_a_vm_whose_port_is_taken_ends(tmp_path, run_beside, port):
    fleet = control_processes.ProcessFleet(tmp_path, 1)
    vm = fleet.control_vms[0] if port == 'control' else fleet.entry_vm
    address = vm.fields['ip'], vm.fields['port_range'][0]
    if port != 'link':
        address = _address(vm.fields['listen'][port])
    ended = run_beside(vm, address)
    assert ended.returncode == 1
    assert b'"start-failed"' in ended.stdout
