"""The replicated log in segment files on disk."""

import os

import msgspec

from carobwood import errors
from carobwood import events

from . import data_folder
from . import frames
from . import log
from . import segment
from . import stored_values

# A compaction starts a new segment if the active one has this size.
SEGMENT_BYTES = 4 * 1024 * 1024

_BASE_FILE = 'base'
_SEGMENT_PREFIX = 'log.'


class StoredEntry(msgspec.Struct, frozen=True, array_like=True):
    """A log entry as stored in a frame."""

    index: int
    term: int
    payload: bytes


class Batch(msgspec.Struct, frozen=True, array_like=True):
    """The content of one frame.

    Attributes:
        entries: appended entries; each one replaces the stored entries
            of the same index and above.
        commit_index: highest index known to be committed.
    """

    entries: tuple[StoredEntry, ...] = ()
    commit_index: int = 0


class FirstBatch(Batch, frozen=True, array_like=True):
    """The content of a segment's first frame.

    A start compares the segment before it with what is stored here: whole
    frames that are missing at its end would not be noticed otherwise.

    Attributes:
        previous_segment: number of the last segment before this one that
            is not empty, or 0 if there is none.
        previous_bytes: size of that segment.
    """

    previous_segment: int = 0
    previous_bytes: int = 0


class StoredBase(msgspec.Struct, frozen=True):
    """Content of the base file: where the log begins.

    Attributes:
        index: index of the last compacted entry.
        term: term of that entry.
        first_segment: number of the first segment to read; older
            files hold nothing that is needed, and are deleted.
    """

    index: int = 0
    term: int = 0
    first_segment: int = 1


_encoder = msgspec.msgpack.Encoder()
# Reads a ``Batch`` as well.
_batch_decoder = msgspec.msgpack.Decoder(FirstBatch)


class DiskLog(log.Log):
    """A log in segment files of checksummed frames.

    Each flush appends one frame with all staged entries and calls
    ``fdatasync`` (group commit). At the start, an incomplete last frame
    is truncated; any other damage raises ``LogDamaged``. Compaction
    deletes whole segments and never rewrites one, so that flushes do not
    wait for it.
    """

    def __init__(self, folder, segment_bytes=SEGMENT_BYTES):
        """Open the log and read its segments.

        Args:
            folder: the ``DataFolder``.
            segment_bytes: size from which on a compaction starts a new
                segment.

        Raises:
            LogDamaged: a file is damaged other than at its end.
            DiskWriteFailed: an incomplete last frame could not be
                truncated, or the files could not be synced.
        """
        super().__init__()
        self._folder = folder
        self._segment_bytes = segment_bytes
        self._staged = []
        # The staged entries that a flush is writing.
        self._in_flush = []
        self._last_index_by_segment = {}
        self._segment_number = 1
        # Number and size of the last segment before it that is not empty.
        self._previous_segment = 0
        self._previous_bytes = 0
        # The base in force, which the file may not hold if it is uncertain.
        self._stored_base = StoredBase()
        self._is_base_uncertain = False
        # What is stored above the base that is read here relies on it.
        folder.sync_names()
        self._recover()
        self.remove_leftovers()
        self._segment = segment.Segment(
            self._segment_path(self._segment_number)
        )

    @property
    def durable_index(self):
        """See ``Log``."""
        with self._lock:
            unwritten = [e.index for e in self._in_flush + self._staged]
            if not unwritten:
                return self.last.index
            return max(self._base.index, min(unwritten) - 1)

    def flush(self):
        """Write the staged entries as one frame and sync it.

        See ``Log.flush``.
        """
        with self._flush_lock:
            with self._lock:
                entries = self._staged
                self._in_flush = entries
                self._staged = []
                commit_index = self.commit_index
            if entries:
                self._write_entries(entries, commit_index)
            with self._lock:
                index = self.durable_index
                return log.Position(index, self.term_at(index))

    def store_commit(self):
        """See ``Log``.

        The stored index covers no entry that is not written, or a start
        would take entries that were replaced for committed ones.
        """
        with self._flush_lock:
            commit_index = min(self.commit_index, self.durable_index)
            self._append_batch(Batch((), commit_index))

    def remove_leftovers(self):
        """See ``Log``.

        The base excludes the segments of a compaction that was
        interrupted, or whose removal the disk has refused.
        """
        self.has_leftovers = False
        self._delete_segments_below(self._stored_base.first_segment)

    def close(self):
        """See ``Log``."""
        with self._flush_lock:
            self._segment.close()

    def _write_entries(self, entries, commit_index):
        try:
            self._append_batch(Batch(tuple(entries), commit_index))
        except BaseException:
            with self._lock:
                self._staged = entries + self._staged
                self._in_flush = []
            raise
        with self._lock:
            self._in_flush = []
        self._last_index_by_segment[self._segment_number] = max(
            entries[-1].index,
            self._last_index_by_segment.get(self._segment_number, 0),
        )

    def _stage(self, entry):
        self._staged.append(
            StoredEntry(entry.index, entry.term, entry.payload)
        )

    def _persist_base(self, position):
        # A base above entries that are not written would leave the entries
        # that they replace behind it. Those after it need not be written:
        # the disk may have no room for them before segments are removed.
        if position.index > self.durable_index:
            self.flush()
        with self._flush_lock:
            self._restore_base()
        if self._segment.synced_bytes >= self._segment_bytes:
            self._start_next_segment()
        first = self._first_segment_above(position.index)
        self._write_base(position, first)
        self._delete_segments_below(first)

    def _persist_reset(self, position):
        self._start_next_segment()
        try:
            self._write_base(position, self._segment_number)
        except errors.DiskWriteUncertain:
            self._is_base_uncertain = True
            raise
        self._is_base_uncertain = False
        self._staged = []
        self._delete_segments_below(self._segment_number)
        self.commit_index = max(self.commit_index, position.index)

    def _start_next_segment(self):
        # The file is created and the folder synced before the lock is
        # taken, so that flushes do not wait for the folder.
        number = self._segment_number + 1
        started = self._create_segment(number)
        with self._flush_lock:
            try:
                # Only the last segment may end in a partial frame.
                self._segment.remove_partial_frame()
            except errors.DiskWriteFailed:
                started.close()
                raise
            self._segment.close()
            if self._segment.synced_bytes:
                self._previous_segment = self._segment_number
                self._previous_bytes = self._segment.synced_bytes
            self._segment = started
            self._segment_number = number

    def _create_segment(self, number):
        path = self._segment_path(number)
        try:
            path.touch()
            data_folder.sync_folder(self._folder.path)
            return segment.Segment(path)
        except OSError as error:
            raise errors.DiskWriteFailed(f'{path}: {error}') from error

    def _first_segment_above(self, index):
        for number in sorted(self._last_index_by_segment):
            if self._last_index_by_segment[number] > index:
                return number
        return self._segment_number

    def _write_base(self, position, first_segment):
        base = StoredBase(position.index, position.term, first_segment)
        self._folder.write(_BASE_FILE, _encoder.encode(base))
        self._stored_base = base

    def _restore_base(self):
        """Write the base in force if a failed reset may have replaced it.

        Entries appended after that belong to the base in force; a start that
        reads the other one would not find them in their place.
        """
        if not self._is_base_uncertain:
            return
        self._folder.write(_BASE_FILE, _encoder.encode(self._stored_base))
        self._is_base_uncertain = False

    def _delete_segments_below(self, first_segment):
        for number in list(self._last_index_by_segment):
            if number < first_segment:
                del self._last_index_by_segment[number]
        for number in self._segment_numbers():
            if number < first_segment:
                self._delete_segment(number)

    def _delete_segment(self, number):
        try:
            self._segment_path(number).unlink()
        except OSError as error:
            self.has_leftovers = True
            events.emit(events.DISK_FAILED, error=str(error))

    def _append_batch(self, batch):
        self._restore_base()
        if not self._segment.synced_bytes:
            batch = FirstBatch(
                batch.entries,
                batch.commit_index,
                self._previous_segment,
                self._previous_bytes,
            )
        self._segment.append(_encoder.encode(batch))

    def _segment_path(self, number):
        return self._folder.path / f'{_SEGMENT_PREFIX}{number:08d}'

    def _segment_numbers(self):
        names = self._folder.path.glob(f'{_SEGMENT_PREFIX}*')
        return sorted(int(path.name.removeprefix('log.')) for path in names)

    def _recover(self):
        base = self._load_base_record()
        self._stored_base = base
        self._base = log.Position(base.index, base.term)
        numbers = [
            number
            for number in self._segment_numbers()
            if number >= base.first_segment
        ]
        # The newest segment is empty if nothing was written to it yet.
        # The last one with content is the one that may end in an
        # incomplete frame.
        written = [n for n in numbers if self._segment_size(n)]
        for number in written:
            self._load_segment(number, number == written[-1])
        if written:
            # An earlier process may have ended between a write and its
            # sync; what is read here counts as stored.
            _sync_file(self._segment_path(written[-1]))
        self._segment_number = numbers[-1] if numbers else base.first_segment
        for number in written:
            if number < self._segment_number:
                self._previous_segment = number
                self._previous_bytes = self._segment_size(number)
        self.commit_index = max(self.commit_index, base.index)
        if not numbers:
            self._create_segment(self._segment_number).close()

    def _load_base_record(self):
        payload = self._folder.read(_BASE_FILE)
        if payload is None:
            return StoredBase()
        with stored_values.decoding(self._folder.path / _BASE_FILE):
            return msgspec.msgpack.decode(payload, type=StoredBase)

    def _load_segment(self, number, is_last):
        path = self._segment_path(number)
        data = path.read_bytes()
        scan = frames.scan_frames(data)
        is_torn = scan.valid_bytes < len(data)
        if scan.damaged_at is not None or (is_torn and not is_last):
            raise errors.LogDamaged(
                f'{path} holds an invalid frame at byte {scan.valid_bytes}'
            )
        if is_torn:
            _truncate_tail(path, scan.valid_bytes, len(data))
        for payload in scan.payloads:
            with stored_values.decoding(path):
                batch = _batch_decoder.decode(payload)
            self._check_previous_segment(path, batch)
            self._load_batch(number, batch)

    def _check_previous_segment(self, path, batch):
        previous = batch.previous_segment
        if previous < max(1, self._stored_base.first_segment):
            return
        size = self._segment_size(previous)
        if size != batch.previous_bytes:
            raise errors.LogDamaged(
                f'{path} follows {batch.previous_bytes} bytes of segment '
                f'{previous}, which has {size}'
            )

    def _segment_size(self, number):
        """Return the size of a segment, 0 if it is missing."""
        try:
            return os.path.getsize(self._segment_path(number))
        except FileNotFoundError:
            return 0

    def _load_batch(self, number, batch):
        for stored in batch.entries:
            offset = stored.index - self._base.index - 1
            if offset < 0:
                # This compacted entry replaced all entries before it in
                # the file, also those above the base.
                self._entries.clear()
                continue
            if offset > len(self._entries):
                raise errors.LogDamaged(
                    f'{self._segment_path(number)}: entries before '
                    f'{stored.index} are missing'
                )
            del self._entries[offset:]
            self._entries.append(
                log.Entry(stored.index, stored.term, stored.payload)
            )
            self._last_index_by_segment[number] = max(
                stored.index, self._last_index_by_segment.get(number, 0)
            )
        self.commit_index = max(self.commit_index, batch.commit_index)


def is_present(folder):
    """Tell whether a ``DataFolder`` holds a log, maybe an empty one."""
    return any(folder.path.glob(f'{_SEGMENT_PREFIX}*'))


def _truncate_tail(path, valid_bytes, total_bytes):
    events.emit(events.LOG_TAIL_CUT, kept=valid_bytes, dropped=total_bytes)
    try:
        os.truncate(path, valid_bytes)
    except OSError as error:
        raise errors.DiskWriteFailed(f'{path}: {error}') from error


def _sync_file(path):
    try:
        with open(path, 'r+b') as file:
            os.fdatasync(file.fileno())
    except OSError as error:
        raise errors.DiskWriteFailed(f'{path}: {error}') from error
