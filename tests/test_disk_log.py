"""The logs' common contract, and damage to the log on disk."""

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
    """Give each implementation in turn."""
    if request.param == 'memory':
        yield logs.MemoryLog()
        return
    with_folder = data_folder.DataFolder(tmp_path)
    opened = disk_log.DiskLog(with_folder)
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


def test_compaction_keeps_what_is_above(log):
    log.append([_entry(n) for n in range(1, 6)])
    log.compact(logs.Position(3, 1))
    assert log.base == logs.Position(3, 1)
    assert [e.index for e in log.entries()] == [4, 5]
    assert log.term_at(3) == 1
    log.reset(logs.Position(9, 4))
    assert log.last == logs.Position(9, 4)


def test_read_is_bounded_but_never_empty(log):
    log.append([_entry(n, payload=b'y' * 100) for n in range(1, 6)])
    assert len(log.read(1, 250)) == 2
    assert len(log.read(1, 1)) == 1


def _filled(folder, flushes=3):
    log = disk_log.DiskLog(folder)
    for number in range(1, flushes + 1):
        log.append([_entry(number, payload=bytes([number]) * 50)])
        log.record_commit(number)
        log.flush()
    log.close()
    return folder.path / 'log.00000001'


def test_a_torn_tail_is_cut(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    path = _filled(folder)
    whole = path.read_bytes()
    for torn in (1, 20, 60):
        path.write_bytes(whole[:-torn])
        log = disk_log.DiskLog(folder)
        assert log.last.index == 2
        log.append([_entry(3, term=2)])
        log.flush()
        log.close()
        assert disk_log.DiskLog(folder).last == logs.Position(3, 2)


@pytest.mark.parametrize('seed', SEEDS)
def test_a_flipped_byte_in_the_middle_is_refused(tmp_path, seed):
    folder = data_folder.DataFolder(tmp_path)
    path = _filled(folder)
    damaged = bytearray(path.read_bytes())
    last_frame = damaged.rfind(b'cbwF')
    position = random.Random(seed).randrange(last_frame)
    damaged[position] ^= 0x40
    path.write_bytes(damaged)
    with pytest.raises(errors.LogDamaged):
        disk_log.DiskLog(folder)
    assert path.read_bytes() == bytes(damaged)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_histories_survive_reopening(tmp_path, seed):
    """No flushed entry is lost, whatever is appended and torn off."""
    source = random.Random(seed)
    folder = data_folder.DataFolder(tmp_path)
    log = disk_log.DiskLog(folder, segment_bytes=600)
    model = {}
    base = 0
    for _ in range(150):
        match source.choice(['append', 'replace', 'compact', 'reopen']):
            case 'append':
                index = log.last.index + 1
                model[index] = source.randbytes(source.randrange(200))
                log.append([_entry(index, payload=model[index])])
                log.flush()
            case 'replace' if model:
                index = source.choice(sorted(model))
                model = {i: p for i, p in model.items() if i < index}
                model[index] = source.randbytes(20)
                log.append([_entry(index, payload=model[index])])
                log.flush()
            case 'compact' if model:
                base = source.choice(sorted(model))
                log.compact(logs.Position(base, 1))
                model = {i: p for i, p in model.items() if i > base}
            case 'reopen':
                log.close()
                with open(_written_last(folder), 'ab') as file:
                    file.write(source.randbytes(source.randrange(30)))
                log = disk_log.DiskLog(folder, segment_bytes=600)
        held = {e.index: e.payload for e in log.entries()}
        assert held == model
        assert log.base.index == base
    log.close()


def _written_last(folder):
    segments = sorted(folder.path.glob('log.*'))
    written = [path for path in segments if path.stat().st_size]
    return (written or segments)[-1]


def test_segments_are_deleted_and_flushes_go_on_meanwhile(tmp_path):
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
    again = disk_log.DiskLog(folder)
    assert again.base.index == 375
    assert again.last.index == 399


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


def test_a_data_folder_has_one_user(tmp_path):
    folder = data_folder.DataFolder(tmp_path)
    with pytest.raises(errors.DataFolderInUse):
        data_folder.DataFolder(tmp_path)
    folder.close()
    again = data_folder.DataFolder(tmp_path)
    assert again.identity == folder.identity
