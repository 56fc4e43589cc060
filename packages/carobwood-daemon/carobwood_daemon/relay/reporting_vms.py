"""Usage reports of the other entry VMs, and the part of a limit they leave.

Load pattern: a customer sends beyond its rate while VMs join, restart and are
cut off. A VM may use of a limit only what the VMs that it does not hear from
cannot have used.
"""

import collections

# Seconds until the usage that a VM admits is known to all others.
SPREAD_SECONDS = 0.5
# Seconds without a report after which a VM's usage counts as unknown.
SILENT_AFTER_SECONDS = 1.5
# Seconds without a report after which a VM no longer has a share of the
# limits.
GONE_AFTER_SECONDS = 20.0
# Part of a silent VM's share of the limits that a VM uses while it still
# reaches the control VMs. A VM that is cut off from them uses none of it.
SILENT_WEIGHT = 0.5


class ReportingVms:
    """The last report of each VM, and how many VMs report.

    It is not thread-safe.

    Attributes:
        reports_by_vm: the last ``UsageReport`` by VM id.
    """

    def __init__(self):
        self.reports_by_vm = {}
        self._is_control_reachable = True
        self._known_count = None
        self._long_running_ids = set()
        # (time, number) pairs: how many VMs reported lately, with falling
        # numbers, so that the first pair holds the maximum.
        self._counts = collections.deque()

    def set_control_reachable(self, is_control_reachable):
        """Record whether this VM is in contact with the control VMs."""
        self._is_control_reachable = is_control_reachable

    def set_known_count(self, count):
        """Set the number of live entry VMs, this one included.

        It bounds the number that the reports add up to: a VM that moves to
        another aggregator is for a while in the reports of both.
        """
        self._known_count = count

    def record(self, vm_id, report, now):
        """Record a VM's ``UsageReport`` in the place of its previous one."""
        self.reports_by_vm[vm_id] = report
        # A total above the units of the window shows that the VM has
        # admitted requests for longer than a window.
        if any(u.total > u.recent for u in report.by_customer.values()):
            self._long_running_ids.add(vm_id)
        self._count(now)

    @property
    def are_mostly_long_running(self):
        """Whether more than half have run for longer than a window."""
        return 2 * len(self._long_running_ids) > len(self.reports_by_vm)

    @property
    def other_count(self):
        """Number of other VMs that reported when it was last counted."""
        return self._counts[-1][1] - 1 if self._counts else 0

    def report_age(self, now):
        """Return how old in seconds the usage of others is that is known.

        It is the mean over all VMs but those that count as silent, which
        ``limit_share`` takes into account.

        Args:
            now: the current time.
        """
        total_age = 0.0
        vm_count = 0
        for report in self.reports_by_vm.values():
            age = now - report.received_at
            if age < SILENT_AFTER_SECONDS:
                total_age += max(SPREAD_SECONDS, age) * report.vm_count
                vm_count += report.vm_count
        return total_age / vm_count if vm_count else SPREAD_SECONDS

    def limit_share(self, now):
        """Return the part of each limit that this VM may use."""
        reporting = self._count(now)
        silent = self._counts[0][1] - reporting
        if self._is_control_reachable:
            return (reporting + SILENT_WEIGHT * silent) / (reporting + silent)
        return reporting / (reporting + silent)

    def _count(self, now):
        """Return how many VMs report, and remember the highest number.

        VMs may report through another VM than before, so a group whose
        reports have stopped does not tell how many VMs are silent.
        """
        reporting = 1  # This VM counts itself.
        for report in self.reports_by_vm.values():
            if now - report.received_at < SILENT_AFTER_SECONDS:
                reporting += report.vm_count
        if self._known_count is not None:
            reporting = max(1, min(reporting, self._known_count))
        counts = self._counts
        while counts and counts[-1][1] <= reporting:
            counts.pop()
        counts.append((now, reporting))
        while counts[0][0] < now - GONE_AFTER_SECONDS:
            counts.popleft()
        return reporting
