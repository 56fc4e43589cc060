"""Property tests of a log of several segments that are cut or damaged.

A start gives ``LogDamaged``, or a log that lacks nothing but the last frames
of the last segment with content. It never changes what it refuses.
"""

import contextlib
import functools
import pathlib
import tempfile

from carobwood import errors
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import frames
from carobwood_daemon.replication import log as logs
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest

EXAMPLES = 80
OLDER_SEGMENT = 'log.00000001'
# What follows the segments that hold the entries up to the seventh.
LAST_STEPS = {
    'entries': lambda log: _append(log, (8, 2), (9, 2)),
    'a commit index': lambda log: _commit(log, 7),
    'replaced entries': lambda log: _append(log, (7, 3), (8, 3)),
    'nothing': lambda log: None,
}


def _append(log, *positions):
    for index, term in positions:
        payload = b'%d.%d' % (index, term)
        log.append([logs.Entry(index, term, payload)])
    log.flush()


def _commit(log, index):
    log.record_commit(index)
    log.store_commit()


def _append_first(log):
    _append(log, (1, 1), (2, 1))
    _append(log, (3, 1), (4, 1))
    log.compact(logs.Position(1, 1))
    _append(log, (5, 1), (6, 1))
    _append(log, (6, 2), (7, 2))
    log.compact(logs.Position(2, 1))


def _commit_first(log):
    _commit(log, 5)
    _commit(log, 6)
    log.compact(logs.Position(3, 1))


def _write_segments(path, last_step):
    """Write a folder of four segments, none of which can be deleted.

    The log is opened again before the third segment and the last one.
    """
    for take_step in (_append_first, _commit_first, LAST_STEPS[last_step]):
        folder = data_folder.DataFolder(path)
        log = disk_log.DiskLog(folder, segment_bytes=1)
        take_step(log)
        log.close()
        folder.close()


@functools.cache
def _whole_contents(last_step):
    with tempfile.TemporaryDirectory() as path:
        _write_segments(path, last_step)
        return _contents(path)


def _contents(path):
    return {
        file.name: file.read_bytes()
        for file in sorted(pathlib.Path(path).iterdir())
    }


def _segments(last_step):
    """Return the contents of the segments that are not empty, by name."""
    return {
        name: content
        for name, content in _whole_contents(last_step).items()
        if name.startswith('log.') and content
    }


@contextlib.contextmanager
def _written(contents_by_file):
    with tempfile.TemporaryDirectory() as path:
        for name, content in contents_by_file.items():
            (pathlib.Path(path) / name).write_bytes(content)
        yield path


def _start(contents_by_file):
    """Return entries and commit index that a start reads, or None."""
    with _written(contents_by_file) as path:
        folder = data_folder.DataFolder(path)
        before = _contents(path)
        try:
            log = disk_log.DiskLog(folder)
        except errors.LogDamaged:
            assert _contents(path) == before
            return None
        finally:
            folder.close()
        log.close()
        return log.entries(), log.commit_index


def _start_with(last_step, name, content):
    return _start(_whole_contents(last_step) | {name: content})


def _frame_ends(content):
    """Return where the frames of a segment end, with its start."""
    ends = [0]
    for payload in frames.scan_frames(content).payloads:
        ends.append(ends[-1] + frames.HEADER_BYTES + len(payload))
    return ends


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_an_older_segment_that_is_cut_at_any_byte_is_refused_or_not_needed(
    last_step,
):
    whole = _start(_whole_contents(last_step))
    segments = _segments(last_step)
    for name in list(segments)[:-1]:
        for end in range(len(segments[name])):
            cut = _start_with(last_step, name, segments[name][:end])
            assert cut in (None, whole), (name, end)


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_the_last_segment_that_is_cut_at_any_byte_loses_its_last_frames(
    last_step,
):
    name, content = list(_segments(last_step).items())[-1]
    by_end = {
        end: _start_with(last_step, name, content[:end])
        for end in _frame_ends(content)
    }
    assert None not in by_end.values()
    for end in range(len(content)):
        last_whole = max(e for e in by_end if e <= end)
        cut = _start_with(last_step, name, content[:end])
        assert cut == by_end[last_whole], end


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_a_flipped_bit_at_any_byte_of_an_older_segment_is_refused(last_step):
    segments = _segments(last_step)
    for name in list(segments)[:-1]:
        for position in range(len(segments[name])):
            flipped = bytearray(segments[name])
            flipped[position] ^= 1 << position % 8
            assert _start_with(last_step, name, bytes(flipped)) is None


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_a_frame_that_an_older_segment_lacks_is_told_or_not_needed(last_step):
    whole = _start(_whole_contents(last_step))
    segments = _segments(last_step)
    for name in list(segments)[:-1]:
        content = segments[name]
        ends = _frame_ends(content)
        for start, end in zip(ends, ends[1:], strict=False):
            rest = content[:start] + content[end:]
            assert _start_with(last_step, name, rest) in (None, whole)


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_a_segment_that_is_missing_is_told_or_not_needed(last_step):
    whole = _start(_whole_contents(last_step))
    contents = _whole_contents(last_step)
    for name in list(_segments(last_step))[:-1]:
        rest = {n: c for n, c in contents.items() if n != name}
        assert _start(rest) in (None, whole), name


@settings(max_examples=EXAMPLES)
@given(
    st.integers(0, 200),
    st.integers(0, 60),
    st.binary(max_size=60) | st.integers(0, 60).map(bytes),
)
def test_damage_in_the_middle_of_an_older_segment_is_told(
    start, length, replacement
):
    content = _segments('entries')[OLDER_SEGMENT]
    damaged = content[:start] + replacement + content[start + length :]
    whole = _start(_whole_contents('entries'))
    read = _start_with('entries', OLDER_SEGMENT, damaged)
    assert read in (None, whole)


def _as_earlier_builds_write(content):
    """Return a segment whose first frame does not tell what it follows."""
    payloads = frames.scan_frames(content).payloads
    batches = [
        msgspec.msgpack.decode(payload, type=disk_log.Batch)
        for payload in payloads
    ]
    encoded = map(msgspec.msgpack.encode, batches)
    return b''.join(map(frames.pack_frame, encoded))


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_segments_that_earlier_builds_have_written_are_read(last_step):
    written = {
        name: _as_earlier_builds_write(content)
        for name, content in _segments(last_step).items()
    }
    contents = _whole_contents(last_step)
    assert _start(contents | written) == _start(contents)


class _Counts:
    """Counts the files that a start reads and the batches that it decodes.

    Attributes:
        reads: number of files that were read.
        decoded: number of decoded batches.
    """

    def __init__(self, monkeypatch):
        self.reads = 0
        self.decoded = 0
        self._decoder = disk_log._batch_decoder
        self._read_bytes = pathlib.Path.read_bytes
        monkeypatch.setattr(disk_log, '_batch_decoder', self)
        monkeypatch.setattr(
            pathlib.Path, 'read_bytes', lambda path: self.read(path)
        )

    def decode(self, payload):
        """Decode a batch."""
        self.decoded += 1
        return self._decoder.decode(payload)

    def read(self, path):
        """Read a file."""
        self.reads += path.name.startswith('log.')
        return self._read_bytes(path)


@pytest.mark.parametrize('last_step', LAST_STEPS)
def test_a_start_reads_each_segment_and_decodes_each_frame_at_most_once(
    last_step, monkeypatch
):
    segments = _segments(last_step)
    frame_count = sum(len(_frame_ends(c)) - 1 for c in segments.values())
    with _written(_whole_contents(last_step)) as path:
        folder = data_folder.DataFolder(path)
        counts = _Counts(monkeypatch)
        disk_log.DiskLog(folder).close()
        folder.close()
    assert counts.reads == len(segments)
    assert counts.decoded == frame_count
