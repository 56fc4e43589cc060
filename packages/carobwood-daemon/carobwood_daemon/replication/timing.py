"""Timeouts of the Raft protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Timing:
    """Timeouts of the Raft protocol, in seconds.

    Attributes:
        heartbeat: longest pause between two messages to a member.
        election_min: lower bound of the random election timeout.
        election_max: upper bound of the random election timeout.
        drift_margin: share of ``election_min`` by which the leader lease
            is shorter, because the VMs' clocks run at different rates.
    """

    heartbeat: float = 0.1
    election_min: float = 0.8
    election_max: float = 1.6
    drift_margin: float = 0.1

    @property
    def lease(self):
        """Seconds for which the answers of a quorum extend a leader's lease.

        Voters refuse to vote for ``election_min`` after a message of the
        leader, so no other leader can be elected before the lease ends.
        """
        return self.election_min * (1 - self.drift_margin)
