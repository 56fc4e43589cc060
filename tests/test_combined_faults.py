"""Steps of the scenarios in which several faults occur at once."""

import json
import signal

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

scenarios('features/combined_faults.feature')

# Idempotency key of the order that is sent through vm5.
IDEMPOTENCY_KEY = 'order-of-the-pair'
# The fake engine exits when a prompt contains this text.
CRASHING_PROMPT = 'poison-this-engine'


def _live_vm_ids(world):
    return [
        vm_id
        for vm_id, vm in world.vms_by_id.items()
        if vm.process.poll() is None
    ]


def _apply_changed_document(world, vm_id):
    fields = yaml.safe_load(builders.document_text())
    fields['customers'][0]['rate_tokens_per_second'] = 9_000_000
    return world.call_operator_api(
        vm_id,
        '/v1/documents/apply',
        text=yaml.safe_dump(fields),
        environment='production',
        expected_version=1,
        operation_id='the change of the pair',
    )


@when('the leader is killed')
def _kill_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader to be elected')
    world.stop_vm(leader, signal.SIGKILL)
    world.shared_values['killed'] = leader


@when('the killed VM starts again')
def _restart_killed_vm(world):
    world.start_vm(world.shared_values['killed'])


@when('the document is changed through the majority')
def _change_document(world):
    majority = [vm_id for vm_id in _live_vm_ids(world) if vm_id != 'vm5']
    fleets.wait_until(
        lambda: any(
            _apply_changed_document(world, vm_id)[0] == 200
            for vm_id in majority
        ),
        'a VM of the majority to accept the document',
    )


@then('vm5 still answers callers and accepts no change')
def _vm5_serves(world):
    answer = world.chat('vm5')
    assert answer.status == 200, answer.body
    assert answer.events[-1].endswith('data: [DONE]')
    assert world.document_versions()['vm5'] == 1
    assert _apply_changed_document(world, 'vm5')[0] != 200


@then('an order through vm5 is refused with the outcome not-run')
def _order_refused(world):
    answer = world.place_order('vm5', IDEMPOTENCY_KEY)
    assert answer.outcome == 'not-run', answer.body
    assert int(answer.headers['Retry-After']) > 0
    assert IDEMPOTENCY_KEY not in world.run_counts()


@then(
    parsers.parse(
        'the order succeeds through vm5 and its run count is {count:d}'
    )
)
def _order_succeeds(world, count):
    fleets.wait_until(
        lambda: world.place_order('vm5', IDEMPOTENCY_KEY).status in (200, 201),
        'the order to succeed',
    )
    assert world.run_counts()[IDEMPOTENCY_KEY] == count


@when('a key is withdrawn through vm1 while vm3 is down')
def _withdraw_key(world):
    secret, key_id = world.issue_key()
    fleets.wait_until(
        lambda: all(
            world.chat(vm_id, key=secret).status == 200
            for vm_id in world.vms_by_id
        ),
        'all VMs to accept the key',
    )
    world.stop_vm('vm3', signal.SIGKILL)
    world.run_client('key', 'withdraw', key_id, vm_id='vm1', code=None)
    world.shared_values['withdrawn'] = secret


@when('all VMs are killed and start again at once')
def _restart_all_vms(world):
    for vm_id in _live_vm_ids(world):
        world.stop_vm(vm_id, signal.SIGKILL)
    for vm_id in world.vms_by_id:
        world.start_vm(vm_id)


@then('every VM refuses the withdrawn key and keeps refusing it')
def _withdrawn_key_refused(world):
    key = world.shared_values['withdrawn']
    for vm_id in world.vms_by_id:
        fleets.wait_until(
            lambda name=vm_id: world.chat(name, key=key).code == 'key_refused',
            f'{vm_id} to refuse the withdrawn key',
        )
    for _ in range(3):
        for vm_id in world.vms_by_id:
            assert world.chat(vm_id, key=key).code == 'key_refused'


@then('the key that was not withdrawn works on every VM')
def _other_key_works(world):
    world.await_ready()
    world.await_endpoints(['engine-1'])
    for vm_id in world.vms_by_id:
        answer = world.chat(vm_id)
        assert answer.status == 200, answer.body


@when('callers stream through all VMs')
def _start_streams(world):
    world.shared_values['streams'] = [
        world.pool.submit(
            world.chat,
            f'vm{n % 3 + 1}',
            prompt=f'{builders.LONG_TEXT * 2} menu {n}',
            max_tokens=builders.STREAM_WORDS,
        )
        for n in range(6)
    ]
    fleets.wait_until(
        lambda: sum(_requests_by_engine(world).values()) >= 6,
        'the engines to receive the streams',
    )


def _requests_by_engine(world):
    requests_by_engine = {}
    for engine, process in world.stand_ins_by_id.items():
        if process.poll() is None:
            counters = world.get_stand_in_json(engine, '/counters')['counters']
            requests_by_engine[engine] = counters.get('requests', 0)
    return requests_by_engine


@when('one engine is killed while two VMs get a request that crashes engines')
def _kill_and_crash(world):
    least_used = min(
        _requests_by_engine(world).items(), key=lambda item: item[1]
    )[0]
    pending = [
        world.pool.submit(world.chat, vm_id, prompt=CRASHING_PROMPT)
        for vm_id in ('vm1', 'vm2')
    ]
    world.stand_ins_by_id[least_used].kill()
    for answer in pending:
        assert answer.result().status != 200


@when('vm1 and vm2 have saved their prefix cache index')
def _cache_index_saved(world):
    def are_saved():
        vm_ids = ('vm1', 'vm2')
        sizes = [
            (world.folder / vm_id / 'placements').stat().st_size
            for vm_id in vm_ids
            if (world.folder / vm_id / 'placements').exists()
        ]
        # 8 prefixes of 3 blocks each, at 12 bytes a block hash.
        return len(sizes) == len(vm_ids) and min(sizes) > 8 * 3 * 12

    fleets.wait_until(are_saved, 'the files of the prefix cache index')


def _cached_tokens(answer):
    usage = json.loads(answer.events[-2].partition('data: ')[2])['usage']
    return usage['prompt_tokens_details']['cached_tokens']


def _prompt_with_prefix(number):
    return f'rulebook {number} {builders.LONG_TEXT * 2}'


@when(
    parsers.parse(
        'prompts with {count:d} different prefixes are sent through all VMs'
    )
)
def _send_prompts(world, count):
    world.shared_values['count'] = count
    for number in range(count):
        for vm_id in world.vms_by_id:
            assert (
                world.chat(vm_id, prompt=_prompt_with_prefix(number)).status
                == 200
            )


@then(parsers.parse('{vm} sends every prefix to an engine that has it cached'))
def _prefixes_cached(world, vm):
    world.await_ready([vm])
    world.await_endpoints(
        ['engine-1', 'engine-2', 'engine-3', 'engine-4'], [vm]
    )
    for number in range(world.shared_values['count']):
        answer = world.chat(vm, prompt=_prompt_with_prefix(number))
        assert answer.status == 200, answer.body
        assert _cached_tokens(answer) > 0, f'prefix {number}'
