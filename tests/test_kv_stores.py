"""Tests of the recorded contents of KV cache stores."""

from carobwood import errors
from carobwood_daemon.relay import kv_stores
from carobwood_daemon.relay import messages


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
    store = kv_stores.KvStore('10.0.0.1:1', dialect)
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
