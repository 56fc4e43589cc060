"""Periods of the replicated log's protocol."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Timing:
    """Periods of the protocol, in seconds.

    Attributes:
        heartbeat: pause between two messages to an idle follower.
        election_min: shortest silence after which a follower campaigns.
        election_max: longest such silence.
        drift_margin: share of ``election_min`` that the leader's lease
            leaves to clocks of unequal speed.
    """

    heartbeat: float = 0.1
    election_min: float = 0.8
    election_max: float = 1.6
    drift_margin: float = 0.1

    @property
    def lease(self):
        """How long a quorum's answers entitle a leader to act."""
        return self.election_min * (1 - self.drift_margin)
