"""Replicas on real log files, driven step by step by random numbers.

Messages are lost before or after their effect, writes fail, leaders are
deposed and lead again, and processes are killed and restarted. Nothing waits
and no thread runs: each step calls what the replica's threads call.
"""

import random

import replication_builders as builders

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import log_membership
from carobwood_daemon.replication import replica as replicas
from carobwood_daemon.replication import replicator
from carobwood_daemon.replication import stable_store

LOSS_SHARE = 0.25
FAILED_WRITE_SHARE = 0.1
MAX_PROPOSALS = 4
# Weights of the steps.
STEPS = {
    'elect': 4,
    'propose': 10,
    'flush': 15,
    'replicate': 40,
    'kill': 3,
    'store_commit': 3,
    'compact': 2,
}
LEADER_STEPS = ('propose', 'flush', 'replicate')


class UnreliableLog(disk_log.DiskLog):
    """A log whose writes fail now and then.

    Attributes:
        rng: the random numbers, or None for reliable writes.
    """

    rng = None

    def _append_batch(self, batch):
        if self.rng is not None and self.rng.random() < FAILED_WRITE_SHARE:
            raise errors.DiskWriteFailed('injected')
        super()._append_batch(batch)


class Node:
    """One replica with its files, which outlive its process.

    Attributes:
        member: its ``Member``.
        replica: its running ``Replica``.
    """

    def __init__(self, member, path, rng):
        self.member = member
        self._folder = data_folder.DataFolder(path)
        self._store = stable_store.MemoryStableStore()
        self._rng = rng
        self.replica = None
        self.start()

    def start(self):
        """Start the process from what its files hold."""
        log = UnreliableLog(self._folder)
        self.replica = builders.build_replica(
            log, builders.MEMBERS, self._store, self.member
        )
        if log.base.index:
            # The snapshot holds the membership, as no entry changes it.
            command = commands.decode_command(
                builders.founding_entry().payload
            )
            self.replica.load_membership(
                log.base.index, log_membership.membership_of(command)
            )
        # As the applier does when it recovers.
        committed = max(log.base.index, log.commit_index)
        self.replica.commit_index = min(log.last.index, committed)
        log.rng = self._rng

    def kill(self):
        """End the process; what it has not written is lost."""
        self.replica.log.close()
        self.start()

    def stored_entries_by_index(self):
        """Return the entries in its files, as a restart would read them."""
        log = disk_log.DiskLog(self._folder)
        entries_by_index = {entry.index: entry for entry in log.entries()}
        log.close()
        return entries_by_index

    def close(self):
        """Release the files."""
        self.replica.log.close()
        self._folder.close()


class LossyLink:
    """Link to a node that loses requests and replies."""

    def __init__(self, node, rng):
        self._node = node
        self._rng = rng

    def call(self, method, request, timeout=None):
        """Have the node's replica answer a request."""
        del timeout
        self._lose()
        replica = self._node.replica
        handlers_by_method = {
            'append_entries': replica.requests.handle_append,
            'request_vote': replica.requests.handle_vote,
        }
        try:
            reply = handlers_by_method[method](request)
        except errors.CarobwoodError as error:
            raise errors.LinkFailed(str(error)) from error
        self._lose()
        return reply

    def _lose(self):
        if self._rng.random() < LOSS_SHARE:
            raise errors.LinkFailed('lost')


class Simulation:
    """Three replicas and what is known to be committed.

    Attributes:
        nodes: the ``Node`` objects.
        committed_by_index: the entry at each committed index.
        leader_by_term: the node that led in each term.
    """

    def __init__(self, path, seed):
        self._rng = random.Random(seed)
        self.nodes = [
            Node(member, path / member.replica_id, self._rng)
            for member in builders.MEMBERS
        ]
        self.committed_by_index = {}
        self.leader_by_term = {}
        self._number = 0

    def run(self, step_count):
        """Take random steps and check the invariants after each."""
        names = list(STEPS)
        for _ in range(step_count):
            name = self._rng.choices(names, STEPS.values())[0]
            getattr(self, f'_{name}')(self._choose_node(name))
            self._check()

    def _choose_node(self, step):
        leaders = [node for node in self.nodes if node.replica.is_leader]
        if leaders and step in LEADER_STEPS:
            return self._rng.choice(leaders)
        return self._rng.choice(self.nodes)

    def close(self):
        """Release all files."""
        for node in self.nodes:
            node.close()

    def _elect(self, node):
        replica = node.replica
        if replica.is_leader:
            return
        hard_state = stable_store.HardState(
            replica.term + 1, node.member.replica_id
        )
        with replica.changed:
            replica.store_hard_state(hard_state)
            replica.role = replicas.Role.CANDIDATE
        last = replica.log.last
        votes = 1
        for other in self.nodes:
            if other is node:
                continue
            request = ttypes.VoteRequest(
                builders.FLEET_ID,
                hard_state.term,
                node.member.replica_id,
                last.index,
                last.term,
                False,
                True,
                other.member.replica_id,
            )
            try:
                reply = LossyLink(other, self._rng).call(
                    'request_vote', request
                )
            except errors.LinkFailed:
                continue
            votes += reply.granted
        with replica.changed:
            is_candidate = replica.hard_state == hard_state
            if is_candidate and votes >= replica.membership.quorum:
                leader = self.leader_by_term.setdefault(replica.term, node)
                assert leader is node, 'two leaders in one term'
                replica.become_leader()

    def _propose(self, node):
        replica = node.replica
        with replica.changed:
            if not replica.is_leader:
                return
            for _ in range(self._rng.randint(1, MAX_PROPOSALS)):
                self._number += 1
                command = commands.AdvanceTime(self._number)
                replica.append_locked(commands.encode(command))

    def _flush(self, node):
        try:
            node.replica.log.flush()
        except errors.DiskWriteFailed:
            return
        with node.replica.changed:
            if node.replica.is_leader:
                node.replica.advance_commit_index()

    def _replicate(self, node):
        replica = node.replica
        if not replica.is_leader:
            return
        other = self._rng.choice([n for n in self.nodes if n is not node])
        sender = replicator.Replicator(
            replica,
            LossyLink(other, self._rng),
            replica.term,
            other.member,
            None,
        )
        progress = replica.progress_by_id[other.member.replica_id]
        request = sender._next_request(progress)
        if request is None:
            # It would be sent a snapshot, which is not simulated.
            return
        try:
            sender._send_entries(progress, request)
        except errors.LinkFailed:
            return

    def _kill(self, node):
        node.kill()

    def _store_commit(self, node):
        try:
            node.replica.log.store_commit()
        except errors.DiskWriteFailed:
            return

    def _compact(self, node):
        """Compact what all nodes have committed, as after a snapshot."""
        log = node.replica.log
        index = min(n.replica.commit_index for n in self.nodes) - MAX_PROPOSALS
        term = log.term_at(index)
        if term is None or index <= log.base.index:
            return
        try:
            log.compact(disk_log.log.Position(index, term))
        except errors.DiskWriteFailed:
            return

    def _check(self):
        for node in self.nodes:
            replica = node.replica
            for entry in replica.log.entries():
                if entry.index > replica.commit_index:
                    break
                if entry.index not in self.committed_by_index:
                    self._check_stored(entry)
                    self.committed_by_index[entry.index] = entry
                assert self.committed_by_index[entry.index] == entry

    def _check_stored(self, entry):
        """Check that a majority of the disks holds a new committed entry."""
        holders = sum(
            node.stored_entries_by_index().get(entry.index) == entry
            or node.replica.log.base.index >= entry.index
            for node in self.nodes
        )
        assert 2 * holders > len(self.nodes), f'{entry.index} is not stored'
