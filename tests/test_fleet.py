"""Steps of the scenarios on VMs, links and endpoints."""

import shutil
import signal
import socket
import uuid

import builders
import fault_proxy
import fleet as fleets
import pytest
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from carobwood import addresses
from carobwood import errors
from carobwood_daemon.membership import link_transport

scenarios('features/fleet.feature')


def _endpoint_states(world, vm_id, endpoint_id):
    listed = world.run_client('endpoint', 'list', vm_id=vm_id)
    return [e['state'] for e in listed if e['endpoint_id'] == endpoint_id]


def _request_count(world, engine):
    counters = world.get_stand_in_json(engine, '/counters')['counters']
    return counters.get('requests', 0)


@given(parsers.parse('a spare VM {vm} with a disk'))
def _spare_vm(world, vm):
    # With a target of three voters, the spare VM stays a learner.
    world.plan_vm(vm, 'yeka', target_voters=3)
    for vm_id in ('vm1', 'vm2', 'vm3'):
        world.vms_by_id[vm_id].arguments.append('--target-voters=3')
        world.stop_vm(vm_id, signal.SIGKILL)
        world.start_vm(vm_id)
    world.start_vm(vm)
    fleets.wait_until(
        lambda: vm in (world.status('vm1') or {}).get('learners', ()),
        f'{vm} to be a learner',
    )
    world.await_ready()


@given(
    parsers.parse(
        'a configured fleet of {n:d} VMs that compact their logs often'
    )
)
def _frequently_compacting_fleet(world, n):
    world.start_fleet(('bole', 'kirkos', 'arada')[:n], snapshot_entries=100)
    world.configure()


@when(parsers.parse('{count:d} keys are issued'))
def _issue_keys(world, count):
    world.shared_values['keys'] = {world.key_id}
    for number in range(count):
        digest = f'{number:064x}'
        status, _ = world.call_operator_api(
            'vm1',
            '/v1/keys/issue',
            environment='production',
            customer=builders.CUSTOMER,
            digest=digest,
            operation_id=f'issue-{number}',
        )
        assert status == 200
        world.shared_values['keys'].add(digest[:16])
    log = world.vms_by_id['vm1'].read_log()
    assert '"snapshot-written"' in log


@then(parsers.parse('{vm} has installed a snapshot'))
def _has_installed_snapshot(world, vm):
    assert '"snapshot-installed"' in world.vms_by_id[vm].read_log()


@then('every VM has every key, also after all VMs restart at once')
def _every_vm_has_every_key(world):
    _assert_keys(world)
    for vm_id in world.vms_by_id:
        world.stop_vm(vm_id, signal.SIGKILL)
    for vm_id in world.vms_by_id:
        world.start_vm(vm_id)
    world.await_ready()
    _assert_keys(world)


def _assert_keys(world):
    for vm_id in world.vms_by_id:
        fleets.wait_until(
            lambda: (
                {
                    k['key_id']
                    for k in world.run_client('key', 'list', vm_id=vm_id)
                }
                == world.shared_values['keys']
            ),
            f'{vm_id} to have the keys',
        )


@given(parsers.parse('an engine {engine} that announces itself once'))
def _engine_announced_once(world, engine):
    port = world.start_engine(engine, operators=[])
    headers = world.operator_headers()
    headers['Authorization'] = f'Bearer {world.announce_token}'
    answer = world.http.request(
        'POST',
        f'http://{world.vms_by_id["vm1"].operator_address}/v1/announcements',
        headers=headers,
        json={
            'endpoint_id': engine,
            'incarnation': 1,
            'sequence': 1,
            'address': f'127.0.0.1:{port}',
            'data_centre': 'bole',
            'pool': 'engines',
            'weights_version': '2026-11',
        },
    )
    assert answer.status == 200
    world.await_endpoints([engine])


@when(parsers.parse('{old} is replaced by {new}'))
def _replace(world, old, new):
    world.run_client('vm', 'replace', old, new, vm_id='vm1')


@then(parsers.parse('replacing {old} by {new} is refused'))
def _refused(world, old, new):
    replace = ('vm', 'replace', old, new, '--timeout=4')
    reply = world.run_client(*replace, vm_id='vm1', code=1)
    assert reply['error']['code'] in (
        'replacement_refused',
        'quorum_unavailable',
    )


@then(parsers.parse('a change is accepted through {vm}'))
def _change_accepted(world, vm):
    operation_id = uuid.uuid4().hex

    def is_accepted():
        status, _ = world.call_operator_api(
            vm,
            '/v1/documents/apply',
            environment='production',
            text=builders.document_text(retention={'claim_seconds': 4000}),
            operation_id=operation_id,
            expected_version=1,
        )
        return status == 200

    fleets.wait_until(is_accepted, 'the change to be accepted')


@then(parsers.parse('vm1 and vm4 hold version {version:d}'))
def _vms_hold_version(world, version):
    fleets.wait_until(
        lambda: world.document_versions() == {'vm1': version, 'vm4': version},
        'the version on both VMs',
    )


@when(parsers.parse('{vm} is killed and its data folder is emptied'))
def _empty_data_folder(world, vm):
    world.shared_values['replica'] = _replica_id(world, vm)
    world.stop_vm(vm, signal.SIGKILL)
    shutil.rmtree(world.vms_by_id[vm].data_folder)


@then(parsers.parse('{vm} is a learner and its old replica a voter'))
def _is_learner(world, vm):
    def is_learner():
        status = world.status('vm1')
        return vm in status['learners'] and vm in status['voters']

    # The lost replica still counts as a voter; the new one is a learner.
    fleets.wait_until(is_learner, f'{vm} to be a learner')


@then(parsers.parse('{vm} is a voter with a new replica'))
def _is_voter(world, vm):
    status = world.status('vm1')
    assert sorted(status['voters']) == ['vm1', 'vm2', 'vm3']
    assert vm not in status['learners']
    assert _replica_id(world, vm) != world.shared_values['replica']


def _replica_id(world, vm):
    folder = world.vms_by_id[vm].data_folder
    with open(f'{folder}/identity', 'rb') as file:
        return file.read()


@when('existing links between all VMs stop delivering data but new ones work')
def _hang_existing_links(world):
    for vm_id in world.vms_by_id:
        proxy = world.proxies_by_id[vm_id]
        proxy.set_rule(
            fault_proxy.FaultRule(fault_proxy.Fault.BLACKHOLE_EXISTING)
        )
        proxy.set_rule(fault_proxy.FaultRule())


@when(parsers.parse('{engine} is stopped while it answers'))
def _stop_engine_while_answering(world, engine):
    pending = [
        world.pool.submit(world.chat, prompt=f'menu {n}', max_tokens=150)
        for n in range(6)
    ]
    fleets.wait_until(
        lambda: _request_count(world, engine), 'a request to arrive'
    )
    world.stand_ins_by_id[engine].send_signal(signal.SIGTERM)
    world.shared_values['answers'] = pending


@then('its answers are complete')
def _answers_are_complete(world):
    for pending in world.shared_values['answers']:
        assert pending.result().events[-1].endswith('data: [DONE]')


@then(parsers.parse('no VM sends new requests to {engine}'))
def _no_new_requests(world, engine):
    for vm_id in world.vms_by_id:
        fleets.wait_until(
            lambda: _endpoint_states(world, vm_id, engine) != ['serving'],
            f'{vm_id} to stop sending requests',
        )
    other = 'engine-2'
    before = _request_count(world, other)
    for number in range(12):
        vm_id = f'vm{number % 3 + 1}'
        assert world.chat(vm_id, prompt=f'order {number}').status == 200
    assert _request_count(world, other) == before + 12


@when(parsers.re(r'(?P<engine>\S+) is (?P<verb>drain|undrain)ed'))
def _drain(world, engine, verb):
    world.run_client('endpoint', verb, engine)


@then(parsers.parse('every VM lists {engine} as serving'))
def _serving(world, engine):
    world.await_endpoints([engine])


@then(
    parsers.parse('{engine} still serves after its announcement has expired')
)
def _still_serves(world, engine):
    # An endpoint without a valid announcement is probed at its health
    # path.
    port = world.ports_by_id[engine]
    fleets.wait_until(
        lambda: world.get_stand_in_json(engine, '/counters')['counters'].get(
            'probes'
        ),
        f'a probe of {port}',
    )
    assert world.chat('vm2').status == 200


@when(parsers.parse('{engine} is killed without notice'))
def _kill_engine(world, engine):
    world.stop_stand_in(engine, signal.SIGKILL)


@then(parsers.parse('every VM removes {engine}'))
def _is_removed(world, engine):
    for vm_id in world.vms_by_id:
        fleets.wait_until(
            lambda: not _endpoint_states(world, vm_id, engine),
            f'{vm_id} to remove it',
        )
    answer = world.chat('vm2')
    assert (answer.code, answer.outcome) == ('no_endpoint', 'not-run')


@when('an engine with a cached prompt is killed and starts again')
def _restart_engine(world):
    prompt = builders.LONG_TEXT * 4
    world.chat(prompt=prompt)
    cached_engine = max(
        ('engine-1', 'engine-2'), key=lambda e: _request_count(world, e)
    )
    world.stop_stand_in(cached_engine, signal.SIGKILL)
    port = int(world.proxies_by_id[cached_engine].target[1])
    world.start_engine(
        cached_engine,
        port=port,
        advertise=world.proxies_by_id[cached_engine].address,
    )
    world.shared_values['prompt'] = prompt


@then('the next answer is complete and uses no cached tokens')
def _no_lost_cache_used(world):
    answer = world.chat(prompt=world.shared_values['prompt'])
    assert answer.events[-1].endswith('data: [DONE]')
    assert '"cached_tokens": 0' in answer.events[-2]


@when('a client with another secret opens a link')
def _connect_with_wrong_secret(world):
    address = addresses.parse_address(world.vms_by_id['vm1'].link_address)
    with pytest.raises(errors.LinkRefused):
        link_transport.connect(address, b'another secret', 5.0)
    # A client that does not verify the server must fail as well.
    target = (address.host, address.port)
    with socket.create_connection(target, 5) as connection:
        version = link_transport.PROTOCOL_VERSION.to_bytes(2, 'big')
        connection.sendall(b'CBWL' + version + bytes(16 + 32))
        while connection.recv(1000):
            pass


@then('the link is refused and logged')
def _link_refused(world):
    fleets.wait_until(
        lambda: '"link-refused"' in world.vms_by_id['vm1'].read_log(),
        'the event link-refused',
    )
