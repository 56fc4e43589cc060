"""Stops of VMs whose process gets no more threads."""

import threading

import pytest
import relay_test_fleet


def _refuse(thread):
    raise RuntimeError("can't start new thread")


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own with two entry VMs."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


# A stop ended with an exception at the first thread that the system refused:
# the process neither drained nor ended, and was killed with its requests.
@pytest.mark.parametrize('number', (0, 3))
def test_a_vm_stops_although_the_system_refuses_threads(
    fleet, monkeypatch, number
):
    vm = fleet.fleet.vms[number]
    with monkeypatch.context() as patch:
        patch.setattr(threading.Thread, 'start', _refuse)
        assert vm.stop()
    ports = fleet.fleet.control_ports + fleet.fleet.entry_ports
    reply = relay_test_fleet.ask(ports[number], 'GET', '/v1/config')
    assert reply.status == 0
