"""Tests of a VM's share of the connections that endpoints accept."""

import random

from carobwood import events
from carobwood_daemon.relay import connection_shares
import pytest
import relay_builders as builders

ADDRESS = '10.0.0.1:80'


def _shares(limit=540, vm_count=64, **options):
    clock = builders.Clock()
    limits = {ADDRESS: connection_shares.EndpointLimit(limit, 'engine')}
    shares = connection_shares.ConnectionShares(
        lambda: limits, lambda: vm_count, clock, random.Random(1), **options
    )
    shares.refresh()
    return shares, clock


@pytest.mark.parametrize('vm_count', [2, 8, 64, 200])
def test_the_shares_of_all_vms_leave_a_part_for_vms_that_start(vm_count):
    shares, _ = _shares(vm_count=vm_count)
    assert shares.max_in_use(ADDRESS) * vm_count <= 540 * 0.75


def test_a_vm_may_send_requests_however_small_its_share_is():
    shares, _ = _shares(limit=20)
    assert shares.max_in_use(ADDRESS) == connection_shares.MIN_IN_USE
    assert shares.max_idle(ADDRESS, 0) == 0


def test_an_endpoint_without_a_known_limit_gets_as_many_as_are_needed():
    shares, _ = _shares(limit=0)
    assert shares.max_in_use(ADDRESS) > 1000
    assert shares.max_in_use('10.0.0.2:80') > 1000
    assert shares.max_idle(ADDRESS, 5) == 1


def test_idle_connections_follow_those_that_were_reused_at_a_time():
    shares, clock = _shares(vm_count=8)
    assert shares.max_idle(ADDRESS, 0) == 1
    shares.note_use(ADDRESS, 5)
    assert shares.max_idle(ADDRESS, 0) == 5
    clock.advance(2 * connection_shares.USE_WINDOW_SECONDS)
    assert shares.max_idle(ADDRESS, 0) == 1


def test_idle_connections_give_way_to_those_in_use():
    shares, _ = _shares()
    shares.note_use(ADDRESS, 5)
    in_use = shares.max_in_use(ADDRESS)
    assert shares.max_idle(ADDRESS, in_use - 1) == 1
    assert shares.max_idle(ADDRESS, in_use) == 0


def test_a_reset_closes_an_endpoint_for_a_while_and_halves_the_share():
    shares, clock = _shares()
    before = shares.max_in_use(ADDRESS)
    shares.note_reset(ADDRESS, 3)
    seconds = shares.seconds_until_open(ADDRESS)
    assert 0 < seconds <= 0.15
    assert shares.is_wary(ADDRESS)
    assert shares.max_idle(ADDRESS, 0) == 0
    assert shares.max_in_use(ADDRESS) == before // 2
    clock.advance(connection_shares.SHARE_RECOVERY_SECONDS)
    shares.refresh()
    assert not shares.seconds_until_open(ADDRESS)
    assert not shares.is_wary(ADDRESS)
    assert shares.max_in_use(ADDRESS) == before


def test_connections_that_are_reset_together_count_once():
    shares, _ = _shares()
    shares.note_reset(ADDRESS, 3)
    seconds = shares.seconds_until_open(ADDRESS)
    for _ in range(20):
        shares.note_reset(ADDRESS, 3)
    assert shares.seconds_until_open(ADDRESS) == seconds


def test_backoffs_grow_to_a_bound_until_a_connection_is_accepted():
    shares, clock = _shares()
    lengths = []
    for _ in range(12):
        shares.note_reset(ADDRESS, 0)
        lengths.append(shares.seconds_until_open(ADDRESS))
        clock.advance(lengths[-1])
    most = connection_shares.MAX_BACKOFF_SECONDS
    assert most <= lengths[-1] <= most * 1.5
    assert sum(lengths) > 8 * most
    shares.note_accepted(ADDRESS)
    shares.note_reset(ADDRESS, 0)
    assert shares.seconds_until_open(ADDRESS) < 0.2


def test_vms_come_back_in_turn_after_resets_at_the_same_moment():
    clock = builders.Clock()
    lengths = set()
    for seed in range(20):
        shares = connection_shares.ConnectionShares(
            dict, lambda: 20, clock, random.Random(seed)
        )
        shares.note_reset(ADDRESS, 1)
        lengths.add(round(shares.seconds_until_open(ADDRESS), 3))
    assert len(lengths) > 10


def test_a_backoff_is_logged_with_its_inputs(monkeypatch):
    lines = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: lines.append((event, fields))
    )
    shares, _ = _shares()
    shares.note_reset(ADDRESS, 4)
    shares.note_reset(ADDRESS, 4)
    [(event, fields)] = lines
    assert event is events.CONNECTIONS_BACKED_OFF
    assert fields['address'] == ADDRESS
    assert (fields['open'], fields['vms'], fields['resets']) == (4, 64, 1)


def test_what_is_known_of_an_endpoint_that_is_gone_is_forgotten():
    limits = {ADDRESS: connection_shares.EndpointLimit(540)}
    shares = connection_shares.ConnectionShares(
        lambda: limits, lambda: 1, builders.Clock(), random.Random(1)
    )
    shares.refresh()
    shares.note_reset(ADDRESS, 1)
    limits.clear()
    shares.refresh()
    assert not shares.seconds_until_open(ADDRESS)
