"""Software versions that wrote the first events of streams.

What engines of two software versions write does not fit together, so a
stream may be resumed only at the version that began it.
"""

import dataclasses
import threading

from carobwood import clocks

# Time after its first event for which a stream may still be resumed.
LIFETIME_SECONDS = 60.0
# Bound of the streams that are remembered.
MAX_STREAMS = 200_000


@dataclasses.dataclass(frozen=True)
class StreamKey:
    """Key of a stream.

    Attributes:
        customer: name of the customer, or empty.
        request_id: id of the request that brought its first event.
    """

    customer: str
    request_id: str


@dataclasses.dataclass(frozen=True)
class StreamOrigin:
    """Where a stream began.

    Attributes:
        service: name of the service.
        software_version: software version of the endpoint.
    """

    service: str
    software_version: str


@dataclasses.dataclass(frozen=True)
class StreamRecord:
    """A stream that began.

    Attributes:
        number: number that grows with each record of a table.
        key: the ``StreamKey``.
        origin: the ``StreamOrigin``.
        began_at: time of its first event by ``clocks.now``, in seconds.
    """

    number: int
    key: StreamKey
    origin: StreamOrigin
    began_at: float


class StreamOriginTable:
    """Streams that began lately, the oldest first."""

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._records_by_key = {}
        self._number = 0

    def add(self, key, origin, age=0.0):
        """Record a stream; the first record of a key counts.

        Args:
            key: the ``StreamKey``.
            origin: the ``StreamOrigin``.
            age: seconds since its first event.
        """
        now = self._clock()
        with self._lock:
            self._forget_old(now)
            if key in self._records_by_key:
                return
            self._number += 1
            self._records_by_key[key] = StreamRecord(
                self._number, key, origin, now - age
            )

    def find(self, key):
        """Return the ``StreamOrigin`` of a stream, or None."""
        record = self._records_by_key.get(key)
        if record is None:
            return None
        if self._clock() - record.began_at > LIFETIME_SECONDS:
            return None
        return record.origin

    def records_after(self, number, limit):
        """Return records with greater numbers, the oldest first.

        Args:
            number: the number.
            limit: how many records to return at most.
        """
        with self._lock:
            newest = []
            for record in reversed(self._records_by_key.values()):
                if record.number <= number:
                    break
                newest.append(record)
        newest.reverse()
        return newest[:limit]

    def _forget_old(self, now):
        while self._records_by_key:
            oldest = next(iter(self._records_by_key.values()))
            is_old = now - oldest.began_at > LIFETIME_SECONDS
            if not is_old and len(self._records_by_key) < MAX_STREAMS:
                return
            del self._records_by_key[oldest.key]
