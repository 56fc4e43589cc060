"""The command ``carobwood explain`` beside real processes."""

import json
import pathlib
import subprocess
import sys

import control_processes
import fake_endpoint
import pytest
import relay_builders as builders
import relay_test_fleet

from carobwood_platform import settings

SECRET_FILE = pathlib.Path(control_processes.ROOT, 'deploy/link-secret')
TIMEOUT_SECONDS = 30


@pytest.fixture(scope='module')
def endpoint():
    """Yield an endpoint that is stopped at the end."""
    started = fake_endpoint.FakeEngine('orders-0', 'orders')
    yield started
    started.stop()


@pytest.fixture(scope='module')
def fleet(tmp_path_factory, endpoint):
    """Yield processes whose entry VM serves the endpoint."""
    folder = tmp_path_factory.mktemp('fleet')
    with control_processes.ProcessFleet(folder, 3) as started:
        _configure(started, endpoint)
        relay_test_fleet.await_reply(
            lambda: _ask(started.entry_vm),
            lambda reply: reply.status == 200,
        )
        yield started


def _configure(fleet, endpoint):
    address = fleet.control_vms[0].fields['listen']['control']
    host, _, port = address.partition(':')
    for path, body in (
        ('/v1/config', builders.configuration_body()),
        (
            f'/v1/instances/{endpoint.name}',
            json.dumps(endpoint.announcement()).encode(),
        ),
    ):
        relay_test_fleet.await_reply(
            lambda path=path, body=body: relay_test_fleet.ask(
                int(port), 'PUT', path, body, host=host
            ),
            lambda reply: reply.status == 200,
        )


def _ask(vm):
    host, _, port = vm.fields['listen']['front'].partition(':')
    return relay_test_fleet.ask(
        int(port),
        'POST',
        '/orders/whole',
        b'x',
        relay_test_fleet.caller_headers(),
        host=host,
    )


def _metrics_address(vm):
    port = vm.fields['port_range'][0] + settings.METRICS_PORT_OFFSET
    return f'{vm.fields["ip"]}:{port}'


def _run(vm, *arguments, path='/orders/whole', address=None):
    return subprocess.run(
        [
            sys.executable,
            '-m',
            'carobwood_client',
            'explain',
            f'--vm={address or _metrics_address(vm)}',
            f'--secret-file={SECRET_FILE}',
            builders.HOST,
            path,
            *arguments,
        ],
        capture_output=True,
        text=True,
        timeout=TIMEOUT_SECONDS,
    )


@pytest.fixture
def key_file(tmp_path):
    """Return the path of a file with the caller's key."""
    path = tmp_path / 'key'
    path.write_text(builders.KEY)
    return path


def test_it_tells_the_endpoint_and_sends_nothing(fleet, endpoint, key_file):
    endpoint.requests.clear()
    done = _run(fleet.entry_vm, f'--key-file={key_file}', '--json')
    assert done.returncode == 0, done.stderr
    fields = json.loads(done.stdout)
    assert fields['vm_id'] == 'front-0'
    assert fields['customer'] == 'bole'
    assert fields['quota']['verdict'] == 'within-rate'
    assert fields['services'][0]['decision'] == 'send'
    assert fields['services'][0]['endpoint_id'] == 'orders-0'
    assert endpoint.requests == []


def test_the_table_and_the_log_hold_no_key(fleet, key_file):
    done = _run(fleet.entry_vm, f'--key-file={key_file}')
    assert done.returncode == 0, done.stderr
    assert 'service orders, share 1: send (orders-0)' in done.stdout
    assert 'ENDPOINT ID' in done.stdout
    assert builders.KEY not in done.stdout
    assert builders.KEY not in json.dumps(fleet.entry_vm.read_log())


@pytest.mark.parametrize(
    ('arguments', 'path', 'code'),
    [
        (['--customer=bole'], '/unknown/x', 'route_not_found'),
        ([f'--key-file={SECRET_FILE}'], '/orders/whole', 'key_refused'),
        ([], '/orders/whole', 'key_refused'),
    ],
)
def test_what_is_unknown_is_named(fleet, arguments, path, code):
    done = _run(fleet.entry_vm, *arguments, path=path)
    assert done.returncode == 1
    assert f'carobwood: {code}: ' in done.stderr


def test_a_vm_that_takes_no_callers_says_so(fleet):
    done = _run(fleet.control_vms[0], '--customer=bole')
    assert done.returncode == 1
    assert 'carobwood: not_found: this VM takes no callers' in done.stderr


def test_a_vm_that_cannot_be_reached_is_named(fleet):
    # The control VMs' addresses have no listener on the port for callers.
    _, _, port = fleet.entry_vm.fields['listen']['front'].partition(':')
    address = f'{fleet.control_vms[0].fields["ip"]}:{port}'
    done = _run(fleet.entry_vm, '--customer=bole', address=address)
    assert done.returncode == 6
    assert f'carobwood: unreachable: {address}' in done.stderr
