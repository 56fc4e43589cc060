"""Scenarios of requests that must not be repeated."""

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
def _send_through_all_vms(world):
    world.shared_values['answers'] = [
        world.place_order(vm_id, KEY) for vm_id in ('vm1', 'vm2', 'vm3')
    ]


@then(parsers.parse('each response is the same and the order ran {n:d} times'))
def _responses_are_the_same(world, n):
    answers = world.shared_values['answers']
    assert {(a.status, a.body, a.outcome) for a in answers} == {
        (201, answers[0].body, 'complete')
    }
    replayed = [a.headers.get('Carobwood-Replayed') for a in answers]
    assert replayed == [None, 'true', 'true']
    assert world.run_counts().get(KEY, 0) == n


@when(
    parsers.parse(
        '{count:d} copies of an order are sent at once through all VMs'
    )
)
def _send_concurrently(world, count):
    vm_ids = list(world.vms_by_id)
    pending = [
        world.pool.submit(world.place_order, vm_ids[n % 3], KEY)
        for n in range(count)
    ]
    world.shared_values['answers'] = [
        response.result() for response in pending
    ]


@then('no copy is reported as not-run after the order ran')
def _no_false_not_run(world):
    answers = world.shared_values['answers']
    assert any(a.status == 201 for a in answers)
    for response in answers:
        assert (response.status, response.outcome) in (
            (201, 'complete'),
            (409, 'unknown'),
        )


@then(parsers.parse('the order ran {n:d} times'))
def _ran_times(world, n):
    assert world.run_counts().get(KEY, 0) == n


@when('the response of the service to an order is lost')
def _lose_response(world):
    world.set_fault(SERVICE, 'drop')
    world.shared_values['answer'] = world.place_order('vm1', KEY)


@then('the caller is told that the outcome is unknown')
def _outcome_is_unknown(world):
    response = world.shared_values['answer']
    assert (response.code, response.outcome) == ('endpoint_failed', 'unknown')


@then('a resend is told that the outcome is unknown')
def _resend_is_unknown(world):
    response = world.place_order('vm3', KEY)
    assert (response.code, response.outcome) == ('claim_pending', 'unknown')
    assert response.headers['Retry-After']


@when('the service hangs and vm2 is killed while an order runs through it')
def _kill_while_running(world):
    world.set_fault(SERVICE, 'hang')
    pending = world.pool.submit(world.place_order, 'vm2', KEY)
    fleets.wait_until(lambda: KEY in world.run_counts(), 'the order to run')
    world.stop_vm('vm2', signal.SIGKILL)
    assert pending.result().status == 0


@when('the service is frozen and vm2 is killed while it sends an order')
def _kill_while_sending(world):
    process = world.stand_ins_by_id[SERVICE]
    process.send_signal(signal.SIGSTOP)
    pending = world.pool.submit(world.place_order, 'vm2', KEY)
    # Wait until the status shows that vm2 has committed its claim, after
    # which it sends the order. Sending another copy of the order to find out
    # could open the claim for that copy instead.
    fleets.wait_until(lambda: world.status('vm1')['claims'], 'the claim')
    world.stop_vm('vm2', signal.SIGKILL)
    assert pending.result().status == 0


@when('the service is resumed')
def _resume_service(world):
    world.stand_ins_by_id[SERVICE].send_signal(signal.SIGCONT)
    fleets.wait_until(lambda: world.run_counts() is not None, 'the service')


@then('the order ran at most once')
def _ran_at_most_once(world):
    assert world.run_counts().get(KEY, 0) <= 1


@when('vm2 is disconnected while an order runs through it')
def _disconnect_while_running(world):
    # Without its peers vm2 cannot commit the response, even if it leads.
    world.set_fault(SERVICE, 'hold')
    world.shared_values['pending'] = world.pool.submit(
        world.place_order, 'vm2', KEY
    )
    fleets.wait_until(lambda: KEY in world.run_counts(), 'the order to run')
    world.partition([['vm2'], ['vm1', 'vm3']])


@when('the service responds')
def _release_service(world):
    world.set_fault(SERVICE, 'release')
    world.shared_values['answer'] = world.shared_values['pending'].result()


@then('the caller got the complete response')
def _caller_got_response(world):
    response = world.shared_values['answer']
    assert (response.status, response.outcome) == (201, 'complete')


@then('a resend gets the stored response in the end')
def _resend_replayed_in_the_end(world):
    response = fleets.wait_until(
        lambda: _response_if_created(world.place_order('vm3', KEY)),
        'the stored response',
    )
    assert response.headers['Carobwood-Replayed'] == 'true'


@when(parsers.parse('an order is sent through {vm}'))
def _send(world, vm):
    world.shared_values['answer'] = world.place_order(vm, KEY)


@then('the order is refused as not run with Retry-After')
def _refused_as_not_run(world):
    response = world.shared_values['answer']
    assert (response.status, response.outcome) == (503, 'not-run')
    assert int(response.headers['Retry-After']) > 0


@then(parsers.parse('the order succeeds through {vm} and ran {n:d} times'))
def _succeeds(world, vm, n):
    fleets.wait_until(
        lambda: world.place_order(vm, KEY).status == 201,
        'the order to succeed',
    )
    assert world.run_counts().get(KEY, 0) == n


@when('the service is killed')
def _kill_service(world):
    world.stop_stand_in(SERVICE, signal.SIGKILL)


@when('the service comes back')
def _start_service(world):
    world.start_service(SERVICE)


@when('the key of an order is used with another body')
def _reuse_key(world):
    assert world.place_order('vm1', KEY).status == 201
    world.shared_values['answer'] = world.place_order(
        'vm2', KEY, b'{"prints": 7}'
    )


@then(parsers.parse('the second order is refused with {code}'))
def _second_is_refused(world, code):
    response = world.shared_values['answer']
    assert (response.code, response.outcome) == (code, 'not-run')


@when('the leader is killed and a resend goes through another VM')
def _kill_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    world.stop_vm(leader, signal.SIGKILL)
    vm_id = next(v for v in world.vms_by_id if v != leader)
    world.shared_values['answer'] = fleets.wait_until(
        lambda: _response_if_created(world.place_order(vm_id, KEY)),
        'the stored response',
    )


@then('the resend gets the stored response')
def _resend_replayed(world):
    assert (
        world.shared_values['answer'].headers['Carobwood-Replayed'] == 'true'
    )


def _response_if_created(response):
    return response if response.status == 201 else None
