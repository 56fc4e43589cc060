"""Tests of the selection of an engine and of the estimates it relies on."""

import dataclasses

from carobwood import document
from carobwood_daemon.membership import directory
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import breakers
from carobwood_daemon.routing import chooser
from carobwood_daemon.routing import loads
from carobwood_daemon.routing import placements
from carobwood_daemon.routing import policies
from carobwood_daemon.routing import prefill_rate
from carobwood_daemon.routing import prefix
import pytest

SCOPE = prefix.Scope('production', 'abyssinia', 'ruling-8b', '1', '')
MODEL = document.Model('ruling-8b', 'engines', '1')
POOL = document.Pool('engines', 'engine')
OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, False)
# Text of four and a half blocks at four bytes per token.
TEXT = b'x' * int(prefix.PIECE_TOKENS * 4 * 4.5)


def _endpoint(number, **changes):
    return directory.Endpoint(
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
    """A ``Chooser`` for four engines, which are all idle at first."""

    def __init__(self, policy=None):
        self.directory = directory.Directory(OWN, ())
        for number in range(4):
            self.directory.note_endpoint(_endpoint(number))
        self.loads = loads.Loads()
        self.breakers = breakers.Breakers()
        self.placements = placements.Placements()
        self.chooser = chooser.Chooser(
            self.directory,
            state_store.StateStore(),
            self.loads,
            self.breakers,
            self.placements,
            prefill_rate.PrefillRates(),
            'bole',
            policy or policies.ExpectedTime(),
        )

    def order(self, text=TEXT):
        """Return the ids of the engines for a prompt, the best first."""
        prompt = prefix.hash_text(SCOPE, text, 4)
        candidates = self.chooser.order_engines(
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
    fixture.placements.note(endpoint, prompt.chain)
    assert fixture.order()[0] == other


def test_a_prefix_moves_to_another_engine_when_its_own_is_overloaded():
    fixture = Fixture()
    first = fixture.order()[0]
    endpoint = fixture.directory.find_endpoint(first)
    fixture.loads.start_prefill(endpoint, 2 * 10000)
    assert fixture.order()[0] != first
    fixture.loads.end_prefill(endpoint, 2 * 10000)
    assert fixture.order()[0] == first


def test_engines_with_an_open_breaker_go_last_and_with_old_weights_never():
    fixture = Fixture()
    first = fixture.order()[0]
    failing = fixture.directory.find_endpoint(first)
    fixture.breakers.note_failure(failing, 'test')
    assert fixture.order()[-1] == first
    old = dataclasses.replace(
        fixture.directory.find_endpoint(first), sequence=2, weights_version='0'
    )
    fixture.directory.note_endpoint(old)
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
    hashes = prefix.hash_text(SCOPE, TEXT, 4).chain
    other_hashes = prefix.hash_text(other_scope, TEXT, 4).chain
    assert not set(hashes) & set(other_hashes)


def test_a_new_incarnation_has_an_empty_cache():
    index = placements.Placements()
    block_hashes = prefix.hash_text(SCOPE, TEXT, 4).chain
    old = _endpoint(1)
    index.note(old, block_hashes)
    assert index.cached_pieces(old, block_hashes) == len(block_hashes)
    restarted = dataclasses.replace(old, incarnation=2)
    assert index.cached_pieces(restarted, block_hashes) == 0
    index.note(restarted, block_hashes[:1])
    assert index.cached_pieces(old, block_hashes) == 0


def test_a_missing_block_shortens_the_estimated_lifetime():
    now = [0.0]
    index = placements.Placements(lambda: now[0])
    endpoint = _endpoint(1)
    block_hashes = prefix.hash_text(SCOPE, TEXT, 4).chain
    index.note(endpoint, block_hashes)
    now[0] += 5
    ages = index.note(endpoint, block_hashes)
    assert ages == [5.0] * len(block_hashes)
    index.learn(endpoint, ages, placements.CachedExtent(0, 0))
    now[0] += 4.6
    assert index.cached_pieces(endpoint, block_hashes) == 0


def test_prefill_time_is_averaged_per_pool():
    rates = prefill_rate.PrefillRates()
    assert rates.seconds_per_token('engines') == 0.0001
    for _ in range(100):
        rates.note('engines', 10000, 0.5)
    assert rates.seconds_per_token('engines') == pytest.approx(0.00005)
    rates.note('engines', 10, 5.0)
    assert rates.seconds_per_token('engines') == pytest.approx(0.00005)


def test_new_prefixes_spread_evenly_over_engines():
    fixture = Fixture()
    selected = []
    for number in range(8):
        text = b'%d' % number + TEXT
        prompt = prefix.hash_text(SCOPE, text, 4)
        selected.append(fixture.order(text)[0])
        endpoint = fixture.directory.find_endpoint(selected[-1])
        fixture.placements.note(endpoint, prompt.chain)
    counts = sorted(selected.count(engine) for engine in set(selected))
    assert counts == [2, 2, 2, 2]
