"""Tests of how failures of engines are attributed to requests."""

import time
import types

from carobwood import document
from carobwood import errors
from carobwood_daemon.entry import engine_attempt
from carobwood_daemon.entry import event_stream
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.routing import cache_events
from carobwood_daemon.routing import circuit_breakers
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import endpoint_loads
from carobwood_daemon.routing import prefill_time
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import prefix_cache_index
import pytest

ENGINE = endpoint_table.Endpoint(
    'engine-1', 1, 1, '127.0.0.1:1', 'bole', 'engines', 'production', '1'
)
FINGERPRINT = 'an innocent request'
PREPARED = types.SimpleNamespace(
    fingerprint=FINGERPRINT,
    prompt_for=lambda _: prefix.Prompt(1, (b'piece',)),
    pool=document.Pool('engines', 'engine'),
)


class EndpointLocks:
    """Grants every lock on an engine and counts the locks that are held."""

    def __init__(self):
        self.held = 0
        self.on_hold = lambda: None

    def acquire(self, *arguments):
        self.held += 1
        self.on_hold()

    def release(self, *arguments):
        self.held -= 1


@pytest.fixture
def context():
    return types.SimpleNamespace(
        crash_suspects=crash_suspects.CrashSuspects(),
        loads=endpoint_loads.EndpointLoads(),
        circuit_breakers=circuit_breakers.CircuitBreakers(),
        prefix_cache_index=prefix_cache_index.PrefixCacheIndex(),
        endpoint_locks=EndpointLocks(),
        cache_events=cache_events.CacheEvents(
            prefix_cache_index.PrefixCacheIndex()
        ),
        prefill_times=prefill_time.PrefillTimeEstimator(),
        endpoint_selector=types.SimpleNamespace(uncached_tokens=lambda *_: 1),
    )


def test_a_crash_before_the_connection_is_no_strike(context):
    attempt = engine_attempt.EngineAttempt(context, ENGINE, PREPARED)
    attempt.start()
    context.crash_suspects.record_crash(ENGINE)
    assert not context.crash_suspects.is_suspect(FINGERPRINT)
    attempt.finish()
    assert context.loads.open_requests(ENGINE) == 0


def test_a_crash_after_the_connection_is_a_strike(context):
    attempt = engine_attempt.EngineAttempt(context, ENGINE, PREPARED)
    attempt.start()
    attempt.note_connected()
    context.crash_suspects.record_crash(ENGINE)
    assert context.crash_suspects.is_suspect(FINGERPRINT)
    attempt.finish()
    context.crash_suspects.expire_strikes(FINGERPRINT)
    context.crash_suspects.record_crash(ENGINE)
    assert not context.crash_suspects.is_suspect(FINGERPRINT)


def test_a_suspect_is_not_sent_to_a_dead_engine(context):
    # Nothing listens on port 1 of the engine's address, as if the engine
    # had died while the suspect waited for its lock.
    context.crash_suspects.merge(
        {(FINGERPRINT, 'engine-2/1'): time.monotonic()}
    )
    attempt = engine_attempt.EngineAttempt(context, ENGINE, PREPARED)
    with pytest.raises(errors.EndpointUnreachable):
        attempt.start_exclusively(1.0)
    assert context.endpoint_locks.held == 0
    assert context.loads.open_requests(ENGINE) == 0
    context.crash_suspects.refuse_if_crashing(FINGERPRINT)


def test_a_suspect_is_refused_if_another_copy_crashed_the_engine(context):
    suspects_of_vm = context.crash_suspects
    now = time.monotonic()
    suspects_of_vm.merge({(FINGERPRINT, 'engine-2/1'): now})
    context.endpoint_locks.on_hold = lambda: suspects_of_vm.merge(
        {(FINGERPRINT, 'engine-1/1'): now}
    )
    attempt = engine_attempt.EngineAttempt(context, ENGINE, PREPARED)
    with pytest.raises(errors.RequestCrashesEndpoints):
        attempt.start_exclusively(1.0)
    assert context.endpoint_locks.held == 0


def test_a_late_report_does_not_restore_a_cleared_strike(context):
    strike = {(FINGERPRINT, 'engine-2/1'): time.monotonic()}
    context.crash_suspects.merge(strike)
    context.crash_suspects.expire_strikes(FINGERPRINT)
    context.crash_suspects.merge(strike)
    assert not context.crash_suspects.is_suspect(FINGERPRINT)
    context.crash_suspects.merge(
        {(FINGERPRINT, 'engine-3/1'): time.monotonic()}
    )
    assert context.crash_suspects.is_suspect(FINGERPRINT)


@pytest.mark.parametrize('engine_bytes_per_token', [3.0, 4.0, 6.0])
def test_a_full_cache_hit_does_not_shorten_the_lifetime(
    context, engine_bytes_per_token
):
    # The prompt shares 5.4 blocks of the router with the previous one.
    # Engines divide prompts into blocks by tokens and the router by bytes, so
    # a hit of all shared engine blocks must not count as an eviction.
    text = b'x' * 33000
    scope = prefix.Scope('production', 'c', 'm', '1', '')
    previous = prefix.hash_text(scope, text + b'a' * 900, 3)
    current = prefix.hash_text(scope, text + b'b' * 900, 3)
    now = [100.0]
    context.prefix_cache_index = prefix_cache_index.PrefixCacheIndex(
        lambda: now[0]
    )
    context.prefix_cache_index.record_use(ENGINE, previous.block_hashes)
    now[0] += 5.0
    prepared = types.SimpleNamespace(
        fingerprint=FINGERPRINT,
        prompt_for=lambda _: current,
        pool=PREPARED.pool,
    )
    attempt = engine_attempt.EngineAttempt(context, ENGINE, prepared)
    attempt.start()
    prompt_tokens = int(33900 / engine_bytes_per_token)
    shared_tokens = int(33000 / engine_bytes_per_token)
    cached_tokens = shared_tokens // prefix.BLOCK_TOKENS * prefix.BLOCK_TOKENS
    attempt.record_usage(
        'r1', event_stream.Usage(prompt_tokens, 1, cached_tokens)
    )
    # If the lifetime had been shortened, the blocks would have expired.
    now[0] += 5.0
    held_blocks = context.prefix_cache_index.count_cached_blocks(
        ENGINE, previous.block_hashes
    )
    assert held_blocks == len(previous.block_hashes)


# A VM without descriptors opened the circuit breaker of an engine.
@pytest.mark.parametrize(
    'error, is_open',
    [
        (errors.DescriptorsUsedUp('no descriptor'), False),
        (errors.LocalPortsUsedUp('no local port'), False),
        (errors.EndpointUnreachable('refused'), True),
    ],
)
def test_a_lack_of_the_vm_is_no_failure_of_an_engine(context, error, is_open):
    failures = []
    context.circuit_breakers = types.SimpleNamespace(
        record_failure=lambda endpoint, code: failures.append(code)
    )
    attempt = engine_attempt.EngineAttempt(context, ENGINE, PREPARED)
    attempt.start()
    attempt.fail(error)
    assert bool(failures) is is_open
