"""The replicated log's contract, and a log in memory."""

import abc
import dataclasses
import threading


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of the log.

    Attributes:
        index: position, from 1.
        term: term of the leader that created it.
        payload: an encoded command.
    """

    index: int
    term: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Position:
    """Index and term of an entry."""

    index: int
    term: int


class Log(abc.ABC):
    """An append-only sequence of entries above a compacted base.

    Appended entries are visible at once and durable after ``flush``.
    All methods are safe to call from several threads.

    Attributes:
        committed_index: highest index known to be committed.
    """

    def __init__(self):
        self._lock = threading.RLock()
        # Taken before _lock by whatever writes to the medium.
        self._flush_lock = threading.RLock()
        self._base = Position(0, 0)
        self._entries = []
        self.committed_index = 0

    @property
    def base(self):
        """Position of the last compacted entry."""
        return self._base

    @property
    def last(self):
        """Position of the last entry, or the base."""
        with self._lock:
            if not self._entries:
                return self._base
            entry = self._entries[-1]
            return Position(entry.index, entry.term)

    def term_at(self, index):
        """Return the term at an index, or None if it is not held."""
        with self._lock:
            if index == self._base.index:
                return self._base.term
            entry = self.get(index)
            return entry.term if entry else None

    def get(self, index):
        """Return the entry at an index, or None."""
        with self._lock:
            offset = index - self._base.index - 1
            if 0 <= offset < len(self._entries):
                return self._entries[offset]
            return None

    def read(self, index, max_bytes):
        """Return entries from an index on.

        Args:
            index: index of the first entry.
            max_bytes: bound on the payloads; one entry always fits.
        """
        with self._lock:
            offset = max(0, index - self._base.index - 1)
            found = []
            size = 0
            for position in range(offset, len(self._entries)):
                entry = self._entries[position]
                size += len(entry.payload)
                if found and size > max_bytes:
                    break
                found.append(entry)
            return found

    def entries(self):
        """Return all entries above the base."""
        with self._lock:
            return list(self._entries)

    def append(self, entries):
        """Append entries, replacing any of the same index and above."""
        with self._lock:
            for entry in entries:
                offset = entry.index - self._base.index - 1
                del self._entries[offset:]
                self._entries.append(entry)
                self._stage(entry)

    def compact(self, position):
        """Drop all entries up to a position.

        Readers and writers of entries do not wait for the medium.
        """
        with self._lock:
            if position.index <= self._base.index:
                return
            offset = position.index - self._base.index
            self._entries = self._entries[offset:]
            self._base = position
        self._store_base(position)

    def reset(self, position):
        """Drop all entries and start above a position."""
        with self._flush_lock, self._lock:
            self._entries = []
            self._base = position
            self._store_reset(position)

    @abc.abstractmethod
    def flush(self):
        """Make all appended entries durable.

        Returns:
            Position of the last durable entry.

        Raises:
            DiskWriteFailed: the medium refused; entries stay staged.
        """

    def record_commit(self, index):
        """Note the committed index; the next flush stores it."""
        with self._lock:
            self.committed_index = max(self.committed_index, index)

    @abc.abstractmethod
    def store_commit(self):
        """Store the committed index without waiting for an entry.

        Raises:
            DiskWriteFailed: the medium refused.
        """

    @abc.abstractmethod
    def close(self):
        """Release the medium."""

    @abc.abstractmethod
    def _stage(self, entry):
        """Prepare an entry for the next flush."""

    @abc.abstractmethod
    def _store_base(self, position):
        """Free what the medium holds up to a position."""

    @abc.abstractmethod
    def _store_reset(self, position):
        """Free all that the medium holds, and continue at a position."""


class MemoryLog(Log):
    """A log that lasts as long as the process."""

    def flush(self):
        """Return the last position; memory needs no flush."""
        return self.last

    def store_commit(self):
        """Do nothing: memory holds it."""

    def close(self):
        """Do nothing."""

    def _stage(self, entry):
        pass

    def _store_base(self, position):
        pass

    def _store_reset(self, position):
        pass
