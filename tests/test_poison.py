"""Scenarios of requests that crash endpoints."""

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/poison.feature')

# Common prefix of the crashing prompt and the other prompts, so that prefix
# affinity routes all of them to the same engine.
COMMON_PREFIX = builders.LONG_TEXT * 2
CRASHING_PROMPT = COMMON_PREFIX + 'poison-this-engine'


def _start_other_streams(world, count):
    world.shared_values['streams'] = [
        world.pool.submit(
            world.chat,
            f'vm{n % len(world.vms_by_id) + 1}',
            prompt=f'{COMMON_PREFIX} menu {n}',
            max_tokens=builders.STREAM_WORDS,
        )
        for n in range(count)
    ]

    def all_started():
        statuses = [world.status(vm_id) for vm_id in world.vms_by_id]
        return sum(s['requests_in_flight'] for s in statuses) >= count

    fleets.wait_until(all_started, 'the streams to start')


@when('callers stream while a request crashes the engine they share')
def _crash_shared_engine(world):
    _start_other_streams(world, 4)
    world.shared_values['answers'] = [
        world.chat('vm1', prompt=CRASHING_PROMPT)
    ]


@when(parsers.parse('its caller immediately resends it through {vm_ids}'))
def _resend(world, vm_ids):
    for vm_id in vm_ids.replace(',', ' ').replace(' and ', ' ').split():
        world.shared_values['answers'].append(
            world.chat(vm_id, prompt=CRASHING_PROMPT)
        )


@when(
    parsers.parse(
        '{count:d} copies of a request that crashes its engine arrive at the '
        'same time'
    )
)
def _send_copies(world, count):
    pending = [
        world.pool.submit(world.chat, f'vm{n % 3 + 1}', prompt=CRASHING_PROMPT)
        for n in range(count)
    ]
    world.shared_values['answers'] = [answer.result() for answer in pending]


@when('callers stream while the engine they share is killed')
def _kill_shared_engine(world):
    _start_other_streams(world, 4)

    def requests_run(engine):
        counters = world.get_stand_in_json(engine, '/counters')['counters']
        return counters.get('requests', 0)

    shared = max(('engine-1', 'engine-2'), key=requests_run)
    world.stand_ins_by_id[shared].kill()


@then(parsers.parse('the request is refused with {code}'))
def _assert_refused(world, code):
    last = world.shared_values['answers'][-1]
    assert (last.code, last.outcome) == (code, 'not-run')
    assert int(last.headers['Retry-After']) > 0


@then('the same requests are served again through every VM')
def _assert_served_again(world):
    for vm_id in world.vms_by_id:
        for number in range(4):
            answer = world.chat(
                vm_id, prompt=f'{COMMON_PREFIX} menu {number}', max_tokens=5
            )
            assert answer.events[-1].endswith('data: [DONE]')
