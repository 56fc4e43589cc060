"""This VM's latest placements, for the other VMs to hear."""

import collections
import dataclasses
import threading

MAX_RECORDS = 2048
MAX_RECORDS_AT_ONCE = 256


@dataclasses.dataclass(frozen=True)
class Placement:
    """Pieces that an endpoint computed or used.

    Attributes:
        endpoint_id: id of the endpoint.
        incarnation: its incarnation.
        pieces: hashes of the pieces.
        placed_at: when they were sent there or removed, on the
            monotonic clock.
        is_removed: whether the endpoint has removed them.
    """

    endpoint_id: str
    incarnation: int
    pieces: tuple[bytes, ...]
    placed_at: float
    is_removed: bool = False


@dataclasses.dataclass(frozen=True)
class Page:
    """Records from a position on.

    Attributes:
        records: the ``Placement`` records, oldest first.
        next_position: where the next page starts.
    """

    records: tuple[Placement, ...]
    next_position: int


class PlacementLog:
    """A bounded log with positions that only grow.

    A reader that falls behind misses the oldest records, which costs
    recomputation and no promise.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._records = collections.deque(maxlen=MAX_RECORDS)
        self._end = 0

    def append(self, record):
        """Add a ``Placement``."""
        with self._lock:
            self._records.append(record)
            self._end += 1

    def read(self, position):
        """Return the ``Page`` of records from a position on."""
        with self._lock:
            start = self._end - len(self._records)
            skipped = max(0, position - start)
            records = list(self._records)[skipped:]
        records = tuple(records[:MAX_RECORDS_AT_ONCE])
        return Page(records, start + skipped + len(records))
