"""What a VM of the relay knows of its fleet, and how it learns of it."""

import dataclasses

from .membership import build_features
from .membership import directory as directories
from .membership import gossip as gossips
from .membership import incarnations
from .membership import withdrawals as withdrawal_sets
from .relay import cut_off_records
from .relay import gossip_topic
from .relay import leaving_records
from .relay import model_records
from .relay import rate_limit_records
from .relay import speed_gossip
from .relay import weights_records
from .replication import proposer as proposers
from .replication import replica_runner as replica_runners
from .replication import state_store


@dataclasses.dataclass(frozen=True)
class ReplicatedState:
    """The parts that hold the fleet's state and take changes of it.

    Attributes:
        store: the ``StateStore``.
        directory: the ``Directory`` of VMs and endpoints.
        replica_runner: the ``ReplicaRunner``, or None on a VM without a data
            folder.
        proposer: the ``Proposer`` of commands for the replicated log.
    """

    store: state_store.StateStore
    directory: directories.Directory
    replica_runner: replica_runners.ReplicaRunner | None
    proposer: proposers.Proposer


def make_replicated_state(settings, data_folder, links):
    """Return the ``ReplicatedState`` of a VM.

    Args:
        settings: the ``RelaySettings``.
        data_folder: the ``DataFolder``, or None.
        links: the ``Links``.
    """
    store = state_store.StateStore()
    own_vm = directories.Vm(
        settings.vm_id,
        settings.data_centre,
        str(settings.link_listen),
        '',
        incarnations.new_incarnation(),
        data_folder is not None,
        settings.caller_listen is not None,
        forward_address=str(settings.forward_listen or ''),
        features=build_features.OWN_FEATURES,
    )
    directory = directories.Directory(own_vm, settings.seeds)
    replica_runner = None
    if data_folder is not None:
        replica_runner = replica_runners.ReplicaRunner(
            data_folder,
            settings.vm_id,
            str(settings.link_listen),
            links,
            store,
            settings.replica_options,
            directory.data_centres_by_address,
        )
    proposer = proposers.Proposer(replica_runner, links, directory)
    return ReplicatedState(store, directory, replica_runner, proposer)


def make_gossip(settings, directory, shared, store, links):
    """Return the ``Gossip`` of a VM, with what the relay spreads by it.

    Args:
        settings: the ``RelaySettings``.
        directory: the ``Directory`` of VMs and endpoints.
        shared: the ``SharedComponents`` of the VM.
        store: the ``StateStore``.
        links: the ``Links``.
    """
    topic = gossip_topic.RelayGossipTopic(
        directory,
        shared.loads,
        shared.quota,
        shared.past_usage_table,
        settings.fleet_limits.quota_tolerance.window,
        shared.wait_queue.notify_all,
    )
    topics = [topic]
    if shared.engine_speeds is not None:
        topics.append(speed_gossip.SpeedGossipTopic(shared.engine_speeds))
    gossip = gossips.Gossip(
        directory,
        withdrawal_sets.Withdrawals(),
        shared.crash_suspects,
        shared.prefix_cache_index,
        store,
        links,
        topics=tuple(topics),
        sources=(
            weights_records.WeightsRecords(shared.engine_weights),
            rate_limit_records.RateLimitRecords(shared.rate_limits),
            leaving_records.LeavingRecords(shared.availability),
            cut_off_records.CutOffRecords(shared.peers),
            shared.kv_stores,
        ),
    )
    model_records.ModelRecords(
        shared.engine_weights,
        gossip.foreign_records,
        shared.wait_queue.notify_all,
    )
    return gossip
