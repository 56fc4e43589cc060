"""The owner of all rollouts: the leader of the replicated log.

It takes the reports of the entry VMs, grants them requests to the target
versions, and moves the rollouts from phase to phase. What it decides is
committed before anyone is told; only the right to send ends without a commit.
"""

import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..membership import periodic_tasks
from ..replication import commands
from ..replication import fleet_state

from . import evidence
from . import rollout_tracker
from . import vm_reports

PERIOD_SECONDS = 0.1
PROPOSE_TIMEOUT_SECONDS = 1.0
# Period of log lines on the evidence of a running rollout.
EVIDENCE_LOG_SECONDS = 2.0

Phase = fleet_state.RolloutPhase
_KNOWN_PHASES = frozenset(phase.value for phase in Phase)


class RolloutOwner(periodic_tasks.PeriodicTask):
    """Decides on all running rollouts while this VM leads the log."""

    period = PERIOD_SECONDS

    def __init__(
        self,
        replica_runner,
        store,
        directory,
        configuration_store,
        metrics,
        limits,
        clock=clocks.now,
    ):
        """Create the task.

        Args:
            replica_runner: the ``ReplicaRunner``.
            store: the ``StateStore``.
            directory: the ``Directory`` of VMs and endpoints.
            configuration_store: the ``ConfigurationStore``.
            metrics: the ``Metrics``.
            limits: the ``RolloutLimits``.
            clock: function that returns the monotonic time in seconds.
        """
        super().__init__('rollout-owner')
        self._replica_runner = replica_runner
        self._store = store
        self._directory = directory
        self._configuration_store = configuration_store
        self._metrics = metrics
        self._limits = limits
        self._clock = clock
        self._lock = threading.Lock()
        self._term = 0
        self._trackers_by_index = {}
        self._logged_at_by_index = {}
        # Rollouts that ran when this VM began to lead: others have owned them.
        self._former_indexes = frozenset()

    def run_once(self):
        """Move each running rollout on, if this VM owns them."""
        if not self._is_owner():
            return
        self._begin_term()
        running = self._running_records()
        self._forget_ended(running)
        for record in running:
            try:
                self._run_rollout(record)
            except (errors.NotLeader, errors.ChangeUncertain) as error:
                events.emit(
                    events.ROLLOUT_CHANGE_FAILED,
                    rollout=record.index,
                    service=record.service,
                    reason=error.detail,
                )

    def report_rollouts(self, report):
        """Take the thrift ``RolloutReport`` of a VM and reply to it.

        Returns:
            The thrift ``RolloutReply``.
        """
        if not self._is_owner():
            return ttypes.RolloutReply(False, self._leader_address(), [])
        grants = self._take_report(report)
        # The lease may have ended meanwhile.
        if not self._is_owner():
            return ttypes.RolloutReply(False, self._leader_address(), [])
        return ttypes.RolloutReply(True, '', grants)

    def _take_report(self, report):
        """Add a report and return the grants in reply to it."""
        now = self._clock()
        grants = []
        with self._lock:
            if self._term != self._replica_runner.replica.term:
                return []
            for index in report.wanted:
                tracker = self._trackers_by_index.get(index)
                if tracker is None:
                    continue
                vm_report = _report_on(tracker.record, report, now)
                tracker.add_report(vm_report)
                grant = tracker.grant(vm_report, now)
                if grant is not None:
                    grants.append(grant)
        return grants

    def _is_owner(self):
        return (
            self._replica_runner.is_running
            and self._replica_runner.replica.holds_lease()
        )

    def _leader_address(self):
        """Return the address of another VM that leads, or an empty string."""
        if not self._replica_runner.is_running:
            return ''
        replica = self._replica_runner.replica
        return '' if replica.is_leader else replica.leader_address

    def _begin_term(self):
        """Begin anew if another VM may have led since the last run.

        Who regains its lease in the same term has led all the while.
        """
        term = self._replica_runner.replica.term
        if term == self._term:
            return
        with self._lock:
            self._trackers_by_index = {}
            self._term = term
        self._former_indexes = frozenset(
            record.index for record in self._running_records()
        )

    def _running_records(self):
        return [
            record
            for record in self._store.fleet.rollouts_by_service.values()
            if not record.has_ended and record.phase in _KNOWN_PHASES
        ]

    def _forget_ended(self, running):
        indexes = {record.index for record in running}
        with self._lock:
            self._trackers_by_index = {
                index: tracker
                for index, tracker in self._trackers_by_index.items()
                if index in indexes
            }

    def _run_rollout(self, record):
        tracker = self._trackers_by_index.get(record.index)
        if tracker is None:
            tracker = self._take_over(record)
            if tracker is None:
                return
        view = self._view(record)
        with self._lock:
            now = self._clock()
            tracker.judge_news(now)
            step = tracker.next_step(view, now)
            reservation = tracker.wanted_reservation(now)
        self._publish(tracker, view, now)
        if step is not None:
            self._advance(tracker, step, view)
        elif reservation:
            self._reserve(tracker, reservation)

    def _take_over(self, record):
        """Return a tracker of what all former owners have committed.

        The command is committed in this VM's own term, after all of theirs.
        """
        held = self._propose(
            commands.ReserveExposure(
                record.service, record.index, record.reserved
            )
        )
        if held.index != record.index or held.phase not in _KNOWN_PHASES:
            return None
        record = fleet_state.RolloutRecord(
            record.index,
            record.service,
            record.target_version,
            record.ramp_ms,
            held.phase,
            held.reserved,
        )
        if record.has_ended:
            return None
        is_new = record.index not in self._former_indexes
        tracker = rollout_tracker.RolloutTracker(
            record, self._limits, is_new, self._clock()
        )
        with self._lock:
            self._trackers_by_index[record.index] = tracker
        events.emit(
            events.ROLLOUT_OWNED,
            rollout=record.index,
            service=record.service,
            target=record.target_version,
            phase=record.phase,
            reserved=record.reserved,
            term=self._term,
        )
        return tracker

    def _advance(self, tracker, step, view):
        record = tracker.record
        with self._lock:
            fields = tracker.describe(view, self._clock())
        held = self._propose(
            commands.AdvanceRollout(
                record.service,
                record.index,
                step.phase.value,
                record.phase,
                step.reason,
            )
        )
        if held.index != record.index or held.phase != step.phase.value:
            return
        with self._lock:
            tracker.note_phase(step.phase, self._clock())
        event = events.ROLLOUT_ADVANCED
        if step.phase is Phase.ROLLED_BACK:
            event = events.ROLLOUT_ROLLED_BACK
        changed = {'before': record.phase, 'phase': step.phase.value}
        events.emit(event, **{**fields, **changed, 'reason': step.reason})

    def _reserve(self, tracker, total):
        record = tracker.record
        held = self._propose(
            commands.ReserveExposure(record.service, record.index, total)
        )
        if held.index == record.index:
            with self._lock:
                tracker.budget.note_reserved(total)

    def _propose(self, command):
        [result] = self._replica_runner.replica.propose(
            [commands.encode(command)], PROPOSE_TIMEOUT_SECONDS
        )
        return commands.decode_result(result)

    def _view(self, record):
        endpoints = [
            endpoint
            for endpoint in self._directory.serving_endpoints()
            if endpoint.pool == record.service
            and endpoint.software_version == record.target_version
        ]
        return rollout_tracker.FleetView(
            tuple(self._directory.entry_vms()),
            len(endpoints),
            self._longest_timeout(record.service),
        )

    def _longest_timeout(self, service):
        configuration = self._configuration_store.configuration
        routes = configuration.routes if configuration else ()
        return max(
            (
                route.timeout
                for route in routes
                if service in {s.service for s in route.weighted_services}
            ),
            default=0.0,
        )

    def _publish(self, tracker, view, now):
        """Set the metrics, and log the evidence now and then."""
        record = tracker.record
        prefix = f'rollout.{record.service}.{record.target_version}'
        for name, value in tracker.figures(now).items():
            self._metrics.gauge(f'{prefix}.{name}', value)
        logged_at = self._logged_at_by_index.get(record.index)
        if logged_at is not None and now - logged_at < EVIDENCE_LOG_SECONDS:
            return
        self._logged_at_by_index = {
            index: at
            for index, at in self._logged_at_by_index.items()
            if index in self._trackers_by_index
        }
        self._logged_at_by_index[record.index] = now
        with self._lock:
            fields = tracker.describe(view, now)
        events.emit(events.ROLLOUT_EVIDENCE, **fields)


def _report_on(record, report, now):
    """Return the ``VmReport`` on one rollout that a thrift report holds."""
    results_by_key = {
        vm_reports.VersionRoute(
            results.software_version, results.route
        ): _results_from_thrift(results)
        for results in report.results
        if results.service_name == record.service
    }
    return vm_reports.VmReport(
        report.vm_id,
        report.incarnation,
        report.number,
        report.wanted[record.index],
        results_by_key,
        now,
        (report.phases or {}).get(record.index, ''),
    )


def _results_from_thrift(results):
    return evidence.RouteResults(
        results.sent,
        results.succeeded,
        results.failed,
        _counts_from_thrift(results.times),
        _counts_from_thrift(results.pauses),
        results.in_flight,
    )


def _counts_from_thrift(counts):
    """Return the counts by bucket, of a build with other buckets none."""
    if len(counts) != evidence.BUCKETS:
        return (0,) * evidence.BUCKETS
    return tuple(counts)
