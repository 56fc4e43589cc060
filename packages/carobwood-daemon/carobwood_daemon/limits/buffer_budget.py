"""Bound on the bytes of messages that a VM keeps in memory at once.

Load pattern: many large messages at once, or peers that send without end.
A bound on each message alone does not hold, since what runs out is the
memory of the VM. Whoever reads the bytes of a caller, an endpoint or another
VM and keeps them takes what it keeps from one budget.
"""

import threading

from carobwood import errors

# Bytes of each message that are not counted, so that small messages are
# handled while large ones have taken the whole budget.
FREE_BYTES = 64 * 1024
# Memory limit of a VM whose settings name none.
DEFAULT_MEMORY_LIMIT_BYTES = 256 * 1024 * 1024
# Memory of a VM that keeps no messages.
BASE_MEMORY_BYTES = 64 * 1024 * 1024
# Share of the remaining memory that messages may take. The rest is for the
# copies made when a message is decoded or passed on.
BUDGET_SHARE = 0.4
# Least budget, with which a VM of little memory still works.
MIN_BUDGET_BYTES = 4 * 1024 * 1024


class BufferBudget:
    """The bytes that all messages of a VM may take together."""

    def __init__(self, total_bytes, metrics=None):
        """Create the budget.

        Args:
            total_bytes: size of the budget.
            metrics: the ``Metrics`` that count refusals, or None.
        """
        self.total_bytes = total_bytes
        self._metrics = metrics
        self._lock = threading.Lock()
        self._used_bytes = 0

    @property
    def used_bytes(self):
        """Number of bytes that are taken."""
        return self._used_bytes

    def reserve(self, reader, free_bytes=FREE_BYTES):
        """Return a ``BufferReservation`` for a message that will be read.

        Args:
            reader: name of what reads the message, for metrics.
            free_bytes: bytes of it that are not counted.
        """
        return BufferReservation(self, reader, free_bytes)

    def set_metrics(self, metrics):
        """Set the ``Metrics`` that count refusals."""
        self._metrics = metrics

    def take(self, size):
        """Take bytes and return whether they were left."""
        with self._lock:
            if self._used_bytes + size > self.total_bytes:
                return False
            self._used_bytes += size
        return True

    def give_back(self, size):
        """Return bytes that were taken."""
        with self._lock:
            self._used_bytes -= size

    def count_refusal(self, reader):
        """Count in the metrics that too little was left for a reader."""
        self.count(f'buffers_full.{reader}')

    def count(self, name):
        """Count an event of a reader in the metrics."""
        if self._metrics is not None:
            self._metrics.count(name)


class BufferReservation:
    """The bytes of a budget that one message takes.

    As a context manager, it gives them back at the end. It is not
    thread-safe.
    """

    def __init__(self, budget, reader, free_bytes):
        """Create a reservation without bytes; see ``BufferBudget.reserve``."""
        self._budget = budget
        self._reader = reader
        self._free_bytes = free_bytes
        self._size = 0
        self._taken_bytes = 0

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        self.release()

    def try_extend(self, size):
        """Take bytes for a further part of the message.

        Args:
            size: number of bytes of the part.

        Returns:
            Whether they were left; if not, nothing is taken.
        """
        counted = max(0, self._size + size - self._free_bytes)
        missing = counted - self._taken_bytes
        if missing > 0 and not self._budget.take(missing):
            self._budget.count_refusal(self._reader)
            return False
        self._size += size
        self._taken_bytes += max(0, missing)
        return True

    def extend(self, size):
        """Take bytes for a further part of the message.

        Args:
            size: number of bytes of the part.

        Raises:
            BuffersFull: they were not left; nothing is taken.
        """
        if not self.try_extend(size):
            raise errors.BuffersFull(
                f'no memory is left to read more of the {self._reader}'
            )

    def reduce(self, size):
        """Give bytes back of a part that is no longer kept.

        Args:
            size: number of bytes of the part.
        """
        self._size = max(0, self._size - size)
        counted = max(0, self._size - self._free_bytes)
        surplus = max(0, self._taken_bytes - counted)
        self._budget.give_back(surplus)
        self._taken_bytes -= surplus

    def release(self):
        """Give all bytes back."""
        self._budget.give_back(self._taken_bytes)
        self._size = 0
        self._taken_bytes = 0


def budget_bytes(memory_limit_bytes):
    """Return the size of the budget of a VM with a memory limit."""
    available = memory_limit_bytes - BASE_MEMORY_BYTES
    return max(MIN_BUDGET_BYTES, int(BUDGET_SHARE * available))


def unlimited():
    """Return a budget that is never used up."""
    return BufferBudget(float('inf'))
