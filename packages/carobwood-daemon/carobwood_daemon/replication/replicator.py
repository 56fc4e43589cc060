"""The leader's threads that replicate the log to other members."""

import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood import threads

# Payload bytes of the entries in one ``AppendRequest``.
MAX_APPEND_BYTES = 1024 * 1024
SNAPSHOT_CHUNK_BYTES = 512 * 1024
SNAPSHOT_CHUNK_TIMEOUT_SECONDS = 10.0


class ReplicatorPool:
    """Runs a ``Replicator`` for each other member while this one leads."""

    def __init__(self, replica, links, snapshot):
        """Create the pool; ``start`` starts its thread.

        Args:
            replica: the ``Replica``.
            links: gives the links to other VMs.
            snapshot: returns the position and the data of a snapshot.
        """
        self._replica = replica
        self._links = links
        self._snapshot = snapshot
        self._replicators_by_key = {}
        self._thread = threading.Thread(
            target=lambda: threads.repeat(self._start_next),
            name='senders',
            daemon=True,
        )

    def start(self):
        """Start the thread that reacts to changes of role and membership."""
        self._thread.start()

    def _start_next(self):
        replica = self._replica
        with replica.changed:
            if replica.stopped:
                return False
            needed = self._needed_members()
            self._start_needed(needed)
            replica.changed.wait()
        return True

    def _needed_members(self):
        replica = self._replica
        if not replica.is_leader:
            return {}
        replica.update_tracked_members()
        return {
            (replica.term, replica_id): member
            for replica_id, member in replica.membership.members_by_id.items()
            if replica_id != replica.replica_id
        }

    def _start_needed(self, needed):
        for key in list(self._replicators_by_key):
            if not self._replicators_by_key[key].is_alive():
                del self._replicators_by_key[key]
        for (term, _), member in needed.items():
            # A replicator ends when its member changes, also if only the
            # VM or the address does. With the whole member in the key, a
            # new one starts even if the old one has not ended yet.
            key = (term, member)
            if key not in self._replicators_by_key:
                replicator = Replicator(
                    self._replica,
                    self._links.to(member.address),
                    term,
                    member,
                    self._snapshot,
                )
                self._replicators_by_key[key] = replicator
                replicator.start()


class Replicator(threading.Thread):
    """Replicates the log to one member during one term."""

    def __init__(self, replica, link, term, member, snapshot):
        """Create the thread without starting it.

        Args:
            replica: the ``Replica``.
            link: link to the member's VM.
            term: term in which the replica leads.
            member: the ``Member``.
            snapshot: returns the position and the data of a snapshot.
        """
        super().__init__(name=f'sender-{member.vm_id}', daemon=True)
        self._replica = replica
        self._link = link
        self._term = term
        self._member = member
        self._snapshot = snapshot
        self._sent_at = 0.0

    def run(self):
        """Send entries until the term ends or the member changes."""
        threads.repeat(self._send_next)

    def _send_next(self):
        with self._replica.changed:
            progress = self._wait_for_work()
            if progress is None:
                return False
            request = self._next_request(progress)
        try:
            if request is None:
                self._send_snapshot(progress)
            else:
                self._send_entries(progress, request)
        except errors.LinkFailed:
            self._wait_before_retry()
        except errors.DiskWriteFailed as error:
            # The newer term of the member; this replica has stepped down.
            events.emit(events.DISK_FAILED, error=error.detail)
        return True

    def _progress(self):
        replica = self._replica
        if replica.stopped or not replica.is_leader:
            return None
        if replica.term != self._term:
            return None
        member = replica.membership.members_by_id.get(self._member.replica_id)
        if member != self._member:
            return None
        return replica.progress_by_id.get(self._member.replica_id)

    def _wait_for_work(self):
        replica = self._replica
        while True:
            progress = self._progress()
            if progress is None:
                return None
            if progress.next_index <= replica.log.last.index:
                return progress
            due = self._sent_at + replica.timing.heartbeat
            wait = due - clocks.now()
            if wait <= 0:
                return progress
            replica.appended.wait(wait)

    def _next_request(self, progress):
        replica = self._replica
        previous = progress.next_index - 1
        previous_term = replica.log.term_at(previous)
        if previous_term is None:
            return None
        entries = replica.log.read(progress.next_index, MAX_APPEND_BYTES)
        return ttypes.AppendRequest(
            replica.fleet_id,
            self._term,
            replica.replica_id,
            replica.address,
            previous,
            previous_term,
            [ttypes.LogEntry(e.index, e.term, e.payload) for e in entries],
            replica.commit_index,
            self._member.replica_id,
        )

    def _send_entries(self, progress, request):
        self._sent_at = clocks.now()
        reply = self._link.call('append_entries', request)
        with self._replica.changed:
            if not self._process_reply(progress, reply):
                return
            if reply.success:
                self._advance_match_index(progress, reply.last_index)
            else:
                progress.next_index = max(
                    1, min(reply.last_index + 1, request.previous_index)
                )

    def _process_reply(self, progress, reply):
        replica = self._replica
        if reply.term > replica.term:
            replica.become_follower(reply.term)
            return False
        if self._progress() is not progress:
            return False
        progress.acked_at = max(progress.acked_at, self._sent_at)
        return True

    def _advance_match_index(self, progress, index):
        progress.match_index = max(progress.match_index, index)
        progress.next_index = progress.match_index + 1
        self._replica.advance_commit_index()

    def _send_snapshot(self, progress):
        replica = self._replica
        position, data = self._snapshot()
        offset = 0
        while True:
            chunk = data[offset : offset + SNAPSHOT_CHUNK_BYTES]
            done = offset + len(chunk) >= len(data)
            request = ttypes.SnapshotRequest(
                replica.fleet_id,
                self._term,
                replica.replica_id,
                position.index,
                position.term,
                offset,
                chunk,
                done,
                self._member.replica_id,
            )
            self._sent_at = clocks.now()
            reply = self._link.call(
                'install_snapshot', request, SNAPSHOT_CHUNK_TIMEOUT_SECONDS
            )
            with replica.changed:
                if not self._process_reply(progress, reply):
                    return
                if done and reply.next_offset == len(data):
                    self._advance_match_index(progress, position.index)
                    return
            offset = reply.next_offset

    def _wait_before_retry(self):
        replica = self._replica
        retry_at = clocks.now() + replica.timing.heartbeat
        with replica.changed:
            while not replica.stopped and replica.is_leader:
                wait = retry_at - clocks.now()
                if wait <= 0:
                    return
                replica.changed.wait(wait)
