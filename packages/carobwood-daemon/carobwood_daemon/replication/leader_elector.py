"""The thread that starts elections and checks the leader's quorum."""

import queue
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood import threads

from . import replica as replicas
from . import stable_store


class LeaderElector(threading.Thread):
    """Runs a replica's part in elections.

    A voter that gets no message of a leader within the election timeout
    first asks for pre-votes and then, in a new term, for votes. A leader
    steps down if no quorum answers it for the longest election timeout
    (check quorum).
    """

    def __init__(self, replica, links):
        """Create the thread without starting it.

        Args:
            replica: the ``Replica``.
            links: gives the links to other VMs.
        """
        super().__init__(name='elector', daemon=True)
        self._replica = replica
        self._links = links
        self._transfer_requested = False

    def run(self):
        """Campaign on each election timeout until the replica stops."""
        threads.repeat(self._campaign_next)

    def _campaign_next(self):
        with self._replica.changed:
            campaign = self._wait_for_campaign()
            if campaign is None:
                return False
            transfer = self._transfer_requested
            self._transfer_requested = False
        try:
            self._campaign(transfer)
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)
            with self._replica.changed:
                self._replica.reset_election_timeout()
        return True

    def campaign_now(self, term):
        """Start an election at once, for a leadership transfer.

        Args:
            term: term of the leader that asked for the transfer.

        Returns:
            Whether an election starts; it does not if the term has ended
            or this replica leads.
        """
        with self._replica.changed:
            if term != self._replica.term or self._replica.is_leader:
                return False
            self._transfer_requested = True
            self._replica.changed.notify_all()
            return True

    def _wait_for_campaign(self):
        """Return True when it is time to campaign, None on a stop."""
        replica = self._replica
        while not replica.stopped:
            if self._transfer_requested:
                return True
            if replica.is_leader:
                self._check_quorum()
                replica.changed.wait(replica.timing.heartbeat)
                continue
            wait = replica.election_timeout_at - clocks.now()
            if wait > 0:
                replica.changed.wait(wait)
                continue
            replica.reset_election_timeout()
            is_voter = replica.membership.is_voter(replica.replica_id)
            if is_voter and not replica.disk_failed:
                return True
        return None

    def _check_quorum(self):
        replica = self._replica
        since_quorum = clocks.now() - replica.quorum_acked_at()
        if since_quorum > replica.timing.election_max:
            replica.become_follower(replica.term)

    def _campaign(self, transfer):
        if not transfer and not self._collect_votes(
            pre_vote=True, transfer=False
        ):
            return
        replica = self._replica
        with replica.changed:
            if replica.is_leader:
                return
            hard_state = stable_store.HardState(
                replica.term + 1, replica.replica_id
            )
            replica.store_hard_state(hard_state)
            replica.role = replicas.Role.CANDIDATE
            replica.leader_address = ''
            replica.reset_election_timeout()
        events.emit(events.TERM_STARTED, term=hard_state.term)
        if not self._collect_votes(pre_vote=False, transfer=transfer):
            return
        with replica.changed:
            if replica.hard_state == hard_state and not replica.is_leader:
                replica.become_leader()

    def _collect_votes(self, pre_vote, transfer):
        replica = self._replica
        with replica.changed:
            membership = replica.membership
            others = [
                member
                for member in membership.voters
                if member.replica_id != replica.replica_id
            ]
            requests = [
                self._make_vote_request(pre_vote, transfer, member)
                for member in others
            ]
        replies = queue.Queue()
        for member, request in zip(others, requests):
            threading.Thread(
                target=self._request_vote,
                args=(member, request, replies),
                name=f'vote-{member.vm_id}',
                daemon=True,
            ).start()
        return self._wait_for_quorum(replies, len(others), membership.quorum)

    def _make_vote_request(self, pre_vote, transfer, member):
        replica = self._replica
        last = replica.log.last
        return ttypes.VoteRequest(
            replica.fleet_id,
            replica.term + 1 if pre_vote else replica.term,
            replica.replica_id,
            last.index,
            last.term,
            pre_vote,
            transfer,
            member.replica_id,
        )

    def _request_vote(self, member, request, replies):
        try:
            link = self._links.to(member.address)
            replies.put(link.call('request_vote', request))
        except errors.LinkFailed:
            replies.put(None)

    def _wait_for_quorum(self, replies, expected, quorum):
        granted = 1
        deadline = clocks.now() + self._replica.timing.election_min
        for _ in range(expected):
            if granted >= quorum:
                break
            try:
                wait = max(0.0, deadline - clocks.now())
                reply = replies.get(timeout=wait)
            except queue.Empty:
                break
            if reply is None:
                continue
            granted += reply.granted
            self._observe_term(reply.term)
        return granted >= quorum

    def _observe_term(self, term):
        with self._replica.changed:
            if term > self._replica.term:
                self._replica.become_follower(term)
