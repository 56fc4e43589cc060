"""Answers to the requests that other replicas send: the follower's part."""

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes

from . import log as logs
from . import stable_store as stable_stores


class ReplicaRequests:
    """Answers votes, entries and snapshots on behalf of a ``Replica``."""

    def __init__(self, replica):
        self._replica = replica
        # The parts of a snapshot that have arrived, and its position.
        self._snapshot_buffer = bytearray()
        self._snapshot_position = None

    def handle_vote(self, request):
        """Answer a ``VoteRequest``.

        Unless it is for a leadership transfer, the vote is refused while
        a leader is known to be alive (leader stickiness).

        Raises:
            LinkRefused: the request is for another replica, or this one
                has stopped.
            DiskWriteFailed: term or vote could not be stored.
        """
        with self._replica.changed:
            if request.fleet_id != self._replica.fleet_id:
                return ttypes.VoteReply(self._replica.term, False)
            self._check_target(request)
            if not request.transfer and self._has_live_leader():
                return ttypes.VoteReply(self._replica.term, False)
            last = logs.Position(request.last_index, request.last_term)
            if request.pre_vote:
                granted = (
                    request.term > self._replica.term
                    and self._is_log_up_to_date(last)
                )
                return ttypes.VoteReply(self._replica.term, granted)
            return self._decide_vote(request, last)

    def handle_append(self, request):
        """Answer an ``AppendRequest``.

        Raises:
            LinkRefused: the request is for another replica, or this one
                has stopped.
            DiskWriteFailed: term or entries could not be stored.
        """
        with self._replica.changed:
            self._check_target(request)
            reply = self._accept_leader(request)
            if reply is not None:
                return reply
            reply = self._check_previous(request)
            if reply is not None:
                return reply
            match_index = self._store_entries(request)
        self._replica.log.flush()
        with self._replica.changed:
            if request.term == self._replica.term:
                self._replica.set_commit_index(
                    min(request.commit_index, match_index)
                )
            return ttypes.AppendReply(self._replica.term, True, match_index)

    def handle_snapshot(self, request):
        """Answer a ``SnapshotRequest``, which carries a chunk of a snapshot.

        Raises:
            LinkRefused: the request is for another replica, or this one
                has stopped.
            DiskWriteFailed: term or snapshot could not be stored.
        """
        with self._replica.changed:
            self._check_target(request)
            reply = self._accept_leader(request)
            if reply is not None:
                return ttypes.SnapshotReply(self._replica.term, 0)
            position = logs.Position(request.last_index, request.last_term)
            if request.offset == 0:
                self._snapshot_buffer = bytearray()
                self._snapshot_position = position
            if position != self._snapshot_position:
                # A late chunk of another snapshot, or the buffer holds one.
                return ttypes.SnapshotReply(self._replica.term, 0)
            if request.offset != len(self._snapshot_buffer):
                size = len(self._snapshot_buffer)
                return ttypes.SnapshotReply(self._replica.term, size)
            self._snapshot_buffer += request.data
            next_offset = len(self._snapshot_buffer)
            if not request.done:
                return ttypes.SnapshotReply(self._replica.term, next_offset)
            data = bytes(self._snapshot_buffer)
            self._snapshot_buffer = bytearray()
        self._replica.on_snapshot(position, data)
        return ttypes.SnapshotReply(self._replica.term, next_offset)

    def _has_live_leader(self):
        if self._replica.is_leader:
            return True
        since_contact = clocks.now() - self._replica.leader_contact_at
        return since_contact < self._replica.timing.election_min

    def _is_log_up_to_date(self, last):
        own = self._replica.log.last
        return (last.term, last.index) >= (own.term, own.index)

    def _check_target(self, request):
        if self._replica.stopped:
            raise errors.LinkRefused('this replica has stopped')
        # A VM that lost its disk runs a new replica. It must not vote or
        # acknowledge entries in place of the lost one.
        if request.target_id not in (None, '', self._replica.replica_id):
            raise errors.LinkRefused('the request is for another replica')

    def _decide_vote(self, request, last):
        if request.term > self._replica.term:
            self._replica.become_follower(request.term)
        can_vote = self._replica.hard_state.voted_for in (
            '',
            request.candidate_id,
        )
        granted = (
            request.term == self._replica.term
            and can_vote
            and self._is_log_up_to_date(last)
        )
        if granted and not self._replica.hard_state.voted_for:
            self._replica.store_hard_state(
                stable_stores.HardState(
                    self._replica.term, request.candidate_id
                )
            )
            self._replica.reset_election_timeout()
        return ttypes.VoteReply(self._replica.term, granted)

    def _accept_leader(self, request):
        if (
            request.fleet_id != self._replica.fleet_id
            or request.term < self._replica.term
        ):
            return ttypes.AppendReply(
                self._replica.term, False, self._replica.log.last.index
            )
        if request.term > self._replica.term or not self._replica.is_follower:
            self._replica.become_follower(request.term)
        self._replica.leader_id = request.leader_id
        self._replica.leader_contact_at = clocks.now()
        self._replica.last_leader_id = request.leader_id
        self._replica.reset_election_timeout()
        return None

    def _check_previous(self, request):
        self._replica.leader_address = request.leader_address
        previous = request.previous_index
        if previous <= self._replica.log.base.index:
            return None
        own_term = self._replica.log.term_at(previous)
        if own_term == request.previous_term:
            return None
        # The leader continues after this index. All own entries of the
        # conflicting term are skipped at once.
        match_hint = min(previous - 1, self._replica.log.last.index)
        while match_hint > self._replica.commit_index and (
            self._replica.log.term_at(match_hint) == own_term
        ):
            match_hint -= 1
        return ttypes.AppendReply(self._replica.term, False, match_hint)

    def _store_entries(self, request):
        match_index = request.previous_index + len(request.entries)
        for position, entry in enumerate(request.entries):
            if entry.index <= self._replica.log.base.index:
                continue
            if self._replica.log.term_at(entry.index) == entry.term:
                continue
            self._append_received(request.entries[position:])
            break
        return match_index

    def _append_received(self, entries):
        for received in entries:
            entry = logs.Entry(received.index, received.term, received.payload)
            self._replica.log.append([entry])
            self._replica.track_membership(entry)
