"""What entry VMs have reported of one rollout.

A report carries totals since the rollout began, so that one which comes twice
or late counts once. What a VM reported before it was lost stays.
"""

import collections
import dataclasses

from . import evidence

# Time after which a VM that has not reported is not counted on.
REPORT_LIFETIME_SECONDS = 2.0


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
    """

    vm_id: str
    incarnation: int
    number: int
    wanted: int
    results_by_key: dict[VersionRoute, evidence.RouteResults]
    received_at: float


class VmReports:
    """The latest report of each incarnation of a VM."""

    def __init__(self, target_version):
        self._target_version = target_version
        self._reports_by_incarnation = {}

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
        return self._news(known.results_by_key if known else {}, report)

    def sent(self):
        """Return the requests that all VMs have sent, to any version."""
        return sum(
            results.sent
            for report in self._reports_by_incarnation.values()
            for results in report.results_by_key.values()
        )

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

    def has_left_others(self, since, live_vms):
        """Tell whether no live VM has a request at another version.

        Args:
            since: time from which on the reports must be.
            live_vms: the entry VMs that are not silent.
        """
        return all(self._has_left_others(vm, since) for vm in live_vms)

    def totals(self):
        """Return the sums of the target's and of the others' results."""
        target = evidence.RouteResults()
        others = evidence.RouteResults()
        for report in self._reports_by_incarnation.values():
            for key, results in report.results_by_key.items():
                if key.software_version == self._target_version:
                    target = target.plus(results)
                else:
                    others = others.plus(results)
        return target, others

    def _received_at(self, vm):
        report = self._reports_by_incarnation.get((vm.id, vm.incarnation))
        return report.received_at if report else float('-inf')

    def _has_left_others(self, vm, since):
        report = self._reports_by_incarnation.get((vm.id, vm.incarnation))
        if report is None or report.received_at < since:
            return False
        return not any(
            results.in_flight
            for key, results in report.results_by_key.items()
            if key.software_version != self._target_version
        )

    def _news(self, known_by_key, report):
        none = evidence.RouteResults()
        news = collections.defaultdict(lambda: (none, none))
        for key, results in report.results_by_key.items():
            new = _difference(results, known_by_key.get(key, none))
            target, others = news[key.route]
            if key.software_version == self._target_version:
                news[key.route] = (target.plus(new), others)
            else:
                news[key.route] = (target, others.plus(new))
        return dict(news)


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
    return tuple(
        max(0, count - known)
        for count, known in zip(counts, known_counts, strict=True)
    )
