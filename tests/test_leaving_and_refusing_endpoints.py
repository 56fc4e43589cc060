"""Endpoints that leave or ask for no requests, over relay VMs."""

import dataclasses

import pytest
import relay_test_fleet

# Requests that may follow an answer that closes an endpoint to a VM.
MAX_LATER_REQUESTS = 2


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own, as endpoints stay closed."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


def _ask_both_engines(fleet):
    """Send VM 0 requests until each engine has got one."""

    def ask():
        number = len(fleet.engine_requests)
        return fleet.fleet.ask(
            '/checks/x',
            X_Carobwood_Request_Id=f'r-{number}',
            X_Carobwood_Prompt_Prefix=f'n{number}:6000,own:40',
        )

    relay_test_fleet.await_reply(
        ask, lambda reply: all(engine.requests for engine in fleet.engines)
    )


def _ask_later(fleet, count=12, number=0):
    fleet.clear_requests()
    return [
        fleet.fleet.ask(
            '/checks/x',
            number=number,
            X_Carobwood_Request_Id=f'later-{request}',
            X_Carobwood_Prompt_Prefix=f'l{request}:6000,own:40',
        )
        for request in range(count)
    ]


def test_an_engine_that_says_it_is_leaving_gets_nothing_new(fleet):
    leaving, staying = fleet.engines
    leaving.is_leaving = True
    _ask_both_engines(fleet)
    replies = _ask_later(fleet)
    assert [reply.status for reply in replies] == [200] * len(replies)
    assert leaving.requests == []
    assert len(staying.requests) == len(replies)


def test_an_engine_that_asks_for_no_requests_gets_none(fleet):
    refusing, open_engine = fleet.engines
    refusing.retry_after = '60'
    _ask_both_engines(fleet)
    replies = _ask_later(fleet)
    assert [reply.status for reply in replies] == [200] * len(replies)
    assert len(refusing.requests) <= MAX_LATER_REQUESTS
    assert len(open_engine.requests) == len(replies)


def test_a_request_that_all_engines_refuse_is_answered_at_once(fleet):
    for engine in fleet.engines:
        engine.retry_after = '60'
    _ask_both_engines(fleet)
    for reply in _ask_later(fleet, 3):
        assert reply.status == 503
        assert int(reply.headers['retry-after']) > 30
    assert fleet.engine_requests == []


def test_the_other_vms_learn_of_a_leaving_engine_without_sending(fleet):
    leaving = fleet.engines[0]
    leaving.is_leaving = True
    _ask_both_engines(fleet)
    # No answer tells VM 1, so only VM 0 can.
    leaving.is_leaving = False

    def ask_other_vm():
        fleet.clear_requests()
        return _ask_later(fleet, number=1)

    # Gossip needs a moment; then VM 1 has no more requests for the engine.
    relay_test_fleet.await_reply(
        ask_other_vm, lambda replies: leaving.requests == []
    )
    for _ in range(3):
        replies = ask_other_vm()
        assert {reply.status for reply in replies} == {200}
        assert leaving.requests == []


def test_a_request_chosen_before_the_news_is_not_sent_after_it(
    fleet, monkeypatch
):
    entry_vm = fleet.fleet.vms[len(fleet.fleet.control_ports)]
    acquire = entry_vm.pool.acquire
    told = []

    def acquire_after_news(address, *arguments, **options):
        # The news comes while the connection is made.
        connection = acquire(address, *arguments, **options)
        if not told:
            told.append(address)
            for endpoint in entry_vm.directory.endpoints():
                if endpoint.address == address:
                    entry_vm.directory.merge_endpoint(
                        dataclasses.replace(
                            endpoint,
                            sequence=endpoint.sequence + 1,
                            leaving=True,
                        )
                    )
        return connection

    monkeypatch.setattr(entry_vm.pool, 'acquire', acquire_after_news)
    reply = fleet.fleet.ask('/checks/x')
    assert reply.status == 200
    by_address = {engine.address: engine for engine in fleet.engines}
    assert by_address[told[0]].requests == []
