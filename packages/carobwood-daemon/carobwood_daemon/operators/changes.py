"""Commits the changes that operators ask for."""

from carobwood import errors
from carobwood import events

from ..replication import commands

from . import messages

# Time to wait for a change to be committed.
CHANGE_TIMEOUT_SECONDS = 10.0


class Changes:
    """Commits commands to the replicated log and logs who asked for them."""

    def __init__(self, proposer):
        """Create it.

        Args:
            proposer: the ``Proposer`` of commands.
        """
        self._proposer = proposer

    def commit(self, command, operator):
        """Commit a command and return the ``Change`` that it made.

        Raises:
            ChangeUncertain: no commit was confirmed in time.
            VersionConflict: another version is in force.
            NotFound: what the command names does not exist.
        """
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change=type(command).__name__,
            operation=command.operation_id,
        )
        outcome = self._proposer.submit(command, CHANGE_TIMEOUT_SECONDS)
        match outcome:
            case commands.Applied(version=version, document_version=number):
                return messages.Change(version, number)
            case commands.Conflicted():
                raise errors.VersionConflict(
                    f'{outcome.reason}; in force is version '
                    f'{outcome.winner_version} '
                    f'({outcome.winner_digest[:16]}) by '
                    f'{outcome.winner_operator}'
                )
            case commands.Absent(name=name):
                raise errors.NotFound(f'{name} does not exist')
        raise errors.InternalError(
            f'unexpected result {type(outcome).__name__}'
        )
