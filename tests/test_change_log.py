"""Tests of the log of changed records."""

from carobwood_daemon.membership import change_log
from carobwood_daemon.routing import cache_update_log

OTHER = cache_update_log.Source('vm2')


def _any(source):
    return True


def _log(*keys):
    log = change_log.ChangeLog()
    for key in keys:
        log.append(key, cache_update_log.OWN)
    return log


def test_a_reader_gets_each_key_once_in_the_order_of_its_latest_change():
    assert _log('a', 'b', 'a', 'c').read(0, _any) == (['b', 'a', 'c'], 4)


def test_a_reader_continues_after_its_position():
    log = _log('a', 'b')
    _, position = log.read(0, _any)
    assert log.read(position, _any) == ([], 2)
    log.append('a', cache_update_log.OWN)
    assert log.read(position, _any) == (['a'], 3)


def test_changes_of_unwanted_sources_are_left_out():
    log = _log('a')
    log.append('b', OTHER)
    keys, position = log.read(0, lambda source: source != OTHER)
    assert (keys, position) == (['a'], 2)


def test_a_removed_key_is_not_read():
    log = _log('a', 'b')
    log.remove('a')
    assert log.read(0, _any) == (['b'], 2)


def test_two_logs_have_different_ids():
    assert _log().id != _log().id


# Of each block that a store had ever evicted, a key stayed in the log, until
# the VM ran out of memory.
def test_changes_of_deleted_records_do_not_pile_up():
    log = _log('present')
    for number in range(2 * change_log.MAX_TOMBSTONES):
        log.append(number, cache_update_log.OWN)
        log.append(number, cache_update_log.OWN, is_tombstone=True)
    keys, _ = log.read(0, _any)
    assert len(keys) == change_log.MAX_TOMBSTONES + 1
    assert keys[0] == 'present'
    assert keys[-1] == 2 * change_log.MAX_TOMBSTONES - 1


def test_a_record_that_exists_again_is_no_tombstone():
    log = _log()
    log.append('again', cache_update_log.OWN, is_tombstone=True)
    log.append('again', cache_update_log.OWN)
    for number in range(change_log.MAX_TOMBSTONES):
        log.append(number, cache_update_log.OWN, is_tombstone=True)
    assert 'again' in log.read(0, _any)[0]
