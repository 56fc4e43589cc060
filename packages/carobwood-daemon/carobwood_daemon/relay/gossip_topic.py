"""The relay's part of the gossip: loads of endpoints and customers' usage.

Entry VMs report the loads that they put on endpoints and the usage that
they have admitted. Aggregators sum both over their groups. Of the loads, a
member gets one sum over all other VMs. Of the usage, it gets the totals of
each group, because totals are what stays comparable when a member moves to
another aggregator or when an aggregator is lost.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..membership import aggregator_contact

from . import fleet_loads
from . import group_usage
from . import usage_reports

# Minimum time between two records of a group's usage for restarts.
PAST_USAGE_PERIOD_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class _Group:
    """The last report of another aggregator on its group.

    Attributes:
        report: the thrift ``GroupReport``.
        reported_at: time of the report.
    """

    report: ttypes.GroupReport
    reported_at: float


class RelayGossipTopic:
    """Topic of gossip messages for loads and usage."""

    def __init__(
        self,
        directory,
        loads,
        fleet_quota,
        past_usage_table,
        window,
        on_loads_merged,
    ):
        """Create the topic.

        Args:
            directory: the ``Directory``.
            loads: the ``FleetLoads``.
            fleet_quota: the ``FleetQuota``.
            past_usage_table: the ``PastUsageTable``.
            window: length of the sliding window of limits in seconds.
            on_loads_merged: called without arguments after the loads of
                other VMs have been merged.
        """
        self._directory = directory
        self._loads = loads
        self._fleet_quota = fleet_quota
        self._past_usage_table = past_usage_table
        self._window = window
        self._on_loads_merged = on_loads_merged
        self._usage = group_usage.GroupUsage(window)
        self._lock = threading.Lock()
        self._number = 0
        self._groups_by_id = {}
        self._windows_by_incarnation = {}
        self._recorded_at_by_id = {}
        # Units of this VM in the totals of an aggregator, by its id and
        # incarnation.
        self._own_units_by_incarnation = {}

    def add_report(self, message):
        """Add this VM's report to a message for an aggregator."""
        message.loads = _loads_to_thrift(self._loads.group_loads())
        if message.role == ttypes.SenderRole.MEMBER:
            message.group = self._report_own_usage()
        else:
            message.group = self._report_group_usage()

    def merge_member(self, message):
        """Merge the report of a member of this VM's group.

        Returns:
            Whether the other VMs must know of it at once.
        """
        member_id = message.vm.vm_id
        is_urgent = self._loads.set_peer_loads(
            member_id, _loads_from_thrift(message.loads), is_from_member=True
        )
        self._usage.add_report(
            member_id,
            message.vm.incarnation,
            _usage_from_thrift(message.group),
        )
        if self._takes_callers:
            self._merge_own_group()
        self._on_loads_merged()
        return is_urgent

    def merge_group(self, message):
        """Merge the report of another aggregator on its group.

        Returns:
            Whether the members must know of it at once.
        """
        report = message.group
        with self._lock:
            known = self._groups_by_id.get(report.aggregator_id)
            if known is not None and _order(known.report) >= _order(report):
                return False
            self._groups_by_id[report.aggregator_id] = _Group(
                report, clocks.now()
            )
        is_urgent = self._loads.set_peer_loads(
            report.aggregator_id, _loads_from_thrift(message.loads)
        )
        previous = known and known.report
        self._record_past_usage(report, previous)
        if self._takes_callers:
            self._merge_report(report, {}, report.vm_count)
        self._on_loads_merged()
        return is_urgent

    def add_summary(self, reply, message):
        """Add what a member needs to know of all other VMs to a reply.

        Args:
            reply: the ``GossipReply``.
            message: the member's message.
        """
        member_id = message.vm.vm_id
        reply.loads = _loads_to_thrift(self._loads.loads_of_others(member_id))
        reply.groups = [self._report_group_usage(), *self._other_groups()]
        reply.own_units = self._usage.units_of(member_id)
        reply.past_spending = self._describe_past_usage()

    def merge_summary(self, message, reply):
        """Merge the reply of the aggregator that this VM is a member of."""
        self._loads.set_peer_loads(
            fleet_loads.AGGREGATOR, _loads_from_thrift(reply.loads)
        )
        if aggregator_contact.passes_news_on(reply):
            self._fleet_quota.acknowledge(_usage_from_thrift(message.group))
        self._fleet_quota.set_known_vm_count(len(self._directory.entry_vms()))
        own_group_id = reply.vm.vm_id
        for report in reply.groups or ():
            key = (report.aggregator_id, report.incarnation)
            if report.aggregator_id == own_group_id:
                self._own_units_by_incarnation[key] = reply.own_units or {}
            own_units = self._own_units_by_incarnation.get(key, {})
            vm_count = report.vm_count
            if report.aggregator_id == own_group_id and self._takes_callers:
                vm_count -= 1
            self._merge_report(report, own_units, vm_count)
        for entry in reply.past_spending or ():
            self._fleet_quota.merge_past_usage(
                entry.vm_id,
                entry.incarnation,
                entry.age_ms / 1000,
                entry.seconds_by_customer,
            )
        self._fleet_quota.note_usage_known()
        self._on_loads_merged()

    @property
    def _takes_callers(self):
        return self._directory.own_vm.takes_callers

    def _report_own_usage(self):
        """Return the report of a member: what it has admitted itself."""
        usage_by_customer = {}
        if self._takes_callers:
            usage_by_customer = self._fleet_quota.usage()
        return self._make_report(
            int(self._takes_callers),
            [
                ttypes.SpendingNews(name, usage.total, 0, usage.acknowledged)
                for name, usage in usage_by_customer.items()
            ],
        )

    def _report_group_usage(self):
        """Return the report of an aggregator on its group."""
        own_vm = self._directory.own_vm
        if self._takes_callers:
            self._usage.add_report(
                own_vm.id, own_vm.incarnation, self._fleet_quota.usage()
            )
        count = len(self._usage.member_ids())
        self._record_own_group()
        return self._make_report(
            count,
            [
                ttypes.SpendingNews(name, usage.total, usage.recent)
                for name, usage in self._usage.usage().items()
            ],
        )

    def _make_report(self, vm_count, spending):
        own_vm = self._directory.own_vm
        with self._lock:
            self._number += 1
            number = self._number
        return ttypes.GroupReport(
            own_vm.id, own_vm.incarnation, number, 0, vm_count, spending
        )

    def _other_groups(self):
        now = clocks.now()
        with self._lock:
            groups = list(self._groups_by_id.values())
        reports = []
        for group in groups:
            age = now - group.reported_at
            if age > self._window:
                continue
            report = group.report
            reports.append(
                ttypes.GroupReport(
                    report.aggregator_id,
                    report.incarnation,
                    report.number,
                    int(1000 * age),
                    report.vm_count,
                    report.spending,
                )
            )
        return reports

    def _merge_own_group(self):
        """Count what the members of this entry VM's own group admit."""
        report = self._report_group_usage()
        own_units = self._usage.units_of(report.aggregator_id)
        self._merge_report(report, own_units, report.vm_count - 1)

    def _merge_report(self, report, own_units, vm_count):
        """Count the usage of a group, without that of this VM itself."""
        self._fleet_quota.merge_usage(
            report.aggregator_id,
            report.incarnation,
            {
                entry.customer: usage_reports.Usage(
                    entry.total - own_units.get(entry.customer, 0),
                    max(
                        0,
                        entry.recent - own_units.get(entry.customer, 0),
                    ),
                )
                for entry in report.spending
            },
            vm_count,
            report.age_ms / 1000,
        )

    def _record_own_group(self):
        own_vm = self._directory.own_vm
        if self._is_record_due(own_vm.id):
            self._past_usage_table.add_report(
                own_vm.id, own_vm.incarnation, self._usage.units_by_second()
            )

    def _record_past_usage(self, report, previous):
        """Record the usage of another group for VMs that start later."""
        now = clocks.now()
        counted = {}
        if previous is not None:
            if previous.incarnation == report.incarnation:
                counted = {
                    entry.customer: entry.total for entry in previous.spending
                }
        key = (report.aggregator_id, report.incarnation)
        windows = self._windows_by_incarnation.setdefault(key, {})
        for entry in report.spending:
            units = entry.total - counted.get(
                entry.customer, entry.total - entry.recent
            )
            if entry.customer not in windows:
                windows[entry.customer] = group_usage.UsageWindow(self._window)
            windows[entry.customer].add(now, units)
        if self._is_record_due(report.aggregator_id):
            self._past_usage_table.add_report(
                report.aggregator_id,
                report.incarnation,
                {n: window.by_second(now) for n, window in windows.items()},
            )

    def _is_record_due(self, aggregator_id):
        now = clocks.now()
        recorded_at = self._recorded_at_by_id.get(aggregator_id, 0.0)
        if now - recorded_at < PAST_USAGE_PERIOD_SECONDS:
            return False
        self._recorded_at_by_id[aggregator_id] = now
        return True

    def _describe_past_usage(self):
        now = clocks.now()
        return [
            ttypes.PastSpendingNews(
                record.vm_id,
                record.incarnation,
                int(1000 * (now - record.reported_at)),
                {
                    customer: list(units)
                    for customer, units in record.units_by_customer.items()
                },
            )
            for record in self._past_usage_table.stopped()
        ]


def _order(report):
    return (report.incarnation, report.number)


def _loads_to_thrift(loads_by_endpoint):
    return [
        ttypes.LoadNews(
            endpoint_id,
            load.running,
            load.kv_cache_tokens,
            load.prefill_tokens,
            load.streams,
        )
        for endpoint_id, load in loads_by_endpoint.items()
    ]


def _loads_from_thrift(entries):
    return {
        entry.endpoint_id: fleet_loads.Load(
            entry.running,
            entry.memory_tokens,
            entry.unread_tokens,
            entry.streams,
        )
        for entry in entries or ()
    }


def _usage_from_thrift(report):
    return {
        entry.customer: usage_reports.Usage(
            entry.total, entry.recent, (), entry.acknowledged or 0
        )
        for entry in report.spending
    }
