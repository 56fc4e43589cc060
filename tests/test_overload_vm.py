"""The admission under overload on VMs, with engines of one place."""

import concurrent.futures

import pytest
import relay_builders as builders
import relay_test_fleet

from carobwood_daemon.relay import load_features

ENGINES = 2
CALLERS = 8


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Yield a fleet whose settings switch the control of admission on."""
    features = load_features.LoadFeatures(controls_admission=True)
    with relay_test_fleet.RelayTestFleet(
        tmp_path_factory.mktemp('fleet'),
        vm_changes={'load_features': features},
    ) as started:
        yield started


def _ask(fleet, number, action):
    return fleet.fleet.ask(
        f'/checks/{action}',
        number=number % 2,
        X_Carobwood_Request_Id=f'r-{number}',
    )


def _configure_one_place(fleet):
    """Give engines one place; return once all VMs know it."""
    fields = builders.configuration_fields()
    fields['services'][0]['engine']['slots'] = 1
    routes = [*fields['routes'], builders.route_fields('new')]
    fleet.configure(2, services=fields['services'], routes=routes)
    for number in range(2):
        relay_test_fleet.await_reply(
            lambda: fleet.fleet.ask('/new/x', number=number),
            lambda reply: reply.status == 200,
        )


def test_requests_are_served_as_without_load(fleet):
    fleet.clear_requests()
    replies = [_ask(fleet, number, 'x') for number in range(4)]
    assert [reply.status for reply in replies] == [200] * 4
    assert len(fleet.engine_requests) == 4


def test_engines_get_a_rank_by_customer_and_route(fleet):
    fleet.clear_requests()
    _ask(fleet, 1, 'x')
    fleet.fleet.ask('/captions/x')
    ranks = [
        request['x-carobwood-request-priority']
        for request in fleet.engine_requests
    ]
    assert ranks == ['1', '0']


def test_what_cannot_be_on_time_is_refused_and_not_run(fleet):
    _configure_one_place(fleet)
    fleet.clear_requests()
    with concurrent.futures.ThreadPoolExecutor(CALLERS) as pool:
        replies = list(
            pool.map(
                lambda number: _ask(fleet, number, 'late-3000'),
                range(CALLERS),
            )
        )
    answered = [reply for reply in replies if reply.status == 200]
    refused = [reply for reply in replies if reply.status == 503]
    assert len(answered) >= ENGINES
    assert refused
    assert len(answered) + len(refused) == CALLERS
    assert len(fleet.engine_requests) == len(answered)
    for reply in refused:
        assert 0 < float(reply.headers['retry-after']) <= 5.0 / 3
