"""The verbs of operators on VMs and on the fleet."""

import math
import time

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..membership import link_transport
from ..replication import commands

from . import document_verbs
from . import messages
from . import verbs

# Longest timeout of a replacement.
MAX_REPLACE_SECONDS = 300.0
# Time for the reply of a remote leader, beyond the replacement's timeout.
REPLACE_REPLY_SECONDS = 2.0
# Pause before the leader is looked for again.
LEADER_RETRY_SECONDS = 0.2
# Reported as the age of the last contact if there was none, because JSON
# has no infinity.
NO_CONTACT_SECONDS = -1.0


class VmVerbs(verbs.Verbs):
    """Lists, replaces and forgets VMs, and founds fleets."""

    def all_vms(self):
        """Return the VMs that are registered or known by gossip."""
        registered = self._context.store.fleet.vms_by_id
        now = clocks.now()
        roles_by_vm_id = self._replica_roles()
        infos = []
        known_by_id = {vm.id: vm for vm in self._context.directory.vms()}
        for vm_id in sorted(set(known_by_id) | set(registered)):
            vm = known_by_id.get(vm_id)
            record = registered.get(vm_id)
            infos.append(
                messages.VmInfo(
                    vm_id,
                    vm.data_centre if vm else record.data_centre,
                    vm.operator_address if vm else '',
                    record is not None,
                    vm is not None and not vm.is_silent(now),
                    self._version_of(vm),
                    roles_by_vm_id.get(vm_id, ''),
                )
            )
        return infos

    def forget(self, message, operator):
        """Remove a VM that will not return from the fleet's state."""
        command = commands.ForgetVm(message.operation_id, message.vm_id)
        return self._changes.commit(command, operator)

    def found(self, operator):
        """Create a new fleet with this VM as its only voter.

        Raises:
            NotFound: this VM has no data folder.
            AlreadyFounded: this VM or one of its peers belongs to a fleet.
        """
        context = self._context
        if context.replica_runner is None:
            raise errors.NotFound('this VM has no data folder')
        # The first VM of the directory is this one.
        if any(vm.version > 0 for vm in context.directory.vms()[1:]):
            raise errors.AlreadyFounded('a peer already belongs to a fleet')
        context.replica_runner.found()
        events.emit(events.OPERATOR_CHANGE, operator=operator, change='Found')
        return self.status()

    def replace(self, message, operator):
        """Replace a voter by another VM's replica.

        Returns once the fleet survives the loss of one more voter. Waits
        for the timeout of the message, but at most 300 seconds.

        Raises:
            ReplacementRefused: the leader could not replace the voter.
            QuorumUnavailable: no leader answered in time.
        """
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change='ReplaceVm',
            old=message.old_vm_id,
            new=message.new_vm_id,
        )
        deadline = time.monotonic() + min(
            message.timeout_seconds, MAX_REPLACE_SECONDS
        )
        while time.monotonic() < deadline:
            reply = self._ask_leader_to_replace(message, deadline)
            if reply is not None:
                return reply
            time.sleep(LEADER_RETRY_SECONDS)
        raise errors.QuorumUnavailable('no leader accepted the change in time')

    def status(self):
        """Return the state of this VM and of the fleet as known to it."""
        context = self._context
        contact_age = context.store.contact_age()
        voter_status = _replica_status(context.replica_runner)
        fleet = context.store.fleet
        return messages.StatusInfo(
            context.directory.own_vm.id,
            context.replica_runner.fleet_id if context.replica_runner else '',
            fleet.version,
            context.gate.is_ready,
            context.gate.in_flight,
            link_transport.METER.sent,
            link_transport.METER.received,
            NO_CONTACT_SECONDS if math.isinf(contact_age) else contact_age,
            voter_status.role if voter_status else 'none',
            voter_status.term if voter_status else 0,
            voter_status.leader_address if voter_status else '',
            voter_status.commit_index if voter_status else 0,
            voter_status.log_entries if voter_status else 0,
            context.replica_runner.claim_count
            if context.replica_runner
            else 0,
            _vm_ids(voter_status.voters) if voter_status else (),
            _vm_ids(voter_status.learners) if voter_status else (),
            tuple(
                document_verbs.document_info(name, history[-1])
                for name, history in fleet.history_by_environment.items()
            ),
            tuple(self.all_vms()),
        )

    def _version_of(self, vm):
        if vm is None:
            return 0
        if vm.id == self._context.directory.own_vm.id:
            return self._context.store.version
        return vm.version

    def _replica_roles(self):
        status = _replica_status(self._context.replica_runner)
        if status is None:
            return {}
        roles = {member.vm_id: 'learner' for member in status.learners}
        roles.update({member.vm_id: 'voter' for member in status.voters})
        for member in status.voters:
            if member.address == status.leader_address:
                roles[member.vm_id] = 'leader'
        return roles

    def _ask_leader_to_replace(self, message, deadline):
        """Return the status after the replacement, or None without leader."""
        seconds = max(0.0, deadline - time.monotonic())
        context = self._context
        leader_address = ''
        if (
            context.replica_runner is not None
            and context.replica_runner.is_running
        ):
            try:
                context.replica_runner.replace(
                    message.old_vm_id, message.new_vm_id, seconds
                )
                return self.status()
            except errors.NotLeader as error:
                leader_address = error.leader_address
        candidates = (
            [leader_address]
            if leader_address
            else context.directory.disk_addresses()
        )
        request = ttypes.ReplaceRequest(
            message.old_vm_id, message.new_vm_id, int(seconds * 1000)
        )
        for candidate in candidates:
            try:
                reply = context.links.to(candidate).call(
                    'replace_voter', request, seconds + REPLACE_REPLY_SECONDS
                )
            except errors.LinkFailed:
                continue
            if reply.status == ttypes.ProposeStatus.COMMITTED:
                return self.status()
            # A leader that refuses the replacement answers UNCERTAIN.
            if reply.status == ttypes.ProposeStatus.UNCERTAIN:
                raise errors.ReplacementRefused(reply.problem)
        return None


def _replica_status(replica_runner):
    if replica_runner is None or not replica_runner.is_running:
        return None
    return replica_runner.replica.status()


def _vm_ids(members):
    return tuple(member.vm_id for member in members)
