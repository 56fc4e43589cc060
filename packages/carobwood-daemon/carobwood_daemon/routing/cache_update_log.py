"""Log of recent cache updates, which gossip sends to other VMs."""

import collections
import dataclasses
import itertools
import threading

MAX_RECORDS = 2048
MAX_RECORDS_PER_PAGE = 256


@dataclasses.dataclass(frozen=True)
class Source:
    """Where a VM has learnt of a record.

    Attributes:
        vm_id: id of the VM that sent it; empty for this VM itself.
        is_aggregator: whether that VM passes on the records of others.
    """

    vm_id: str = ''
    is_aggregator: bool = False


OWN = Source()
# Source of what an aggregator learns itself and tells only its members,
# because the other aggregators learn it themselves.
MEMBERS_ONLY = Source(is_aggregator=True)


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
        # (source, record) pairs.
        self._records = collections.deque(maxlen=MAX_RECORDS)
        self._end_position = 0

    def append(self, record, source=OWN):
        """Append a ``CacheUpdate``, dropping the oldest if the log is full.

        Args:
            record: the ``CacheUpdate``.
            source: its ``Source``.
        """
        with self._lock:
            self._records.append((source, record))
            self._end_position += 1

    def read(self, position, is_wanted=lambda source: True):
        """Return the ``LogPage`` of records that starts at a position.

        Args:
            position: the position.
            is_wanted: function of a ``Source``: whether its records are
                included.
        """
        with self._lock:
            first_position = self._end_position - len(self._records)
            skipped = max(0, position - first_position)
            if skipped >= len(self._records):
                return LogPage((), self._end_position)
            pairs = list(itertools.islice(self._records, skipped, None))
        wanted = []
        count = 0
        for source, record in pairs:
            if len(wanted) == MAX_RECORDS_PER_PAGE:
                break
            count += 1
            if is_wanted(source):
                wanted.append(record)
        return LogPage(tuple(wanted), first_position + skipped + count)
