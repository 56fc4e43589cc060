"""Builders of replicas and of the messages that a leader sends them."""

from carobwood.gen.links import ttypes
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replica as replicas
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import timing

FLEET_ID = 'fleet'
MEMBERS = tuple(
    commands.Member(f'r{number}', f'vm{number}', f'10.0.0.{number}:1')
    for number in (1, 2, 3)
)
NO_OPERATION = commands.encode(commands.NoOperation())


def founding_entry(members=MEMBERS):
    """Return the first log entry, which names the voters."""
    change = commands.ChangeVoters(tuple(members), ())
    return logs.Entry(1, 0, commands.encode(change))


def build_replica(log, members=MEMBERS, store=None, own=None):
    """Return the replica of a member, without its threads.

    Args:
        log: the ``Log``; it gets the founding entry if it is empty.
        members: the voters.
        store: the ``StableStore``; one in memory by default.
        own: the member; the first one by default.
    """
    if not log.last.index:
        log.append([founding_entry(members)])
        log.flush()
    own = own or members[0]
    replica = replicas.Replica(
        data_folder.Identity(own.replica_id, FLEET_ID),
        own.vm_id,
        own.address,
        log,
        store or stable_store.MemoryStableStore(),
        timing.Timing(),
    )
    replica.load_membership(0, replica.membership)
    return replica


def elect(replica, term):
    """Make a replica the leader of a term."""
    with replica.changed:
        hard_state = stable_store.HardState(term, replica.replica_id)
        replica.store_hard_state(hard_state)
        replica.become_leader()


def append_request(term, leader, previous, entries, commit_index=0):
    """Return an ``AppendRequest`` of a leader.

    Args:
        term: term of the leader.
        leader: the ``Member`` that leads.
        previous: ``Position`` of the entry before the first one.
        entries: the entries, of ``log.Entry``.
        commit_index: the leader's commit index.
    """
    return ttypes.AppendRequest(
        FLEET_ID,
        term,
        leader.replica_id,
        leader.address,
        previous.index,
        previous.term,
        [ttypes.LogEntry(e.index, e.term, e.payload) for e in entries],
        commit_index,
        None,
    )


def no_operations(first_index, count, term):
    """Return consecutive entries without effect."""
    return [
        logs.Entry(first_index + number, term, NO_OPERATION)
        for number in range(count)
    ]


def snapshot_request(term, leader, position, data=b'state'):
    """Return a ``SnapshotRequest`` that holds a whole snapshot.

    Args:
        term: term of the leader.
        leader: the ``Member`` that leads.
        position: ``Position`` of the snapshot.
        data: the encoded state.
    """
    return ttypes.SnapshotRequest(
        FLEET_ID,
        term,
        leader.replica_id,
        position.index,
        position.term,
        0,
        data,
        True,
        None,
    )
