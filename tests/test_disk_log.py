"""Tests of both log implementations, and of damaged segment files."""

import random

import pytest

from carobwood import errors
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import log as logs

SEEDS = range(12)


def _entry(index, term=1, payload=b'x'):
    return logs.Entry(index, term, payload)


@pytest.fixture(params=['memory', 'disk'])
def log(request, tmp_path):
    """Run the test with a log in memory and with one on disk."""
    if request.param == 'memory':
        yield logs.MemoryLog()
        return
    folder = data_folder.DataFolder(tmp_path)
    opened = disk_log.DiskLog(folder)
    yield opened
    opened.close()


def test_appended_entries_are_read_back(log):
    log.append([_entry(1), _entry(2)])
    assert log.last == logs.Position(2, 1)
    assert log.flush() == logs.Position(2, 1)
    assert [e.index for e in log.read(1, 10)] == [1, 2]
    assert log.get(3) is None


def test_a_later_leader_replaces_entries(log):
    log.append([_entry(1), _entry(2), _entry(3)])
    log.append([_entry(2, term=2)])
    assert log.last == logs.Position(2, 2)
    assert log.term_at(3) is None


def test_compaction_keeps_later_entries(log):
    log.append([_entry(n) for n in range(1, 6)])
    log.compact(logs.Position(3, 1))
    assert log.base == logs.Position(3, 1)
    assert [e.index for e in log.entries()] == [4, 5]
    assert log.term_at(3) == 1
    log.reset(logs.Position(9, 4))
    assert log.last == logs.Position(9, 4)


def test_read_is_limited_in_size_but_returns_at_least_one_entry(log):
    log.append([_entry(n, payload=b'y' * 100) for n in range(1, 6)])
    assert len(log.read(1, 250)) == 2
    assert len(log.read(1, 1)) == 1


def _write_segment(folder, flushes=3):
    log = disk_log.DiskLog(folder)
    for number in range(1, flushes + 1):
        log.append([_entry(number, payload=bytes([number]) * 50)])
        log.record_commit(number)
        log.flush()
    log.close()
    return folder.path / 'log.00000001'


def test_incomplete_last_frame_is_truncated(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    path = _write_segment(folder)
    undamaged = path.read_bytes()
    for missing_bytes in (1, 20, 60):
        path.write_bytes(undamaged[:-missing_bytes])
        log = disk_log.DiskLog(folder)
        assert log.last.index == 2
        log.append([_entry(3, term=2)])
        log.flush()
        log.close()
        assert disk_log.DiskLog(folder).last == logs.Position(3, 2)


@pytest.mark.parametrize('seed', SEEDS)
def test_corrupt_frame_before_the_last_is_refused(tmp_path, seed):
    folder = data_folder.DataFolder(tmp_path)
    path = _write_segment(folder)
    damaged = bytearray(path.read_bytes())
    last_frame = damaged.rfind(b'cbwF')
    position = random.Random(seed).randrange(last_frame)
    damaged[position] ^= 0x40
    path.write_bytes(damaged)
    with pytest.raises(errors.LogDamaged):
        disk_log.DiskLog(folder)
    assert path.read_bytes() == bytes(damaged)


@pytest.mark.parametrize('seed', SEEDS)
def test_flushed_entries_survive_reopening(tmp_path, seed):
    """Random operations against a dictionary of the expected entries.

    Before each reopening, random bytes at the end of the last segment
    stand for an incomplete frame.
    """
    rng = random.Random(seed)
    folder = data_folder.DataFolder(tmp_path)
    log = disk_log.DiskLog(folder, segment_bytes=600)
    expected = {}
    base = 0
    for _ in range(150):
        match rng.choice(['append', 'replace', 'compact', 'reopen']):
            case 'append':
                index = log.last.index + 1
                expected[index] = rng.randbytes(rng.randrange(200))
                log.append([_entry(index, payload=expected[index])])
                log.flush()
            case 'replace' if expected:
                index = rng.choice(sorted(expected))
                expected = {i: p for i, p in expected.items() if i < index}
                expected[index] = rng.randbytes(20)
                log.append([_entry(index, payload=expected[index])])
                log.flush()
            case 'compact' if expected:
                base = rng.choice(sorted(expected))
                log.compact(logs.Position(base, 1))
                expected = {i: p for i, p in expected.items() if i > base}
            case 'reopen':
                log.close()
                with open(_last_written_segment(folder), 'ab') as file:
                    file.write(rng.randbytes(rng.randrange(30)))
                log = disk_log.DiskLog(folder, segment_bytes=600)
        entries = {e.index: e.payload for e in log.entries()}
        assert entries == expected
        assert log.base.index == base
    log.close()


def _last_written_segment(folder):
    segments = sorted(folder.path.glob('log.*'))
    written = [path for path in segments if path.stat().st_size]
    return (written or segments)[-1]


def test_compaction_between_flushes_deletes_segments(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    log = disk_log.DiskLog(folder, segment_bytes=1000)
    for index in range(1, 400):
        log.append([_entry(index, payload=b'z' * 50)])
        log.flush()
        if index % 20 == 0:
            log.compact(logs.Position(index - 5, 1))
    size = sum(p.stat().st_size for p in folder.path.glob('log.*'))
    assert size < 6000
    log.close()
    reopened = disk_log.DiskLog(folder)
    assert reopened.base.index == 375
    assert reopened.last.index == 399


def test_damage_in_an_earlier_segment_is_refused(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    log = disk_log.DiskLog(folder, segment_bytes=1)
    log.append([_entry(1), _entry(2)])
    log.flush()
    log.compact(logs.Position(1, 1))
    log.append([_entry(3)])
    log.flush()
    log.close()
    first = sorted(folder.path.glob('log.*'))[0]
    first.write_bytes(first.read_bytes()[:-1])
    with pytest.raises(errors.LogDamaged):
        disk_log.DiskLog(folder)


def test_a_data_folder_is_locked_until_it_is_closed(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    with pytest.raises(errors.DataFolderInUse):
        data_folder.DataFolder(tmp_path)
    folder.close()
    reopened = data_folder.DataFolder(tmp_path)
    assert reopened.identity == folder.identity
