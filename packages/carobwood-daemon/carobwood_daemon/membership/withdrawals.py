"""Withdrawn keys, known before and apart from the replicated log."""

import threading
import time

import msgspec

from carobwood import errors
from carobwood import events

RECENT_SECONDS = 60.0

_FILE = 'withdrawn'


class Withdrawals:
    """A grow-only set of digests of withdrawn keys.

    It takes effect without a quorum and survives merges: nothing is ever
    removed. On a VM with a data folder it survives restarts too.
    """

    def __init__(self, folder=None):
        self._folder = folder
        self._lock = threading.Lock()
        self._digests = frozenset()
        self._added_at_by_digest = {}
        self._listeners = []
        if folder is not None:
            self._load()

    @property
    def digests(self):
        """All withdrawn digests, as a frozenset."""
        return self._digests

    def on_addition(self, listener):
        """Call ``listener(digests)`` with each set of new digests."""
        self._listeners.append(listener)

    def add(self, digests):
        """Merge digests into the set.

        Returns:
            The digests that were new.
        """
        with self._lock:
            fresh = frozenset(digests) - self._digests
            if not fresh:
                return fresh
            self._digests = self._digests | fresh
            now = time.monotonic()
            self._added_at_by_digest.update(dict.fromkeys(fresh, now))
            self._store()
        events.emit(events.KEY_WITHDRAWN, keys=[d[:16] for d in fresh])
        for listener in self._listeners:
            listener(fresh)
        return fresh

    def to_spread(self, committed):
        """Return the digests that peers may not know yet.

        Args:
            committed: digests that the replicated state holds.
        """
        with self._lock:
            limit = time.monotonic() - RECENT_SECONDS
            added = self._added_at_by_digest
            recent = {d for d, added_at in added.items() if added_at > limit}
            return (self._digests - committed) | recent

    def _load(self):
        payload = self._folder.read(_FILE)
        if payload is not None:
            digests = msgspec.json.decode(payload, type=list[str])
            self._digests = frozenset(digests)

    def _store(self):
        if self._folder is None:
            return
        payload = msgspec.json.encode(sorted(self._digests))
        try:
            self._folder.write(_FILE, payload)
        except errors.DiskWriteFailed as error:
            # The withdrawal holds in memory and in the log all the same.
            events.emit(events.DISK_FAILED, error=error.detail)
