"""What entry VMs have reported of one rollout.

A report carries totals since the rollout began, so that one which comes twice
or late counts once. What a VM reported before it was lost stays.
"""

import dataclasses
import operator

from . import evidence

# Time after which a VM that has not reported is not counted on.
REPORT_LIFETIME_SECONDS = 2.0
_NO_COUNTS = (0,) * evidence.BUCKETS


@dataclasses.dataclass(frozen=True)
class VersionRoute:
    """What results are counted by.

    Attributes:
        software_version: version of the endpoints.
        route: name of the route.
    """

    software_version: str
    route: str


@dataclasses.dataclass(frozen=True)
class VmReport:
    """Report of an incarnation of a VM on one rollout.

    Attributes:
        vm_id: id of the VM.
        incarnation: its incarnation.
        number: grows with each report of the incarnation.
        wanted: requests that it may want to send to the target version
            before its next report.
        results_by_key: its ``RouteResults`` by ``VersionRoute``.
        received_at: time of the report, in seconds.
        phase: phase of the rollout by which it chose versions before it
            counted the results; empty if it does not say.
    """

    vm_id: str
    incarnation: int
    number: int
    wanted: int
    results_by_key: dict[VersionRoute, evidence.RouteResults]
    received_at: float
    phase: str = ''


class VmReports:
    """The latest report of each incarnation of a VM."""

    def __init__(self, target_version):
        self._target_version = target_version
        self._reports_by_incarnation = {}
        self._target_totals = evidence.RouteResults()
        self._other_totals = evidence.RouteResults()

    def add(self, report):
        """Add a ``VmReport`` and return what is new in it.

        Returns:
            By route, the ``RouteResults`` of the target and those of all
            other versions since the report before.
        """
        key = (report.vm_id, report.incarnation)
        known = self._reports_by_incarnation.get(key)
        if known is not None and known.number >= report.number:
            return {}
        self._reports_by_incarnation[key] = report
        known_by_key = known.results_by_key if known else {}
        news_by_route = self._news(known_by_key, report)
        self._add_totals(news_by_route)
        return news_by_route

    def sent(self):
        """Return the requests that all VMs have sent, to any version."""
        return self._target_totals.sent + self._other_totals.sent

    def wanted(self, now):
        """Return the requests that VMs in touch want to send."""
        return sum(
            report.wanted
            for report in self._reports_by_incarnation.values()
            if now - report.received_at < REPORT_LIFETIME_SECONDS
        )

    def oldest_age(self, now, live_vms):
        """Return the seconds since the last report of each live VM.

        Args:
            now: the current time in seconds.
            live_vms: the entry VMs that are not silent.

        Returns:
            The longest of these times; infinite if one has not reported.
        """
        return max(
            (now - self._received_at(vm) for vm in live_vms), default=0.0
        )

    def has_left_others(self, phase, since, live_vms):
        """Tell whether no live VM has a request at another version.

        Args:
            phase: the phase that each VM must have followed before it
                counted, as it may else send further requests there.
            since: time from which on the reports must be.
            live_vms: the entry VMs that are not silent.
        """
        return all(self._has_left_others(vm, phase, since) for vm in live_vms)

    def totals(self):
        """Return the totals of the target and of the others, without times.

        Returns:
            Two ``RouteResults``.
        """
        return self._target_totals, self._other_totals

    def _add_totals(self, news_by_route):
        for target, others in news_by_route.values():
            self._target_totals = _counts(self._target_totals, target)
            self._other_totals = _counts(self._other_totals, others)

    def _received_at(self, vm):
        report = self._reports_by_incarnation.get((vm.id, vm.incarnation))
        return report.received_at if report else float('-inf')

    def _has_left_others(self, vm, phase, since):
        report = self._reports_by_incarnation.get((vm.id, vm.incarnation))
        if report is None or report.received_at < since:
            return False
        if report.phase != phase:
            return False
        return not any(
            results.in_flight
            for key, results in report.results_by_key.items()
            if key.software_version != self._target_version
        )

    def _news(self, known_by_key, report):
        none = evidence.RouteResults()
        news_by_route = {}
        for key, results in report.results_by_key.items():
            new = _difference(results, known_by_key.get(key, none))
            target, others = news_by_route.get(key.route, (none, none))
            if key.software_version == self._target_version:
                target = new
            else:
                others = new if others is none else others.plus(new)
            news_by_route[key.route] = (target, others)
        return news_by_route


def _difference(results, known):
    """Return results that came after known ones, none of them negative."""
    return evidence.RouteResults(
        max(0, results.sent - known.sent),
        max(0, results.succeeded - known.succeeded),
        max(0, results.failed - known.failed),
        _differences(results.times, known.times),
        _differences(results.pauses, known.pauses),
    )


def _differences(counts, known_counts):
    if counts == known_counts:
        return _NO_COUNTS
    differences = map(operator.sub, counts, known_counts)
    return tuple(max(0, difference) for difference in differences)


def _counts(results, others):
    """Return the sum of the counts of two results, without times."""
    return evidence.RouteResults(
        results.sent + others.sent,
        results.succeeded + others.succeeded,
        results.failed + others.failed,
    )
