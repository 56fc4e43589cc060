"""Endpoints that name a rate limit for all VMs together, over relay VMs."""

import concurrent.futures

import pytest
import relay_test_fleet

# The users' bound: within some 4 s, one and a half times the limit and 5.
WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
# Requests that are sent at the same time.
PARALLEL_REQUESTS = 8


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet of its own, as limits stay known."""
    test_fleet = relay_test_fleet.RelayTestFleet(tmp_path)
    yield test_fleet
    test_fleet.stop()


def _ask(fleet, vm, number, path='/checks/x'):
    return fleet.fleet.ask(
        path,
        number=vm,
        X_Carobwood_Request_Id=f'r-{vm}-{number}',
        X_Carobwood_Prompt_Prefix=f'p{vm}-{number}:6000,own:40',
    )


def _tell_all_vms(fleet, engines):
    """Send requests until each VM has an answer of each of the engines."""
    for vm in range(2):
        fleet.clear_requests()
        numbers = iter(range(100_000))
        relay_test_fleet.await_reply(
            lambda vm=vm, numbers=numbers: _ask(fleet, vm, next(numbers)),
            lambda reply: all(engine.requests for engine in engines),
        )


def _ask_all_vms(fleet, count, path='/checks/x'):
    """Send requests to both VMs in parallel and return the replies."""
    fleet.clear_requests()
    with concurrent.futures.ThreadPoolExecutor(PARALLEL_REQUESTS) as executor:
        calls = [
            executor.submit(_ask, fleet, number % 2, f'l{number}', path)
            for number in range(count)
        ]
        return [call.result() for call in calls]


def _most_in_window(engine):
    times = sorted(engine.received_at)
    return max(
        (
            sum(1 for at in times if start <= at < start + WINDOW_SECONDS)
            for start in times
        ),
        default=0,
    )


def _allowed(limit):
    return TOLERANCE * limit * WINDOW_SECONDS + EXTRA_REQUESTS


@pytest.mark.parametrize('limit', [0.2, 1.0])
def test_all_vms_together_keep_the_limit_that_an_engine_names(fleet, limit):
    limited, other = fleet.engines
    limited.rate_limit = str(limit)
    _tell_all_vms(fleet, fleet.engines)
    replies = _ask_all_vms(fleet, 80)
    assert [reply.status for reply in replies] == [200] * len(replies)
    assert _most_in_window(limited) <= _allowed(limit)
    assert other.requests


def test_a_request_that_all_engines_limit_is_refused_in_time(fleet):
    for engine in fleet.engines:
        engine.rate_limit = '0'
    _tell_all_vms(fleet, fleet.engines)
    replies = _ask_all_vms(fleet, 40)
    refused = [reply for reply in replies if reply.status == 503]
    assert refused
    assert all(int(reply.headers['retry-after']) > 0 for reply in refused)
    for engine in fleet.engines:
        assert _most_in_window(engine) <= _allowed(0)
    assert {reply.status for reply in replies} <= {200, 503}


def test_retries_and_resumed_streams_count_against_the_limit(fleet):
    for engine in fleet.engines:
        engine.rate_limit = '1'
    _tell_all_vms(fleet, fleet.engines)
    _ask_all_vms(fleet, 40, '/captions/reset-after-2')
    for engine in fleet.engines:
        assert _most_in_window(engine) <= _allowed(1)


def test_an_engine_that_names_its_limit_no_more_is_used_as_before(fleet):
    limited, other = fleet.engines
    limited.rate_limit = '1'
    _tell_all_vms(fleet, fleet.engines)
    limited.rate_limit = ''
    other.retry_after = '60'
    numbers = iter(range(100_000))
    # Both VMs learn that the limit has ended, one after the other.
    for vm in range(2):
        for _ in range(10):
            relay_test_fleet.await_reply(
                lambda vm=vm: _ask(fleet, vm, next(numbers)),
                lambda reply: reply.status == 200,
            )
