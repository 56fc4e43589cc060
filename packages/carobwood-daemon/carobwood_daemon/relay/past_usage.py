"""Usage that stopped VMs had admitted, for VMs that start.

Load pattern: a customer sends several times its rate while all entry VMs
restart, which then have no record of the usage in the current window.

Each control VM keeps the last usage report of each incarnation of an
entry VM, also on disk, and sends it to other VMs once that incarnation
seems to have stopped. A receiver counts each incarnation only once.
"""

import dataclasses
import threading

from carobwood import clocks

# Seconds without a report after which an incarnation counts as stopped.
SILENT_AFTER_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class PastUsage:
    """The last usage report of one incarnation of an entry VM.

    Attributes:
        vm_id: the entry VM.
        incarnation: its incarnation.
        reported_at: when the report was received.
        units_by_customer: by customer name, the units admitted in each
            second before the report, the latest second first.
    """

    vm_id: str
    incarnation: int
    reported_at: float
    units_by_customer: dict[str, tuple[int, ...]]


class PastUsageTable:
    """The last usage report of each incarnation of the entry VMs.

    A report is dropped once a whole window has passed since it came in,
    because its units no longer count then.
    """

    def __init__(self, window, clock=clocks.now):
        """Create an empty table.

        Args:
            window: length of the sliding window of limits in seconds.
            clock: returns monotonic seconds that advance during a
                suspension of the machine.
        """
        self._window = window
        self._clock = clock
        self._lock = threading.Lock()
        self._records_by_incarnation = {}
        self._newest_by_vm = {}

    def add_report(self, vm_id, incarnation, units_by_customer):
        """Store a usage report of an entry VM that has just arrived."""
        self.add(
            PastUsage(
                vm_id, incarnation, self._clock(), dict(units_by_customer)
            )
        )

    def add(self, record):
        """Store a ``PastUsage`` unless the table has a newer one."""
        key = (record.vm_id, record.incarnation)
        with self._lock:
            existing = self._records_by_incarnation.get(key)
            if (
                existing is not None
                and existing.reported_at > record.reported_at
            ):
                return
            self._records_by_incarnation[key] = record
            newest = self._newest_by_vm.get(record.vm_id, 0)
            newest = max(newest, record.incarnation)
            self._newest_by_vm[record.vm_id] = newest
            self._drop_expired()

    def records(self):
        """Return all records that are at most a window old."""
        with self._lock:
            self._drop_expired()
            return list(self._records_by_incarnation.values())

    def stopped(self):
        """Return the records of incarnations that seem to have stopped.

        An incarnation counts as stopped if a newer one of the same VM is
        known or if it has not reported for ``SILENT_AFTER_SECONDS``.
        """
        now = self._clock()
        return [
            record
            for record in self.records()
            if record.incarnation < self._newest_by_vm.get(record.vm_id, 0)
            or now - record.reported_at > SILENT_AFTER_SECONDS
        ]

    def _drop_expired(self):
        oldest = self._clock() - self._window
        for key, record in list(self._records_by_incarnation.items()):
            if record.reported_at < oldest:
                del self._records_by_incarnation[key]
