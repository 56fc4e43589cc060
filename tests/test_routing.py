"""Tests of the choice of an engine and of what it knows."""

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


class Setting:
    """A chooser with four engines."""

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
        """Return the ids of the engines, the best first."""
        prompt = prefix.hash_text(SCOPE, text, 4)
        found = self.chooser.order_engines('production', POOL, {'1': prompt})
        return [candidate.endpoint.id for candidate in found]


def test_all_vms_choose_alike_without_evidence():
    assert Setting().order() == Setting().order()
    assert Setting().order(TEXT)[0] == Setting().order(TEXT + b'tail')[0]


def test_evidence_goes_before_the_hash():
    setting = Setting()
    other = setting.order()[-1]
    prompt = prefix.hash_text(SCOPE, TEXT, 4)
    endpoint = setting.directory.find_endpoint(other)
    setting.placements.note(endpoint, prompt.chain)
    assert setting.order()[0] == other


def test_a_hot_prefix_widens_when_waiting_costs_more():
    setting = Setting()
    first = setting.order()[0]
    endpoint = setting.directory.find_endpoint(first)
    setting.loads.start_prefill(endpoint, 2 * 10000)
    assert setting.order()[0] != first
    setting.loads.end_prefill(endpoint, 2 * 10000)
    assert setting.order()[0] == first


def test_suspected_and_other_weights_go_last_or_not_at_all():
    setting = Setting()
    first = setting.order()[0]
    broken = setting.directory.find_endpoint(first)
    setting.breakers.note_failure(broken, 'test')
    assert setting.order()[-1] == first
    old = dataclasses.replace(
        setting.directory.find_endpoint(first), sequence=2, weights_version='0'
    )
    setting.directory.note_endpoint(old)
    assert first not in setting.order()


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
def test_no_piece_matches_in_another_scope(change):
    other = dataclasses.replace(SCOPE, **change)
    mine = prefix.hash_text(SCOPE, TEXT, 4).chain
    theirs = prefix.hash_text(other, TEXT, 4).chain
    assert not set(mine) & set(theirs)


def test_a_new_incarnation_starts_empty():
    table = placements.Placements()
    chain = prefix.hash_text(SCOPE, TEXT, 4).chain
    old = _endpoint(1)
    table.note(old, chain)
    assert table.cached_pieces(old, chain) == len(chain)
    reborn = dataclasses.replace(old, incarnation=2)
    assert table.cached_pieces(reborn, chain) == 0
    table.note(reborn, chain[:1])
    assert table.cached_pieces(old, chain) == 0


def test_the_life_of_pieces_is_learnt():
    now = [0.0]
    table = placements.Placements(lambda: now[0])
    endpoint = _endpoint(1)
    chain = prefix.hash_text(SCOPE, TEXT, 4).chain
    table.note(endpoint, chain)
    now[0] += 5
    ages = table.note(endpoint, chain)
    assert ages == [5.0] * len(chain)
    table.learn(endpoint, ages, placements.CachedExtent(0, 0))
    now[0] += 4.6
    assert table.cached_pieces(endpoint, chain) == 0


def test_prefill_rates_follow_the_pool():
    rates = prefill_rate.PrefillRates()
    assert rates.seconds_per_token('engines') == 0.0001
    for _ in range(100):
        rates.note('engines', 10000, 0.5)
    assert rates.seconds_per_token('engines') == pytest.approx(0.00005)
    rates.note('engines', 10, 5.0)
    assert rates.seconds_per_token('engines') == pytest.approx(0.00005)


def test_cold_prefixes_spread_evenly_over_engines():
    setting = Setting()
    homes = []
    for number in range(8):
        text = b'%d' % number + TEXT
        prompt = prefix.hash_text(SCOPE, text, 4)
        homes.append(setting.order(text)[0])
        endpoint = setting.directory.find_endpoint(homes[-1])
        setting.placements.note(endpoint, prompt.chain)
    counts = sorted(homes.count(home) for home in set(homes))
    assert counts == [2, 2, 2, 2]
