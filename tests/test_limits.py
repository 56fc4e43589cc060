"""Scenarios of fleet-wide rate limits."""

import json
import signal
import threading
import time

import builders
import fleet as fleets
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

scenarios('features/limits.feature')

MAX_OUTPUT_TOKENS = 20
REQUEST_INTERVAL_SECONDS = 0.01


@given(
    parsers.parse(
        'a fleet of {count:d} VMs with a rate of {rate:d} and a burst of '
        '{burst:d} tokens'
    )
)
def _start_fleet(world, count, rate, burst):
    world.shared_values.update(
        rate=rate, burst=burst, started=time.monotonic()
    )
    fields = yaml.safe_load(builders.document_text())
    for customer in fields['customers']:
        customer['rate_tokens_per_second'] = rate
        customer['burst_tokens'] = burst
    world.start_fleet(('bole', 'kirkos', 'arada')[:count], vm_slots=count)
    world.shared_values['started'] = time.monotonic()
    world.configure(yaml.safe_dump(fields))


def _send_until_stopped(world, vm_id, stopped, answers):
    while not stopped.is_set():
        answer = world.chat(vm_id, stream=False, max_tokens=MAX_OUTPUT_TOKENS)
        if answer.status:
            answers.append(answer)
        stopped.wait(REQUEST_INTERVAL_SECONDS)


@when(
    'callers send requests without pause through all VMs while one VM is '
    'partitioned and restarted'
)
def _send_during_partition(world):
    stopped = threading.Event()
    answers = []
    callers = [
        world.pool.submit(_send_until_stopped, world, vm_id, stopped, answers)
        for vm_id in list(world.vms_by_id) * 3
    ]
    fleets.wait_until(lambda: len(answers) > 100, 'answers')
    world.partition([['vm1', 'vm2'], ['vm3']])
    fleets.wait_until(lambda: len(answers) > 300, 'answers')
    world.stop_vm('vm3', signal.SIGKILL)
    world.start_vm('vm3')
    fleets.wait_until(lambda: len(answers) > 500, 'answers')
    world.heal()
    fleets.wait_until(lambda: len(answers) > 700, 'answers')
    stopped.set()
    for caller in callers:
        caller.result()
    world.shared_values['elapsed'] = (
        time.monotonic() - world.shared_values['started']
    )
    world.shared_values['answers'] = answers


@then('the admitted tokens stay within burst and rate')
def _assert_within_limit(world):
    notes = world.shared_values
    served = [a for a in notes['answers'] if a.status == 200]
    used = 0
    for answer in served:
        usage = json.loads(answer.body)['usage']
        used += usage['prompt_tokens'] + usage['completion_tokens']
    assert served
    assert used <= notes['burst'] + notes['rate'] * notes['elapsed']


@then('each refused request was not run and has a Retry-After header')
def _assert_refusals(world):
    refused = [a for a in world.shared_values['answers'] if a.status == 429]
    assert refused
    for answer in refused:
        assert answer.outcome == 'not-run'
        assert int(answer.headers['Retry-After']) > 0


@when(
    parsers.parse(
        'a caller sends {vm} a request that needs more tokens than the share '
        'of one VM'
    )
)
def _send_large_request(world, vm):
    # A prompt of 3,000 tokens needs more than a third of the burst, which
    # is the share of one VM.
    prompt = 'x' * 9000

    def served():
        answer = world.chat(vm, prompt=prompt, max_tokens=10)
        return answer if answer.status == 200 else None

    world.shared_values['answer'] = fleets.wait_until(served, 'the answer')


@then('the request is served with borrowed tokens')
def _assert_served(world):
    answer = world.shared_values['answer']
    assert answer.events[-1].endswith('data: [DONE]')
