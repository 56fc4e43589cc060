"""Tests of what counts as a crash of an endpoint that ran a request."""

import types

from carobwood import clocks
from carobwood import errors
from carobwood_daemon.relay import endpoint_health
from carobwood_daemon.relay import result_recorder
from carobwood_daemon.routing import crash_suspects
import pytest
import relay_builders as builders

FAILURE = errors.EndpointFailed('the connection was reset')


UNREACHABLE = errors.EndpointUnreachable('unreachable')
SILENT = errors.EndpointUnreachable('no connection in time')
SILENT.is_timeout = True
SHORTAGE = errors.DescriptorsUsedUp('no descriptor is left')


class FakePool:
    """A connection pool of which some addresses accept connections.

    Attributes:
        reachable: those addresses.
        error: what a connection to another address raises.
        closed: addresses whose idle connections were closed.
    """

    def __init__(self, reachable, error=UNREACHABLE):
        self.reachable = set(reachable)
        self.error = error
        self.closed = []

    def acquire(self, address, may_reuse, timeout, instance):
        """See ``ConnectionPool``; the address serves as the connection."""
        del may_reuse, timeout, instance
        if address not in self.reachable:
            raise self.error
        return address

    def release(self, address, connection, idle_seconds, instance):
        """See ``ConnectionPool``."""

    def close_idle(self, address):
        """See ``ConnectionPool``."""
        self.closed.append(address)


class FakeRollouts:
    """Keeps what is told of failed attempts.

    Attributes:
        failures: whether each is spoiled, and whether its endpoint crashed.
    """

    def __init__(self):
        self.failures = []

    def note_failed(self, assignment, is_spoiled, has_crashed):
        """See ``EntryRollouts``."""
        del assignment
        self.failures.append((is_spoiled, has_crashed))


def _endpoints(count):
    return [
        builders.endpoint(f'engine-{n}', address=f'10.0.0.{n}:1')
        for n in range(count)
    ]


def _harness(endpoints, reachable, error=UNREACHABLE):
    """Return the context, and the recorder of a request."""
    stub = types.SimpleNamespace
    clock = builders.Clock()
    context = stub(
        health=endpoint_health.EndpointHealth(clock),
        pool=FakePool((endpoint.address for endpoint in reachable), error),
        crash_suspects=crash_suspects.CrashSuspects(clock),
        directory=stub(serving_endpoints=lambda: endpoints),
        reachability=stub(is_cut_off=False),
        gate=stub(is_interrupted=False),
        rollouts=FakeRollouts(),
        segment_suspects=stub(record_crash=lambda *args: None),
    )
    recorder = result_recorder.ResultRecorder(
        context,
        stub(
            fingerprint='request',
            segment_keys=(),
            metadata=stub(request_id='r-1', prompt_segments=()),
        ),
    )
    return context, recorder


def _assignment(endpoint):
    return types.SimpleNamespace(endpoint=endpoint)


def _fail_at_first(endpoints, reachable):
    """Let a request fail at the first endpoint.

    Returns:
        Whether the recorder takes it for a crash, and the ``CrashSuspects``.
    """
    context, recorder = _harness(endpoints, reachable)
    has_crashed = recorder.note_failed(_assignment(endpoints[0]), FAILURE)
    return has_crashed, context.crash_suspects


def _has_strike(suspects):
    return bool(suspects.unexpired_strikes('request'))


def test_a_partition_from_all_endpoints_is_not_taken_for_a_crash():
    has_crashed, suspects = _fail_at_first(_endpoints(4), [])
    assert not has_crashed
    assert not _has_strike(suspects)


@pytest.mark.parametrize('count', [2, 5, 59])
def test_an_endpoint_that_is_unreachable_while_others_are_not_has_crashed(
    count,
):
    endpoints = _endpoints(count)
    has_crashed, suspects = _fail_at_first(endpoints, endpoints[1:])
    assert has_crashed
    assert _has_strike(suspects)


def test_a_strike_on_a_machine_that_has_just_booted_is_not_expired(
    monkeypatch,
):
    monkeypatch.setattr(clocks, 'now', lambda: 1.0)
    endpoints = _endpoints(2)
    _, suspects = _fail_at_first(endpoints, endpoints[1:])
    assert _has_strike(suspects)


def test_the_only_endpoint_that_is_unreachable_has_crashed():
    has_crashed, _ = _fail_at_first(_endpoints(1), [])
    assert has_crashed


def test_an_endpoint_that_accepts_connections_has_not_crashed():
    endpoints = _endpoints(2)
    has_crashed, suspects = _fail_at_first(endpoints, endpoints)
    assert not has_crashed
    assert not _has_strike(suspects)


# An endpoint that had too many connections was taken for crashed, ejected and
# probed, and the request was refused as the cause.
def test_an_endpoint_with_too_many_connections_has_not_crashed():
    endpoints = _endpoints(2)
    error = errors.EndpointUnreachable('reset')
    error.is_reset = True
    context, recorder = _harness(endpoints, endpoints[1:], error)
    assert not recorder.note_failed(_assignment(endpoints[0]), FAILURE)
    assert not _has_strike(context.crash_suspects)
    assert not context.health.is_ejected(endpoints[0])
    assert context.pool.closed == []


# A VM without a descriptor took an endpoint for crashed, and the request for
# the cause.
def test_a_shortage_of_the_vm_is_not_taken_for_a_crash():
    [endpoint] = _endpoints(1)
    context, recorder = _harness([endpoint], [], SHORTAGE)
    assert not recorder.note_failed(_assignment(endpoint), FAILURE)
    assert not _has_strike(context.crash_suspects)
    assert not context.health.is_ejected(endpoint)
    assert context.pool.closed == []


# An endpoint that takes no connection for a moment lost those that it serves.
@pytest.mark.parametrize('error, is_closed', [(SILENT, 0), (UNREACHABLE, 1)])
def test_only_a_refused_connection_ends_the_idle_ones(error, is_closed):
    first, second = _endpoints(2)
    context, recorder = _harness([first, second], [second], error)
    recorder.note_failed(_assignment(first), FAILURE)
    assert context.health.is_ejected(first)
    assert context.pool.closed == [first.address] * is_closed


@pytest.mark.parametrize('is_reachable', [False, True])
def test_a_crash_is_told_apart_from_a_failure_of_the_version(is_reachable):
    first, second = endpoints = _endpoints(2)
    context, recorder = _harness(endpoints, endpoints[1 - is_reachable :])
    recorder.note_failed_attempt(_assignment(first), FAILURE, 0.0, None)
    assert context.rollouts.failures == [(False, not is_reachable)]


def test_a_request_that_was_suspected_before_is_no_evidence():
    endpoints = _endpoints(2)
    context, recorder = _harness(endpoints, endpoints[1:])
    recorder.note_failed_attempt(_assignment(endpoints[0]), FAILURE, 0.0, None)
    recorder.note_failed_attempt(_assignment(endpoints[0]), FAILURE, 0.0, None)
    assert context.rollouts.failures == [(False, True), (True, True)]
