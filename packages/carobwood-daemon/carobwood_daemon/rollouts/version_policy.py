"""Decides to which software versions of a service a request may go now.

Load pattern: endpoints of a new version start beside those of the former one,
and dozens to hundreds of VMs see them at the same moment. Nobody knows yet
whether the new version fails, or is slow under load only. A VM may be cut
off, stand still, or hear of the order late, and requests wait, are retried
and change the VM meanwhile.

So the new version gets no more requests than the owner of the rollouts has
granted, the former one takes all others, and the right is used up as a
request is sent, not when its endpoint is chosen.
"""

import dataclasses
import threading

from carobwood import clocks

from ..replication import rollout_records

from . import exposure_grants
from . import version_history

# Time after the end of a rollout for which endpoints of the former version,
# which stop without draining, get no requests.
FORMER_EXCLUDED_SECONDS = 30.0

# Time without contact with the control VMs after which this VM counts as cut
# off, so that no version that is being tried gets its requests.
CUT_OFF_SECONDS = 2.0

# Time without any endpoint of a former version after which the target serves
# without a right, rather than nobody.
MISSING_FORMER_SECONDS = 3.0

_Phase = rollout_records.RolloutPhase


@dataclasses.dataclass(frozen=True)
class VersionQuery:
    """A request, as far as the choice of a version depends on it.

    Attributes:
        service: name of the service that it goes to.
        bound_version: the only version that may go on with its stream, or
            None for any.
        draw: number from 0 to 1 that is drawn once for the request.
        tried_versions: versions that it was tried at without success.
    """

    service: str
    bound_version: str | None = None
    draw: float = 0.0
    tried_versions: frozenset[str] = frozenset()


class _Rollout:
    """The newest rollout of a service as this VM follows it."""

    def __init__(self, record, now, former=None):
        self.record = record
        self.changed_at = now
        # Versions that earlier rollouts of the service have rolled back.
        self.rejected_versions = frozenset()
        if former is not None:
            self.rejected_versions = former.all_rejected_versions - {
                record.target_version
            }
        # Whether an endpoint of the target was known at the last look.
        self.has_target = False
        # Time since which no look has found an endpoint of a former version,
        # or None.
        self._missing_since = None
        self.grants = exposure_grants.ExposureGrants()

    def look(self, versions, now):
        """Note the versions of all endpoints of the service."""
        target = self.record.target_version
        self.has_target = target in versions
        if versions - self.all_rejected_versions - {target}:
            self._missing_since = None
        elif self._missing_since is None:
            self._missing_since = now

    def is_alone(self, now):
        """Return whether only the target is left to serve callers.

        It is not once the owner has found it bad.
        """
        return (
            self.has_target
            and self._missing_since is not None
            and now - self._missing_since >= MISSING_FORMER_SECONDS
            and self.phase in (_Phase.CANARY, _Phase.SHIFTING)
            and not self.grants.is_taken_back(now)
        )

    @property
    def all_rejected_versions(self):
        """Versions that get no requests, this rollout's target included."""
        if self.phase is _Phase.ROLLED_BACK:
            return self.rejected_versions | {self.record.target_version}
        return self.rejected_versions

    @property
    def phase(self):
        """The ``RolloutPhase``; one that this build lacks needs grants."""
        try:
            return _Phase(self.record.phase)
        except ValueError:
            return _Phase.CANARY


class VersionPolicy:
    """The one owner of the choice between versions on this VM."""

    def __init__(self, contact_age, clock=clocks.now):
        """Create a policy that knows of no rollout.

        Args:
            contact_age: function without arguments; returns the seconds since
                this VM's last contact with the control VMs.
            clock: function that returns the monotonic time in seconds.
        """
        self._contact_age = contact_age
        self._clock = clock
        self._lock = threading.Lock()
        self._rollouts_by_service = {}
        self._meters_by_service = {}
        self._history = version_history.VersionHistory()

    def follow(self, records_by_service):
        """Take over the rollouts of the replicated state.

        Args:
            records_by_service: the ``RolloutRecord`` of each service.

        Returns:
            The records that are new or have changed their phase.
        """
        now = self._clock()
        changed = []
        with self._lock:
            for service, record in records_by_service.items():
                known = self._rollouts_by_service.get(service)
                if known is None or known.record.index < record.index:
                    self._rollouts_by_service[service] = _Rollout(
                        record, now, known
                    )
                    changed.append(record)
                elif known.record.index == record.index:
                    if known.record.phase != record.phase:
                        known.changed_at = now
                        changed.append(record)
                    known.record = record
        return changed

    def records(self):
        """Return the ``RolloutRecord`` of each service that has one."""
        with self._lock:
            return [
                rollout.record
                for rollout in self._rollouts_by_service.values()
            ]

    def note_version(self, service, version):
        """Note an announced version; return whether it is held back."""
        now = self._clock()
        with self._lock:
            is_new = self._history.note(service, version, now)
            return is_new and service not in self._rollouts_by_service

    def add_grants(self, grants):
        """Take over ``Grant`` objects; those of other rollouts are void."""
        with self._lock:
            rollouts_by_index = {
                rollout.record.index: rollout
                for rollout in self._rollouts_by_service.values()
            }
            for grant in grants:
                rollout = rollouts_by_index.get(grant.rollout)
                if rollout is not None:
                    rollout.grants.add(grant)

    def has_right(self, service):
        """Return whether the target of a rollout may get a request now."""
        now = self._clock()
        is_in_touch = self._is_in_touch()
        with self._lock:
            rollout = self._rollouts_by_service.get(service)
            return is_in_touch and (
                rollout is not None and rollout.grants.has_right(now)
            )

    def is_alone(self, service):
        """Return whether a target serves without a right, as nobody else."""
        now = self._clock()
        is_in_touch = self._is_in_touch()
        with self._lock:
            rollout = self._rollouts_by_service.get(service)
            return (
                is_in_touch and rollout is not None and (rollout.is_alone(now))
            )

    def rate(self, service):
        """Return the requests per second that this VM sends to a service."""
        with self._lock:
            meter = self._meters_by_service.get(service)
            return meter.rate(self._clock()) if meter else 0.0

    def granted_share(self, service):
        """Return the share of the requests that the target may get now."""
        rate = self.rate(service)
        now = self._clock()
        with self._lock:
            rollout = self._rollouts_by_service.get(service)
            if rollout is None:
                return 0.0
            if rollout.phase in (_Phase.SETTLING, _Phase.SUCCEEDED):
                return 1.0
            return rollout.grants.share(now, rate)

    def needs_grant(self, query):
        """Return whether only a grant lets a stream go on."""
        rollout = self._rollouts_by_service.get(query.service)
        if rollout is None or query.bound_version is None:
            return False
        is_trial = rollout.phase in (_Phase.CANARY, _Phase.SHIFTING)
        return is_trial and query.bound_version == (
            rollout.record.target_version
        )

    def decides_on(self, service):
        """Return whether the versions of a service are told apart now."""
        if service in self._rollouts_by_service:
            return True
        return self._history.may_hold(self._clock(), self._find_lost_at())

    def _is_in_touch(self):
        return self._contact_age() < CUT_OFF_SECONDS

    def _find_lost_at(self):
        """Return the time of the last contact if cut off, or None."""
        age = self._contact_age()
        return self._clock() - age if age >= CUT_OFF_SECONDS else None

    def find_possible(self, query, versions):
        """Return the versions that a request may go to, now or later.

        Args:
            query: the ``VersionQuery``.
            versions: versions of all endpoints of its service, as a set.
        """
        now = self._clock()
        is_in_touch = self._is_in_touch()
        with self._lock:
            rollout = self._rollouts_by_service.get(query.service)
            if rollout is None:
                return versions
            target = rollout.record.target_version
            rollout.look(versions, now)
            versions -= rollout.all_rejected_versions
            if rollout.phase is _Phase.ROLLED_BACK:
                return versions
            if rollout.phase in (_Phase.SETTLING, _Phase.SUCCEEDED):
                return frozenset(
                    version
                    for version in versions
                    if _may_follow(rollout, query, version, now)
                )
            is_bound = query.bound_version == target
            is_granted = is_in_touch and (
                rollout.grants.has_right(now) or rollout.is_alone(now)
            )
            is_possible = is_bound or is_granted
            return versions if is_possible else versions - {target}

    def find_groups(self, query, versions):
        """Return the versions that a request may go to now, in order.

        A later group is for requests that find no room at an earlier one.

        Args:
            query: the ``VersionQuery``.
            versions: the versions that it may go to, now or later.

        Returns:
            Sets of versions, as a tuple.
        """
        now = self._clock()
        lost_at = self._find_lost_at()
        is_in_touch = lost_at is None
        with self._lock:
            rollout = self._rollouts_by_service.get(query.service)
            if rollout is None:
                held = self._history.new_versions(
                    query.service, versions, now, lost_at
                )
                return (versions - held,)
            if rollout.phase not in (_Phase.CANARY, _Phase.SHIFTING):
                return (versions,)
            target = rollout.record.target_version
            if is_in_touch and rollout.is_alone(now):
                return (versions,)
            if not is_in_touch or not rollout.grants.has_right(now):
                return (versions - {target},)
            return self._trial_groups(rollout, query, versions, now)

    def take(self, query, version):
        """Use the right to send a request to a version now.

        Args:
            query: the ``VersionQuery``.
            version: software version of the endpoint.

        Returns:
            Whether it may be sent.
        """
        now = self._clock()
        service = query.service
        # Asked without the lock, as the answer takes that of the state.
        is_in_touch = (
            service not in self._rollouts_by_service or self._is_in_touch()
        )
        with self._lock:
            if not self._take(query, version, now, is_in_touch):
                return False
            meter = self._meters_by_service.get(service)
            if meter is None:
                meter = exposure_grants.RateMeter()
                self._meters_by_service[service] = meter
            meter.note(now)
            return True

    def _take(self, query, version, now, is_in_touch):
        rollout = self._rollouts_by_service.get(query.service)
        if rollout is None:
            return True
        if version in rollout.all_rejected_versions:
            return False
        if rollout.phase in (_Phase.SETTLING, _Phase.SUCCEEDED):
            return _may_follow(rollout, query, version, now)
        if version != rollout.record.target_version:
            return True
        return is_in_touch and (
            rollout.grants.take(now) or rollout.is_alone(now)
        )

    def _trial_groups(self, rollout, query, possible, now):
        """Return the groups while the target is granted to few requests."""
        target = rollout.record.target_version
        former = possible - {target}
        if target not in possible:
            return (former,)
        if query.bound_version == target:
            return (possible,)
        has_share = rollout.grants.has_share(now)
        meter = self._meters_by_service.get(query.service)
        rate = meter.rate(now) if meter else 0.0
        share = rollout.grants.share(now, rate)
        is_drawn = query.draw < share
        if is_drawn and target not in query.tried_versions:
            return (frozenset({target}), former)
        if has_share and former:
            # What the target gets is its share, not what others leave over.
            return (former,)
        return (former, frozenset({target}))


def _may_follow(rollout, query, version, now):
    """Return whether a version may serve once the traffic has shifted.

    Former versions serve what callers would not be served else: requests
    while no endpoint of the target is known, and until the rollout has
    succeeded the streams that they began.
    """
    target = rollout.record.target_version
    if version == target or not rollout.has_target:
        return True
    if rollout.phase is _Phase.SETTLING:
        return query.bound_version == version
    return now - rollout.changed_at > FORMER_EXCLUDED_SECONDS
