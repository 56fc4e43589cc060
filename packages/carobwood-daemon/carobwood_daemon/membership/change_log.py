"""Log of the keys of changed records, which gossip sends to other VMs."""

import collections
import secrets
import threading

LOG_ID_BITS = 62


class ChangeLog:
    """Compacted log: of each key it holds only the latest change.

    A reader that starts at position 0 therefore gets every record once, and
    later only those that have changed since. The log holds the keys; what a
    record says is read from its table when it is sent.

    Attributes:
        id: number that differs between two logs, also of one VM. Positions
            of another log are meaningless.
    """

    def __init__(self):
        self.id = secrets.randbits(LOG_ID_BITS)
        self._lock = threading.Lock()
        # (position, source) pairs.
        self._changes_by_key = collections.OrderedDict()
        self._end_position = 0

    def append(self, key, source):
        """Record a change.

        Args:
            key: a hashable key of the changed record.
            source: the ``Source`` from which this VM has learnt of it.
        """
        with self._lock:
            self._end_position += 1
            self._changes_by_key[key] = (self._end_position, source)
            self._changes_by_key.move_to_end(key)

    def remove(self, key):
        """Drop the change of a record that no longer exists."""
        with self._lock:
            self._changes_by_key.pop(key, None)

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
