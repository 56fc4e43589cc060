"""The members of the replicated log: voters and learners."""

import dataclasses

from . import commands


@dataclasses.dataclass(frozen=True)
class LogMembership:
    """The members of the log (in Raft, the cluster configuration).

    Attributes:
        voters: members that vote and count for a quorum.
        learners: members that receive the log without voting.
    """

    voters: tuple[commands.Member, ...] = ()
    learners: tuple[commands.Member, ...] = ()

    @property
    def quorum(self):
        """Number of voters that make a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members_by_id(self):
        """Voters and learners by replica id."""
        members = self.voters + self.learners
        return {member.replica_id: member for member in members}

    def is_voter(self, replica_id):
        """Tell whether a replica votes."""
        return any(m.replica_id == replica_id for m in self.voters)

    def voter_on(self, vm_id):
        """Return the voting member that runs on a VM, or None."""
        for member in self.voters:
            if member.vm_id == vm_id:
                return member
        return None

    def without(self, replica_id):
        """Return the membership without a replica."""
        return LogMembership(
            tuple(m for m in self.voters if m.replica_id != replica_id),
            tuple(m for m in self.learners if m.replica_id != replica_id),
        )

    def with_learner(self, member):
        """Return the membership with a member as a learner."""
        others = self.without(member.replica_id)
        return LogMembership(others.voters, others.learners + (member,))

    def with_voter(self, member):
        """Return the membership with a member as a voter."""
        others = self.without(member.replica_id)
        return LogMembership(others.voters + (member,), others.learners)

    def with_address(self, member):
        """Return the membership with an updated member in its old role."""
        if self.is_voter(member.replica_id):
            return self.with_voter(member)
        return self.with_learner(member)

    def command(self):
        """Return the command that changes the log to this membership."""
        return commands.ChangeVoters(self.voters, self.learners)


def membership_of(command):
    """Return the ``LogMembership`` of a ``ChangeVoters`` command."""
    return LogMembership(command.voters, command.learners)
