"""The state machine that the replicated log drives."""

import msgspec

from . import claims
from . import commands
from . import fleet_state
from . import log_membership
from . import rollout_records
from . import stored_values


class StateMachineSnapshot(msgspec.Struct):
    """Content of a snapshot.

    Attributes:
        index: log index of the last applied entry.
        term: term of the last applied entry.
        voters: voting members of the log.
        learners: members that receive the log without voting.
        fleet: the ``FleetState``.
        claims: the ``ClaimTable``.
    """

    index: int
    term: int
    voters: tuple[commands.Member, ...]
    learners: tuple[commands.Member, ...]
    fleet: fleet_state.FleetState
    claims: claims.ClaimTable


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(StateMachineSnapshot)


class StateMachine:
    """Applies committed commands in log order.

    It has no lock; the caller serialises all calls.

    Attributes:
        index: log index of the last applied entry.
        term: term of the last applied entry.
        fleet: the current ``FleetState``.
        claims: the ``ClaimTable``.
        membership: the ``LogMembership`` as of the last applied entry.
    """

    def __init__(self):
        self.index = 0
        self.term = 0
        self.fleet = fleet_state.FleetState()
        self.claims = claims.ClaimTable(0, {})
        self.membership = log_membership.LogMembership()

    def apply(self, entry, command):
        """Apply an entry.

        Args:
            entry: the committed ``Entry``.
            command: the decoded command of the entry.

        Returns:
            The command's ``Result``, or None if it could not be applied.
        """
        try:
            result = self._apply(entry, command)
        except MemoryError:
            # Other replicas may have the memory: it must be applied later.
            raise
        except Exception as error:
            fleet_state.emit_command_failed(entry.index, command, repr(error))
            result = None
        self.index = entry.index
        self.term = entry.term
        return result

    def _apply(self, entry, command):
        match command:
            case commands.NoOperation():
                return commands.Applied(entry.index)
            case commands.ChangeVoters():
                self.membership = log_membership.membership_of(command)
                return commands.Applied(entry.index)
            case (
                commands.OpenClaim()
                | commands.SettleClaim()
                | commands.ReleaseClaim()
                | commands.AdvanceTime()
            ):
                return self.claims.apply(command)
            case commands.ReadConfiguration():
                return self.fleet.configuration
            case commands.ReadRollout(service=service):
                return rollout_records.held(
                    self.fleet.rollouts_by_service.get(service)
                )
        self.fleet, result = self.fleet.apply(entry.index, command)
        return result

    def snapshot(self):
        """Return the encoded ``StateMachineSnapshot``."""
        return _encoder.encode(
            StateMachineSnapshot(
                self.index,
                self.term,
                self.membership.voters,
                self.membership.learners,
                self.fleet,
                self.claims,
            )
        )

    def restore(self, data):
        """Replace the state by an encoded ``StateMachineSnapshot``.

        Raises:
            LogDamaged: it cannot be decoded.
        """
        with stored_values.decoding('the snapshot'):
            state = _decoder.decode(data)
        self.index = state.index
        self.term = state.term
        self.membership = log_membership.LogMembership(
            state.voters, state.learners
        )
        self.fleet = state.fleet
        self.claims = state.claims


def is_fleet_command(command):
    """Tell whether a command belongs to the fleet's state.

    Such commands are also sent to VMs without a replica of the log.
    """
    match command:
        case (
            commands.NoOperation()
            | commands.ChangeVoters()
            | commands.OpenClaim()
            | commands.SettleClaim()
            | commands.ReleaseClaim()
            | commands.AdvanceTime()
            | commands.ReadConfiguration()
            | commands.ReadRollout()
        ):
            return False
    return True
