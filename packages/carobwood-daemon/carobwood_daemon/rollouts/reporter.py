"""Reports to the owner of the rollouts, and takes grants from it.

All entry VMs report to the leader of the replicated state, each once in a
period that grows with their number. A grant counts from before its report was
sent, so that it ends here no later than its owner believes.
"""

import math

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..membership import periodic_tasks

from . import entry_rollouts
from . import exposure_grants

# Period of reports in a small fleet.
MIN_PERIOD_SECONDS = 0.25
# Longest period; grants must not end between two reports.
MAX_PERIOD_SECONDS = 0.6
# Reports of all VMs together, until the longest period is reached.
MAX_REPORTS_PER_SECOND = 200
# Calls within one run: the VM believed to be the owner, another one, and the
# owner that this one names.
MAX_CALLS = 3
# Time for which a VM that did not answer is not asked.
AVOID_SECONDS = 0.5
# Time for which the requests that a VM asks for may come.
WANTED_SECONDS = 1.0
# Rate below which a VM asks for no requests.
MIN_WANTED_RATE = 0.05


class RolloutReporter(periodic_tasks.PeriodicTask):
    """Reports while a rollout runs, and takes the grants of the owner."""

    def __init__(
        self,
        rollouts,
        vm_calls,
        count_entry_vms,
        metrics,
        notify_waiting,
        clock=clocks.now,
    ):
        """Create the task.

        Args:
            rollouts: the ``EntryRollouts``.
            vm_calls: the ``VmCalls``.
            count_entry_vms: function without arguments; returns the number
                of entry VMs that are alive.
            metrics: the ``Metrics``.
            notify_waiting: function without arguments that makes queued
                requests look for an endpoint again.
            clock: function that returns the monotonic time in seconds.
        """
        super().__init__('rollout-reporter')
        self.period = MIN_PERIOD_SECONDS
        self._policy = rollouts.policy
        self._collector = rollouts.collector
        self._vm_calls = vm_calls
        self._count_entry_vms = count_entry_vms
        self._metrics = metrics
        self._notify_waiting = notify_waiting
        self._clock = clock
        self._number = 0
        # Link address of the VM that was the owner last, or empty.
        self._owner_address = ''
        # Services whose target had a right at the last report.
        self._granted_services = frozenset()
        # Services whose target served as the only version then.
        self._alone_services = frozenset()

    def run_once(self):
        """Report once if a rollout runs."""
        running = [
            record for record in self._policy.records() if not record.has_ended
        ]
        if running:
            self.period = report_period(self._count_entry_vms())
            self._report(running)
        self._note_rights(running)

    def stop(self):
        """Stop, and report once more what this VM has counted."""
        super().stop()
        try:
            self.run_once()
        except errors.CarobwoodError:
            # The owner counts what came before.
            return

    def _report(self, running):
        results = self._collector.results()
        self._gauge(results)
        self._number += 1
        report = ttypes.RolloutReport(
            self._vm_calls.own_vm.id,
            self._vm_calls.own_vm.incarnation,
            self._number,
            [to_thrift(key, each) for key, each in results.items()],
            {record.index: self._count_wanted(record) for record in running},
            {record.index: record.phase for record in running},
        )
        sent_at = self._clock()
        reply = self._call_owner(report)
        if reply is None:
            return
        self._policy.add_grants(
            [
                exposure_grants.Grant(
                    grant.rollout,
                    grant.requests,
                    grant.share,
                    sent_at + grant.valid_ms / 1000,
                )
                for grant in reply.grants
            ]
        )
        self._notify_waiting()

    def _call_owner(self, report):
        """Return the owner's ``RolloutReply``, or None if none is found."""
        asked_ids = set()
        for _ in range(MAX_CALLS):
            vm = self._choose_vm(asked_ids)
            if vm is None:
                return None
            asked_ids.add(vm.id)
            try:
                reply = self._vm_calls.call(vm, 'report_rollouts', report)
            except errors.LinkFailed:
                self._owner_address = ''
                continue
            if reply.is_owner:
                self._note_owner(vm)
                return reply
            self._owner_address = reply.owner_address or ''
        return None

    def _choose_vm(self, asked_ids):
        """Return the owner if it is known, or any VM that may know it."""
        candidates = [
            vm
            for vm in self._vm_calls.available_vms()
            if vm.has_disk and vm.id not in asked_ids
        ]
        for vm in candidates:
            if vm.link_address == self._owner_address:
                return vm
        if not candidates:
            return None
        return candidates[self._number % len(candidates)]

    def _note_owner(self, vm):
        if vm.link_address == self._owner_address:
            return
        self._owner_address = vm.link_address
        events.emit(events.ROLLOUT_OWNER, owner=vm.id)

    def _count_wanted(self, record):
        if not entry_rollouts.is_trial(record):
            return 0
        rate = self._policy.rate(record.service)
        if rate < MIN_WANTED_RATE:
            return 0
        return math.ceil(rate * WANTED_SECONDS)

    def _note_rights(self, running):
        """Log where the right to send to a target begins or ends."""
        granted = frozenset(
            record.service
            for record in running
            if self._policy.has_right(record.service)
        )
        for record in running:
            is_granted = record.service in granted
            if is_granted != (record.service in self._granted_services):
                events.emit(
                    events.EXPOSURE_CHANGED,
                    service=record.service,
                    rollout=record.index,
                    is_granted=is_granted,
                )
            share = self._policy.granted_share(record.service)
            self._metrics.gauge(f'rollout.share.{record.service}', share)
        self._granted_services = granted
        self._note_alone(running)

    def _note_alone(self, running):
        """Log where a target begins or ceases to serve for want of others."""
        alone = frozenset(
            record.service
            for record in running
            if self._policy.is_alone(record.service)
        )
        for service in alone ^ self._alone_services:
            is_alone = service in alone
            self._metrics.gauge(f'rollout.alone.{service}', int(is_alone))
            events.emit(
                events.TARGET_ALONE, service=service, is_alone=is_alone
            )
        self._alone_services = alone

    def _gauge(self, results):
        totals_by_version = {}
        for key, each in results.items():
            name = f'{key.service}.{key.software_version}'
            known = totals_by_version.get(name)
            totals_by_version[name] = known.plus(each) if known else each
        for name, total in totals_by_version.items():
            gauge = self._metrics.gauge
            gauge(f'rollout.sent.{name}', total.sent)
            gauge(f'rollout.succeeded.{name}', total.succeeded)
            gauge(f'rollout.failed.{name}', total.failed)
            gauge(f'rollout.in_flight.{name}', total.in_flight)


def report_period(vm_count):
    """Return the seconds between two reports of a VM.

    Args:
        vm_count: number of entry VMs that are alive.
    """
    seconds = vm_count / MAX_REPORTS_PER_SECOND
    return min(MAX_PERIOD_SECONDS, max(MIN_PERIOD_SECONDS, seconds))


def to_thrift(key, results):
    """Return the thrift ``VersionResults`` of ``RouteResults``.

    Args:
        key: the ``ResultKey``.
        results: the ``RouteResults``.
    """
    return ttypes.VersionResults(
        key.service,
        key.software_version,
        key.route,
        results.sent,
        results.succeeded,
        results.failed,
        list(results.times),
        list(results.pauses),
        results.in_flight,
    )
