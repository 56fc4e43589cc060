"""Scenarios of requests that a VM queues for a busy engine."""

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

# Two requests with this prompt exceed the prefill tokens that one VM keeps
# outstanding on an engine.
LONG_PROMPT = builders.LONG_TEXT * 2


def _await_in_flight(world, count):
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == count,
        f'{count} requests in flight',
    )


def _requests_run(world):
    counters = world.get_stand_in_json('engine-1', '/counters')['counters']
    return counters.get('requests', 0)


@given('a long prompt that keeps engine-1 busy')
def _keep_engine_busy(world):
    world.set_fault('engine-1', 'hold')
    world.shared_values['busy'] = world.pool.submit(
        world.chat, prompt=LONG_PROMPT
    )
    fleets.wait_until(lambda: _requests_run(world) == 1, 'the request to run')


@when('a caller disconnects while its request waits')
def _disconnect(world):
    host, _, port = world.vms_by_id['vm1'].caller_address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=20)
    connection.request(
        'POST',
        '/v1/chat/completions',
        json.dumps(builders.chat_body(prompt=f'another {LONG_PROMPT}')),
        dict(
            builders.bearer(world.key), **{'Content-Type': 'application/json'}
        ),
    )
    _await_in_flight(world, 2)
    connection.close()
    _await_in_flight(world, 1)


@when('a key is withdrawn while its request waits')
def _withdraw_key(world):
    secret, key_id = world.issue_key()
    world.shared_values['waiting'] = world.pool.submit(
        world.chat, key=secret, prompt=f'another {LONG_PROMPT}'
    )
    _await_in_flight(world, 2)
    world.run_client('key', 'withdraw', key_id)


@when(parsers.parse('{count:d} more requests wait'))
def _send_more(world, count):
    world.shared_values['others'] = [
        world.pool.submit(world.chat, prompt=f'number {number} {LONG_PROMPT}')
        for number in range(count)
    ]
    _await_in_flight(world, count + 1)


@when('the engine resumes')
def _resume_engine(world):
    world.set_fault('engine-1', '')


@then('the waiting request is refused as not run')
def _assert_refused(world):
    answer = world.shared_values['waiting'].result()
    assert (answer.code, answer.outcome) == ('key_refused', 'not-run')


@then('the request that kept it busy is answered')
def _assert_first_answered(world):
    _assert_complete(world.shared_values['busy'].result())


@then(parsers.parse('the {count:d} others are answered'))
def _assert_others_answered(world, count):
    assert len(world.shared_values['others']) == count
    for other in world.shared_values['others']:
        _assert_complete(other.result())


@then(parsers.parse('the request count of engine-1 is {count:d}'))
def _assert_request_count(world, count):
    assert _requests_run(world) == count


def _assert_complete(answer):
    assert answer.status == 200, answer.body
    assert answer.events[-1].endswith('data: [DONE]')
