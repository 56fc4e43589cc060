"""Log of this VM's recent placements, which gossip sends to other VMs."""

import collections
import dataclasses
import threading

MAX_RECORDS = 2048
MAX_RECORDS_PER_PAGE = 256


@dataclasses.dataclass(frozen=True)
class CacheUpdate:
    """Prompt blocks that an endpoint cached, or removed from its cache.

    Attributes:
        endpoint_id: id of the endpoint.
        incarnation: incarnation of the endpoint.
        block_hashes: hashes of the blocks.
        recorded_at: time at which a request with the blocks was assigned to
            the endpoint, or at which the endpoint removed them, on the
            monotonic clock.
        is_removed: whether the endpoint removed the blocks.
    """

    endpoint_id: str
    incarnation: int
    block_hashes: tuple[bytes, ...]
    recorded_at: float
    is_removed: bool = False


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Consecutive records of the log.

    Attributes:
        records: the ``CacheUpdate`` records, oldest first.
        next_position: position at which the next page starts.
    """

    records: tuple[CacheUpdate, ...]
    next_position: int


class CacheUpdateLog:
    """Bounded log whose positions increase monotonically.

    A reader that falls behind misses the oldest records. Other VMs may then
    select an engine that has to recompute cached tokens; correctness does
    not depend on the records.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._records = collections.deque(maxlen=MAX_RECORDS)
        self._end_position = 0

    def append(self, record):
        """Append a ``CacheUpdate``, dropping the oldest if the log is full."""
        with self._lock:
            self._records.append(record)
            self._end_position += 1

    def read(self, position):
        """Return the ``LogPage`` of records that starts at a position."""
        with self._lock:
            first_position = self._end_position - len(self._records)
            skipped = max(0, position - first_position)
            records = list(self._records)[skipped:]
        records = tuple(records[:MAX_RECORDS_PER_PAGE])
        return LogPage(records, first_position + skipped + len(records))
