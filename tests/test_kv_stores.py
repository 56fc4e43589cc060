"""Tests of what is known of stores of KV cache."""

from carobwood import errors
from carobwood_daemon.relay import kv_stores
from carobwood_daemon.relay import messages


def _added(salt, part_id):
    return messages.CacheChange(True, salt, part_id)


def _news(position, *changes, boot=1):
    return messages.CacheNews(boot, position, changes)


class StandInDialect:
    """Gives the news of a script, then fails."""

    def __init__(self, *script):
        self.positions = []
        self._script = list(script)

    def read_cache_news(self, address, position, wait, timeout):
        """Return the next news."""
        self.positions.append(position)
        if not self._script:
            raise errors.EngineCallFailed('down')
        return self._script.pop(0)


def _polled(*script):
    dialect = StandInDialect(*script)
    store = kv_stores.KvStore('10.0.0.1:1', dialect)
    for _ in script:
        store.reader.poll()
    return dialect, store


def test_leading_parts_are_counted_under_their_salt():
    _, store = _polled(_news(3, _added('v1', 'a'), _added('v1', 'c')))
    assert store.count_held('v1', ['a', 'b', 'c']) == 1
    assert store.count_held('v1', ['a', 'c']) == 2
    assert store.count_held('v2', ['a']) == 0


def test_dropped_parts_are_not_counted():
    dropped = messages.CacheChange(False, 'v1', 'a')
    _, store = _polled(_news(1, _added('v1', 'a')), _news(2, dropped))
    assert store.count_held('v1', ['a']) == 0


def test_calls_go_on_where_the_last_one_ended():
    dialect, _ = _polled(_news(7, _added('v1', 'a')), _news(9))
    assert dialect.positions == [0, 7]


def test_a_store_that_restarted_holds_nothing_of_before():
    dialect, store = _polled(
        _news(7, _added('v1', 'a')), _news(2, boot=2), _news(3, boot=2)
    )
    assert store.count_held('v1', ['a']) == 0
    # Its numbers have begun anew, so all of them are asked for.
    assert dialect.positions == [0, 7, 0]


def test_a_store_that_does_not_answer_is_not_named_to_engines():
    _, store = _polled(_news(1, _added('v1', 'a')))
    assert store.count_held('v1', ['a']) == 1
    assert not store.reader.poll()
    assert not store.is_up
    assert store.count_held('v1', ['a']) == 0
