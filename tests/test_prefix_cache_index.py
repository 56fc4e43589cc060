"""Tests of the exchange of placements between VMs."""

import dataclasses

from carobwood import clocks
from carobwood_daemon.membership import cache_update_messages
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.membership import prefix_cache_persister
from carobwood_daemon.replication import data_folder
from carobwood_daemon.routing import cache_update_log
from carobwood_daemon.routing import prefix
from carobwood_daemon.routing import prefix_cache_index
import pytest

ENGINE = endpoint_table.Endpoint(
    'engine-1', 5, 1, '', 'bole', 'engines', 'production', '1'
)
SENDER = cache_update_log.Source('vm2')
BLOCK_HASHES = tuple(bytes([n]) * prefix.DIGEST_BYTES for n in range(4))


def _replicate(sender, receiver, position=0):
    page = sender.log.read(position)
    cache_update_messages.merge_thrift(
        receiver, cache_update_messages.to_thrift(page.records), SENDER
    )
    return page.next_position


def test_another_vm_merges_a_placement():
    sender, receiver = (
        prefix_cache_index.PrefixCacheIndex(),
        prefix_cache_index.PrefixCacheIndex(),
    )
    sender.record_use(ENGINE, BLOCK_HASHES)
    _replicate(sender, receiver)
    assert receiver.count_cached_blocks(ENGINE, BLOCK_HASHES) == len(
        BLOCK_HASHES
    )
    assert receiver.count_blocks(ENGINE) == len(BLOCK_HASHES)
    own_page = receiver.log.read(
        0, lambda source: source == cache_update_log.OWN
    )
    assert own_page.records == ()


def test_a_merged_placement_is_passed_on_once():
    sender, receiver = (
        prefix_cache_index.PrefixCacheIndex(),
        prefix_cache_index.PrefixCacheIndex(),
    )
    sender.record_use(ENGINE, BLOCK_HASHES)
    for _ in range(3):
        _replicate(sender, receiver)
    page = receiver.log.read(0, lambda source: source == SENDER)
    assert [r.block_hashes for r in page.records] == [BLOCK_HASHES]


def test_a_merged_removal_is_passed_on_once():
    sender, receiver = (
        prefix_cache_index.PrefixCacheIndex(),
        prefix_cache_index.PrefixCacheIndex(),
    )
    sender.record_use(ENGINE, BLOCK_HASHES)
    position = _replicate(sender, receiver)
    sender.remove(ENGINE, BLOCK_HASHES[1:], clocks.now())
    for _ in range(3):
        _replicate(sender, receiver, position)
    page = receiver.log.read(1)
    assert [(r.block_hashes, r.is_removed) for r in page.records] == [
        (BLOCK_HASHES[1:], True)
    ]


def test_a_late_record_does_not_restore_an_old_incarnation():
    sender, receiver = (
        prefix_cache_index.PrefixCacheIndex(),
        prefix_cache_index.PrefixCacheIndex(),
    )
    sender.record_use(ENGINE, BLOCK_HASHES)
    restarted = dataclasses.replace(ENGINE, incarnation=6)
    receiver.record_use(restarted, BLOCK_HASHES[:1])
    _replicate(sender, receiver)
    assert receiver.count_cached_blocks(ENGINE, BLOCK_HASHES) == 0
    assert receiver.count_cached_blocks(restarted, BLOCK_HASHES) == 1


def test_a_repeated_use_is_logged_only_after_the_renewal_time():
    now = [100.0]
    index = prefix_cache_index.PrefixCacheIndex(lambda: now[0])
    index.record_use(ENGINE, BLOCK_HASHES)
    index.record_use(ENGINE, BLOCK_HASHES)
    assert len(index.log.read(0).records) == 1
    now[0] += (
        prefix_cache_index.RENEWAL_FRACTION
        * prefix_cache_index.INITIAL_LIFETIME_SECONDS
    )
    index.record_use(ENGINE, BLOCK_HASHES[:2])
    assert index.log.read(1).records[0].block_hashes == BLOCK_HASHES[:2]


def test_a_late_record_does_not_change_the_time_of_the_last_use():
    now = [100.0]
    index = prefix_cache_index.PrefixCacheIndex(lambda: now[0])
    index.record_use(ENGINE, BLOCK_HASHES)
    index.merge(
        cache_update_log.CacheUpdate('engine-1', 5, BLOCK_HASHES, 50.0)
    )
    now[0] += prefix_cache_index.INITIAL_LIFETIME_SECONDS - 1
    assert index.count_cached_blocks(ENGINE, BLOCK_HASHES) == len(BLOCK_HASHES)
    now[0] += 2
    assert index.count_cached_blocks(ENGINE, BLOCK_HASHES) == 0
    assert index.count_blocks(ENGINE) == 0


@pytest.mark.parametrize('excess', [0, 10])
def test_a_reader_gets_each_record_once_or_misses_the_oldest(excess):
    log = cache_update_log.CacheUpdateLog()
    for number in range(cache_update_log.MAX_RECORDS + excess):
        log.append(cache_update_log.CacheUpdate('engine-1', number, (), 0.0))
    position = 0
    found = []
    while True:
        page = log.read(position)
        if not page.records:
            break
        found += [record.incarnation for record in page.records]
        position = page.next_position
    end = cache_update_log.MAX_RECORDS + excess
    assert found == list(range(excess, end))


def test_listeners_are_called_only_for_a_new_prefix():
    index = prefix_cache_index.PrefixCacheIndex()
    calls = []
    index.on_new_prefix(lambda: calls.append(1))
    index.record_use(ENGINE, BLOCK_HASHES[:2])
    index.record_use(ENGINE, BLOCK_HASHES)
    assert len(calls) == 1


def test_placements_survive_a_restart(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    before = prefix_cache_index.PrefixCacheIndex()
    before.record_use(ENGINE, BLOCK_HASHES)
    prefix_cache_persister.PrefixCachePersister(folder, before).save()
    after = prefix_cache_index.PrefixCacheIndex()
    prefix_cache_persister.PrefixCachePersister(folder, after).load()
    assert after.count_cached_blocks(ENGINE, BLOCK_HASHES) == len(BLOCK_HASHES)
    restarted = dataclasses.replace(ENGINE, incarnation=6)
    assert after.count_cached_blocks(restarted, BLOCK_HASHES) == 0
    # Another VM without a data folder receives the loaded placements.
    peer = prefix_cache_index.PrefixCacheIndex()
    _replicate(after, peer)
    assert peer.count_cached_blocks(ENGINE, BLOCK_HASHES) == len(BLOCK_HASHES)
    folder.close()


def test_the_most_recent_placements_are_exported():
    now = [100.0]
    index = prefix_cache_index.PrefixCacheIndex(lambda: now[0])
    count = prefix_cache_index.MAX_EXPORTED_BLOCKS // len(BLOCK_HASHES) + 10
    for number in range(count):
        now[0] += 0.001
        suffix = number.to_bytes(prefix.DIGEST_BYTES - 1, 'big')
        index.record_use(
            ENGINE, [bytes([n]) + suffix for n in range(len(BLOCK_HASHES))]
        )
    exported = [block for r in index.export() for block in r.block_hashes]
    assert len(exported) == prefix_cache_index.MAX_EXPORTED_BLOCKS
    last_suffix = (count - 1).to_bytes(prefix.DIGEST_BYTES - 1, 'big')
    assert b'\x00' + last_suffix in exported
