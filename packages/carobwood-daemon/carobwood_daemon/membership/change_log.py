"""Log of the keys of changed records, which gossip sends to other VMs."""

import collections
import secrets
import threading

LOG_ID_BITS = 62
# Changes of deleted records that are kept for readers who have not seen them.
MAX_TOMBSTONES = 8192


class ChangeLog:
    """Compacted log: of each key it holds only the latest change.

    A reader that starts at position 0 therefore gets every record once, and
    later only those that have changed since. The log holds the keys; what a
    record says is read from its table when it is sent.

    A change that says that a record was deleted is a tombstone. Only the
    latest tombstones are kept, as records may come and go without end.

    Attributes:
        id: number that differs between two logs, also of one VM. Positions
            of another log are meaningless.
    """

    def __init__(self):
        self.id = secrets.randbits(LOG_ID_BITS)
        self._lock = threading.Lock()
        # (position, source) pairs.
        self._changes_by_key = collections.OrderedDict()
        # Keys of the tombstones, the oldest first.
        self._tombstones = collections.OrderedDict()
        self._end_position = 0

    def append(self, key, source, is_tombstone=False):
        """Record a change.

        Args:
            key: a hashable key of the changed record.
            source: the ``Source`` from which this VM has learnt of it.
            is_tombstone: whether the record was deleted.
        """
        with self._lock:
            self._end_position += 1
            self._changes_by_key[key] = (self._end_position, source)
            self._changes_by_key.move_to_end(key)
            self._tombstones.pop(key, None)
            if is_tombstone:
                self._tombstones[key] = None
                self._drop_oldest_tombstone()

    def remove(self, key):
        """Drop the change of a record that no longer exists."""
        with self._lock:
            self._changes_by_key.pop(key, None)
            self._tombstones.pop(key, None)

    def read(self, position, is_wanted):
        """Return the keys that have changed after a position.

        Args:
            position: number of changes that the reader has seen.
            is_wanted: function of a ``Source``: whether its changes are
                included.

        Returns:
            The keys in the order of their latest changes, and the position
            after them.
        """
        keys = []
        with self._lock:
            for key in reversed(self._changes_by_key):
                changed_at, source = self._changes_by_key[key]
                if changed_at <= position:
                    break
                if is_wanted(source):
                    keys.append(key)
            return keys[::-1], self._end_position

    def _drop_oldest_tombstone(self):
        if len(self._tombstones) > MAX_TOMBSTONES:
            key, _ = self._tombstones.popitem(last=False)
            del self._changes_by_key[key]
