"""Periodic background tasks of a VM, each in a thread of its own."""

import abc
import random
import threading

from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..replication import commands

from . import directory
from . import probe
from . import state_poller

JOIN_PERIOD_SECONDS = 0.5
REGISTER_PERIOD_SECONDS = 2.0
WITHDRAWAL_PERIOD_SECONDS = 1.0
PROBE_PERIOD_SECONDS = 1.0
SUBMIT_TIMEOUT_SECONDS = 5.0


class PeriodicTask(threading.Thread, abc.ABC):
    """A thread that runs one task periodically until stopped.

    Attributes:
        period: seconds between two runs.
    """

    period = 1.0

    def __init__(self, name):
        super().__init__(name=name, daemon=True)
        self._stopped = threading.Event()

    def run(self):
        """Run the task every period until stopped.

        A ``CarobwoodError`` is ignored, because the next run retries. Any
        other exception is logged.
        """
        while not self._stopped.wait(self.period):
            try:
                self.run_once()
            except errors.CarobwoodError:
                continue
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )

    def stop(self):
        """Stop the thread before its next run."""
        self._stopped.set()

    @abc.abstractmethod
    def run_once(self):
        """Run the task once."""


class Joiner(PeriodicTask):
    """Makes this VM's replica a Raft member of the fleet."""

    period = JOIN_PERIOD_SECONDS

    def __init__(self, replica_runner, fleet_directory, links):
        super().__init__('joiner')
        self._replica_runner = replica_runner
        self._directory = fleet_directory
        self._links = links
        self._random = random.SystemRandom()

    def run_once(self):
        """Request admission unless this replica is a member already.

        A replica that is a member by its own log but without contact with
        a leader may have been removed: the log that tells so was sent to
        the members that remained.

        Raises:
            DiskWriteFailed: the replica could not store what a member is
                sent, so nothing was requested.
        """
        self._replica_runner.retry_start()
        if self._is_member() and self._has_contact():
            return
        self._replica_runner.check_disk()
        if self._is_member():
            self._request_readmission()
        else:
            self._request_first_admission()

    def _is_member(self):
        if not self._replica_runner.is_running:
            return False
        members = self._replica_runner.replica.membership.members_by_id
        own = self._replica_runner.member
        return members.get(own.replica_id) == own

    def _has_contact(self):
        age = self._replica_runner.replica.contact_age()
        return age < state_poller.STALE_CONTACT_SECONDS

    def _request_first_admission(self):
        """Ask the VMs one after the other until one accepts."""
        for address in self._directory.disk_addresses():
            if self._request_admission(address).accepted:
                return

    def _request_readmission(self):
        """Ask one VM, and the leader that it names.

        While the fleet has no leader, all VMs with a disk do this.
        """
        addresses = self._directory.disk_addresses()
        if not addresses:
            return
        reply = self._request_admission(self._random.choice(addresses))
        if not reply.accepted and reply.leader_address:
            self._request_admission(reply.leader_address)

    def _request_admission(self, address):
        request = ttypes.JoinRequest(
            self._replica_runner.member.replica_id,
            directory.vm_to_thrift(self._directory.own_vm),
        )
        try:
            reply = self._links.to(address).call('join', request)
        except errors.LinkFailed:
            return ttypes.JoinReply(False, '', '')
        if reply.accepted:
            self._replica_runner.join(reply.fleet_id)
        return reply


class Registrar(PeriodicTask):
    """Registers this VM in the replicated state."""

    period = REGISTER_PERIOD_SECONDS

    def __init__(self, fleet_directory, store, proposer):
        super().__init__('registrar')
        self._directory = fleet_directory
        self._store = store
        self._proposer = proposer

    def run_once(self):
        """Propose the registration unless the state holds it."""
        vm = self._directory.own_vm
        record = self._store.fleet.vms_by_id.get(vm.id)
        if record is not None and record.data_centre == vm.data_centre:
            return
        command = commands.RegisterVm(vm.id, vm.data_centre)
        self._proposer.submit(command, SUBMIT_TIMEOUT_SECONDS)


class WithdrawalProposer(PeriodicTask):
    """Proposes withdrawals of keys until the log has committed them."""

    period = WITHDRAWAL_PERIOD_SECONDS

    def __init__(self, withdrawals, store, proposer):
        super().__init__('withdrawals')
        self._withdrawals = withdrawals
        self._store = store
        self._proposer = proposer

    def run_once(self):
        """Propose each withdrawal that is not committed yet."""
        self._withdrawals.save()
        committed = self._store.fleet.withdrawn_digests
        for digest in self._withdrawals.digests - committed:
            try:
                command = commands.WithdrawKey(digest)
                self._proposer.submit(command, SUBMIT_TIMEOUT_SECONDS)
            except errors.ChangeUncertain:
                events.emit(events.WITHDRAWAL_UNCOMMITTED, key=digest[:16])


class SilentEndpointProber(PeriodicTask):
    """Probes silent endpoints and removes those that do not answer.

    A probe uses a new connection.
    """

    period = PROBE_PERIOD_SECONDS

    def __init__(self, fleet_directory, on_drop, is_alive=probe.is_healthy):
        super().__init__('prober')
        self._is_alive = is_alive
        self._directory = fleet_directory
        self._on_drop = on_drop

    def run_once(self):
        """Probe each endpoint whose announcements have stopped."""
        silent = self._directory.silent_endpoints()
        displaced = self._directory.find_displaced(silent)
        for endpoint in silent:
            if endpoint not in displaced and self._is_alive(endpoint):
                self._directory.confirm_alive(endpoint)
            else:
                self._directory.drop_endpoint(endpoint)
                self._on_drop(endpoint)
