"""Tests of the recorded contents of KV cache stores."""

import types
from unittest import mock

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import change_log
from carobwood_daemon.membership import gossip_records
from carobwood_daemon.relay import block_digests
from carobwood_daemon.relay import kv_stores
from carobwood_daemon.relay import messages
from carobwood_daemon.routing import crash_suspects
from carobwood_daemon.routing import prefix_cache_index


ADDRESS = '10.0.0.1:1'


def _added(salt, segment_id):
    return messages.CacheEvent(True, salt, segment_id)


def _batch(next_position, *changes, boot_epoch=1):
    return messages.CacheEventBatch(boot_epoch, next_position, changes)


class FakeDialect:
    """Returns scripted batches of cache events, then fails."""

    def __init__(self, *batches):
        self.positions = []
        self._batches = list(batches)

    def fetch_cache_events(self, address, position, wait, timeout):
        """Return the next batch; see ``Dialect``."""
        self.positions.append(position)
        if not self._batches:
            raise errors.EngineCallFailed('down')
        return self._batches.pop(0)


def _polled(*batches):
    """Return a dialect and a store that has polled all its batches."""
    dialect = FakeDialect(*batches)
    store = kv_stores.KvStore(ADDRESS, dialect, lambda block_id: None)
    for _ in batches:
        store.poller.poll()
    return dialect, store


def test_leading_segments_are_counted_under_their_salt():
    _, store = _polled(_batch(3, _added('v1', 'a'), _added('v1', 'c')))
    assert store.count_leading('v1', ['a', 'b', 'c']) == 1
    assert store.count_leading('v1', ['a', 'c']) == 2
    assert store.count_leading('v2', ['a']) == 0


def test_evicted_segments_are_not_counted():
    evicted = messages.CacheEvent(False, 'v1', 'a')
    _, store = _polled(_batch(1, _added('v1', 'a')), _batch(2, evicted))
    assert store.count_leading('v1', ['a']) == 0


def test_polls_continue_at_the_next_position():
    dialect, _ = _polled(_batch(7, _added('v1', 'a')), _batch(9))
    assert dialect.positions == [0, 7]


def test_a_store_that_has_restarted_is_empty():
    dialect, store = _polled(
        _batch(7, _added('v1', 'a')),
        _batch(2, boot_epoch=2),
        _batch(3, boot_epoch=2),
    )
    assert store.count_leading('v1', ['a']) == 0
    # Its positions have started again, so all events are requested.
    assert dialect.positions == [0, 7, 0]


def test_a_store_that_does_not_answer_counts_as_empty():
    _, store = _polled(_batch(1, _added('v1', 'a')))
    assert store.count_leading('v1', ['a']) == 1
    assert not store.poller.poll()
    assert not store.is_up
    assert store.count_leading('v1', ['a']) == 0


def _configuration():
    services = [types.SimpleNamespace(store_address=ADDRESS)]
    return types.SimpleNamespace(services=services)


def _make_stores(is_aggregator):
    stores = kv_stores.KvStores(FakeDialect())
    stores.apply_configuration(_configuration())
    stores.review(is_aggregator)
    return stores


def test_a_member_learns_of_a_store_from_its_aggregator():
    aggregator = kv_stores.KvStores(FakeDialect())
    changed = []
    aggregator.on_change(changed.append)
    aggregator.apply_configuration(_configuration())
    [store] = aggregator._stores_by_address.values()
    store.apply(_batch(3, _added('v1', 'a'), _added('v1', 'b')))
    store.set_availability(True, '')
    store.apply(_batch(4, messages.CacheEvent(False, 'v1', 'b')))
    member = _make_stores(is_aggregator=False)
    assert member.find_available() is None
    member.merge([aggregator.to_thrift(block_id) for block_id in changed])
    assert member.find_available().count_leading('v1', ['a', 'b']) == 1


def test_a_member_drops_all_blocks_of_a_store_that_has_restarted():
    aggregator = kv_stores.KvStores(FakeDialect())
    aggregator.apply_configuration(_configuration())
    [store] = aggregator._stores_by_address.values()
    store.set_availability(True, '')
    store.apply(_batch(3, _added('v1', 'a')))
    member = _make_stores(is_aggregator=False)
    changed = []
    aggregator.on_change(changed.append)
    member.merge(
        [
            aggregator.to_thrift(kv_stores.BlockId(ADDRESS)),
            aggregator.to_thrift(
                kv_stores.BlockId(
                    ADDRESS, block_digests.block_digest('v1', 'a')
                )
            ),
        ]
    )
    assert member.find_available().count_leading('v1', ['a']) == 1
    store.apply(_batch(1, boot_epoch=2))
    member.merge([aggregator.to_thrift(block_id) for block_id in changed])
    assert member.find_available().count_leading('v1', ['a']) == 0


def test_only_an_aggregator_polls_stores():
    member = _make_stores(is_aggregator=False)
    aggregator = _make_stores(is_aggregator=True)
    [member_store] = member._stores_by_address.values()
    [aggregator_store] = aggregator._stores_by_address.values()
    assert not member_store.poller.is_running
    assert aggregator_store.poller.is_running
    aggregator.review(False)
    assert not aggregator_store.poller.is_running


def test_blocks_whose_eviction_was_unnoticed_do_not_pile_up(monkeypatch):
    monkeypatch.setattr(kv_stores, 'MAX_BLOCKS', 3)
    _, store = _polled(_batch(5, *(_added('v1', name) for name in 'abcde')))
    assert [store.count_leading('v1', [name]) for name in 'abcde'] == [
        0,
        0,
        1,
        1,
        1,
    ]


def test_evicted_blocks_are_told_to_members_as_deleted_records():
    stores = kv_stores.KvStores(FakeDialect())
    changed = []
    stores.on_change(lambda block_id: changed.append(block_id))
    stores.apply_configuration(_configuration())
    [store] = stores._stores_by_address.values()
    store.set_availability(True, '')
    store.apply(_batch(1, _added('v1', 'a')))
    assert not any(stores.is_deleted(block_id) for block_id in changed)
    store.apply(_batch(2, messages.CacheEvent(False, 'v1', 'a')))
    assert stores.is_deleted(changed[-1])
    assert not stores.is_deleted(kv_stores.BlockId(ADDRESS))


def test_blocks_of_a_store_that_is_no_longer_configured_are_deleted():
    stores = kv_stores.KvStores(FakeDialect())
    stores.apply_configuration(_configuration())
    [store] = stores._stores_by_address.values()
    store.apply(_batch(1, _added('v1', 'a')))
    changed = []
    stores.on_change(changed.append)
    stores.apply_configuration(types.SimpleNamespace(services=[]))
    assert [stores.is_deleted(block_id) for block_id in changed] == [True]


def test_a_reader_does_not_get_all_blocks_that_were_ever_evicted():
    stores = kv_stores.KvStores(FakeDialect())
    records = gossip_records.RecordExchange(
        mock.Mock(),
        crash_suspects.CrashSuspects(),
        prefix_cache_index.PrefixCacheIndex(),
        [stores],
    )
    stores.apply_configuration(_configuration())
    [store] = stores._stores_by_address.values()
    for number in range(3 * change_log.MAX_TOMBSTONES):
        store.set_block(b'%d' % number, True)
        store.set_block(b'%d' % number, False)
    page, _ = records.read(None, lambda source: True, lambda source: True)
    assert len(page.stores) <= change_log.MAX_TOMBSTONES


# Engines were told to use a store that had been dropped from the
# configuration, as news of it came late.
def test_late_news_of_a_store_that_is_no_longer_configured_names_none():
    stores = kv_stores.KvStores(FakeDialect())
    stores.apply_configuration(_configuration())
    news = [ttypes.StoreNews(ADDRESS, b'', True)]
    stores.merge(news)
    assert stores.find_available().address == ADDRESS
    stores.apply_configuration(types.SimpleNamespace(services=[]))
    stores.merge(news)
    assert stores.find_available() is None
    stores.apply_configuration(_configuration())
    assert stores.find_available().address == ADDRESS
