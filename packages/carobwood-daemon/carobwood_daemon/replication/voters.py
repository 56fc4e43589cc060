"""The replicas that vote and those that learn."""

import dataclasses

from . import commands


@dataclasses.dataclass(frozen=True)
class Voters:
    """A configuration of the log.

    Attributes:
        voters: members that count for a quorum.
        learners: members that receive the log without voting.
    """

    voters: tuple[commands.Member, ...] = ()
    learners: tuple[commands.Member, ...] = ()

    @property
    def quorum(self):
        """Number of voters that a decision needs."""
        return len(self.voters) // 2 + 1

    @property
    def members_by_id(self):
        """All members by replica id."""
        members = self.voters + self.learners
        return {member.replica_id: member for member in members}

    def is_voter(self, replica_id):
        """Tell whether a replica votes."""
        return any(m.replica_id == replica_id for m in self.voters)

    def voter_on(self, vm_id):
        """Return the voter that runs on a VM, or None."""
        for member in self.voters:
            if member.vm_id == vm_id:
                return member
        return None

    def without(self, replica_id):
        """Return the configuration without a replica."""
        return Voters(
            tuple(m for m in self.voters if m.replica_id != replica_id),
            tuple(m for m in self.learners if m.replica_id != replica_id),
        )

    def with_learner(self, member):
        """Return the configuration with a member learning."""
        kept = self.without(member.replica_id)
        return Voters(kept.voters, kept.learners + (member,))

    def with_voter(self, member):
        """Return the configuration with a member voting."""
        kept = self.without(member.replica_id)
        return Voters(kept.voters + (member,), kept.learners)

    def with_address(self, member):
        """Return the configuration with a member's new address."""
        if self.is_voter(member.replica_id):
            return self.with_voter(member)
        return self.with_learner(member)

    def command(self):
        """Return the command that puts this configuration in the log."""
        return commands.ChangeVoters(self.voters, self.learners)


def voters_of(command):
    """Return the ``Voters`` that a ``ChangeVoters`` command names."""
    return Voters(command.voters, command.learners)
