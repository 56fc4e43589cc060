"""Builders of test data for rollouts."""

import math
import types

import relay_builders

from carobwood_daemon.relay import assignments
from carobwood_daemon.replication import rollout_records
from carobwood_daemon.rollouts import crash_counter as crash_counters
from carobwood_daemon.rollouts import exposure_grants
from carobwood_daemon.rollouts import version_policy

SERVICE = 'engines'
FORMER = 'v1'
TARGET = 'v2'
BOTH = frozenset({FORMER, TARGET})
ROLLOUT = 7
VM_ID = 'front-0'
Phase = rollout_records.RolloutPhase


def record(phase=Phase.CANARY, **changes):
    """Return the record of a rollout from ``FORMER`` to ``TARGET``."""
    fields = {
        'index': ROLLOUT,
        'service': SERVICE,
        'target_version': TARGET,
        'ramp_ms': 12_000,
        'phase': phase.value,
    }
    return rollout_records.RolloutRecord(**{**fields, **changes})


def count_grant(requests, ends_at, rollout=ROLLOUT):
    """Return a grant of a number of requests."""
    return exposure_grants.Grant(rollout, requests, 0.0, ends_at)


def share_grant(share, ends_at, rollout=ROLLOUT):
    """Return a grant of a share of the requests."""
    return exposure_grants.Grant(
        rollout, exposure_grants.NO_COUNT, share, ends_at
    )


def query(draw=0.0, **changes):
    """Return a query for a request to the service."""
    return version_policy.VersionQuery(SERVICE, draw=draw, **changes)


def request(number=0, **changes):
    """Return a request, as far as rollouts look at it."""
    fields = {
        'service': SERVICE,
        'software_version': None,
        'metadata': types.SimpleNamespace(request_id=f'r-{number}'),
        'arrived_at': 1.0,
        'route': types.SimpleNamespace(name='checks'),
        'fingerprint': '',
    }
    return types.SimpleNamespace(**{**fields, **changes})


def assignment(version=TARGET, **changes):
    """Return an assignment of an endpoint of a version."""
    endpoint = relay_builders.endpoint(
        f'engine-{version}', software_version=version, **changes
    )
    return assignments.Assignment(endpoint, None, '', 0, (), '', '', {})


def crash_counter(own_id=VM_ID, vm_ids=()):
    """Return the counter of crashes of a VM, by default of the only one."""
    return crash_counters.CrashCounter(own_id, lambda: vm_ids)


class PolicyHarness:
    """A policy with a clock and contact that a test changes.

    Attributes:
        clock: the ``Clock``.
        is_in_touch: whether the VM is in contact with the control VMs.
        lost_at: time of its last contact if it is not, or None if it never
            had any.
        policy: the ``VersionPolicy``.
    """

    def __init__(self, phase=None):
        """Create it.

        Args:
            phase: phase of the rollout that the policy follows, or None.
        """
        self.clock = relay_builders.Clock()
        self.is_in_touch = True
        self.lost_at = None
        self.policy = version_policy.VersionPolicy(
            self._contact_age, self.clock
        )
        if phase is not None:
            self.follow(phase)

    def lose_contact(self):
        """Have the control VMs stand still until the VM counts as cut off."""
        self.lost_at = self.clock.now
        self.is_in_touch = False
        self.clock.advance(version_policy.CUT_OFF_SECONDS)

    def _contact_age(self):
        if self.is_in_touch:
            return 0.0
        if self.lost_at is None:
            return math.inf
        return self.clock.now - self.lost_at

    def follow(self, phase, **changes):
        """Have the policy follow a rollout in some phase."""
        self.policy.follow({SERVICE: record(phase, **changes)})

    def grant(self, requests, seconds=1.0):
        """Grant a number of requests."""
        self.policy.add_grants(
            [count_grant(requests, self.clock.now + seconds)]
        )

    def grant_share(self, share, seconds=1.0):
        """Grant a share of the requests."""
        self.policy.add_grants([share_grant(share, self.clock.now + seconds)])

    def groups(self, versions=BOTH, **changes):
        """Return the groups of versions for a request."""
        asked = query(**changes)
        possible = self.policy.find_possible(asked, frozenset(versions))
        return self.policy.find_groups(asked, possible)

    def allows(self, version, versions=BOTH, **changes):
        """Return whether a request may go to a version now."""
        groups = self.groups(versions, **changes)
        return any(version in group for group in groups)

    def take(self, version=TARGET, **changes):
        """Use the right to send a request to a version."""
        return self.policy.take(query(**changes), version)
