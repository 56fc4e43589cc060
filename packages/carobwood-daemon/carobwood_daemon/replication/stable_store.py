"""Durable storage for a replica's hard state and its snapshot.

The log has storage of its own.
"""

import abc

import msgspec

from . import stored_values

_HARD_STATE_FILE = 'ballot'
_SNAPSHOT_FILE = 'snapshot'


class HardState(msgspec.Struct, frozen=True):
    """Term and vote, which a replica must not forget in a restart.

    Attributes:
        term: the highest term that the replica has seen.
        voted_for: id of the replica that got the vote in this term, or
            empty.
    """

    term: int = 0
    voted_for: str = ''


class StableStore(abc.ABC):
    """Stores the hard state and the latest snapshot."""

    @abc.abstractmethod
    def load_hard_state(self):
        """Return the stored ``HardState``, or an initial one.

        Raises:
            LogDamaged: the stored one is damaged.
        """

    @abc.abstractmethod
    def store_hard_state(self, hard_state):
        """Replace the hard state durably.

        Raises:
            DiskWriteFailed: storage reported an error.
        """

    @abc.abstractmethod
    def load_snapshot(self):
        """Return the encoded latest snapshot, or None.

        Raises:
            LogDamaged: the snapshot fails its checksum.
        """

    @abc.abstractmethod
    def store_snapshot(self, data):
        """Replace the snapshot durably.

        Raises:
            DiskWriteFailed: storage reported an error.
        """


class DiskStableStore(StableStore):
    """Stores hard state and snapshot in a data folder."""

    def __init__(self, folder):
        self._folder = folder

    def load_hard_state(self):
        """See ``StableStore``."""
        payload = self._folder.read(_HARD_STATE_FILE)
        if payload is None:
            return HardState()
        with stored_values.decoding(self._folder.path / _HARD_STATE_FILE):
            return msgspec.msgpack.decode(payload, type=HardState)

    def store_hard_state(self, hard_state):
        """See ``StableStore``."""
        self._folder.write(
            _HARD_STATE_FILE, msgspec.msgpack.encode(hard_state)
        )

    def load_snapshot(self):
        """See ``StableStore``."""
        return self._folder.read(_SNAPSHOT_FILE)

    def store_snapshot(self, data):
        """See ``StableStore``."""
        self._folder.write(_SNAPSHOT_FILE, data)


class MemoryStableStore(StableStore):
    """Stores hard state and snapshot in memory."""

    def __init__(self):
        self._hard_state = HardState()
        self._snapshot = None

    def load_hard_state(self):
        """See ``StableStore``."""
        return self._hard_state

    def store_hard_state(self, hard_state):
        """See ``StableStore``."""
        self._hard_state = hard_state

    def load_snapshot(self):
        """See ``StableStore``."""
        return self._snapshot

    def store_snapshot(self, data):
        """See ``StableStore``."""
        self._snapshot = data
