"""Exit codes of a VM that runs as a process, and what its log says."""

import json
import signal
import threading

import control_processes
import fake_endpoint
import fleet as fleets
import pytest
import relay_builders as builders
import relay_test_fleet

REQUEST_ID = 'r-silent'
# Beyond the time of a stop.
DEADLINE_MS = 60_000
ROUTE = builders.route_fields(
    'orders',
    kind='unsafe',
    service='orders',
    sticky=False,
    timeout_ms=DEADLINE_MS,
)


@pytest.fixture
def endpoint():
    """Yield an endpoint that is stopped at the end."""
    started = fake_endpoint.FakeEngine('orders-0', 'orders')
    yield started
    started.stop()


def _announce(fleet, endpoint):
    address = fleet.control_vms[0].fields['listen']['control']
    host, _, port = address.partition(':')
    for path, body in (
        ('/v1/config', builders.configuration_body(routes=[ROUTE])),
        (
            f'/v1/instances/{endpoint.name}',
            json.dumps(endpoint.announcement()).encode(),
        ),
    ):
        relay_test_fleet.await_reply(
            lambda path=path, body=body: relay_test_fleet.ask(
                int(port), 'PUT', path, body, host=host
            ),
            lambda reply: reply.status == 200,
        )


def _ask(vm, path, **headers):
    host, _, port = vm.fields['listen']['front'].partition(':')
    headers = relay_test_fleet.caller_headers(**headers)
    return relay_test_fleet.ask(
        int(port), 'POST', path, b'x', headers, host=host
    )


def _stop(vm):
    """Stop a VM; return its exit code and its log from the SIGTERM on."""
    vm.process.send_signal(signal.SIGTERM)
    code = vm.process.wait(relay_test_fleet.WAIT_SECONDS)
    fleets.wait_until(
        lambda: vm.read_log()[-1]['name'] == 'daemon-stopped', 'its last line'
    )
    log = vm.read_log()
    names = [event['name'] for event in log]
    return code, log[names.index('daemon-stopping') :]


# A process that ended with 1 at a SIGTERM left open what it had cut: it is a
# request at the end of the time for the stop, which has its answer.
@pytest.mark.parametrize('is_in_flight', [True, False])
def test_a_stop_exits_with_1_if_a_request_was_interrupted(
    tmp_path, endpoint, is_in_flight
):
    replies = []
    with control_processes.ProcessFleet(tmp_path, 3) as fleet:
        vm = fleet.entry_vm
        _announce(fleet, endpoint)
        relay_test_fleet.await_reply(
            lambda: _ask(vm, '/orders/whole'),
            lambda reply: reply.status == 200,
        )
        endpoint.requests.clear()
        caller = threading.Thread(
            target=lambda: replies.append(
                _ask(
                    vm,
                    '/orders/silent',
                    X_Carobwood_Request_Id=REQUEST_ID,
                    X_Carobwood_Deadline_Ms=str(DEADLINE_MS),
                )
            )
        )
        if is_in_flight:
            caller.start()
            relay_test_fleet.await_reply(lambda: endpoint.requests, bool)
        code, log = _stop(vm)
        if is_in_flight:
            caller.join()
    timed_out = [e for e in log if e['name'] == 'drain-timed-out']
    ends = [e for e in log if e.get('request_id') == REQUEST_ID]
    if not is_in_flight:
        assert (code, timed_out, ends) == (0, [], [])
        return
    assert code == 1
    assert [event['in_flight'] for event in timed_out] == [1]
    assert [event['code'] for event in ends] == ['stop_timeout']
    assert [reply.status for reply in replies] == [502]
