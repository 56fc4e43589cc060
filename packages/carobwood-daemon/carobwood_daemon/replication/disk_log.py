"""The replicated log on a disk."""

import os

import msgspec

from carobwood import errors
from carobwood import events

from . import data_folder
from . import frames
from . import log

SEGMENT_BYTES = 4 * 1024 * 1024

_BASE_FILE = 'base'
_SEGMENT_PREFIX = 'log.'


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as a frame holds it."""

    index: int
    term: int
    payload: bytes


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The content of one frame.

    Attributes:
        entries: entries, each replacing those of its index and above.
        commit_index: highest index known to be committed.
    """

    entries: tuple[StoredEntry, ...] = ()
    commit_index: int = 0


class StoredBase(msgspec.Struct, frozen=True):
    """Where the log begins.

    Attributes:
        index: index of the last compacted entry.
        term: its term.
        first_segment: number of the first segment that counts.
    """

    index: int = 0
    term: int = 0
    first_segment: int = 1


_encoder = msgspec.msgpack.Encoder()
_batch_decoder = msgspec.msgpack.Decoder(Batch)


class DiskLog(log.Log):
    """A log in segment files of checksummed frames.

    Each flush appends one frame and calls ``fdatasync`` (group commit).
    A torn last frame is cut; damage before it stops the start.
    Compaction deletes whole segments and never rewrites one, so that
    flushes do not wait for it.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        super().__init__()
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._staged = []
        self._durable = log.Position(0, 0)
        self._last_index_by_segment = {}
        self._number = 1
        self._recover()
        self._file = self._open_segment(self._number)
        self._good_bytes = os.path.getsize(self._path(self._number))

    def flush(self):
        """Write and sync the staged entries; see ``Log.flush``."""
        with self._flush_lock:
            with self._lock:
                staged = self._staged
                self._staged = []
                commit_index = self.committed_index
                last = self.last
            if not staged:
                return self._durable
            try:
                self._write(Batch(tuple(staged), commit_index))
            except errors.DiskWriteFailed:
                with self._lock:
                    self._staged = staged + self._staged
                raise
            self._durable = last
            self._last_index_by_segment[self._number] = max(
                staged[-1].index,
                self._last_index_by_segment.get(self._number, 0),
            )
            return last

    def store_commit(self):
        """Store the committed index without waiting for an entry."""
        with self._flush_lock:
            self._write(Batch((), self.committed_index))

    def close(self):
        """Close the active segment."""
        with self._flush_lock:
            self._file.close()

    def _stage(self, entry):
        self._staged.append(
            StoredEntry(entry.index, entry.term, entry.payload)
        )

    def _store_base(self, position):
        if self._good_bytes >= self._segment_bytes:
            self._roll()
        first = self._first_segment_above(position.index)
        self._write_base(position, first)
        self._delete_below(first)

    def _store_reset(self, position):
        self._staged = []
        self._roll()
        self._write_base(position, self._number)
        self._delete_below(self._number)
        self.committed_index = max(self.committed_index, position.index)
        self._durable = position

    def _roll(self):
        # The file is created and its name synced before any flush uses
        # it, so that flushes do not wait for the folder.
        number = self._number + 1
        try:
            file = self._open_segment(number)
            data_folder.sync_folder(self._folder.path)
        except OSError as error:
            raise errors.DiskWriteFailed(str(error)) from error
        with self._flush_lock:
            self._file.close()
            self._file = file
            self._number = number
            self._good_bytes = 0

    def _first_segment_above(self, index):
        for number in sorted(self._last_index_by_segment):
            if self._last_index_by_segment[number] > index:
                return number
        return self._number

    def _write_base(self, position, first_segment):
        base = StoredBase(position.index, position.term, first_segment)
        self._folder.write(_BASE_FILE, _encoder.encode(base))

    def _delete_below(self, first_segment):
        for number in list(self._last_index_by_segment):
            if number < first_segment:
                del self._last_index_by_segment[number]
        for number in self._segment_numbers():
            if number < first_segment:
                self._path(number).unlink()

    def _write(self, batch):
        frame = frames.pack_frame(_encoder.encode(batch))
        try:
            written = self._file.write(frame)
            if written != len(frame):
                raise OSError(f'wrote {written} of {len(frame)} bytes')
            os.fdatasync(self._file.fileno())
        except (OSError, ValueError) as error:
            self._cut_partial_frame()
            raise errors.DiskWriteFailed(f'{self._number}: {error}') from (
                error
            )
        self._good_bytes += len(frame)

    def _cut_partial_frame(self):
        try:
            os.ftruncate(self._file.fileno(), self._good_bytes)
        except (OSError, ValueError) as error:
            events.emit(events.DISK_FAILED, error=str(error))

    def _open_segment(self, number):
        return open(self._path(number), 'ab', buffering=0)

    def _path(self, number):
        return self._folder.path / f'{_SEGMENT_PREFIX}{number:08d}'

    def _segment_numbers(self):
        names = self._folder.path.glob(f'{_SEGMENT_PREFIX}*')
        return sorted(int(path.name.removeprefix('log.')) for path in names)

    def _recover(self):
        base = self._load_base()
        self._base = log.Position(base.index, base.term)
        numbers = [
            number
            for number in self._segment_numbers()
            if number >= base.first_segment
        ]
        # An empty segment follows the last one that was written to.
        written = [n for n in numbers if os.path.getsize(self._path(n))]
        for number in written:
            self._load_segment(number, number == written[-1])
        self._number = numbers[-1] if numbers else base.first_segment
        self.committed_index = max(self.committed_index, base.index)
        self._durable = self.last
        if not numbers:
            self._open_segment(self._number).close()
            data_folder.sync_folder(self._folder.path)

    def _load_base(self):
        payload = self._folder.read(_BASE_FILE)
        if payload is None:
            return StoredBase()
        return msgspec.msgpack.decode(payload, type=StoredBase)

    def _load_segment(self, number, is_last):
        path = self._path(number)
        data = path.read_bytes()
        scan = frames.scan_frames(data)
        is_torn = scan.valid_bytes < len(data)
        if scan.damaged_at is not None or (is_torn and not is_last):
            raise errors.LogDamaged(
                f'{path} is damaged at byte {scan.valid_bytes}'
            )
        if is_torn:
            _cut_tail(path, scan.valid_bytes, len(data))
        for payload in scan.payloads:
            self._load_batch(number, _batch_decoder.decode(payload))

    def _load_batch(self, number, batch):
        for stored in batch.entries:
            offset = stored.index - self._base.index - 1
            if offset < 0:
                # It replaced every entry that was stored before it.
                self._entries.clear()
                continue
            if offset > len(self._entries):
                raise errors.LogDamaged(
                    f'{self._path(number)}: entry {stored.index} leaves a gap'
                )
            del self._entries[offset:]
            self._entries.append(
                log.Entry(stored.index, stored.term, stored.payload)
            )
            self._last_index_by_segment[number] = max(
                stored.index, self._last_index_by_segment.get(number, 0)
            )
        self.committed_index = max(self.committed_index, batch.commit_index)


def _cut_tail(path, valid_bytes, total_bytes):
    events.emit(events.LOG_TAIL_CUT, kept=valid_bytes, dropped=total_bytes)
    with open(path, 'r+b') as file:
        file.truncate(valid_bytes)
        os.fsync(file.fileno())
