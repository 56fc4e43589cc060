"""Usage of a VM and its members, counted so that nothing counts twice.

Load pattern: hundreds of entry VMs admit requests of the same customers,
while aggregators are lost and their members move to others.

Each member reports how many units it has admitted since its start, and how
many of them an aggregator has counted already. The aggregator adds the
difference to the usage of its group. So a VM that moves to another
aggregator is not counted again there.
"""

import collections
import threading

from carobwood import clocks

from . import usage_reports

# Time without a report after which a member no longer belongs to the group.
MEMBER_TIMEOUT_SECONDS = 1.5


class UsageWindow:
    """Units that were counted within the last window, by second."""

    def __init__(self, window):
        """Create an empty window of a length in seconds."""
        self._window = window
        self._entries = collections.deque()
        self._sum = 0

    def add(self, now, units):
        """Add units that are counted at a time."""
        self._entries.append((now, units))
        self._sum += units

    def sum(self, now):
        """Return the units of the window that ends at a time."""
        while self._entries and self._entries[0][0] < now - self._window:
            self._sum -= self._entries.popleft()[1]
        return self._sum

    def by_second(self, now):
        """Return the units of each second, the latest second first."""
        self.sum(now)
        units = [0] * (int(self._window) + 1)
        for counted_at, counted in self._entries:
            units[min(len(units) - 1, int(now - counted_at))] += counted
        return tuple(units)


class _Member:
    """What is known of one incarnation of a member.

    Attributes:
        incarnation: the incarnation.
        total_by_customer: units that it had admitted at its last report.
        counted_by_customer: units of it that the group's totals hold.
        reported_at: time of its last report.
    """

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.total_by_customer = {}
        self.counted_by_customer = collections.Counter()
        self.reported_at = 0.0


class GroupUsage:
    """Totals of the units that a VM and its members have admitted."""

    def __init__(self, window, clock=clocks.now):
        """Create empty totals.

        Args:
            window: length of the sliding window of limits in seconds.
            clock: returns monotonic seconds that advance during a
                suspension of the machine.
        """
        self._window = window
        self._clock = clock
        self._lock = threading.Lock()
        self._members_by_id = {}
        self._total_by_customer = collections.Counter()
        self._windows_by_customer = {}

    def add_report(self, vm_id, incarnation, usage_by_customer):
        """Count what a member has admitted since it was last counted.

        Args:
            vm_id: id of the member, or of this VM itself.
            incarnation: its incarnation; reports of older ones are ignored.
            usage_by_customer: its ``Usage`` by customer name.
        """
        now = self._clock()
        with self._lock:
            member = self._members_by_id.get(vm_id)
            if member is not None and member.incarnation > incarnation:
                return
            if member is None or member.incarnation < incarnation:
                member = _Member(incarnation)
                self._members_by_id[vm_id] = member
            member.reported_at = now
            for name, usage in usage_by_customer.items():
                counted = max(
                    member.total_by_customer.get(name, 0), usage.acknowledged
                )
                member.total_by_customer[name] = usage.total
                units = usage.total - counted
                if units:
                    member.counted_by_customer[name] += units
                    self._count(name, units, now)

    def usage(self):
        """Return the ``Usage`` of the group by customer name."""
        now = self._clock()
        with self._lock:
            return {
                name: usage_reports.Usage(
                    total, self._windows_by_customer[name].sum(now)
                )
                for name, total in self._total_by_customer.items()
            }

    def units_by_second(self):
        """Return the units of the window by customer; see ``UsageWindow``."""
        now = self._clock()
        with self._lock:
            return {
                name: window.by_second(now)
                for name, window in self._windows_by_customer.items()
            }

    def units_of(self, vm_id):
        """Return the units of a member in the totals, by customer name."""
        with self._lock:
            member = self._members_by_id.get(vm_id)
            return dict(member.counted_by_customer) if member else {}

    def member_ids(self):
        """Return the ids of the VMs that have reported lately."""
        oldest = self._clock() - MEMBER_TIMEOUT_SECONDS
        with self._lock:
            return [
                vm_id
                for vm_id, member in self._members_by_id.items()
                if member.reported_at >= oldest
            ]

    def _count(self, name, units, now):
        self._total_by_customer[name] += units
        window = self._windows_by_customer.get(name)
        if window is None:
            window = UsageWindow(self._window)
            self._windows_by_customer[name] = window
        window.add(now, units)
