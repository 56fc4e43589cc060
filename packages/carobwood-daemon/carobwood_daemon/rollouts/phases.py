"""When a rollout moves on, and when it goes back.

Load pattern: a target version that is sound, or bad at once, later, on one
route or under load only; one whose endpoints never come or vanish; a service
with hundreds of requests a second, or hardly any; a change of the VM that
decides, in any phase.

A new owner begins the phase anew by its own clock: a canary lasts as long
again, and the share grows from its start, over a shorter time.
"""

import dataclasses

from ..replication import fleet_state

from . import judge

Phase = fleet_state.RolloutPhase

# Part of the ramp for which a version stays a canary, at least.
CANARY_PART = 0.5
# Ramps after which a version that nothing speaks against is no canary any
# more, though little is known of it.
MAX_CANARY_RAMPS = 1.0
# Ramps after which one of which something is held against it goes back.
MAX_UNDECIDED_RAMPS = 3.0
MIN_CANARY_SECONDS = 2.0
# Time in which the share of the target grows to 1, at least.
MIN_SHIFT_SECONDS = 2.0
# Part of the ramp in which it does under a new owner.
TAKEOVER_SHIFT_PART = 0.25
# Exponent of the share over the part of that time: it grows slowly while
# faults under load would still concern few requests.
SHIFT_EXPONENT = 2.5
MIN_SHARE = 0.1
# Time for which the target may have no endpoint, while it is a canary and
# after that.
MAX_CANARY_ABSENCE_SECONDS = 30.0
MAX_ABSENCE_SECONDS = 5.0
# Time after which every VM in touch has learned of a phase, and every grant
# of the phase before has ended.
SPREAD_SECONDS = 1.5


@dataclasses.dataclass(frozen=True)
class Situation:
    """What an owner knows of a rollout at a moment.

    Attributes:
        verdict: the ``Verdict`` on the target version.
        finding: the ``Finding`` that speaks most against it.
        seconds_in_phase: for how long this owner has had it in the phase.
        absent_seconds: for how long the target has had no endpoint.
        has_left_others: whether VMs in touch have no request at another
            version any more.
        longest_timeout: longest timeout of a request to the service, in
            seconds.
    """

    verdict: judge.Verdict
    finding: judge.Finding
    seconds_in_phase: float
    absent_seconds: float
    has_left_others: bool
    longest_timeout: float


@dataclasses.dataclass(frozen=True)
class Step:
    """A change of a rollout's phase.

    Attributes:
        phase: the next ``RolloutPhase``.
        reason: why, in words.
    """

    phase: Phase
    reason: str


def next_step(phase, ramp, shift_seconds, situation):
    """Return the ``Step`` that is due, or None.

    Args:
        phase: the ``RolloutPhase``.
        ramp: time in seconds in which the traffic should move.
        shift_seconds: time in which the share grows to 1.
        situation: the ``Situation``.
    """
    if situation.verdict is judge.Verdict.BAD:
        return Step(Phase.ROLLED_BACK, str(situation.finding))
    limit = MAX_ABSENCE_SECONDS
    if phase is Phase.CANARY:
        limit = MAX_CANARY_ABSENCE_SECONDS
    if situation.absent_seconds > limit:
        reason = f'no endpoint of the version for {limit:.0f} s'
        return Step(Phase.ROLLED_BACK, reason)
    if situation.absent_seconds:
        return None
    match phase:
        case Phase.CANARY:
            return _end_canary(ramp, situation)
        case Phase.SHIFTING:
            if situation.seconds_in_phase >= shift_seconds:
                return Step(Phase.SETTLING, 'the share has grown to 1')
        case Phase.SETTLING:
            return _end_settling(situation)
    return None


def share(seconds_in_phase, shift_seconds):
    """Return the target's share of the requests while the traffic moves."""
    part = min(1.0, seconds_in_phase / shift_seconds)
    return max(MIN_SHARE, part**SHIFT_EXPONENT)


def shift_seconds(ramp, ramp_age):
    """Return the time in seconds in which the share grows to 1.

    Args:
        ramp: time in seconds in which the traffic should move.
        ramp_age: seconds since the rollout began, or None under an owner
            that does not know.
    """
    if ramp_age is None:
        return max(MIN_SHIFT_SECONDS, TAKEOVER_SHIFT_PART * ramp)
    return max(MIN_SHIFT_SECONDS, ramp - ramp_age)


def _end_canary(ramp, situation):
    seconds = situation.seconds_in_phase
    if seconds < max(MIN_CANARY_SECONDS, CANARY_PART * ramp):
        return None
    if situation.verdict is judge.Verdict.SOUND:
        return Step(Phase.SHIFTING, f'sound; {situation.finding}')
    if seconds < max(MIN_CANARY_SECONDS, MAX_CANARY_RAMPS * ramp):
        return None
    if situation.finding.level < judge.SOUND_LEVEL:
        reason = f'few requests, nothing against it; {situation.finding}'
        return Step(Phase.SHIFTING, reason)
    if seconds < MAX_UNDECIDED_RAMPS * ramp:
        return None
    return Step(Phase.ROLLED_BACK, f'undecided; {situation.finding}')


def _end_settling(situation):
    seconds = situation.seconds_in_phase
    if seconds < SPREAD_SECONDS:
        return None
    if situation.has_left_others:
        return Step(Phase.SUCCEEDED, 'no request is left at other versions')
    if seconds > SPREAD_SECONDS + situation.longest_timeout:
        return Step(Phase.SUCCEEDED, 'the longest timeout has passed')
    return None
