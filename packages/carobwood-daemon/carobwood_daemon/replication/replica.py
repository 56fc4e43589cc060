"""A replica of the replicated log: the Raft protocol.

Follows Ongaro and Ousterhout ("In Search of an Understandable
Consensus Algorithm", 2014; Ongaro's dissertation for pre-vote, leader
stickiness, leadership transfer and single-server changes).
"""

import dataclasses
import enum
import random
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import commands
from . import log as logs
from . import log_membership
from . import progress as progresses
from . import proposals
from . import replica_requests
from . import stable_store as stable_stores


class Role(enum.Enum):
    """Raft role of a replica."""

    FOLLOWER = 'follower'
    CANDIDATE = 'candidate'
    LEADER = 'leader'


@dataclasses.dataclass(frozen=True)
class Status:
    """State of a replica as shown to operators.

    Attributes:
        role: value of the replica's ``Role``.
        term: current term.
        leader_address: link address of the leader, or empty.
        commit_index: highest index known to be committed.
        applied_index: highest applied index.
        log_entries: number of entries in the log above its base.
        voters: voting members.
        learners: non-voting members.
    """

    role: str
    term: int
    leader_address: str
    commit_index: int
    applied_index: int
    log_entries: int
    voters: tuple[commands.Member, ...]
    learners: tuple[commands.Member, ...]


class Replica:
    """State of a replica, and what a leader does with it.

    ``changed`` guards every attribute and is notified when the role, the
    term or the membership changes. ``appended`` and ``committed`` share
    its lock; they are notified on new entries and on a higher commit
    index, so that these wake only the threads that wait for them. The
    threads ``LeaderElector``, ``Replicator``, ``Flusher`` and ``Applier``
    act on the replica.

    Attributes:
        replica_id: id of this replica.
        fleet_id: id of the fleet that it belongs to.
        vm_id: the VM that runs it.
        address: link address of that VM.
        log: the ``Log``.
        stable_store: the ``StableStore``.
        timing: the ``Timing``.
        changed: condition whose lock guards the replica.
        appended: condition that is notified on new entries.
        committed: condition that is notified on a higher commit index.
        stopped: whether the replica has to stop.
        hard_state: the stored ``HardState``.
        role: the ``Role``.
        leader_id: id of the known leader of the term, or empty.
        leader_address: link address of that leader, or empty.
        leader_contact_at: monotonic time of the leader's last message.
        last_leader_id: id of the replica that sent it, in whichever term.
        election_timeout_at: monotonic time of the next election timeout.
        commit_index: highest index known to be committed.
        applied_index: highest index applied to the state machine.
        disk_failed: whether the last flush of the log failed.
        transferring: whether leadership is being transferred; meanwhile
            proposals are refused and there is no lease.
        progress_by_id: as leader, ``Progress`` of the other members.
        term_start_index: index of the first entry of the term in which
            this replica became leader.
        leading_since: monotonic time at which it became leader.
        requests: answers the requests of other replicas.
        on_snapshot: called with the position and the data of a complete
            snapshot from the leader.
    """

    def __init__(self, identity, vm_id, address, log, stable_store, timing):
        self.replica_id = identity.replica_id
        self.fleet_id = identity.fleet_id
        self.vm_id = vm_id
        self.address = address
        self.log = log
        self.stable_store = stable_store
        self.timing = timing
        lock = threading.RLock()
        self.changed = threading.Condition(lock)
        self.appended = threading.Condition(lock)
        self.committed = threading.Condition(lock)
        self.stopped = False
        self.hard_state = stable_store.load_hard_state()
        self.role = Role.FOLLOWER
        self.leader_id = ''
        self.leader_address = ''
        # Before a restart this replica may have acknowledged a message
        # that extends the leader's lease, so it must not vote at once.
        self.leader_contact_at = clocks.now()
        self.last_leader_id = ''
        self.election_timeout_at = 0.0
        self.commit_index = log.base.index
        self.applied_index = log.base.index
        self.disk_failed = False
        self.transferring = False
        self.progress_by_id = {}
        self.term_start_index = 0
        self.leading_since = 0.0
        self._proposals = proposals.PendingProposals()
        self._membership_by_index = {0: log_membership.LogMembership()}
        self._random = random.SystemRandom()
        self.on_snapshot = None
        self.requests = replica_requests.ReplicaRequests(self)
        self.reset_election_timeout()

    @property
    def term(self):
        """The current term."""
        return self.hard_state.term

    @property
    def membership(self):
        """The latest ``LogMembership`` in the log, committed or not."""
        return self._membership_by_index[max(self._membership_by_index)]

    @property
    def membership_index(self):
        """Log index of the latest membership."""
        return max(self._membership_by_index)

    @property
    def is_leader(self):
        """Whether the replica is the leader of its term."""
        return self.role is Role.LEADER

    @property
    def is_follower(self):
        """Whether the replica follows a leader or waits for one."""
        return self.role is Role.FOLLOWER

    @property
    def is_member(self):
        """Whether the replica is a voter or a learner."""
        return self.replica_id in self.membership.members_by_id

    def status(self):
        """Return the ``Status``."""
        with self.changed:
            return Status(
                self.role.value,
                self.term,
                self.leader_address,
                self.commit_index,
                self.applied_index,
                self.log.last.index - self.log.base.index,
                self.membership.voters,
                self.membership.learners,
            )

    def contact_age(self):
        """Return the seconds since a leader was last known to be alive.

        For the leader itself, a quorum must have answered it.
        """
        with self.changed:
            now = clocks.now()
            if self.is_leader:
                return max(0.0, now - self.quorum_acked_at())
            return now - self.leader_contact_at

    def holds_lease(self):
        """Tell whether this replica holds the leader lease.

        While it does, no other replica can be leader.
        """
        with self.changed:
            if not self.is_leader or self.transferring:
                return False
            age = clocks.now() - self.quorum_acked_at()
            return age < self.timing.lease

    def older_leases_expired(self):
        """Tell whether the leases of all earlier leaders have ended.

        This is so after leading for the longest election timeout, which
        is longer than a lease.
        """
        with self.changed:
            age = clocks.now() - self.leading_since
            return self.is_leader and age > self.timing.election_max

    def quorum_acked_at(self):
        """Return when the leader was last confirmed by a quorum.

        A quorum has answered messages that were sent at this monotonic
        time or later. It is 0.0 if no quorum has answered.
        """
        times = []
        for member in self.membership.voters:
            if member.replica_id == self.replica_id:
                times.append(clocks.now())
                continue
            progress = self.progress_by_id.get(member.replica_id)
            times.append(progress.acked_at if progress else 0.0)
        times.sort(reverse=True)
        quorum = self.membership.quorum
        return times[quorum - 1] if len(times) >= quorum else 0.0

    def load_membership(self, index, membership):
        """Set the membership from a snapshot and the log entries after it.

        Args:
            index: log index of the snapshot.
            membership: ``LogMembership`` in the snapshot.
        """
        self._membership_by_index = {index: membership}
        for entry in self.log.entries():
            if entry.index > index:
                self.track_membership(entry)

    def propose(self, payloads, timeout):
        """Append commands and wait until they are applied.

        Args:
            payloads: encoded commands.
            timeout: seconds to wait.

        Returns:
            Encoded results, in the order of the commands.

        Raises:
            NotLeader: nothing was appended.
            ChangeUncertain: some commands were not applied in time; they
                may still be applied.
        """
        appended = self._append_proposals(payloads)
        deadline = clocks.now() + timeout
        for proposal in appended:
            proposal.done.wait(max(0.0, deadline - clocks.now()))
            if proposal.result is None:
                raise errors.ChangeUncertain('no quorum confirmed in time')
        return [proposal.result for proposal in appended]

    def append_locked(self, payload):
        """Append a command as leader; the caller holds ``changed``.

        Returns:
            The new ``Entry``.
        """
        entry = logs.Entry(self.log.last.index + 1, self.term, payload)
        self.log.append([entry])
        self.track_membership(entry)
        self.appended.notify_all()
        return entry

    def resolve_proposals(self, entries, results):
        """Set the results of the proposals whose entries were applied.

        Args:
            entries: the applied entries, at least one.
            results: their results, in the same order; None for a command
                that could not be applied.
        """
        with self.changed:
            self.applied_index = max(self.applied_index, entries[-1].index)
            resolved = self._proposals.take(entries)
        for proposal, entry, result in zip(resolved, entries, results):
            if proposal is not None:
                proposal.resolve(entry, result)

    def notify_all_waiting(self):
        """Notify all conditions; the caller holds ``changed``."""
        self.changed.notify_all()
        self.appended.notify_all()
        self.committed.notify_all()

    def install_snapshot(self, position, membership):
        """Begin the log at a snapshot that the state machine was set to.

        Entries after the snapshot are kept if the log holds the entry at
        its position: they may have been acknowledged to a newer leader
        while the snapshot was stored.

        Args:
            position: ``Position`` of the snapshot.
            membership: ``LogMembership`` in the snapshot.
        """
        with self.changed:
            if self.log.term_at(position.index) == position.term:
                self.log.compact(position)
            else:
                self.log.reset(position)
            self.load_membership(position.index, membership)
            self.commit_index = max(self.commit_index, position.index)
            self.applied_index = max(self.applied_index, position.index)
            self.notify_all_waiting()

    def become_follower(self, term):
        """Become a follower in a term; the caller holds ``changed``.

        Args:
            term: a newer term, or the current one to step down in it.

        Raises:
            DiskWriteFailed: a newer term could not be stored; the replica
                is a follower in the current one.
        """
        was_leader = self.is_leader
        self.role = Role.FOLLOWER
        self.transferring = False
        self.progress_by_id = {}
        self._proposals.abandon()
        if was_leader:
            self.reset_election_timeout()
            events.emit(events.LEADER_STEPPED_DOWN, term=self.term)
        if was_leader or term > self.term:
            self.leader_id = ''
            self.leader_address = ''
        self.notify_all_waiting()
        if term > self.term:
            self.store_hard_state(stable_stores.HardState(term))

    def store_hard_state(self, hard_state):
        """Set the hard state once it is stored durably."""
        self.stable_store.store_hard_state(hard_state)
        self.hard_state = hard_state

    def become_leader(self):
        """Become leader of the current term; the caller holds ``changed``."""
        self.role = Role.LEADER
        self.leading_since = clocks.now()
        self.leader_id = self.replica_id
        self.leader_address = self.address
        self.progress_by_id = {}
        entry = self.append_locked(commands.encode(commands.NoOperation()))
        self.term_start_index = entry.index
        self.update_tracked_members()
        self._count_silence_of_former_leader()
        self.notify_all_waiting()
        events.emit(events.LEADER_ELECTED, term=self.term, vm=self.vm_id)

    def _count_silence_of_former_leader(self):
        """Date the last answer of the former leader back to its last message.

        It may be the loss that has caused the election, and is replaced
        after as long as any other voter.
        """
        progress = self.progress_by_id.get(self.last_leader_id)
        if progress is not None:
            progress.acked_at = min(progress.acked_at, self.leader_contact_at)

    def update_tracked_members(self):
        """Keep a ``Progress`` for each other member, and for no one else."""
        members = self.membership.members_by_id.keys() - {self.replica_id}
        for replica_id in members - self.progress_by_id.keys():
            progress = progresses.Progress(self.log.last.index + 1)
            progress.acked_at = clocks.now()
            self.progress_by_id[replica_id] = progress
        for replica_id in self.progress_by_id.keys() - members:
            del self.progress_by_id[replica_id]

    def advance_commit_index(self):
        """Commit entries that a quorum has stored; ``changed`` is held.

        Entries of earlier terms are committed only together with one of
        the current term, as Raft requires.
        """
        matches = []
        for member in self.membership.voters:
            if member.replica_id == self.replica_id:
                matches.append(self.log.durable_index)
                continue
            progress = self.progress_by_id.get(member.replica_id)
            matches.append(progress.match_index if progress else 0)
        matches.sort(reverse=True)
        if len(matches) < self.membership.quorum:
            return
        index = matches[self.membership.quorum - 1]
        if index > self.commit_index and (
            self.log.term_at(index) == self.term
        ):
            self.set_commit_index(index)

    def set_commit_index(self, index):
        """Raise the commit index if the given one is higher.

        The caller holds ``changed``.
        """
        if index > self.commit_index:
            self.commit_index = index
            self.log.record_commit(index)
            self.committed.notify_all()

    def reset_election_timeout(self):
        """Restart the election timeout with a new random duration."""
        timeout = self._random.uniform(
            self.timing.election_min, self.timing.election_max
        )
        self.election_timeout_at = clocks.now() + timeout

    def track_membership(self, entry):
        """Follow an entry that was added to the log, with its membership."""
        for index in [
            i for i in self._membership_by_index if i >= entry.index
        ]:
            del self._membership_by_index[index]
        command = commands.decode_command(entry.payload)
        if isinstance(command, commands.ChangeVoters):
            membership = log_membership.membership_of(command)
            self._membership_by_index[entry.index] = membership
            if self.is_leader:
                self.update_tracked_members()
                self.changed.notify_all()

    def _append_proposals(self, payloads):
        with self.changed:
            if not self.is_leader or self.transferring:
                raise errors.NotLeader(
                    '' if self.is_leader else self.leader_address
                )
            return [
                self._proposals.add(self.append_locked(payload))
                for payload in payloads
            ]
