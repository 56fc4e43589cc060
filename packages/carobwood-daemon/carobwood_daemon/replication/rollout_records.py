"""Records of rollouts in the replicated state, and changes of them."""

import enum

import msgspec

from . import rollout_commands


class RolloutPhase(enum.StrEnum):
    """Phase of a rollout of a software version.

    Attributes:
        CANARY: the target version gets few requests, while it is judged.
        SHIFTING: it is sound so far, and its share of the requests grows.
        SETTLING: all new requests go to it; those at the former version end.
        SUCCEEDED: the former version has no requests left.
        ROLLED_BACK: the target version gets no requests any more.
    """

    CANARY = 'canary'
    SHIFTING = 'shifting'
    SETTLING = 'settling'
    SUCCEEDED = 'succeeded'
    ROLLED_BACK = 'rolled-back'

    @property
    def is_final(self):
        """Whether the rollout has ended."""
        return self in (RolloutPhase.SUCCEEDED, RolloutPhase.ROLLED_BACK)


_FINAL_PHASES = frozenset(
    phase.value for phase in RolloutPhase if phase.is_final
)


class RolloutRecord(msgspec.Struct, frozen=True):
    """The newest rollout of a service.

    Attributes:
        index: log index of the order, which identifies the rollout.
        service: name of the service.
        target_version: software version that it moves the traffic to.
        ramp_ms: time in which the operators want the traffic to move.
        phase: value of the ``RolloutPhase``; a newer build may have others.
        reserved: requests that may have been granted to the target version
            so far, by all owners together.
        reason: why it has ended, in words.
    """

    index: int
    service: str
    target_version: str
    ramp_ms: int
    phase: str = RolloutPhase.CANARY.value
    reserved: int = 0
    reason: str = ''

    @property
    def has_ended(self):
        """Whether the rollout is in a final phase."""
        return self.phase in _FINAL_PHASES


def apply(records_by_service, index, command):
    """Apply a command on a rollout.

    Args:
        records_by_service: the newest ``RolloutRecord`` of each service.
        index: log index of the command.
        command: the command.

    Returns:
        The records by service after it, and the ``RolloutHeld``.
    """
    record = records_by_service.get(command.service)
    changed = _change(record, index, command)
    if changed is not record:
        records_by_service = {**records_by_service, command.service: changed}
    return records_by_service, held(changed)


def held(record):
    """Return the ``RolloutHeld`` of a record, or of None."""
    if record is None:
        return rollout_commands.RolloutHeld(0)
    return rollout_commands.RolloutHeld(
        record.index,
        record.target_version,
        record.phase,
        record.reserved,
        record.reason,
    )


def _change(record, index, command):
    match command:
        case rollout_commands.StartRollout():
            return _start(record, index, command)
        case rollout_commands.ReserveExposure(total=total):
            if _runs(record, command.index) and total > record.reserved:
                return msgspec.structs.replace(record, reserved=total)
        case rollout_commands.AdvanceRollout(expected_phase=expected):
            if _runs(record, command.index) and record.phase == expected:
                return msgspec.structs.replace(
                    record, phase=command.phase, reason=command.reason
                )
    return record


def _start(record, index, command):
    if record is not None:
        is_repeated = record.target_version == command.target_version
        if is_repeated or not record.has_ended:
            return record
    return RolloutRecord(
        index, command.service, command.target_version, command.ramp_ms
    )


def _runs(record, index):
    return (
        record is not None and record.index == index and not record.has_ended
    )
