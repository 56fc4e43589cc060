"""Scenarios of requests that crash endpoints."""

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/poison.feature')

# Shared with the innocents' prompts, so that all meet on one engine.
PREFIX = builders.PIECE * 2
POISON = PREFIX + 'poison-this-engine'


def _start_innocents(world, count):
    world.notes['streams'] = [
        world.pool.submit(
            world.chat,
            f'vm{n % len(world.vms_by_id) + 1}',
            prompt=f'{PREFIX} menu {n}',
            max_tokens=builders.STREAM_WORDS,
        )
        for n in range(count)
    ]

    def all_started():
        statuses = [world.status(vm_id) for vm_id in world.vms_by_id]
        return sum(s['requests_in_flight'] for s in statuses) >= count

    fleets.wait_until(all_started, 'the streams to start')


@when('callers stream beside a request that crashes its engine')
def _beside(world):
    _start_innocents(world, 4)
    world.notes['answers'] = [world.chat('vm1', prompt=POISON)]


@when(parsers.parse('its caller sends it again at once through {vm_ids}'))
def _again(world, vm_ids):
    for vm_id in vm_ids.replace(',', ' ').replace(' and ', ' ').split():
        world.notes['answers'].append(world.chat(vm_id, prompt=POISON))


@when(
    parsers.parse(
        '{count:d} copies of a request that crashes its engine come at once'
    )
)
def _copies(world, count):
    pending = [
        world.pool.submit(world.chat, f'vm{n % 3 + 1}', prompt=POISON)
        for n in range(count)
    ]
    world.notes['answers'] = [answer.result() for answer in pending]


@when('callers stream while the engine they share is killed')
def _kill_shared(world):
    _start_innocents(world, 4)

    def requests(engine):
        counters = world.stand_in_get(engine, '/counters')['counters']
        return counters.get('requests', 0)

    shared = max(('engine-1', 'engine-2'), key=requests)
    world.stand_ins_by_id[shared].kill()


@then(parsers.parse('the request is refused with {code}'))
def _refused(world, code):
    last = world.notes['answers'][-1]
    assert (last.code, last.outcome) == (code, 'not-run')
    assert int(last.headers['Retry-After']) > 0


@then('the same requests are served again through every VM')
def _same(world):
    for vm_id in world.vms_by_id:
        for number in range(4):
            answer = world.chat(
                vm_id, prompt=f'{PREFIX} menu {number}', max_tokens=5
            )
            assert answer.events[-1].endswith('data: [DONE]')
