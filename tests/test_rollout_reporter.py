"""Tests of the reports to the owner of the rollouts."""

import types

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.observe import metrics as metric_clients
from carobwood_daemon.rollouts import entry_rollouts
from carobwood_daemon.rollouts import evidence_collector
from carobwood_daemon.rollouts import reporter
import version_builders as builders

CORES = ('core-0', 'core-1', 'core-2')


def _vm(name):
    return types.SimpleNamespace(
        id=name, link_address=f'{name}:1', has_disk=True, incarnation=5
    )


class ReporterHarness:
    """A reporter whose calls go to control VMs of the test.

    Attributes:
        owner: name of the VM that owns the rollouts.
        reports: the reports that it has received.
        asked: names of the VMs that were called.
        silent: names of VMs that do not answer.
        grants: grants of the next replies.
        call_seconds: time that each call takes.
    """

    def __init__(self):
        self.owner = 'core-1'
        self.reports = []
        self.asked = []
        self.silent = set()
        self.grants = []
        self.call_seconds = 0.0
        self.own_vm = _vm('front-0')
        self.policy_harness = builders.PolicyHarness(builders.Phase.CANARY)
        self.clock = self.policy_harness.clock
        self.collector = evidence_collector.EvidenceCollector(self.clock)
        self.collector.set_rollouts({builders.SERVICE: builders.ROLLOUT})
        self.metrics = metric_clients.PrometheusMetrics()
        self.rollouts = entry_rollouts.EntryRollouts(
            self.policy_harness.policy,
            self.collector,
            self.metrics,
            lambda: None,
            builders.crash_counter(),
        )
        self.reporter = reporter.RolloutReporter(
            self.rollouts,
            self,
            lambda: 8,
            self.metrics,
            lambda: None,
            self.clock,
        )

    def available_vms(self):
        """Return the control VMs; see ``VmCalls``."""
        return [_vm(name) for name in CORES]

    def call(self, vm, method, report):
        """Answer as a control VM; see ``VmCalls``."""
        assert method == 'report_rollouts'
        self.asked.append(vm.id)
        self.clock.advance(self.call_seconds)
        if vm.id in self.silent:
            raise errors.LinkFailed('no answer')
        if vm.id != self.owner:
            return ttypes.RolloutReply(False, f'{self.owner}:1', [])
        self.reports.append(report)
        return ttypes.RolloutReply(True, '', self.grants)


def test_the_owner_is_found_and_kept():
    harness = ReporterHarness()
    harness.reporter.run_once()
    assert harness.asked[-1] == 'core-1'
    harness.asked.clear()
    harness.reporter.run_once()
    assert harness.asked == ['core-1']


def test_reports_go_to_the_next_owner():
    harness = ReporterHarness()
    harness.reporter.run_once()
    harness.silent = {'core-1'}
    harness.owner = 'core-2'
    harness.asked.clear()
    harness.reporter.run_once()
    assert harness.asked[0] == 'core-1'
    assert harness.asked[-1] == 'core-2'
    assert len(harness.reports) == 2


def test_a_grant_ends_counted_from_before_the_call():
    harness = ReporterHarness()
    harness.grants = [ttypes.ExposureGrant(builders.ROLLOUT, 3, 0.0, 1000)]
    harness.owner = 'core-0'
    harness.reporter.run_once()
    assert harness.policy_harness.take()
    harness.call_seconds = 0.7
    harness.clock.advance(1.0)
    harness.reporter.run_once()
    harness.clock.advance(0.3)
    assert not harness.policy_harness.take()


def test_totals_are_reported_until_the_end_is_known():
    harness = ReporterHarness()
    harness.policy_harness.grant(5)
    assignment = builders.assignment()
    harness.rollouts.begin_attempt(builders.request(), assignment)
    harness.rollouts.note_answered(assignment, 500)
    harness.rollouts.end_attempt(assignment)
    harness.reporter.run_once()
    harness.reporter.run_once()
    for report in harness.reports:
        assert [each.failed for each in report.results] == [1]
    assert [each.number for each in harness.reports] == [1, 2]
    harness.policy_harness.follow(builders.Phase.ROLLED_BACK)
    harness.reporter.run_once()
    assert len(harness.reports) == 2


def test_no_report_without_a_rollout():
    harness = ReporterHarness()
    harness.policy_harness.follow(builders.Phase.SUCCEEDED)
    harness.reporter.run_once()
    assert harness.asked == []


def test_a_vm_that_stops_reports_once_more():
    harness = ReporterHarness()
    harness.reporter.stop()
    assert len(harness.reports) == 1


def test_each_report_names_the_rollouts_that_it_counts_for():
    harness = ReporterHarness()
    harness.reporter.run_once()
    assert harness.reports[0].wanted == {builders.ROLLOUT: 0}
    for _ in range(6):
        harness.policy_harness.take(builders.FORMER)
    harness.reporter.run_once()
    assert harness.reports[1].wanted == {builders.ROLLOUT: 3}


def test_a_report_tells_the_phase_that_the_vm_has_followed():
    harness = ReporterHarness()
    harness.policy_harness.follow(builders.Phase.SETTLING)
    harness.reporter.run_once()
    assert harness.reports[0].phases == {builders.ROLLOUT: 'settling'}


def test_reports_of_a_large_fleet_are_rarer():
    assert reporter.report_period(8) == reporter.MIN_PERIOD_SECONDS
    rates = [n / reporter.report_period(n) for n in (8, 75, 120)]
    assert max(rates) <= reporter.MAX_REPORTS_PER_SECOND
    assert reporter.report_period(200) <= reporter.MAX_PERIOD_SECONDS
