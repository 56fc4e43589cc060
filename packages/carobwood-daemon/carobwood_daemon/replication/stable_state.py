"""Term, vote and snapshots: the small durable parts of a replica."""

import abc

import msgspec

_BALLOT_FILE = 'ballot'
_SNAPSHOT_FILE = 'snapshot'


class Ballot(msgspec.Struct, frozen=True):
    """The highest term seen and the vote given in it."""

    term: int = 0
    voted_for: str = ''


class StableState(abc.ABC):
    """Stores a ballot and the latest snapshot."""

    @abc.abstractmethod
    def load_ballot(self):
        """Return the stored ``Ballot``, or an empty one."""

    @abc.abstractmethod
    def store_ballot(self, ballot):
        """Store a ballot durably.

        Raises:
            DiskWriteFailed: the medium refused.
        """

    @abc.abstractmethod
    def load_snapshot(self):
        """Return the latest snapshot's bytes, or None.

        Raises:
            LogDamaged: the snapshot fails its checksum.
        """

    @abc.abstractmethod
    def store_snapshot(self, data):
        """Replace the snapshot durably.

        Raises:
            DiskWriteFailed: the medium refused.
        """


class DiskStableState(StableState):
    """Keeps ballot and snapshot in a data folder."""

    def __init__(self, folder):
        self._folder = folder

    def load_ballot(self):
        """See ``StableState``."""
        payload = self._folder.read(_BALLOT_FILE)
        if payload is None:
            return Ballot()
        return msgspec.msgpack.decode(payload, type=Ballot)

    def store_ballot(self, ballot):
        """See ``StableState``."""
        self._folder.write(_BALLOT_FILE, msgspec.msgpack.encode(ballot))

    def load_snapshot(self):
        """See ``StableState``."""
        return self._folder.read(_SNAPSHOT_FILE)

    def store_snapshot(self, data):
        """See ``StableState``."""
        self._folder.write(_SNAPSHOT_FILE, data)


class MemoryStableState(StableState):
    """Keeps ballot and snapshot as long as the process."""

    def __init__(self):
        self._ballot = Ballot()
        self._snapshot = None

    def load_ballot(self):
        """See ``StableState``."""
        return self._ballot

    def store_ballot(self, ballot):
        """See ``StableState``."""
        self._ballot = ballot

    def load_snapshot(self):
        """See ``StableState``."""
        return self._snapshot

    def store_snapshot(self, data):
        """See ``StableState``."""
        self._snapshot = data
