"""Components of the daemon that the operators' verbs work with."""

import dataclasses

from ..entry import request_gate
from ..membership import directory as directories
from ..membership import gossip as gossips
from ..membership import link
from ..membership import withdrawals as withdrawal_sets
from ..replication import proposer as proposers
from ..replication import replica_runner as replica_runners
from ..replication import state_store


@dataclasses.dataclass(frozen=True)
class PorcelainContext:
    """Components of the daemon that the porcelain works with.

    Attributes:
        store: this VM's copy of the fleet's state.
        replica_runner: the replica of the log; None without a data folder.
        proposer: commits commands to the replicated log.
        directory: VMs and endpoints known to this VM.
        withdrawals: digests of withdrawn keys.
        gossip: exchanges updates with the other VMs.
        gate: counts the callers' requests in flight.
        links: connections to other VMs.
    """

    store: state_store.StateStore
    replica_runner: replica_runners.ReplicaRunner | None
    proposer: proposers.Proposer
    directory: directories.Directory
    withdrawals: withdrawal_sets.Withdrawals
    gossip: gossips.Gossip
    gate: request_gate.RequestGate
    links: link.Links
