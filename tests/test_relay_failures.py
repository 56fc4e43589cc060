"""Tests of endpoints that fail, with VMs in this process."""

import relay_stand_ins as stand_ins

SERVED = b''.join(
    b'id: %d\ndata: %d\n\n' % (number, number)
    for number in range(1, stand_ins.EVENTS + 1)
)


def test_a_broken_stream_goes_on_at_another_engine(relay_setting):
    reply = relay_setting.fleet.ask('/captions/reset-after-2')
    assert (reply.status, reply.body) == (200, SERVED)
    resumed = [
        r for r in relay_setting.engine_requests if 'last-event-id' in r
    ]
    assert [r['last-event-id'] for r in resumed] == ['2']


def test_a_stream_that_falls_silent_goes_on_at_another_engine(relay_setting):
    reply = relay_setting.fleet.ask(
        '/captions/stall-after-2', X_Carobwood_Deadline_Ms='15000'
    )
    assert (reply.status, reply.body) == (200, SERVED)
    resumed = [
        r for r in relay_setting.engine_requests if 'last-event-id' in r
    ]
    assert [r['last-event-id'] for r in resumed] == ['2']
    # Not only at its deadline.
    assert int(resumed[0]['x-carobwood-deadline-ms']) > 4000


def test_a_stream_that_must_not_be_resumed_is_seen_to_be_broken(relay_setting):
    reply = relay_setting.fleet.ask('/checks/reset-after-2')
    assert reply.status == 0
    assert len(relay_setting.engine_requests) == 1


def test_a_refusing_engine_leads_to_a_true_refusal(relay_setting):
    reply = relay_setting.fleet.ask('/orders/full')
    assert reply.status == 503
    assert 'x-carobwood-response-stamp' not in reply.headers
    assert int(reply.headers['retry-after']) >= 1


def test_an_answer_without_a_signature_is_not_passed_on(relay_setting):
    assert relay_setting.fleet.ask('/orders/unsigned').status == 502


def test_a_request_gets_its_final_answer_when_its_time_is_up(relay_setting):
    reply = relay_setting.fleet.ask(
        '/orders/silent', X_Carobwood_Deadline_Ms='300'
    )
    assert reply.status == 504
    assert len(relay_setting.orders.requests) == 1


def test_a_request_whose_endpoints_are_all_tried_is_answered_at_once(
    relay_setting,
):
    reply = relay_setting.fleet.ask(
        '/lookups/unsigned', X_Carobwood_Deadline_Ms='60000'
    )
    # Its only endpoint failed it; waiting for another would be vain.
    assert reply.status == 502
    assert len(relay_setting.orders.requests) == 1


def test_a_failed_request_leaves_no_load_behind(relay_setting):
    relay_setting.fleet.ask('/checks/reset-after-2')
    relay_setting.fleet.ask('/orders/unsigned')
    for vm in relay_setting.fleet.vms:
        assert vm.loads.own() == {}
