"""What the owner of a running rollout knows of it and decides."""

import dataclasses
import math

import msgspec

from carobwood.gen.links import ttypes

from ..replication import fleet_state

from . import evidence
from . import exposure
from . import judge
from . import phases
from . import vm_reports

Phase = fleet_state.RolloutPhase
# Time for which a grant counts, from before it was asked for.
GRANT_SECONDS = 1.0
# Stands for the number of requests of a grant whose share alone decides.
NO_COUNT = -1


@dataclasses.dataclass(frozen=True)
class FleetView:
    """What the owner knows of the fleet.

    Attributes:
        entry_vms: the entry VMs that are not silent.
        target_endpoints: number of endpoints of the target version.
        longest_timeout: longest timeout of a request to the service, in
            seconds.
    """

    entry_vms: tuple
    target_endpoints: int
    longest_timeout: float


class RolloutTracker:
    """One running rollout, in the view of its owner.

    Attributes:
        record: the ``RolloutRecord`` as this owner knows it.
        budget: the ``ExposureBudget``.
    """

    def __init__(self, record, limits, is_new, now):
        """Begin to own a rollout.

        Args:
            record: its ``RolloutRecord``, with all that former owners have
                committed.
            limits: the ``RolloutLimits``.
            is_new: whether no other VM has owned it.
            now: the current time in seconds.
        """
        self.record = record
        bounds = exposure.ExposureBounds(
            limits.exposure_share, limits.exposure_slack
        )
        self.budget = exposure.ExposureBudget(bounds, record.reserved)
        self._judge = judge.Judge()
        self._reports = vm_reports.VmReports(record.target_version)
        self._news_by_route = {}
        # As of the last comparison: hundreds of reports come between two.
        self._verdict = judge.Verdict.UNDECIDED
        self._all_wanted = 0
        self._began_at = now if is_new else None
        self._phase_began_at = now
        self._endpoint_seen_at = now
        self._shift_seconds = phases.shift_seconds(self._ramp, None)

    @property
    def phase(self):
        """The ``RolloutPhase``."""
        return Phase(self.record.phase)

    @property
    def _ramp(self):
        return self.record.ramp_ms / 1000

    def add_report(self, report):
        """Add a ``VmReport``."""
        for route, (target, others) in self._reports.add(report).items():
            none = evidence.RouteResults()
            known = self._news_by_route.get(route, (none, none))
            self._news_by_route[route] = (
                known[0].plus(target),
                known[1].plus(others),
            )

    def grant(self, report, now):
        """Return the ``ExposureGrant`` in reply to a report, or None."""
        is_bad = self._verdict is judge.Verdict.BAD
        match self.phase:
            case Phase.CANARY if is_bad:
                return None
            case Phase.CANARY:
                requests = self.budget.grant(report.wanted, self._all_wanted)
                return self._make_grant(requests, 0.0)
            case Phase.SHIFTING | Phase.SETTLING:
                # A share of 0 takes the place of a grant that still counts.
                share = 0.0 if is_bad else self.share(now)
                return self._make_grant(NO_COUNT, share)
        return None

    def share(self, now):
        """Return the target's share of the requests."""
        match self.phase:
            case Phase.SHIFTING:
                return phases.share(
                    now - self._phase_began_at, self._shift_seconds
                )
            case Phase.SETTLING:
                return 1.0
        return 0.0

    def wanted_reservation(self, now):
        """Return the total of exposure to reserve, or 0 if none is due."""
        if self.phase is not Phase.CANARY:
            return 0
        total = self.budget.wanted_reservation(
            self._reports.sent(), self._reports.wanted(now)
        )
        return total if total > self.budget.reserved else 0

    def judge_news(self, now):
        """Compare the versions by what has been reported since last time."""
        news_by_route, self._news_by_route = self._news_by_route, {}
        self._judge.note(now, news_by_route)
        self._verdict = self._judge.verdict()
        self._all_wanted = self._reports.wanted(now)
        target, _ = self._reports.totals()
        self.budget.note_sent(target.sent)

    def next_step(self, view, now):
        """Return the ``Step`` that is due, or None.

        Args:
            view: the ``FleetView``.
            now: the current time in seconds.
        """
        if view.target_endpoints:
            self._endpoint_seen_at = now
        situation = phases.Situation(
            self._verdict,
            self._judge.worst(),
            now - self._phase_began_at,
            now - self._endpoint_seen_at,
            self._has_left_others(view),
            view.longest_timeout,
        )
        return phases.next_step(
            self.phase, self._ramp, self._shift_seconds, situation
        )

    def note_phase(self, phase, now):
        """Note that the rollout has entered a phase."""
        self.record = msgspec.structs.replace(self.record, phase=phase.value)
        age = None if self._began_at is None else now - self._began_at
        self._phase_began_at = now
        self._shift_seconds = phases.shift_seconds(self._ramp, age)

    def figures(self, now):
        """Return the values of the metrics by name."""
        return {
            'share': round(self.share(now), 3),
            'granted': self.budget.granted,
            'reserved': self.budget.reserved,
            'level': round(self._judge.worst().level, 1),
        }

    def describe(self, view, now):
        """Return the fields of a log line on the rollout."""
        target, others = self._reports.totals()
        finding = self._judge.worst()
        return {
            'rollout': self.record.index,
            'service': self.record.service,
            'target': self.record.target_version,
            'phase': self.record.phase,
            **self.figures(now),
            'sent': target.sent,
            'failed': target.failed,
            'others_sent': others.sent,
            'others_failed': others.failed,
            'limit': judge.LIMIT,
            'worst': f'{finding.quantity} on {finding.route}',
            'verdict': self._verdict.value,
            'endpoints': view.target_endpoints,
            'evidence_age': self._evidence_age(view, now),
        }

    def _has_left_others(self, view):
        """Tell whether VMs have left the other versions, in settling."""
        if self.phase is not Phase.SETTLING:
            return False
        return self._reports.has_left_others(
            self.record.phase,
            self._phase_began_at + phases.SPREAD_SECONDS,
            view.entry_vms,
        )

    def _evidence_age(self, view, now):
        """Return the age of the oldest report, or None if one is missing."""
        age = self._reports.oldest_age(now, view.entry_vms)
        return None if math.isinf(age) else round(age, 2)

    def _make_grant(self, requests, share):
        return ttypes.ExposureGrant(
            self.record.index, requests, share, int(GRANT_SECONDS * 1000)
        )
