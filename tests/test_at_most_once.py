"""Scenarios of requests that may not be repeated."""

import signal

import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

scenarios('features/at_most_once.feature')

KEY = 'print-4711'
SERVICE = 'booth-orders'


@when('an order is sent in turn through all VMs')
def _in_turn(world):
    world.notes['answers'] = [
        world.order(vm_id, KEY) for vm_id in ('vm1', 'vm2', 'vm3')
    ]


@then(parsers.parse('each answer is the same and the order ran {n:d} times'))
def _same(world, n):
    answers = world.notes['answers']
    assert {(a.status, a.body, a.outcome) for a in answers} == {
        (201, answers[0].body, 'complete')
    }
    replayed = [a.headers.get('Carobwood-Replayed') for a in answers]
    assert replayed == [None, 'true', 'true']
    assert world.runs().get(KEY, 0) == n


@when(
    parsers.parse(
        '{count:d} copies of an order are sent at once through all VMs'
    )
)
def _at_once(world, count):
    vm_ids = list(world.vms_by_id)
    pending = [
        world.pool.submit(world.order, vm_ids[n % 3], KEY)
        for n in range(count)
    ]
    world.notes['answers'] = [answer.result() for answer in pending]


@then('no copy claims not-run after the order ran')
def _no_false_claim(world):
    answers = world.notes['answers']
    assert any(a.status == 201 for a in answers)
    for answer in answers:
        assert (answer.status, answer.outcome) in (
            (201, 'complete'),
            (409, 'unknown'),
        )


@then(parsers.parse('the order ran {n:d} times'))
def _ran(world, n):
    assert world.runs().get(KEY, 0) == n


@when('the service loses the answer of an order')
def _lost(world):
    world.set_fault(SERVICE, 'drop')
    world.notes['answer'] = world.order('vm1', KEY)


@then('the caller is told that the outcome is unknown')
def _unknown(world):
    answer = world.notes['answer']
    assert (answer.code, answer.outcome) == ('endpoint_failed', 'unknown')


@then('a resend is told that the outcome is unknown')
def _resend_unknown(world):
    answer = world.order('vm3', KEY)
    assert (answer.code, answer.outcome) == ('claim_pending', 'unknown')
    assert answer.headers['Retry-After']


@when('the service hangs and vm2 is killed while an order runs through it')
def _kill_while_running(world):
    world.set_fault(SERVICE, 'hang')
    pending = world.pool.submit(world.order, 'vm2', KEY)
    fleets.wait_until(lambda: KEY in world.runs(), 'the order to run')
    world.stop_vm('vm2', signal.SIGKILL)
    assert pending.result().status == 0


@when('the service is frozen and vm2 is killed while it sends an order')
def _kill_while_sending(world):
    process = world.stand_ins_by_id[SERVICE]
    process.send_signal(signal.SIGSTOP)
    pending = world.pool.submit(world.order, 'vm2', KEY)
    # The state shows that vm2 holds the claim and goes on to send. Asking
    # for it by another copy of the order could take the claim instead.
    fleets.wait_until(lambda: world.status('vm1')['claims'], 'the claim')
    world.stop_vm('vm2', signal.SIGKILL)
    assert pending.result().status == 0


@when('the service goes on')
def _continue(world):
    world.stand_ins_by_id[SERVICE].send_signal(signal.SIGCONT)
    fleets.wait_until(lambda: world.runs() is not None, 'the service')


@then('the order ran at most once')
def _at_most_once(world):
    assert world.runs().get(KEY, 0) <= 1


@when('vm2 is cut off while an order runs through it')
def _cut_while_running(world):
    # A leader that is cut off would have nobody to store the answer.
    world.set_fault(SERVICE, 'hold')
    world.notes['pending'] = world.pool.submit(world.order, 'vm2', KEY)
    fleets.wait_until(lambda: KEY in world.runs(), 'the order to run')
    world.cut([['vm2'], ['vm1', 'vm3']])


@when('the service answers')
def _release(world):
    world.set_fault(SERVICE, 'release')
    world.notes['answer'] = world.notes['pending'].result()


@then('the caller got the whole answer')
def _got_answer(world):
    answer = world.notes['answer']
    assert (answer.status, answer.outcome) == (201, 'complete')


@then('a resend is replayed in the end')
def _replayed_in_the_end(world):
    answer = fleets.wait_until(
        lambda: _answered(world.order('vm3', KEY)), 'the replay'
    )
    assert answer.headers['Carobwood-Replayed'] == 'true'


@when(parsers.parse('an order is sent through {vm}'))
def _send(world, vm):
    world.notes['answer'] = world.order(vm, KEY)


@then('the order is refused as not run with Retry-After')
def _not_run(world):
    answer = world.notes['answer']
    assert (answer.status, answer.outcome) == (503, 'not-run')
    assert int(answer.headers['Retry-After']) > 0


@then(parsers.parse('the order succeeds through {vm} and ran {n:d} times'))
def _succeeds(world, vm, n):
    fleets.wait_until(
        lambda: world.order(vm, KEY).status == 201, 'the order to succeed'
    )
    assert world.runs().get(KEY, 0) == n


@when('the service is killed')
def _kill_service(world):
    world.stop_stand_in(SERVICE, signal.SIGKILL)


@when('the service comes back')
def _start_service(world):
    world.start_service(SERVICE)


@when('the key of an order is used with another body')
def _other_body(world):
    assert world.order('vm1', KEY).status == 201
    world.notes['answer'] = world.order('vm2', KEY, b'{"prints": 7}')


@then(parsers.parse('the second is refused with {code}'))
def _second(world, code):
    answer = world.notes['answer']
    assert (answer.code, answer.outcome) == (code, 'not-run')


@when('the leader is killed and a resend goes through another VM')
def _kill_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    world.stop_vm(leader, signal.SIGKILL)
    vm_id = next(v for v in world.vms_by_id if v != leader)
    world.notes['answer'] = fleets.wait_until(
        lambda: _answered(world.order(vm_id, KEY)), 'the replay'
    )


@then('the resend is replayed')
def _replayed(world):
    assert world.notes['answer'].headers['Carobwood-Replayed'] == 'true'


def _answered(answer):
    return answer if answer.status == 201 else None
