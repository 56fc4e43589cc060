"""Tests of the claims that let a request run at most once."""

import random

from carobwood_daemon.replication import claims
from carobwood_daemon.replication import commands
import pytest

SEEDS = range(10)
RETENTION_MS = 1000


def _open(claim_id, key='k', digest='d'):
    return commands.OpenClaim(claim_id, 'c', key, digest, RETENTION_MS)


def _settle(claim_id, key='k', body=b'a'):
    return commands.SettleClaim(claim_id, 'c', key, 201, (), body)


def _table():
    return claims.ClaimTable(0, {})


def test_a_claim_is_granted_to_one_attempt_only():
    table = _table()
    assert table.apply(_open('1')) == commands.ClaimGranted()
    assert table.apply(_open('2')) == commands.ClaimUnsettled()
    assert table.apply(_open('1')) == commands.ClaimGranted()
    assert table.apply(_open('2', digest='e')) == commands.ClaimMismatched()
    table.apply(_settle('1'))
    stored = commands.ClaimAnswered(201, (), b'a')
    assert table.apply(_open('3')) == stored
    assert table.apply(_settle('1', body=b'other')) == stored


def test_only_the_holder_releases_a_claim_and_only_before_it_is_settled():
    table = _table()
    table.apply(_open('1'))
    assert isinstance(
        table.apply(commands.ReleaseClaim('2', 'c', 'k')), commands.Absent
    )
    table.apply(_settle('1'))
    table.apply(commands.ReleaseClaim('1', 'c', 'k'))
    assert isinstance(table.apply(_open('3')), commands.ClaimAnswered)


def test_settled_claims_expire_but_unsettled_ones_do_not():
    table = _table()
    table.apply(_open('1', key='unsettled'))
    table.apply(_open('2', key='settled'))
    table.apply(_settle('2', key='settled'))
    table.apply(commands.AdvanceTime(RETENTION_MS))
    assert table.apply(_open('3', key='settled')) == commands.ClaimGranted()
    assert table.apply(_open('4', key='unsettled')) == (
        commands.ClaimUnsettled()
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_a_claim_is_granted_again_only_after_its_release(seed):
    """Random commands against a dictionary of the expected holders.

    If a claim were granted to a second attempt before the first one
    releases it, the request could run twice.
    """
    rng = random.Random(seed)
    table = _table()
    holder_by_key = {}
    for number in range(2000):
        key = f'k{rng.randrange(20)}'
        holder = holder_by_key.get(key)
        match rng.choice(['open', 'open', 'settle', 'release', 'time']):
            case 'open':
                result = table.apply(_open(str(number), key))
                granted = isinstance(result, commands.ClaimGranted)
                assert granted == (holder is None)
                if granted:
                    holder_by_key[key] = str(number)
            case 'settle' if holder:
                table.apply(_settle(holder, key))
            case 'release':
                claim_id = rng.choice([str(number), holder or 'x'])
                result = table.apply(commands.ReleaseClaim(claim_id, 'c', key))
                if isinstance(result, commands.ClaimGranted):
                    assert claim_id == holder
                    del holder_by_key[key]
            case 'time':
                table.apply(commands.AdvanceTime(1))
        # Fleet time stays below the retention, so no claim expires.
        assert table.time_ms < RETENTION_MS
