"""Rollouts as an entry VM takes part in them.

Translates requests and endpoints for the ``VersionPolicy`` and the
``EvidenceCollector``, and passes the replicated state on to them.
"""

import zlib

from carobwood import errors
from carobwood import events

from ..replication import rollout_records

from . import crash_counter
from . import evidence_collector
from . import version_policy

_HASHES = 2**32
_TRIAL_PHASES = (
    rollout_records.RolloutPhase.CANARY.value,
    rollout_records.RolloutPhase.SHIFTING.value,
)


class NoRollouts:
    """Stands for the rollouts of a deployment that has none."""

    def find_possible(self, request, endpoints):
        """Return the endpoints; see ``EntryRollouts``."""
        del request
        return endpoints

    def find_groups(self, request, endpoints, tried_ids):
        """Return the endpoints as one group; see ``EntryRollouts``."""
        del request, tried_ids
        return (endpoints,)

    def waits_for_right(self, request):
        """Return False; see ``EntryRollouts``."""
        del request
        return False

    def begin_attempt(self, request, assignment):
        """See ``EntryRollouts``."""

    def note_event(self, assignment):
        """See ``EntryRollouts``."""

    def note_answered(self, assignment, status):
        """See ``EntryRollouts``."""

    def note_failed(self, assignment, is_spoiled, has_crashed=False):
        """See ``EntryRollouts``."""

    def end_attempt(self, assignment):
        """See ``EntryRollouts``."""


class EntryRollouts:
    """What the relay asks and tells about the versions of services.

    Attributes:
        policy: the ``VersionPolicy``.
        collector: the ``EvidenceCollector``.
    """

    def __init__(self, policy, collector, metrics, notify_waiting, crashes):
        """Create the rollouts of a VM.

        Args:
            policy: the ``VersionPolicy``.
            collector: the ``EvidenceCollector``.
            metrics: the ``Metrics``.
            notify_waiting: function without arguments that makes queued
                requests look for an endpoint again.
            crashes: the ``CrashCounter``.
        """
        self.policy = policy
        self.collector = collector
        self._metrics = metrics
        self._notify_waiting = notify_waiting
        self._crashes = crashes

    def follow(self, fleet):
        """Take over the rollouts of a ``FleetState``."""
        changed = self.policy.follow(fleet.rollouts_by_service)
        if not changed:
            return
        self.collector.set_rollouts(
            {
                record.service: record.index
                for record in self.policy.records()
                if not record.has_ended
            }
        )
        for record in changed:
            events.emit(
                events.ROLLOUT_FOLLOWED,
                service=record.service,
                rollout=record.index,
                target=record.target_version,
                phase=record.phase,
                reason=record.reason,
            )
        self._notify_waiting()

    def note_endpoint(self, endpoint):
        """Note the software version that an endpoint announces."""
        if self.policy.note_version(endpoint.pool, endpoint.software_version):
            events.emit(
                events.VERSION_HELD,
                service=endpoint.pool,
                software=endpoint.software_version,
                endpoint=endpoint.id,
            )

    def find_possible(self, request, endpoints):
        """Return the endpoints that a request may go to, now or later.

        Args:
            request: the ``AdmittedRequest``.
            endpoints: all endpoints of its service.
        """
        if not self.policy.decides_on(request.service):
            return endpoints
        versions = self.policy.find_possible(
            _query(request, 0.0), _versions(endpoints)
        )
        return _of_versions(endpoints, versions)

    def find_groups(self, request, endpoints, tried_ids):
        """Return the endpoints that a request may go to now, in groups.

        Args:
            request: the ``AdmittedRequest``.
            endpoints: the endpoints that it may go to, now or later.
            tried_ids: ids of endpoints that it was tried at.

        Returns:
            Lists of endpoints. A later one is for requests that find no room
            in an earlier one.
        """
        if not self.policy.decides_on(request.service):
            return (endpoints,)
        tried_versions = frozenset(
            endpoint.software_version
            for endpoint in endpoints
            if endpoint.id in tried_ids
        )
        query = _query(request, _draw(request), tried_versions)
        groups = self.policy.find_groups(query, _versions(endpoints))
        return tuple(_of_versions(endpoints, group) for group in groups)

    def waits_for_right(self, request):
        """Return whether a request waits for a right rather than for room."""
        return self.policy.needs_grant(_query(request, 0.0))

    def begin_attempt(self, request, assignment):
        """Use the right to send a request, just before it is sent.

        Args:
            request: the ``AdmittedRequest``.
            assignment: the ``Assignment``.

        Raises:
            VersionNotAllowed: the version of the endpoint may not get it.
        """
        version = assignment.endpoint.software_version
        if not self.policy.take(_query(request, 0.0), version):
            self._metrics.count('rollout.denied')
            raise errors.VersionNotAllowed(
                f'no request may be sent to version {version} now'
            )
        self.collector.begin(
            assignment,
            evidence_collector.ResultKey(
                request.service, version, request.route.name
            ),
        )

    def note_event(self, assignment):
        """Note that complete events of an attempt's stream have come."""
        self.collector.note_event(assignment)

    def note_answered(self, assignment, status):
        """Note the status of the whole answer to an attempt.

        A status from 400 to 499 is put down to the caller.
        """
        if status >= 500:
            self.collector.note_failed(assignment)
        elif status < 400:
            seconds = self.collector.note_succeeded(assignment)
            if seconds is not None:
                version = assignment.endpoint.software_version
                name = f'rollout.{assignment.endpoint.pool}.{version}'
                self._metrics.timing(name, seconds)
        else:
            self.collector.leave_out(assignment)

    def note_failed(self, assignment, is_spoiled, has_crashed=False):
        """Note that an attempt has failed after it may have run.

        Args:
            assignment: the ``Assignment``.
            is_spoiled: whether the failure tells nothing of the version: the
                request is suspected of crashing endpoints, this VM reaches
                no endpoint, or it stops.
            has_crashed: whether the endpoint has crashed, which may have
                ended many requests at once.
        """
        counts = not is_spoiled and (
            not has_crashed or self._crashes.counts(assignment.endpoint)
        )
        if not counts:
            self.collector.leave_out(assignment)
        else:
            self.collector.note_failed(assignment)

    def end_attempt(self, assignment):
        """Note that an attempt is no longer at its endpoint."""
        self.collector.end(assignment)


def is_trial(record):
    """Return whether the target of a ``RolloutRecord`` needs grants."""
    return record.phase in _TRIAL_PHASES


def follow_rollouts(limits, store, directory, metrics, notify_waiting):
    """Return the rollouts of a VM, subscribed to what they depend on.

    Args:
        limits: the ``RolloutLimits``, or None.
        store: the ``StateStore``.
        directory: the ``Directory`` of VMs and endpoints.
        metrics: the ``Metrics``.
        notify_waiting: see ``EntryRollouts``.
    """
    if limits is None:
        return NoRollouts()
    rollouts = EntryRollouts(
        version_policy.VersionPolicy(store.contact_age),
        evidence_collector.EvidenceCollector(),
        metrics,
        notify_waiting,
        crash_counter.CrashCounter(
            directory.own_vm.id,
            lambda: [vm.id for vm in directory.entry_vms()],
        ),
    )
    store.add_change_listener(rollouts.follow)
    directory.on_endpoint_change(rollouts.note_endpoint)
    return rollouts


def _query(request, draw, tried_versions=frozenset()):
    return version_policy.VersionQuery(
        request.service, request.software_version, draw, tried_versions
    )


def _draw(request):
    """Return a number from 0 to 1 that stays the same for a request."""
    text = f'{request.metadata.request_id}/{request.arrived_at!r}'
    return zlib.crc32(text.encode('utf-8')) / _HASHES


def _versions(endpoints):
    return frozenset(endpoint.software_version for endpoint in endpoints)


def _of_versions(endpoints, versions):
    return [
        endpoint
        for endpoint in endpoints
        if endpoint.software_version in versions
    ]
