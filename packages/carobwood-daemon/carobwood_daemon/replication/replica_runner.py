"""Runs a VM's replica of the log with its threads and storage."""

import hashlib
import secrets
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from . import applier
from . import commands
from . import disk_log
from . import flusher
from . import leader_elector
from . import log as logs
from . import membership_changes
from . import replica as replicas
from . import replicator
from . import stable_store as stable_stores
from . import state_machine

# Period in which the leader appends an ``AdvanceTime`` command, and in which
# each replica repeats a compaction that its disk has refused.
TICK_PERIOD_SECONDS = 5.0
# Period in which the leader promotes learners and replaces voters, and in
# which a leadership transfer checks for progress.
MAINTENANCE_PERIOD_SECONDS = 0.25
# Bound on the time that a stopping leader spends on the transfer.
TRANSFER_TIMEOUT_SECONDS = 3.0
# Bound on the time that a stopping voter waits for a learner in its place.
HAND_OVER_TIMEOUT_SECONDS = 2.0
_FLEET_ID_BYTES = 8
# Replica ids of the first voters are derived from their addresses.
_FOUNDER_ID_PREFIX = 'first-'


class ReplicaRunner:
    """Runs the replica whose state is in a data folder.

    The replica may be a voter or a learner. Until the VM founds or joins
    a fleet there is none, and calls that need it raise ``NotLeader``.
    """

    def __init__(
        self,
        folder,
        vm_id,
        address,
        links,
        store,
        options,
        find_data_centres=dict,
    ):
        """Create the replica runner; ``start`` starts the replica.

        Args:
            folder: the ``DataFolder``.
            vm_id: name of this VM.
            address: address at which other VMs reach this VM.
            links: gives the links to other VMs.
            store: the ``StateStore`` that gets each new fleet state.
            options: settings of the replica, its snapshots and its
                membership changes.
            find_data_centres: see ``MembershipChanges``.
        """
        self._folder = folder
        self._vm_id = vm_id
        self._address = address
        self._links = links
        self._store = store
        self._options = options
        self._find_data_centres = find_data_centres
        self._lock = threading.Lock()
        self._replica = None
        self._membership_changes = None
        self._elector = None
        self._applier = None
        self._last_tick_at = clocks.now()

    @property
    def fleet_id(self):
        """Id of the fleet, or an empty string before founding or joining."""
        return self._folder.identity.fleet_id

    @property
    def member(self):
        """The ``Member`` that stands for this replica in the log."""
        return commands.Member(
            self._folder.identity.replica_id, self._vm_id, self._address
        )

    @property
    def replica(self):
        """The running ``Replica``.

        Raises:
            NotLeader: the VM has not joined a fleet yet.
        """
        if self._replica is None:
            raise errors.NotLeader('')
        return self._replica

    @property
    def is_running(self):
        """Whether the replica is running."""
        return self._replica is not None

    @property
    def claim_count(self):
        """Number of claims in the replica's state machine."""
        return self._applier.claim_count if self._applier else 0

    def start(self, timer):
        """Start the replica if the folder belongs to a fleet.

        Args:
            timer: calls the periodic tasks.
        """
        timer.subscribe(TICK_PERIOD_SECONDS, self._append_elapsed_time)
        timer.subscribe(TICK_PERIOD_SECONDS, self._free_storage)
        timer.subscribe(MAINTENANCE_PERIOD_SECONDS, self._maintain_voters)
        if self.fleet_id:
            self._start_replica()

    def found(self):
        """Found a new fleet with this replica as its only voter.

        Raises:
            AlreadyFounded: the folder belongs to a fleet.
        """
        with self._lock:
            if self.fleet_id:
                raise errors.AlreadyFounded(f'fleet {self.fleet_id}')
            self._write_founding_entry((self.member,))
            self._folder.join_fleet(secrets.token_hex(_FLEET_ID_BYTES))
        self._start_replica()

    def found_with_peers(self, addresses):
        """Found a fleet with several first voters.

        Each of them calls this with the same addresses and writes the
        same first log entry, fleet id and replica ids, all derived from
        the addresses. So they need no communication to agree on the
        membership. It does nothing if the folder belongs to a fleet or this
        VM is not one of the first voters.

        Args:
            addresses: link addresses of all first voters.
        """
        with self._lock:
            if self.fleet_id or self._address not in addresses:
                return
            members = tuple(
                commands.Member(_FOUNDER_ID_PREFIX + address, address, address)
                for address in sorted(addresses)
            )
            self._write_founding_entry(members)
            self._folder.adopt_identity(
                _FOUNDER_ID_PREFIX + self._address, _derive_fleet_id(addresses)
            )
        self._start_replica()

    def retry_start(self):
        """Start the replica if an earlier start of it has failed.

        The disk may have been full when the VM founded or joined the fleet.

        Raises:
            DiskWriteFailed: the start has failed again.
        """
        if self.fleet_id:
            self._start_replica()

    def check_disk(self):
        """Write the entries that are not stored yet, and the hard state.

        It does nothing while there is no replica.

        Raises:
            DiskWriteFailed: storage reported an error.
        """
        replica = self._replica
        if replica is None:
            return
        replica.log.flush()
        with replica.changed:
            replica.store_hard_state(replica.hard_state)

    def join(self, fleet_id):
        """Start the replica in a fleet that admitted it as a learner.

        If an earlier call has joined a fleet without starting the replica,
        it is started in that fleet.
        """
        with self._lock:
            if not self.fleet_id:
                self._discard_founding_entry()
                self._folder.join_fleet(fleet_id)
        self._start_replica()

    def admit(self, member):
        """Admit another replica; see ``MembershipChanges.admit``.

        Raises:
            NotLeader: there is no replica, or it does not lead.
        """
        # Raises NotLeader if there is no replica.
        self.replica.contact_age()
        self._membership_changes.admit(member)

    def replace(self, old_vm_id, new_vm_id, timeout):
        """Replace a voter; see ``MembershipChanges.replace``.

        Raises:
            NotLeader: there is no replica, or it does not lead.
            ReplacementRefused: the change is impossible or took too long.
        """
        # Raises NotLeader if there is no replica.
        self.replica.contact_age()
        self._membership_changes.replace(old_vm_id, new_vm_id, timeout)

    def hand_over(self, vm_id, timeout):
        """Replace a voter that stops; see ``MembershipChanges.hand_over``.

        Raises:
            NotLeader: there is no replica, or it does not lead.
            ReplacementRefused: no learner has caught up, or the change took
                too long.
        """
        # Raises NotLeader if there is no replica.
        self.replica.contact_age()
        self._membership_changes.hand_over(vm_id, timeout)

    def handle_transfer(self, request):
        """Answer a ``TransferRequest``: start an election at once.

        Returns:
            Whether an election starts.
        """
        if request.fleet_id != self.fleet_id or self._elector is None:
            return False
        return self._elector.campaign_now(request.term)

    def stop(self):
        """Hand leadership and vote over, and stop the replica.

        The commit index is stored. The VM may not come back; until it does,
        a voter that has stopped is one loss that the fleet can't bear twice.
        """
        replica = self._replica
        if replica is None:
            return
        self._transfer_leadership()
        self._hand_vote_over()
        with replica.changed:
            replica.stopped = True
            replica.notify_all_waiting()
        self._applier.join()
        try:
            replica.log.flush()
            replica.log.store_commit()
        except errors.DiskWriteFailed:
            pass
        self._applier.stop_storing()
        replica.log.close()

    def _write_founding_entry(self, voters):
        # Written before the identity file, which marks the founding as
        # complete: a founding that fails before it is repeated.
        log = disk_log.DiskLog(self._folder)
        command = commands.ChangeVoters(voters, ())
        log.append([logs.Entry(1, 0, commands.encode(command))])
        try:
            log.flush()
        finally:
            log.close()

    def _discard_founding_entry(self):
        # With the entry of a founding that failed, the replica would lead
        # the fleet that it joins, as the only voter.
        if not disk_log.is_present(self._folder):
            return
        log = disk_log.DiskLog(self._folder)
        try:
            if log.last.index:
                log.reset(logs.Position(0, 0))
        finally:
            log.close()

    def _start_replica(self):
        with self._lock:
            if self._replica is not None:
                return
            log = disk_log.DiskLog(self._folder)
            try:
                replica = self._make_replica(log)
            except BaseException:
                log.close()
                raise
            self._run_threads(replica)
            self._replica = replica

    def _make_replica(self, log):
        replica = replicas.Replica(
            self._folder.identity,
            self._vm_id,
            self._address,
            log,
            stable_stores.DiskStableStore(self._folder),
            self._options.timing,
        )
        self._applier = applier.Applier(
            replica,
            state_machine.StateMachine(),
            self._store.update,
            self._options.snapshot_entries,
        )
        self._applier.recover()
        self._elector = leader_elector.LeaderElector(replica, self._links)
        self._membership_changes = membership_changes.MembershipChanges(
            replica, self._options.target_voters, self._find_data_centres
        )
        return replica

    def _run_threads(self, replica):
        flusher.Flusher(replica).start()
        self._applier.start()
        replicator.ReplicatorPool(
            replica, self._links, self._applier.snapshot
        ).start()
        self._elector.start()

    def _append_elapsed_time(self):
        now = clocks.now()
        elapsed_ms = int((now - self._last_tick_at) * 1000)
        self._last_tick_at = now
        replica = self._replica
        if replica is None or elapsed_ms <= 0:
            return
        # At most two periods, in milliseconds.
        bounded_ms = min(elapsed_ms, int(TICK_PERIOD_SECONDS * 2000))
        with replica.changed:
            if replica.is_leader:
                command = commands.AdvanceTime(bounded_ms)
                replica.append_locked(commands.encode(command))

    def _free_storage(self):
        if self._replica is not None:
            self._applier.free_storage_if_due()

    def _maintain_voters(self):
        if self._membership_changes is None:
            return
        self._membership_changes.update_own(self.member)
        self._membership_changes.promote_learners()
        if self._options.replace_after > 0:
            self._membership_changes.replace_unresponsive(
                self._options.replace_after
            )
        self._membership_changes.remove_lost_learners()

    def _transfer_leadership(self):
        replica = self._replica
        deadline = clocks.now() + TRANSFER_TIMEOUT_SECONDS
        with replica.changed:
            if not replica.is_leader or len(replica.membership.voters) < 2:
                return
            replica.transferring = True
            successor = self._wait_for_successor(deadline)
            if successor is None:
                replica.transferring = False
                return
            request = ttypes.TransferRequest(replica.fleet_id, replica.term)
        try:
            link = self._links.to(successor.address)
            link.call('transfer_leadership', request)
        except errors.LinkFailed:
            return
        with replica.changed:
            while replica.is_leader and clocks.now() < deadline:
                replica.changed.wait(MAINTENANCE_PERIOD_SECONDS)

    def _hand_vote_over(self):
        """Have the leader make a learner a voter in place of this replica.

        Without a learner, or a leader, the vote is kept, and also if only
        operators replace voters.
        """
        if self._options.replace_after <= 0:
            return
        deadline = clocks.now() + HAND_OVER_TIMEOUT_SECONDS
        leader_address = self._find_leader_for_vote(deadline)
        if leader_address is None:
            return
        left_ms = int(1000 * (deadline - clocks.now()))
        # No new VM is named: the leader chooses a learner.
        request = ttypes.ReplaceRequest(self._vm_id, '', left_ms)
        try:
            reply = self._links.to(leader_address).call(
                'replace_voter', request, left_ms / 1000
            )
        except errors.LinkFailed as error:
            events.emit(events.VOTE_KEPT, reason=error.detail)
            return
        if reply.status == ttypes.ProposeStatus.COMMITTED:
            events.emit(events.VOTE_HANDED_OVER, leader=leader_address)
        else:
            events.emit(events.VOTE_KEPT, reason=reply.problem)

    def _find_leader_for_vote(self, deadline):
        """Return the leader's address, or None if no vote can be handed over.

        Args:
            deadline: time until which a leader is awaited.
        """
        replica = self._replica
        with replica.changed:
            membership = replica.membership
            if not membership.is_voter(replica.replica_id):
                return None
            if not membership.learners or replica.is_leader:
                return None
            while not replica.leader_address:
                if clocks.now() >= deadline:
                    return None
                replica.changed.wait(MAINTENANCE_PERIOD_SECONDS)
            return replica.leader_address

    def _wait_for_successor(self, deadline):
        replica = self._replica
        while replica.is_leader and clocks.now() < deadline:
            for member in replica.membership.voters:
                progress = replica.progress_by_id.get(member.replica_id)
                if progress is None:
                    continue
                if progress.match_index == replica.log.last.index:
                    return member
            replica.changed.wait(MAINTENANCE_PERIOD_SECONDS)
        return None


def _derive_fleet_id(addresses):
    joined = ','.join(sorted(addresses)).encode('utf-8')
    return hashlib.blake2b(joined, digest_size=_FLEET_ID_BYTES).hexdigest()
