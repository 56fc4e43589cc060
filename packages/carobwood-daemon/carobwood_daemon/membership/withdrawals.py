"""Withdrawn API keys, which spread by gossip as well as by the Raft log.

So a withdrawal takes effect without a quorum.
"""

import threading

import msgspec

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..replication import stored_values

# Time for which a digest is gossiped even if it is committed, because a
# peer may lag behind the committed state.
GOSSIP_SECONDS = 60.0

_FILE = 'withdrawn'


class Withdrawals:
    """A grow-only set of digests of withdrawn keys.

    Sets of several VMs merge by union, because no digest is ever removed.
    On a VM with a data folder the set survives restarts.
    """

    def __init__(self, folder=None):
        self._folder = folder
        self._lock = threading.Lock()
        self._digests = frozenset()
        self._added_at_by_digest = {}
        self._is_saved = True
        self._listeners = []
        if folder is not None:
            self._load()

    @property
    def digests(self):
        """All withdrawn digests, as a frozenset."""
        return self._digests

    def on_addition(self, listener):
        """Call ``listener(digests)`` after each merge of new digests."""
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
            now = clocks.now()
            self._added_at_by_digest.update(dict.fromkeys(fresh, now))
            self._is_saved = False
            self._store()
        events.emit(events.KEY_WITHDRAWN, keys=[d[:16] for d in fresh])
        for listener in self._listeners:
            listener(fresh)
        return fresh

    def save(self):
        """Store the set if the disk has refused it before."""
        with self._lock:
            if not self._is_saved:
                self._store()

    def to_gossip(self, committed):
        """Return the digests that peers may lack.

        Args:
            committed: digests that the replicated state holds.
        """
        with self._lock:
            limit = clocks.now() - GOSSIP_SECONDS
            added = self._added_at_by_digest
            recent = {d for d, added_at in added.items() if added_at > limit}
            return (self._digests - committed) | recent

    def _load(self):
        payload = self._folder.read(_FILE)
        if payload is not None:
            with stored_values.decoding(_FILE):
                digests = msgspec.json.decode(payload, type=list[str])
            self._digests = frozenset(digests)

    def _store(self):
        if self._folder is None:
            return
        payload = msgspec.json.encode(sorted(self._digests))
        try:
            self._folder.write(_FILE, payload)
        except errors.DiskWriteFailed as error:
            # Not fatal: the withdrawal takes effect from memory, and it is
            # still proposed to the replicated log.
            events.emit(events.DISK_FAILED, error=error.detail)
            return
        self._is_saved = True
