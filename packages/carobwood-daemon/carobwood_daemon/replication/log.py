"""The interface of the replicated log, and a log in memory."""

import abc
import dataclasses
import threading


@dataclasses.dataclass(frozen=True)
class Entry:
    """One entry of the log.

    Attributes:
        index: position in the log, from 1.
        term: term of the leader that created it.
        payload: an encoded command.
    """

    index: int
    term: int
    payload: bytes


@dataclasses.dataclass(frozen=True)
class Position:
    """Index and term of a log entry."""

    index: int
    term: int


class Log(abc.ABC):
    """The entries of the log above a compacted prefix.

    Appended entries can be read at once and are durable after ``flush``.
    All methods are safe to call from several threads.

    Attributes:
        commit_index: highest index recorded as committed.
        has_leftovers: whether storage that nothing needs could not be
            freed.
    """

    has_leftovers = False

    def __init__(self):
        self._lock = threading.RLock()
        # Held while writing to storage. Lock order: _flush_lock, _lock.
        self._flush_lock = threading.RLock()
        self._base = Position(0, 0)
        self._entries = []
        self.commit_index = 0

    @property
    def base(self):
        """Position of the last compacted entry, or (0, 0)."""
        return self._base

    @property
    def last(self):
        """Position of the last entry, or the base if there is none."""
        with self._lock:
            if not self._entries:
                return self._base
            entry = self._entries[-1]
            return Position(entry.index, entry.term)

    @property
    @abc.abstractmethod
    def durable_index(self):
        """Highest index up to which storage holds the entries read here.

        It falls when entries that storage holds are replaced.
        """

    def term_at(self, index):
        """Return the term of an entry, or None if it is not in the log.

        The term of the last compacted entry is known too.
        """
        with self._lock:
            if index == self._base.index:
                return self._base.term
            entry = self.get(index)
            return entry.term if entry else None

    def get(self, index):
        """Return the entry at an index, or None if it is not in the log."""
        with self._lock:
            offset = index - self._base.index - 1
            if 0 <= offset < len(self._entries):
                return self._entries[offset]
            return None

    def read(self, index, max_bytes):
        """Return consecutive entries from an index on.

        Args:
            index: index of the first entry.
            max_bytes: limit on the sum of the payloads' sizes; the first
                entry is returned even if it is larger.
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
        """Append entries, replacing those of the same index and above."""
        with self._lock:
            for entry in entries:
                offset = entry.index - self._base.index - 1
                del self._entries[offset:]
                self._entries.append(entry)
                self._stage(entry)

    def compact(self, position):
        """Drop all entries up to a position that a snapshot covers.

        Storage is updated first, without holding the lock on the entries.

        Raises:
            DiskWriteFailed: storage reported an error; the entries are
                still there.
        """
        if position.index <= self._base.index:
            return
        self._persist_base(position)
        with self._lock:
            offset = position.index - self._base.index
            self._entries = self._entries[offset:]
            self._base = position

    def reset(self, position):
        """Drop all entries; the next one follows a given position.

        Raises:
            DiskWriteFailed: storage reported an error; the entries are
                still there.
        """
        with self._flush_lock, self._lock:
            self._persist_reset(position)
            self._entries = []
            self._base = position

    @abc.abstractmethod
    def flush(self):
        """Make all appended entries durable.

        Returns:
            Position of the last durable entry; entries that were appended
            meanwhile may follow it.

        Raises:
            DiskWriteFailed: storage reported an error; the next flush
                writes the entries again.
        """

    def record_commit(self, index):
        """Raise the commit index.

        It becomes durable with the next flushed entries or by
        ``store_commit``.
        """
        with self._lock:
            self.commit_index = max(self.commit_index, index)

    @abc.abstractmethod
    def store_commit(self):
        """Store the commit index durably, without new entries.

        Raises:
            DiskWriteFailed: storage reported an error.
        """

    def remove_leftovers(self):
        """Try again to free storage that nothing needs.

        No compaction or reset may run meanwhile.
        """

    @abc.abstractmethod
    def close(self):
        """Close the storage."""

    @abc.abstractmethod
    def _stage(self, entry):
        """Add an entry to those that the next flush writes."""

    @abc.abstractmethod
    def _persist_base(self, position):
        """Store a new base and free the storage of entries up to it."""

    @abc.abstractmethod
    def _persist_reset(self, position):
        """Store a new base and free the storage of all entries."""


class MemoryLog(Log):
    """A log that is lost when the process ends."""

    @property
    def durable_index(self):
        """See ``Log``."""
        return self.last.index

    def flush(self):
        """Return the last position; nothing has to be written."""
        return self.last

    def store_commit(self):
        """Do nothing; the index is only in memory."""

    def close(self):
        """Do nothing; there is no storage."""

    def _stage(self, entry):
        pass

    def _persist_base(self, position):
        pass

    def _persist_reset(self, position):
        pass
