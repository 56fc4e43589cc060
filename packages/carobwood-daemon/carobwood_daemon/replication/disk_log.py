"""The replicated log on a disk."""

import os

import msgspec

from carobwood import errors
from carobwood import events

from . import data_folder
from . import frames
from . import log

_FILE = 'log'


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
        base_index: index of the compacted base, in a first frame.
        base_term: term of the compacted base, in a first frame.
    """

    entries: tuple[StoredEntry, ...] = ()
    commit_index: int = 0
    base_index: int = -1
    base_term: int = -1


_decoder = msgspec.msgpack.Decoder(Batch)


class DiskLog(log.Log):
    """A log in one file of checksummed frames.

    Each flush writes one frame and calls ``fdatasync`` (group commit).
    A torn last frame is cut; damage before it stops the start.

    Attributes:
        committed_index: highest index known to be committed.
    """

    def __init__(self, folder):
        super().__init__()
        self._path = folder.path / _FILE
        self._staged = []
        self._durable = log.Position(0, 0)
        self.committed_index = 0
        self._recover()
        self._file = open(self._path, 'ab', buffering=0)
        self._good_bytes = os.path.getsize(self._path)

    @property
    def size_bytes(self):
        """Length of the file."""
        return self._good_bytes

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
            return last

    def record_commit(self, index):
        """Note the committed index; the next flush stores it."""
        with self._lock:
            self.committed_index = max(self.committed_index, index)

    def store_commit(self):
        """Store the committed index without waiting for an entry."""
        with self._flush_lock:
            self._write(Batch((), self.committed_index))

    def close(self):
        """Close the file."""
        with self._flush_lock:
            self._file.close()

    def _stage(self, entry):
        self._staged.append(
            StoredEntry(entry.index, entry.term, entry.payload)
        )

    def _rewrite(self):
        with self._flush_lock, self._lock:
            self._staged = []
            stored = tuple(
                StoredEntry(entry.index, entry.term, entry.payload)
                for entry in self._entries
            )
            commit_index = max(self.committed_index, self._base.index)
            batch = Batch(
                stored, commit_index, self._base.index, self._base.term
            )
            frame = frames.pack_frame(msgspec.msgpack.encode(batch))
            data_folder.replace_file(self._path, frame)
            self.committed_index = commit_index
            self._reopen(len(frame))
            self._durable = self.last

    def _reopen(self, size):
        self._file.close()
        self._file = open(self._path, 'ab', buffering=0)
        self._good_bytes = size

    def _write(self, batch):
        frame = frames.pack_frame(msgspec.msgpack.encode(batch))
        try:
            written = self._file.write(frame)
            if written != len(frame):
                raise OSError(f'wrote {written} of {len(frame)} bytes')
            os.fdatasync(self._file.fileno())
        except (OSError, ValueError) as error:
            self._cut_partial_frame()
            raise errors.DiskWriteFailed(f'{self._path}: {error}') from error
        self._good_bytes += len(frame)

    def _cut_partial_frame(self):
        try:
            os.ftruncate(self._file.fileno(), self._good_bytes)
        except (OSError, ValueError) as error:
            events.emit(events.DISK_FAILED, error=str(error))

    def _recover(self):
        if not self._path.exists():
            data_folder.replace_file(self._path, b'')
            return
        data = self._path.read_bytes()
        scan = frames.scan_frames(data)
        if scan.damaged_at is not None:
            raise errors.LogDamaged(
                f'{self._path} is damaged at byte {scan.damaged_at}'
            )
        if scan.valid_bytes < len(data):
            self._cut_tail(scan.valid_bytes, len(data))
        for payload in scan.payloads:
            self._load(_decoder.decode(payload))
        self._durable = self.last

    def _cut_tail(self, valid_bytes, total_bytes):
        events.emit(events.LOG_TAIL_CUT, kept=valid_bytes, dropped=total_bytes)
        with open(self._path, 'r+b') as file:
            file.truncate(valid_bytes)
            os.fsync(file.fileno())

    def _load(self, batch):
        if batch.base_index >= 0:
            self._base = log.Position(batch.base_index, batch.base_term)
            self._entries = []
        for stored in batch.entries:
            offset = stored.index - self._base.index - 1
            if not 0 <= offset <= len(self._entries):
                raise errors.LogDamaged(
                    f'{self._path}: entry {stored.index} leaves a gap'
                )
            del self._entries[offset:]
            self._entries.append(
                log.Entry(stored.index, stored.term, stored.payload)
            )
        self.committed_index = max(self.committed_index, batch.commit_index)
