"""Fixtures and steps that all scenarios share."""

import os
import pathlib
import signal
import sys

import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT.parent / 'bench'))
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT.parent / 'platform'))

import builders  # noqa: E402 (needs the paths above)
import fleet as fleets  # noqa: E402 (needs the paths above)
import relay_test_fleet  # noqa: E402 (needs the paths above)

WORKER_PORTS = 5000
WORKER = int(os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw'))

# Processes of tests that run side by side must not choose the same port.
FIRST_PORT = fleets.PORTS[0] + WORKER * WORKER_PORTS
fleets.PORTS = (FIRST_PORT, FIRST_PORT + WORKER_PORTS)

DATA_CENTRES = ('bole', 'kirkos', 'arada', 'yeka')


KNOWN_RED = ROOT.parent / 'KNOWN-RED.txt'
RED_PREFIX = 'test: tests/'


def pytest_collection_modifyitems(items):
    """Run the tests that are known to be red, and pass over their failure."""
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    known = {
        line.removeprefix(RED_PREFIX)
        for line in lines
        if line.startswith(RED_PREFIX)
    }
    for item in items:
        if item.nodeid.removeprefix('tests/') in known:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True)
            )


@pytest.fixture
def world(tmp_path):
    """Give an empty ``World`` whose processes end with the scenario."""
    with builders.World(tmp_path) as empty:
        yield empty


@pytest.fixture(scope='module')
def _shared_fleet(tmp_path_factory):
    made = relay_test_fleet.RelayTestFleet(tmp_path_factory.mktemp('fleet'))
    yield made
    made.stop()


@pytest.fixture
def shared_fleet(_shared_fleet):
    """Give the relay VMs and engines that the tests of a file share."""
    _shared_fleet.clear_requests()
    return _shared_fleet


def names(text):
    """Split a list such as ``vm1 and vm2``."""
    return text.replace(',', ' ').replace(' and ', ' ').split()


@given(parsers.parse('a configured fleet of {count:d} VMs'))
def _fleet(world, count):
    centres = [DATA_CENTRES[n % len(DATA_CENTRES)] for n in range(count)]
    world.start_fleet(centres)
    world.configure()


@given(parsers.parse('a configured fleet in {centres} without disk on {vms}'))
def _fleet_in(world, centres, vms):
    world.start_fleet(names(centres), diskless=names(vms))
    world.configure()


@given(parsers.parse('engines {engines}'))
def _engines(world, engines):
    for engine in names(engines):
        world.proxied_engine(engine, token_seconds=0.01)
    world.await_endpoints(names(engines))


@given('an order service')
def _service(world):
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])


@when(parsers.parse('{vm} is killed'))
def _kill(world, vm):
    world.stop_vm(vm, signal.SIGKILL)


@when(parsers.parse('{vm} starts again'))
def _restart(world, vm):
    world.start_vm(vm)


@when(parsers.parse('the links between {left} and {right} are cut'))
def _cut(world, left, right):
    world.cut([names(left), names(right)])


@when('the links are healed')
def _heal(world):
    world.heal()


@then(parsers.parse('{vm} leads'))
def _leads(world, vm):
    fleets.wait_until(lambda: world.leader() == vm, f'{vm} to lead')


@then(parsers.parse('all VMs hold version {version:d}'))
def _hold_version(world, version):
    fleets.wait_until(
        lambda: world.versions() == dict.fromkeys(world.vms_by_id, version),
        f'version {version} everywhere',
    )


@then('no daemon has crashed a thread or a request')
def _no_crash(world):
    for vm in world.vms_by_id.values():
        assert '"thread-failed"' not in vm.log_text()
        assert '"request-crashed"' not in vm.log_text()


@then(parsers.parse('at least {count:d} engines are alive'))
def _alive(world, count):
    processes = world.stand_ins_by_id.values()
    assert sum(process.poll() is None for process in processes) >= count


@then('every stream beside it is whole')
def _whole(world):
    for stream in world.notes['streams']:
        answer = stream.result()
        assert answer.status == 200, answer.body
        assert answer.events[-1].endswith('data: [DONE]'), answer.events[-1]
        assert len(answer.words) == builders.STREAM_WORDS


@then('other requests are served')
def _others(world):
    for vm_id in world.vms_by_id:
        assert world.chat(vm_id, prompt='another menu').status == 200
