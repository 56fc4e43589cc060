"""Commands of the replicated log on rollouts of software versions.

They are proposed only while all VMs know them; see docs/design/upgrades.md.
"""

from . import command_bases


class StartRollout(command_bases.Command, frozen=True, tag=True):
    """Start a rollout of a service, identified by its log index.

    It has no effect while a rollout of the service runs, nor if the newest
    one had the same target version, whatever became of it.

    Attributes:
        service: name of the service.
        target_version: software version that the traffic moves to.
        ramp_ms: time in which it should move.
    """

    service: str
    target_version: str
    ramp_ms: int


class ReserveExposure(command_bases.Command, frozen=True, tag=True):
    """Raise the number of requests that may be granted in a rollout.

    Attributes:
        service: name of the service.
        index: log index of the rollout's order.
        total: requests that may have been granted to the target version
            since the order; a lower total has no effect.
    """

    service: str
    index: int
    total: int


class AdvanceRollout(command_bases.Command, frozen=True, tag=True):
    """Move a rollout to another phase, if it is in the expected one.

    Attributes:
        service: name of the service.
        index: log index of the rollout's order.
        phase: value of the next ``RolloutPhase``.
        expected_phase: value of the phase that it must be in.
        reason: why, in words.
    """

    service: str
    index: int
    phase: str
    expected_phase: str
    reason: str


class ReadRollout(command_bases.Command, frozen=True, tag=True):
    """Read the newest rollout of a service, as a linearizable read."""

    service: str


class RolloutHeld(command_bases.Result, frozen=True, tag=True):
    """The newest rollout of a service after a command on it.

    Attributes:
        index: log index of its order, or 0 if there is none.
        target_version: see ``RolloutRecord``, like the other fields.
    """

    index: int
    target_version: str = ''
    phase: str = ''
    reserved: int = 0
    reason: str = ''
