"""Scenarios of faults that come together."""

import json
import signal

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

scenarios('features/pairs.feature')

KEY = 'order-of-the-pair'
POISON = 'poison-this-engine'


def _live(world):
    return [
        vm_id
        for vm_id, vm in world.vms_by_id.items()
        if vm.process.poll() is None
    ]


def _apply(world, vm_id):
    fields = yaml.safe_load(builders.document())
    fields['customers'][0]['rate_tokens_per_second'] = 9_000_000
    return world.operate(
        vm_id,
        '/v1/documents/apply',
        text=yaml.safe_dump(fields),
        environment='production',
        expected_version=1,
        operation_id='the change of the pair',
    )


@when('the leader is killed')
def _kill_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    world.stop_vm(leader, signal.SIGKILL)
    world.notes['killed'] = leader


@when('the killed VM starts again')
def _start_again(world):
    world.start_vm(world.notes['killed'])


@when('the document is changed through the majority')
def _change(world):
    majority = [vm_id for vm_id in _live(world) if vm_id != 'vm5']
    fleets.wait_until(
        lambda: any(_apply(world, vm_id)[0] == 200 for vm_id in majority),
        'the change',
    )


@then('vm5 still answers callers and accepts no change')
def _vm5_serves(world):
    answer = world.chat('vm5')
    assert answer.status == 200, answer.body
    assert answer.events[-1].endswith('data: [DONE]')
    assert world.versions()['vm5'] == 1
    assert _apply(world, 'vm5')[0] != 200


@then('an order through vm5 is refused as not run')
def _order_refused(world):
    answer = world.order('vm5', KEY)
    assert answer.outcome == 'not-run', answer.body
    assert int(answer.headers['Retry-After']) > 0
    assert KEY not in world.runs()


@then(parsers.parse('the order succeeds through vm5 and ran {n:d} times'))
def _order_succeeds(world, n):
    fleets.wait_until(
        lambda: world.order('vm5', KEY).status in (200, 201), 'the order'
    )
    assert world.runs()[KEY] == n


@when('a key is withdrawn through vm1 while vm3 is down')
def _withdraw(world):
    secret, key_id = world.issue_key()
    fleets.wait_until(
        lambda: all(
            world.chat(vm_id, key=secret).status == 200
            for vm_id in world.vms_by_id
        ),
        'the key',
    )
    world.stop_vm('vm3', signal.SIGKILL)
    world.client('key', 'withdraw', key_id, vm_id='vm1', code=None)
    world.notes['withdrawn'] = secret


@when('all VMs are killed and start again at once')
def _herd(world):
    for vm_id in _live(world):
        world.stop_vm(vm_id, signal.SIGKILL)
    for vm_id in world.vms_by_id:
        world.start_vm(vm_id)


@then('the withdrawn key is refused by every VM and stays so')
def _refused(world):
    key = world.notes['withdrawn']
    for vm_id in world.vms_by_id:
        fleets.wait_until(
            lambda name=vm_id: world.chat(name, key=key).code == 'key_refused',
            f'{vm_id} to refuse',
        )
    for _ in range(3):
        for vm_id in world.vms_by_id:
            assert world.chat(vm_id, key=key).code == 'key_refused'


@then('the other key works on every VM')
def _works(world):
    world.await_ready()
    world.await_endpoints(['engine-1'])
    for vm_id in world.vms_by_id:
        answer = world.chat(vm_id)
        assert answer.status == 200, answer.body


@when('callers stream on all VMs')
def _stream(world):
    world.notes['streams'] = [
        world.pool.submit(
            world.chat,
            f'vm{n % 3 + 1}',
            prompt=f'{builders.PIECE * 2} menu {n}',
            max_tokens=builders.STREAM_WORDS,
        )
        for n in range(6)
    ]
    fleets.wait_until(
        lambda: sum(_requests(world).values()) >= 6, 'the streams to run'
    )


def _requests(world):
    found = {}
    for engine, process in world.stand_ins_by_id.items():
        if process.poll() is None:
            counters = world.stand_in_get(engine, '/counters')['counters']
            found[engine] = counters.get('requests', 0)
    return found


@when('one engine is killed while a poison request comes through two VMs')
def _kill_and_poison(world):
    idle = min(_requests(world).items(), key=lambda item: item[1])[0]
    pending = [
        world.pool.submit(world.chat, vm_id, prompt=POISON)
        for vm_id in ('vm1', 'vm2')
    ]
    world.stand_ins_by_id[idle].kill()
    for answer in pending:
        assert answer.result().status != 200


@when('the placements are kept on disk')
def _kept(world):
    def is_kept():
        vm_ids = ('vm1', 'vm2')
        sizes = [
            (world.folder / vm_id / 'placements').stat().st_size
            for vm_id in vm_ids
            if (world.folder / vm_id / 'placements').exists()
        ]
        # Eight prefixes of some pieces each, at 12 bytes a piece.
        return len(sizes) == len(vm_ids) and min(sizes) > 8 * 3 * 12

    fleets.wait_until(is_kept, 'the files')


def _cached_tokens(answer):
    usage = json.loads(answer.events[-2].partition('data: ')[2])['usage']
    return usage['prompt_tokens_details']['cached_tokens']


def _prefix(number):
    return f'rulebook {number} {builders.PIECE * 2}'


@when(parsers.parse('{count:d} prefixes are asked for through all VMs'))
def _ask(world, count):
    world.notes['count'] = count
    for number in range(count):
        for vm_id in world.vms_by_id:
            assert world.chat(vm_id, prompt=_prefix(number)).status == 200


@then(parsers.parse('{vm} finds every prefix in a cache'))
def _finds(world, vm):
    world.await_ready([vm])
    world.await_endpoints(
        ['engine-1', 'engine-2', 'engine-3', 'engine-4'], [vm]
    )
    for number in range(world.notes['count']):
        answer = world.chat(vm, prompt=_prefix(number))
        assert answer.status == 200, answer.body
        assert _cached_tokens(answer) > 0, f'prefix {number}'
