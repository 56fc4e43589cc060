"""Steps of the scenarios on documents and the replicated log."""

import json
import signal
import uuid

import builders
import fault_proxy
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/configuration.feature')


def _apply_document(world, vm_id, text, expected_version, operation_id=None):
    return world.call_operator_api(
        vm_id,
        '/v1/documents/apply',
        environment='production',
        text=text,
        operation_id=operation_id or uuid.uuid4().hex,
        expected_version=expected_version,
    )


def _document_text(number, environment='production'):
    retention = {'history_versions': 20, 'claim_seconds': 3600 + number}
    return builders.document_text(environment, retention=retention)


def _live_vms(world):
    return [
        vm_id
        for vm_id, vm in world.vms_by_id.items()
        if vm.process.poll() is None
    ]


def _change_through(world, vm_ids, number, expected_version):
    operation_id = uuid.uuid4().hex

    def is_accepted():
        for vm_id in vm_ids:
            status, _ = _apply_document(
                world,
                vm_id,
                _document_text(number),
                expected_version,
                operation_id,
            )
            if status == 200:
                return True
        return False

    fleets.wait_until(is_accepted, 'the change to be accepted')


@when(
    parsers.parse(
        '{count:d} operators replace the same version by different '
        'documents at once'
    )
)
def _apply_concurrently(world, count):
    vm_ids = list(world.vms_by_id)
    pending = [
        world.pool.submit(
            _apply_document,
            world,
            vm_ids[n % len(vm_ids)],
            _document_text(n),
            1,
        )
        for n in range(count)
    ]
    world.shared_values['replies'] = [reply.result() for reply in pending]


@then(parsers.parse('exactly {count:d} change is accepted'))
def _accepted(world, count):
    statuses = [status for status, _ in world.shared_values['replies']]
    assert statuses.count(200) == count


@then('the other operators get a version conflict')
def _conflict(world):
    for status, body in world.shared_values['replies']:
        if status != 200:
            assert body['error']['code'] == 'version_conflict'
            assert 'in force is version 2' in body['error']['message']


@when('an operator sends one operation through two VMs')
def _retry_operation(world):
    operation_id = uuid.uuid4().hex
    world.shared_values['replies'] = [
        _apply_document(world, vm_id, _document_text(1), 1, operation_id)
        for vm_id in ('vm1', 'vm2')
    ]


@then('both answers are the same')
def _same_answers(world):
    first, second = world.shared_values['replies']
    assert first == second and first[0] == 200


@when('a document is applied in trial')
def _apply_in_trial(world):
    path = world.folder / 'trial.yaml'
    path.write_text(_document_text(1, 'trial'))
    world.run_client('document', 'apply', str(path), '--environment=trial')
    world.shared_values['digest'] = world.run_client(
        'document', 'show', '--environment=trial'
    )['digest']


@when('the document in trial is changed before it is promoted')
def _change_document_in_trial(world):
    path = world.folder / 'trial.yaml'
    path.write_text(_document_text(2, 'trial'))
    world.run_client('document', 'apply', str(path), '--environment=trial')
    world.shared_values['reply'] = world.run_client(
        'document',
        'promote',
        f'--digest={world.shared_values["digest"]}',
        code=3,
    )


@then(parsers.parse('the promotion is refused with {code}'))
def _refused(world, code):
    error = world.shared_values['reply']['error']
    assert error['code'] in (code, 'digest_mismatch')


@when('the document in trial is promoted')
def _promote(world):
    world.run_client('document', 'promote')
    shown = world.run_client('document', 'show')
    assert shown['promoted_from'] == 'trial'
    assert 'claim_seconds: 3602' in shown['text']


@when('the leader is killed')
def _kill_leader(world):
    world.shared_values['killed'] = fleets.wait_until(world.leader, 'a leader')
    world.stop_vm(world.shared_values['killed'], signal.SIGKILL)


@when('the killed VM starts again')
def _start_killed(world):
    world.start_vm(world.shared_values['killed'])


@when('the document is changed through any VM')
def _change_any(world):
    _change_through(world, _live_vms(world), 1, 1)


@when('the document is changed through vm1')
def _change_vm1(world):
    _change_through(world, ['vm1'], 1, 1)


@then('the document is changed through the others')
def _change_others(world):
    others = [v for v in world.vms_by_id if v != world.shared_values['silent']]
    _change_through(world, others, 1, 1)


@when(parsers.parse('the document is changed {count:d} times'))
def _change_often(world, count):
    for number in range(count):
        status, body = _apply_document(
            world, 'vm1', _document_text(number), 1 + number
        )
        assert status == 200, body


@then(parsers.parse('the live VMs hold version {version:d}'))
def _live_vms_hold_version(world, version):
    fleets.wait_until(
        lambda: (
            world.document_versions()
            == dict.fromkeys(_live_vms(world), version)
        ),
        f'version {version} on live VMs',
    )


@then(parsers.parse('a change through {vm} is not accepted'))
def _not_accepted(world, vm):
    path = world.folder / 'document.yaml'
    path.write_text(_document_text(9))
    apply = ('document', 'apply', str(path), '--expect-version=1')
    reply = world.run_client(*apply, vm_id=vm, code=4)
    assert reply['error']['code'] == 'change_uncertain'


@then(parsers.parse('vm4 and vm5 still hold version {version:d}'))
def _minority_holds_version(world, version):
    versions = world.document_versions()
    assert versions['vm4'] == versions['vm5'] == version


@when('the term is recorded')
def _record_term(world):
    world.shared_values['term'] = world.status('vm1')['term']


@then('the term has not changed')
def _same_term(world):
    for vm_id in world.vms_by_id:
        assert world.status(vm_id)['term'] == world.shared_values['term']


@then(parsers.parse('{vm} serves with version {version:d}'))
def _serves(world, vm, version):
    world.await_ready([vm])
    assert world.document_versions()[vm] == version
    fleets.wait_until(lambda: world.chat(vm).status == 200, f'{vm} to serve')


@when('all VMs are killed and start again at once')
def _restart_all_vms(world):
    for vm_id in world.vms_by_id:
        world.stop_vm(vm_id, signal.SIGKILL)
    for vm_id in world.vms_by_id:
        world.start_vm(vm_id)


@when('all links of the leader stop delivering data')
def _hang_leader_links(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    world.shared_values['silent'] = leader
    others = [vm_id for vm_id in world.vms_by_id if vm_id != leader]
    world.partition([[leader], others], fault_proxy.Fault.BLACKHOLE)


@when('the leader is frozen')
def _freeze_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    world.shared_values['silent'] = leader
    world.vms_by_id[leader].process.send_signal(signal.SIGSTOP)


@when('the leader is resumed')
def _resume_leader(world):
    process = world.vms_by_id[world.shared_values['silent']].process
    process.send_signal(signal.SIGCONT)


@then('the log of no VM shows two leaders in one term')
def _one_leader_per_term(world):
    leaders_by_term = {}
    for vm_id, vm in world.vms_by_id.items():
        for line in vm.read_log().splitlines():
            if '"leader-elected"' in line:
                term = json.loads(line)['term']
                leaders_by_term.setdefault(term, set()).add(vm_id)
    assert len(leaders_by_term) > 1
    assert all(len(vms) == 1 for vms in leaders_by_term.values())


@then('another VM leads')
def _other_leads(world):
    others = [v for v in world.vms_by_id if v != world.shared_values['silent']]

    def leads():
        return any(
            (world.status(vm_id) or {}).get('role') == 'leader'
            for vm_id in others
        )

    fleets.wait_until(leads, 'another leader')
