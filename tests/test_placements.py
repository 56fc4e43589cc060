"""Tests of what VMs tell each other about caches."""

import dataclasses

from carobwood_daemon.membership import directory
from carobwood_daemon.membership import placement_keeper
from carobwood_daemon.membership import placement_news
from carobwood_daemon.replication import data_folder
from carobwood_daemon.routing import placement_log
from carobwood_daemon.routing import placements
from carobwood_daemon.routing import prefix
import pytest

ENGINE = directory.Endpoint(
    'engine-1', 5, 1, '', 'bole', 'engines', 'production', '1'
)
CHAIN = tuple(bytes([n]) * prefix.DIGEST_BYTES for n in range(4))


def _pass_on(sender, receiver, position=0):
    page = sender.log.read(position)
    placement_news.take_over(receiver, placement_news.describe(page.records))
    return page.next_position


def test_another_vm_learns_of_a_placement():
    sender, receiver = placements.Placements(), placements.Placements()
    sender.note(ENGINE, CHAIN)
    _pass_on(sender, receiver)
    assert receiver.cached_pieces(ENGINE, CHAIN) == len(CHAIN)
    assert receiver.resident_pieces(ENGINE) == len(CHAIN)
    assert receiver.log.read(0).records == ()


def test_a_dead_incarnation_is_not_brought_back_by_late_news():
    sender, receiver = placements.Placements(), placements.Placements()
    sender.note(ENGINE, CHAIN)
    reborn = dataclasses.replace(ENGINE, incarnation=6)
    receiver.note(reborn, CHAIN[:1])
    _pass_on(sender, receiver)
    assert receiver.cached_pieces(ENGINE, CHAIN) == 0
    assert receiver.cached_pieces(reborn, CHAIN) == 1


def test_a_use_is_told_again_after_a_while_only():
    now = [100.0]
    table = placements.Placements(lambda: now[0])
    table.note(ENGINE, CHAIN)
    table.note(ENGINE, CHAIN)
    assert len(table.log.read(0).records) == 1
    now[0] += placements.RENEWAL_SECONDS
    table.note(ENGINE, CHAIN[:2])
    assert table.log.read(1).records[0].pieces == CHAIN[:2]


def test_late_news_makes_nothing_younger_or_older():
    now = [100.0]
    table = placements.Placements(lambda: now[0])
    table.note(ENGINE, CHAIN)
    table.take_over(placement_log.Placement('engine-1', 5, CHAIN, 50.0))
    now[0] += placements.INITIAL_LIFETIME - 1
    assert table.cached_pieces(ENGINE, CHAIN) == len(CHAIN)
    now[0] += 2
    assert table.cached_pieces(ENGINE, CHAIN) == 0
    assert table.resident_pieces(ENGINE) == 0


@pytest.mark.parametrize('surplus', [0, 10])
def test_a_reader_gets_each_record_once_or_misses_the_oldest(surplus):
    log = placement_log.PlacementLog()
    for number in range(placement_log.MAX_RECORDS + surplus):
        log.append(placement_log.Placement('engine-1', number, (), 0.0))
    position = 0
    found = []
    while True:
        page = log.read(position)
        if not page.records:
            break
        found += [record.incarnation for record in page.records]
        position = page.next_position
    last = placement_log.MAX_RECORDS + surplus
    assert found == list(range(surplus, last))


def test_only_a_new_prefix_is_told_at_once():
    table = placements.Placements()
    calls = []
    table.on_new_prefix(lambda: calls.append(1))
    table.note(ENGINE, CHAIN[:2])
    table.note(ENGINE, CHAIN)
    assert len(calls) == 1


def test_placements_survive_a_restart(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    before = placements.Placements()
    before.note(ENGINE, CHAIN)
    placement_keeper.PlacementKeeper(folder, before).save()
    after = placements.Placements()
    placement_keeper.PlacementKeeper(folder, after).load()
    assert after.cached_pieces(ENGINE, CHAIN) == len(CHAIN)
    reborn = dataclasses.replace(ENGINE, incarnation=6)
    assert after.cached_pieces(reborn, CHAIN) == 0
    # A peer without a disk hears of them.
    peer = placements.Placements()
    _pass_on(after, peer)
    assert peer.cached_pieces(ENGINE, CHAIN) == len(CHAIN)
    folder.close()


def test_the_latest_placements_are_exported():
    now = [100.0]
    table = placements.Placements(lambda: now[0])
    count = placements.MAX_EXPORTED // len(CHAIN) + 10
    for number in range(count):
        now[0] += 0.001
        name = number.to_bytes(prefix.DIGEST_BYTES - 1, 'big')
        table.note(ENGINE, [bytes([n]) + name for n in range(len(CHAIN))])
    exported = [piece for r in table.export() for piece in r.pieces]
    assert len(exported) == placements.MAX_EXPORTED
    last = (count - 1).to_bytes(prefix.DIGEST_BYTES - 1, 'big')
    assert b'\x00' + last in exported
