"""Fixtures, steps and hooks that the tests share."""

import os
import pathlib
import signal
import sys

from carobwood import events
import hypothesis
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import then
from pytest_bdd import when

ROOT = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(ROOT.parent / 'bench'))
sys.path.insert(0, str(ROOT))
sys.path.insert(0, str(ROOT.parent / 'platform'))

import broken_answers  # noqa: E402 (needs the paths above)
import builders  # noqa: E402 (needs the paths above)
import fleet as fleets  # noqa: E402 (needs the paths above)
import relay_test_fleet  # noqa: E402 (needs the paths above)

PORTS_PER_WORKER = 5000
WORKER_NUMBER = int(
    os.environ.get('PYTEST_XDIST_WORKER', 'gw0').removeprefix('gw')
)

# Each pytest-xdist worker takes its ports from a range of its own, so that
# tests that run in parallel never choose the same port.
FIRST_PORT = fleets.PORT_RANGE[0] + WORKER_NUMBER * PORTS_PER_WORKER
fleets.PORT_RANGE = (FIRST_PORT, FIRST_PORT + PORTS_PER_WORKER)

DATA_CENTRES = ('bole', 'kirkos', 'arada', 'yeka')

# Property tests draw the same examples in each run, unless FRESH_SEEDS is set.
hypothesis.settings.register_profile(
    'carobwood',
    derandomize='FRESH_SEEDS' not in os.environ,
    database=None,
    deadline=None,
)
hypothesis.settings.load_profile('carobwood')

# Lists the tests that are known to fail. A line that names a test is
# KNOWN_RED_PREFIX, followed by the test id relative to tests/.
KNOWN_RED = ROOT.parent / 'KNOWN-RED.txt'
KNOWN_RED_PREFIX = 'test: tests/'


def pytest_collection_modifyitems(items):
    """Expect the tests that ``KNOWN-RED.txt`` lists to fail.

    They still run. The mark is strict, so a listed test that passes is
    reported as a failure until its line is removed.
    """
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    known_red_ids = {
        line.removeprefix(KNOWN_RED_PREFIX)
        for line in lines
        if line.startswith(KNOWN_RED_PREFIX)
    }
    for item in items:
        if item.nodeid.removeprefix('tests/') in known_red_ids:
            item.add_marker(
                pytest.mark.xfail(reason='KNOWN-RED.txt', strict=True)
            )


@pytest.fixture
def world(tmp_path):
    """Yield a ``World`` without VMs; its processes end with the scenario."""
    with builders.World(tmp_path) as new_world:
        yield new_world


@pytest.fixture(scope='module')
def relay_caller(tmp_path_factory):
    """Yield a ``RelayCaller`` of endpoints with answers of the test."""
    folder = tmp_path_factory.mktemp('fleet')
    with broken_answers.relay_caller(folder) as caller:
        yield caller


@pytest.fixture
def stand_in_vm(relay_caller, monkeypatch):
    """Yield the stand-in that the cut off VM 0 passes its requests on to."""
    pool = relay_caller.entry_vm(0)._shared.peer_pool
    connect = pool.connect
    with broken_answers.StandInVm() as vm:
        monkeypatch.setattr(
            pool, 'connect', lambda _, seconds: connect(vm.address, seconds)
        )
        pool.close_idle(
            relay_caller.entry_vm(1).directory.own_vm.forward_address
        )
        yield vm


@pytest.fixture(scope='module')
def _shared_fleet(tmp_path_factory):
    relay_fleet = relay_test_fleet.RelayTestFleet(
        tmp_path_factory.mktemp('fleet')
    )
    yield relay_fleet
    relay_fleet.stop()


@pytest.fixture
def shared_fleet(_shared_fleet):
    """Return the relay VMs and endpoints that the tests of a module share.

    The requests that the endpoints recorded in earlier tests are cleared.
    """
    _shared_fleet.clear_requests()
    return _shared_fleet


@pytest.fixture
def lines(monkeypatch):
    """Capture log lines as (event, fields) pairs."""
    captured = []
    monkeypatch.setattr(
        events,
        'emit',
        lambda event, **fields: captured.append((event, fields)),
    )
    return captured


def split_names(text):
    """Split a list of names such as ``vm1, vm2 and vm3``."""
    return text.replace(',', ' ').replace(' and ', ' ').split()


@given(parsers.parse('a configured fleet of {count:d} VMs'))
def _start_fleet(world, count):
    data_centres = [DATA_CENTRES[n % len(DATA_CENTRES)] for n in range(count)]
    world.start_fleet(data_centres)
    world.configure()


@given(
    parsers.parse('a configured fleet in {data_centres} without disk on {vms}')
)
def _start_fleet_in_data_centres(world, data_centres, vms):
    world.start_fleet(split_names(data_centres), diskless=split_names(vms))
    world.configure()


@given(parsers.parse('engines {engines}'))
def _start_engines(world, engines):
    for engine in split_names(engines):
        world.start_proxied_engine(engine, token_seconds=0.01)
    world.await_endpoints(split_names(engines))


@given('an order service')
def _start_order_service(world):
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])


@when(parsers.parse('{vm} is killed'))
def _kill_vm(world, vm):
    world.stop_vm(vm, signal.SIGKILL)


@when(parsers.parse('{vm} starts again'))
def _restart_vm(world, vm):
    world.start_vm(vm)


@when(parsers.parse('the links between {left} and {right} are cut'))
def _cut_links(world, left, right):
    world.partition([split_names(left), split_names(right)])


@when('the links are healed')
def _heal_links(world):
    world.heal()


@then(parsers.parse('{vm} leads'))
def _vm_leads(world, vm):
    fleets.wait_until(
        lambda: world.leader() == vm, f'{vm} to become the leader'
    )


@then(parsers.parse('all VMs hold version {version:d}'))
def _all_hold_version(world, version):
    fleets.wait_until(
        lambda: (
            world.document_versions()
            == dict.fromkeys(world.vms_by_id, version)
        ),
        f'all VMs to hold version {version}',
    )


@then('no daemon has crashed a thread or a request')
def _no_crash_logged(world):
    for vm in world.vms_by_id.values():
        assert '"thread-failed"' not in vm.read_log()
        assert '"request-crashed"' not in vm.read_log()


@then(parsers.parse('at least {count:d} engines are alive'))
def _engines_alive(world, count):
    processes = world.stand_ins_by_id.values()
    assert sum(process.poll() is None for process in processes) >= count


@then('every concurrent stream is complete')
def _streams_complete(world):
    for stream in world.shared_values['streams']:
        answer = stream.result()
        assert answer.status == 200, answer.body
        assert answer.events[-1].endswith('data: [DONE]'), answer.events[-1]
        assert len(answer.words) == builders.STREAM_WORDS


@then('other requests are served')
def _other_requests_served(world):
    for vm_id in world.vms_by_id:
        assert world.chat(vm_id, prompt='another menu').status == 200
