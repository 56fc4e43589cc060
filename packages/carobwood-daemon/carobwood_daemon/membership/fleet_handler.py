"""Serves the remote procedure calls of other VMs."""

import math

from carobwood import errors
from carobwood.gen.links import ttypes

from ..limits import permit_client
from ..replication import commands

from . import strike_messages

MAX_WAIT_MS = 5000
# Stands for the age of a contact that never was.
NO_CONTACT = -1


class FleetHandler:
    """Implements the thrift service ``FleetLink``."""

    def __init__(
        self,
        replica_runner,
        store,
        gossip,
        rate_limiter,
        lock_table,
        crash_suspects,
        permit_table,
        stream_origin_keeper,
        rollout_owner=None,
    ):
        self._replica_runner = replica_runner
        self._store = store
        self._gossip = gossip
        self._rate_limiter = rate_limiter
        self._lock_table = lock_table
        self._crash_suspects = crash_suspects
        self._permit_table = permit_table
        self._stream_origin_keeper = stream_origin_keeper
        # None on a VM that cannot own rollouts.
        self._rollout_owner = rollout_owner

    def request_vote(self, request):
        """See ``ReplicaRequests.handle_vote``."""
        return self._replica().requests.handle_vote(request)

    def append_entries(self, request):
        """See ``ReplicaRequests.handle_append``."""
        reply = self._replica().requests.handle_append(request)
        if reply.success:
            self._store.record_contact(0.0)
        return reply

    def install_snapshot(self, request):
        """See ``ReplicaRequests.handle_snapshot``."""
        return self._replica().requests.handle_snapshot(request)

    def transfer_leadership(self, request):
        """See ``ReplicaRunner.handle_transfer``."""
        return self._replica_runner is not None and (
            self._replica_runner.handle_transfer(request)
        )

    def propose(self, request):
        """Append commands as the leader and return their results."""
        try:
            results = self._replica().propose(
                request.payloads, request.timeout_ms / 1000
            )
        except errors.NotLeader as error:
            return ttypes.ProposeReply(
                ttypes.ProposeStatus.NOT_LEADER, [], error.leader_address
            )
        except errors.ChangeUncertain:
            return ttypes.ProposeReply(ttypes.ProposeStatus.UNCERTAIN, [], '')
        return ttypes.ProposeReply(ttypes.ProposeStatus.COMMITTED, results, '')

    def join(self, request):
        """Admit another VM's replica as a learner."""
        member = commands.Member(
            request.replica_id,
            request.vm.vm_id,
            request.vm.link_address,
        )
        try:
            self._require_voter().admit(member)
        except errors.NotLeader as error:
            return ttypes.JoinReply(False, '', error.leader_address)
        return ttypes.JoinReply(True, self._replica_runner.fleet_id, '')

    def replace_voter(self, request):
        """Replace a voter; see ``MembershipChanges.replace``.

        Without a new VM, see ``MembershipChanges.hand_over``. Earlier builds
        refuse that after the time that the request names.
        """
        timeout = request.timeout_ms / 1000
        try:
            voter = self._require_voter()
            if request.new_vm_id:
                voter.replace(request.old_vm_id, request.new_vm_id, timeout)
            else:
                voter.hand_over(request.old_vm_id, timeout)
        except errors.NotLeader as error:
            return ttypes.ReplaceReply(
                ttypes.ProposeStatus.NOT_LEADER, '', error.leader_address
            )
        except errors.ReplacementRefused as error:
            return ttypes.ReplaceReply(
                ttypes.ProposeStatus.UNCERTAIN, error.detail, ''
            )
        return ttypes.ReplaceReply(ttypes.ProposeStatus.COMMITTED, '', '')

    def follow(self, request):
        """Answer a long poll for newer versions of the replicated state.

        The reply carries the commands after the version that was asked
        for, or a snapshot if they are no longer kept.
        """
        wait_ms = min(max(0, request.wait_ms), MAX_WAIT_MS)
        version = self._store.wait_for_newer(
            request.after_version, wait_ms / 1000
        )
        deltas = self._store.deltas_after(request.after_version)
        snapshot = None
        if deltas is None:
            deltas = []
            snapshot = self._store.snapshot()
        return ttypes.FollowReply(
            self._gossip.fleet_id(),
            version,
            [ttypes.VersionedCommand(*delta) for delta in deltas],
            snapshot,
            self._contact_age_ms(),
        )

    def gossip(self, message):
        """See ``Gossip.receive``."""
        return self._gossip.receive(message)

    def hold_apart(self, request):
        """Acquire or release an endpoint lock.

        See ``endpoint_locks.EndpointLockTable``.
        """
        strike_messages.merge_thrift(self._crash_suspects, request.strikes)
        granted = self._lock_table.handle_request(
            request.endpoint_id, request.holder, request.release
        )
        return ttypes.ApartReply(
            granted, strike_messages.to_thrift(self._crash_suspects)
        )

    def lend_tokens(self, request):
        """Lend rate-limit tokens of a customer; see ``RateLimiter.lend``."""
        lent = self._rate_limiter.lend(request.customer_id, request.tokens)
        return ttypes.LendReply(lent)

    def take_permit(self, request):
        """Grant a permit; see ``endpoint_permits.PermitTable``."""
        return permit_client.handle_request(self._permit_table, request)

    def record_streams(self, report):
        """See ``stream_origin_links.StreamOriginKeeper``."""
        return self._stream_origin_keeper.record_streams(report)

    def find_stream(self, query):
        """See ``stream_origin_links.StreamOriginKeeper``."""
        return self._stream_origin_keeper.find_stream(query)

    def report_rollouts(self, report):
        """See ``RolloutOwner.report_rollouts``."""
        if self._rollout_owner is None:
            return ttypes.RolloutReply(False, '', [])
        return self._rollout_owner.report_rollouts(report)

    def _contact_age_ms(self):
        age = self._store.contact_age()
        return NO_CONTACT if math.isinf(age) else int(age * 1000)

    def _require_voter(self):
        if self._replica_runner is None:
            raise errors.NotLeader('')
        return self._replica_runner

    def _replica(self):
        return self._require_voter().replica
