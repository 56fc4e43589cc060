"""Scenarios of requests that wait on a VM."""

import http.client
import json

import builders
import fleet as fleets
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/queue.feature')

# Two of them exceed what one VM gives an engine at a time.
LONG = builders.PIECE * 2


def _await_in_flight(world, count):
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == count,
        f'{count} requests in flight',
    )


def _ran(world):
    counters = world.stand_in_get('engine-1', '/counters')['counters']
    return counters.get('requests', 0)


@given('a long prompt that keeps engine-1 busy')
def _busy(world):
    world.set_fault('engine-1', 'hold')
    world.notes['busy'] = world.pool.submit(world.chat, prompt=LONG)
    fleets.wait_until(lambda: _ran(world) == 1, 'the request to run')


@when('a caller leaves while its request waits')
def _leave(world):
    host, _, port = world.vms_by_id['vm1'].caller.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    connection.request(
        'POST',
        '/v1/chat/completions',
        json.dumps(builders.chat(prompt=f'another {LONG}')),
        dict(
            builders.bearer(world.key), **{'Content-Type': 'application/json'}
        ),
    )
    _await_in_flight(world, 2)
    connection.close()
    _await_in_flight(world, 1)


@when('a key is withdrawn while its request waits')
def _withdraw(world):
    secret, key_id = world.issue_key()
    world.notes['waiting'] = world.pool.submit(
        world.chat, key=secret, prompt=f'another {LONG}'
    )
    _await_in_flight(world, 2)
    world.client('key', 'withdraw', key_id)


@when(parsers.parse('{count:d} more requests wait'))
def _more(world, count):
    world.notes['others'] = [
        world.pool.submit(world.chat, prompt=f'number {number} {LONG}')
        for number in range(count)
    ]
    _await_in_flight(world, count + 1)


@when('the engine goes on')
def _go_on(world):
    world.set_fault('engine-1', '')


@then('the waiting request is refused as not run')
def _refused(world):
    answer = world.notes['waiting'].result()
    assert (answer.code, answer.outcome) == ('key_refused', 'not-run')


@then('the request that kept it busy is answered')
def _answered(world):
    _assert_whole(world.notes['busy'].result())


@then(parsers.parse('the {count:d} others are answered'))
def _others(world, count):
    assert len(world.notes['others']) == count
    for other in world.notes['others']:
        _assert_whole(other.result())


@then(parsers.parse('engine-1 ran {count:d} request'))
def _count(world, count):
    assert _ran(world) == count


def _assert_whole(answer):
    assert answer.status == 200, answer.body
    assert answer.events[-1].endswith('data: [DONE]')
