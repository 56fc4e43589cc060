"""Single-server membership changes of the log, made by the leader."""

import collections

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import commands

# Default number of voters up to which learners are promoted.
TARGET_VOTERS = 5
POLL_PERIOD_SECONDS = 0.05
# A member counts as alive for this long after an answered message.
ALIVE_TIMEOUT_SECONDS = 1.0
# A member with at most this many committed entries missing is caught up.
CAUGHT_UP_ENTRIES = 64


class MembershipChanges:
    """Admits learners, promotes them and replaces voters.

    Each change concerns a single member and starts only after the
    previous one is committed.
    """

    def __init__(
        self,
        replica,
        target_voters=TARGET_VOTERS,
        find_data_centres=dict,
    ):
        """Create it; its methods have an effect only on the leader.

        Args:
            replica: the ``Replica`` of this VM.
            target_voters: number of voters up to which learners are
                promoted.
            find_data_centres: function that returns the data centres of
                the known VMs by their link addresses.
        """
        self._replica = replica
        self._target_voters = target_voters
        self._find_data_centres = find_data_centres

    def admit(self, member):
        """Add a replica as a learner, or update its VM and address.

        It does nothing while another change is not committed; the caller
        asks again.

        Raises:
            NotLeader: this replica does not lead.
        """
        replica = self._replica
        with replica.changed:
            self._require_leader()
            existing = replica.membership.members_by_id.get(member.replica_id)
            if existing == member or not self._can_change_membership():
                return
            if existing is None:
                self._append_membership(
                    replica.membership.with_learner(member)
                )
            else:
                self._append_membership(
                    replica.membership.with_address(member)
                )

    def update_own(self, member):
        """Update the VM and the address of this replica if it leads.

        Others ask a leader for that; a leader asks no one.

        Args:
            member: the ``Member`` that stands for this replica.
        """
        replica = self._replica
        with replica.changed:
            if not replica.is_leader or not self._can_change_membership():
                return
            existing = replica.membership.members_by_id.get(member.replica_id)
            if existing is not None and existing != member:
                self._append_membership(
                    replica.membership.with_address(member)
                )

    def promote_learners(self):
        """Make one caught-up learner a voter if there are too few voters.

        A learner on the VM of a voter is not promoted: that VM has lost
        the voter's disk, and the voter has to be replaced, by an operator
        or by ``replace_unresponsive``.
        """
        replica = self._replica
        with replica.changed:
            if not replica.is_leader or not self._can_change_membership():
                return
            membership = replica.membership
            if len(membership.voters) >= self._target_voters:
                return
            candidates = [
                member
                for member in membership.learners
                if membership.voter_on(member.vm_id) is None
            ]
            self._promote_one(candidates, membership.voters)

    def replace_unresponsive(self, unresponsive_seconds):
        """Make a learner a voter in place of one that has failed.

        Each call makes at most one change. The learner is promoted first
        and the failed voter is removed by a later call, so that no step
        depends on the failed one. A voter at whose address another
        replica is alive has lost its disk and is replaced at once.

        Args:
            unresponsive_seconds: seconds without an answer after which a
                voter counts as failed.
        """
        replica = self._replica
        with replica.changed:
            if not replica.is_leader or not self._can_change_membership():
                return
            failed = self._find_failed_voter(unresponsive_seconds)
            if failed is None:
                return
            membership = replica.membership
            if len(membership.voters) > self._target_voters:
                self._append_membership(membership.without(failed.replica_id))
                return
            others = [m for m in membership.voters if m is not failed]
            self._promote_one(membership.learners, others)

    def hand_over(self, vm_id, timeout):
        """Make a learner a voter in place of one that is about to stop.

        A learner that answers has until the deadline to catch up: the number
        of voters never falls below what it was. Returns once the change is
        committed, or at once if the VM has no vote.

        Args:
            vm_id: the VM that stops.
            timeout: seconds for the whole change.

        Raises:
            NotLeader: this replica does not lead.
            ReplacementRefused: no learner has caught up, or the change took
                too long.
        """
        deadline = clocks.now() + timeout
        replica = self._replica
        while True:
            self._wait_until(deadline, self._can_change_membership)
            with replica.changed:
                self._require_leader()
                voter = replica.membership.voter_on(vm_id)
                if voter is None:
                    return
                self._hand_over_step(voter, deadline)
                replica.changed.wait(POLL_PERIOD_SECONDS)

    def _hand_over_step(self, voter, deadline):
        """Promote a learner, or remove the voter once one is promoted."""
        membership = self._replica.membership
        if len(membership.voters) > self._target_voters:
            if self._has_quorum_without(voter):
                self._append_membership(membership.without(voter.replica_id))
            return
        candidates = [
            member
            for member in membership.learners
            if member.vm_id != voter.vm_id
        ]
        others = [m for m in membership.voters if m is not voter]
        if self._promote_one(candidates, others):
            return
        is_late = clocks.now() > deadline
        if is_late or all(map(self._has_been_silent, candidates)):
            raise errors.ReplacementRefused('no learner has caught up')

    def remove_lost_learners(self):
        """Remove a learner at whose address another replica is alive.

        That VM has lost the learner's disk and runs a new replica. Each
        call removes at most one.
        """
        replica = self._replica
        with replica.changed:
            if not replica.is_leader or not self._can_change_membership():
                return
            alive_addresses = self._alive_addresses()
            for member in replica.membership.learners:
                if not self._has_been_silent(member):
                    continue
                if member.address in alive_addresses:
                    membership = replica.membership
                    self._append_membership(
                        membership.without(member.replica_id)
                    )
                    return

    def _promote_one(self, candidates, voters):
        """Make a caught-up learner a voter, if there is one.

        The loss of a data centre must cost as few voters as possible, so
        the one whose data centre has the fewest voters is preferred.

        Args:
            candidates: the learners that may be promoted.
            voters: the voters beside which it will vote.

        Returns:
            Whether there is one.
        """
        caught_up = [m for m in candidates if self._is_caught_up(m)]
        if not caught_up:
            return False
        data_centres = self._find_data_centres()
        counts = collections.Counter(
            data_centres.get(voter.address) for voter in voters
        )
        chosen = min(
            caught_up, key=lambda m: counts[data_centres.get(m.address)]
        )
        membership = self._replica.membership
        self._append_membership(membership.with_voter(chosen))
        return True

    def _find_failed_voter(self, unresponsive_seconds):
        replica = self._replica
        now = clocks.now()
        alive_addresses = self._alive_addresses()
        for member in replica.membership.voters:
            progress = replica.progress_by_id.get(member.replica_id)
            if progress is None or self._is_alive(member):
                continue
            if (
                now - progress.acked_at > unresponsive_seconds
                or member.address in alive_addresses
            ):
                return member
        return None

    def _alive_addresses(self):
        members = self._replica.membership.members_by_id.values()
        return {m.address for m in members if self._is_alive(m)}

    def replace(self, old_vm_id, new_vm_id, timeout):
        """Replace the voter on one VM by the replica on another.

        Returns once the change is committed and the caught-up voters
        remain a quorum if one of them fails.

        Args:
            old_vm_id: the VM whose voter is removed.
            new_vm_id: the VM whose replica becomes a voter; may be the
                same if the VM has lost its disk.
            timeout: seconds for the whole replacement.

        Raises:
            NotLeader: this replica does not lead.
            ReplacementRefused: the change is impossible or took too long.
        """
        deadline = clocks.now() + timeout
        replica = self._replica
        # The replica of a VM that has just started may still have to join
        # as a learner.
        self._wait_until(
            deadline,
            lambda: self._find_replacement(old_vm_id, new_vm_id) is not None,
        )
        with replica.changed:
            replacement = self._find_replacement(old_vm_id, new_vm_id)
            old_voter = replica.membership.voter_on(old_vm_id)
        self._wait_until(deadline, lambda: self._is_caught_up(replacement))
        self._change(
            deadline,
            replacement,
            lambda membership, m: membership.with_voter(m),
        )
        if old_voter is not None:
            self._wait_until(
                deadline, lambda: self._has_quorum_without(old_voter)
            )
            self._change(
                deadline,
                old_voter,
                lambda membership, m: membership.without(m.replica_id),
            )
        self._wait_until(deadline, self._tolerates_one_failure)

    def _change(self, deadline, member, change):
        replica = self._replica
        self._wait_until(deadline, self._can_change_membership)
        with replica.changed:
            self._require_leader()
            membership = change(replica.membership, member)
            if membership != replica.membership:
                self._append_membership(membership)
        self._wait_until(deadline, self._can_change_membership)

    def _wait_until(self, deadline, condition):
        replica = self._replica
        with replica.changed:
            while not condition():
                self._require_leader()
                if clocks.now() > deadline:
                    raise errors.ReplacementRefused(
                        'the new replica did not join in time, or it or '
                        'a quorum did not catch up in time'
                    )
                replica.changed.wait(POLL_PERIOD_SECONDS)

    def _find_replacement(self, old_vm_id, new_vm_id):
        membership = self._replica.membership
        for member in membership.learners:
            if member.vm_id == new_vm_id:
                return member
        if old_vm_id == new_vm_id:
            return None
        return membership.voter_on(new_vm_id)

    def _require_leader(self):
        if not self._replica.is_leader:
            raise errors.NotLeader(self._replica.leader_address)

    def _can_change_membership(self):
        """Tell whether the last change and this term are committed.

        Single-server changes are safe only after the leader has committed
        an entry of its own term.
        """
        replica = self._replica
        return (
            replica.commit_index >= replica.membership_index
            and replica.commit_index >= replica.term_start_index
        )

    def _is_caught_up(self, member):
        replica = self._replica
        if member.replica_id == replica.replica_id:
            return True
        progress = replica.progress_by_id.get(member.replica_id)
        if progress is None:
            return False
        missing = replica.commit_index - progress.match_index
        return missing <= CAUGHT_UP_ENTRIES and self._is_alive(member)

    def _is_alive(self, member):
        replica = self._replica
        if member.replica_id == replica.replica_id:
            return True
        progress = replica.progress_by_id.get(member.replica_id)
        if progress is None or progress.match_index == 0:
            return False
        return clocks.now() - progress.acked_at < ALIVE_TIMEOUT_SECONDS

    def _has_been_silent(self, member):
        """Tell whether a member has not answered for a while.

        Unlike one that is not alive, it has had the time to answer.
        """
        progress = self._replica.progress_by_id.get(member.replica_id)
        if progress is None:
            return False
        return clocks.now() - progress.acked_at >= ALIVE_TIMEOUT_SECONDS

    def _has_quorum_without(self, voter):
        """Tell whether the other voters that are alive have a quorum."""
        others = self._replica.membership.without(voter.replica_id)
        return self._count_caught_up(others) >= others.quorum

    def _tolerates_one_failure(self):
        membership = self._replica.membership
        return self._count_caught_up(membership) - 1 >= membership.quorum

    def _count_caught_up(self, membership):
        return sum(self._is_caught_up(m) for m in membership.voters)

    def _append_membership(self, membership):
        payload = commands.encode(membership.command())
        self._replica.append_locked(payload)
        events.emit(
            events.VOTERS_CHANGED,
            voters=[member.vm_id for member in membership.voters],
            learners=[member.vm_id for member in membership.learners],
        )
