"""Tests of the selection of an engine and of the estimates it relies on."""

import dataclasses

from carobwood import document
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import circuit_breakers
from carobwood_daemon.routing import endpoint_loads
from carobwood_daemon.routing import endpoint_selector
from carobwood_daemon.routing import policies
from carobwood_daemon.routing import prefill_time
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import prefix_cache_index
import pytest

SCOPE = prefix.Scope('production', 'abyssinia', 'ruling-8b', '1', '')
MODEL = document.Model('ruling-8b', 'engines', '1')
POOL = document.Pool('engines', 'engine')
OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)
# Text of four and a half blocks at four bytes per token.
TEXT = b'x' * int(prefix.BLOCK_TOKENS * 4 * 4.5)


def _endpoint(number, **changes):
    return endpoint_table.Endpoint(
        f'engine-{number}',
        1,
        1,
        '',
        'bole',
        'engines',
        'production',
        '1',
        **changes,
    )


class Fixture:
    """A ``EndpointSelector`` for four engines, which are all idle at first."""

    def __init__(self, policy=None):
        self.directory = directory.Directory(OWN, ())
        for number in range(4):
            self.directory.merge_endpoint(_endpoint(number))
        self.loads = endpoint_loads.EndpointLoads()
        self.circuit_breakers = circuit_breakers.CircuitBreakers()
        self.prefix_cache_index = prefix_cache_index.PrefixCacheIndex()
        self.endpoint_selector = endpoint_selector.EndpointSelector(
            self.directory,
            state_store.StateStore(),
            self.loads,
            self.circuit_breakers,
            self.prefix_cache_index,
            prefill_time.PrefillTimeEstimator(),
            'bole',
            policy or policies.ExpectedTime(),
        )

    def order(self, text=TEXT):
        """Return the ids of the engines for a prompt, the best first."""
        prompt = prefix.hash_text(SCOPE, text, 4)
        candidates = self.endpoint_selector.rank_engines(
            'production', POOL, {'1': prompt}
        )
        return [candidate.endpoint.id for candidate in candidates]


def test_all_vms_select_alike_without_placements():
    assert Fixture().order() == Fixture().order()
    assert Fixture().order(TEXT)[0] == Fixture().order(TEXT + b'tail')[0]


def test_a_cached_prefix_takes_precedence_over_the_hash_order():
    fixture = Fixture()
    other = fixture.order()[-1]
    prompt = prefix.hash_text(SCOPE, TEXT, 4)
    endpoint = fixture.directory.find_endpoint(other)
    fixture.prefix_cache_index.record_use(endpoint, prompt.block_hashes)
    assert fixture.order()[0] == other


def test_a_prefix_moves_to_another_engine_when_its_own_is_overloaded():
    fixture = Fixture()
    first = fixture.order()[0]
    endpoint = fixture.directory.find_endpoint(first)
    fixture.loads.add_prefill_tokens(endpoint, 2 * 10000)
    assert fixture.order()[0] != first
    fixture.loads.remove_prefill_tokens(endpoint, 2 * 10000)
    assert fixture.order()[0] == first


def test_engines_with_an_open_breaker_go_last_and_with_old_weights_never():
    fixture = Fixture()
    first = fixture.order()[0]
    failing = fixture.directory.find_endpoint(first)
    fixture.circuit_breakers.record_failure(failing, 'test')
    assert fixture.order()[-1] == first
    old = dataclasses.replace(
        fixture.directory.find_endpoint(first), sequence=2, weights_version='0'
    )
    fixture.directory.merge_endpoint(old)
    assert first not in fixture.order()


@pytest.mark.parametrize(
    'change',
    [
        {'customer': 'tussock'},
        {'weights_version': '2'},
        {'adapter': 'a'},
        {'model': 'other'},
        {'environment': 'trial'},
    ],
)
def test_block_hashes_of_different_scopes_never_match(change):
    other_scope = dataclasses.replace(SCOPE, **change)
    hashes = prefix.hash_text(SCOPE, TEXT, 4).block_hashes
    other_hashes = prefix.hash_text(other_scope, TEXT, 4).block_hashes
    assert not set(hashes) & set(other_hashes)


def test_a_new_incarnation_has_an_empty_cache():
    index = prefix_cache_index.PrefixCacheIndex()
    block_hashes = prefix.hash_text(SCOPE, TEXT, 4).block_hashes
    old = _endpoint(1)
    index.record_use(old, block_hashes)
    assert index.count_cached_blocks(old, block_hashes) == len(block_hashes)
    restarted = dataclasses.replace(old, incarnation=2)
    assert index.count_cached_blocks(restarted, block_hashes) == 0
    index.record_use(restarted, block_hashes[:1])
    assert index.count_cached_blocks(old, block_hashes) == 0


def test_a_missing_block_shortens_the_estimated_lifetime():
    now = [0.0]
    index = prefix_cache_index.PrefixCacheIndex(lambda: now[0])
    endpoint = _endpoint(1)
    block_hashes = prefix.hash_text(SCOPE, TEXT, 4).block_hashes
    index.record_use(endpoint, block_hashes)
    now[0] += 5
    ages = index.record_use(endpoint, block_hashes)
    assert ages == [5.0] * len(block_hashes)
    index.adjust_lifetime(
        endpoint, ages, prefix_cache_index.CachedExtent(0, 0)
    )
    now[0] += 4.6
    assert index.count_cached_blocks(endpoint, block_hashes) == 0


def test_prefill_time_is_averaged_per_pool():
    prefill_times = prefill_time.PrefillTimeEstimator()
    assert prefill_times.seconds_per_token('engines') == 0.0001
    for _ in range(100):
        prefill_times.add_sample('engines', 10000, 0.5)
    assert prefill_times.seconds_per_token('engines') == pytest.approx(0.00005)
    prefill_times.add_sample('engines', 10, 5.0)
    assert prefill_times.seconds_per_token('engines') == pytest.approx(0.00005)


def test_new_prefixes_spread_evenly_over_engines():
    fixture = Fixture()
    selected = []
    for number in range(8):
        text = b'%d' % number + TEXT
        prompt = prefix.hash_text(SCOPE, text, 4)
        selected.append(fixture.order(text)[0])
        endpoint = fixture.directory.find_endpoint(selected[-1])
        fixture.prefix_cache_index.record_use(endpoint, prompt.block_hashes)
    counts = sorted(selected.count(engine) for engine in set(selected))
    assert counts == [2, 2, 2, 2]
