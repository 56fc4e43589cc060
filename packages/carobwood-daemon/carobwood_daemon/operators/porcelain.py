"""The operations of the operators' API, one method for each verb."""

import difflib
import math
import time

from returns import result

from carobwood import addresses
from carobwood import clocks
from carobwood import document as documents
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood import keys

from ..membership import endpoint_table
from ..membership import link_transport
from ..replication import commands
from ..replication import fleet_state

from . import messages

# Time to wait for a change to be committed.
CHANGE_TIMEOUT_SECONDS = 10.0
# Time to wait for all peers to confirm a withdrawal.
WITHDRAWAL_CONFIRM_SECONDS = 2.0
# Time to wait for a withdrawal to be committed.
WITHDRAWAL_COMMIT_SECONDS = 1.0
# Reported as the age of the last contact if there was none, because JSON
# has no infinity.
NO_CONTACT_SECONDS = -1.0
# Time for the reply of a remote leader, beyond the replacement's timeout.
REPLACE_REPLY_SECONDS = 2.0
# Pause before the leader is looked for again.
LEADER_RETRY_SECONDS = 0.2


class Porcelain:
    """Carries out the verbs of operators and endpoints on this VM.

    Arguments named ``message`` are requests of ``messages``, and
    ``operator`` is the name of the authenticated operator.
    """

    def __init__(self, context):
        """Create the porcelain.

        Args:
            context: the daemon's ``PorcelainContext``.
        """
        self._context = context

    def check_document(self, message):
        """Check a document without putting it in force.

        Raises:
            DocumentInvalid: the document is not valid.
        """
        document = _parse_document(message.text, message.environment)
        return messages.DocumentInfo(
            document.environment,
            0,
            documents.digest_text(message.text),
            '',
            '',
        )

    def diff_document(self, message):
        """Return a unified diff from the document in force, by lines."""
        _parse_document(message.text, message.environment)
        current = self._context.store.fleet.current(message.environment)
        before = current.text if current else ''
        return list(
            difflib.unified_diff(
                before.splitlines(),
                message.text.splitlines(),
                f'{message.environment} version '
                f'{current.version if current else 0}',
                'proposed',
                lineterm='',
            )
        )

    def apply_document(self, message, operator):
        """Put a document in force on all VMs."""
        _parse_document(message.text, message.environment)
        return self._commit(
            commands.PutDocument(
                message.operation_id,
                message.environment,
                fleet_state.compress_text(message.text),
                documents.digest_text(message.text),
                message.expected_version,
                operator,
            ),
            operator,
        )

    def promote_document(self, message, operator):
        """Copy an environment's document to another environment.

        Raises:
            DigestMismatch: the source's document is not the expected one.
        """
        source_version = self._context.store.fleet.current(message.source)
        if source_version is None or source_version.digest != message.digest:
            raise errors.DigestMismatch(
                f'{message.source} has no document with digest '
                f'{message.digest[:16]}'
            )
        text = documents.replace_environment_name(
            source_version.text, message.target
        )
        _parse_document(text, message.target)
        return self._commit(
            commands.PromoteDocument(
                message.operation_id,
                message.source,
                message.target,
                message.digest,
                fleet_state.compress_text(text),
                documents.digest_text(text),
                message.expected_version,
                operator,
            ),
            operator,
        )

    def current_document(self, environment):
        """Return an environment's document in force."""
        current = self._context.store.fleet.current(environment)
        if current is None:
            raise errors.NotFound(f'no document of {environment}')
        return _document_info(environment, current, current.text)

    def document_history(self, environment):
        """Return the kept versions of a document, oldest first."""
        history = self._context.store.fleet.history_by_environment
        return [
            _document_info(environment, version)
            for version in history.get(environment, ())
        ]

    def customers(self, environment):
        """Return the customers of an environment's document in force."""
        fleet = self._context.store.fleet
        document = fleet.document(environment)
        if document is None:
            raise errors.NotFound(f'no document of {environment}')
        key_counts = {}
        for record in fleet.keys_by_digest.values():
            is_valid = record.digest not in fleet.withdrawn_digests
            if record.environment == environment and is_valid:
                key_counts[record.customer] = (
                    key_counts.get(record.customer, 0) + 1
                )
        return [
            messages.CustomerInfo(
                customer.id,
                customer.rate_tokens_per_second,
                customer.burst_tokens,
                customer.offline_grace_seconds,
                key_counts.get(customer.id, 0),
            )
            for customer in document.customers
        ]

    def issue_key(self, message, operator):
        """Record the digest of a customer's new key."""
        document = self._context.store.fleet.document(message.environment)
        if document is None:
            raise errors.NotFound(f'no document of {message.environment}')
        if message.customer not in document.customers_by_id:
            raise errors.NotFound(f'no customer {message.customer[:64]!r}')
        return self._commit(
            commands.IssueKey(
                message.operation_id,
                message.environment,
                message.customer,
                message.digest,
            ),
            operator,
        )

    def keys(self, environment):
        """Return the keys of an environment, withdrawn ones included."""
        fleet = self._context.store.fleet
        withdrawn = fleet.withdrawn_digests | self._context.withdrawals.digests
        return [
            messages.KeyInfo(
                keys.key_id_of(record.digest),
                record.environment,
                record.customer,
                record.digest in withdrawn,
            )
            for record in fleet.keys_by_digest.values()
            if record.environment == environment
        ]

    def withdraw_key(self, message, operator):
        """Withdraw a key on this VM at once, and on the others by gossip.

        This needs no quorum. Without one, a background task commits the
        withdrawal to the replicated log later.
        """
        digest = self._find_digest(message.key)
        context = self._context
        context.withdrawals.add({digest})
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change='WithdrawKey',
            key=keys.key_id_of(digest),
        )
        confirmed = context.gossip.confirm(digest, WITHDRAWAL_CONFIRM_SECONDS)
        try:
            context.proposer.submit(
                commands.WithdrawKey(digest), WITHDRAWAL_COMMIT_SECONDS
            )
            committed = True
        except errors.ChangeUncertain:
            committed = False
        return messages.Withdrawal(
            keys.key_id_of(digest),
            committed,
            self._confirmations(confirmed),
        )

    def endpoints(self):
        """Return the endpoints known to this VM, sorted by id."""
        drained_ids = self._context.store.fleet.unavailable_endpoints()
        known = sorted(self._context.directory.endpoints(), key=lambda e: e.id)
        return [
            messages.EndpointInfo(
                endpoint.id,
                endpoint.pool,
                endpoint.environment,
                endpoint.address,
                endpoint.data_centre,
                endpoint.incarnation,
                endpoint.weights_version,
                _endpoint_state(endpoint, drained_ids),
                endpoint.running,
                endpoint.waiting,
            )
            for endpoint in known
        ]

    def drain_endpoint(self, message, operator):
        """Keep new requests from an endpoint, or allow them again."""
        return self._commit(
            commands.DrainEndpoint(
                message.operation_id, message.endpoint_id, message.drained
            ),
            operator,
        )

    def place_order(self, message, operator):
        """Place an order to an engine that is known to this VM."""
        endpoint = self._context.directory.find_endpoint(message.endpoint_id)
        if endpoint is None:
            raise errors.NotFound(f'no endpoint {message.endpoint_id[:64]!r}')
        return self._commit(
            commands.PlaceOrder(
                message.operation_id,
                message.endpoint_id,
                message.kind,
                message.argument,
                operator,
            ),
            operator,
        )

    def orders(self):
        """Return the orders to engines that the fleet's state keeps."""
        return [
            messages.OrderInfo(
                order.fencing_number,
                order.endpoint_id,
                order.kind,
                order.argument,
                order.operator,
                order.state,
                order.detail,
            )
            for order in self._context.store.fleet.orders_by_fencing.values()
        ]

    def vms(self):
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

    def forget_vm(self, message, operator):
        """Remove a VM that will not return from the fleet's state."""
        command = commands.ForgetVm(message.operation_id, message.vm_id)
        return self._commit(command, operator)

    def found_fleet(self, operator):
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

    def replace_vm(self, message, operator):
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
        deadline = time.monotonic() + min(message.timeout_seconds, 300.0)
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
                _document_info(name, history[-1])
                for name, history in fleet.history_by_environment.items()
            ),
            tuple(self.vms()),
        )

    def record_announcement(self, message):
        """Merge an endpoint's announcement into this VM's directory."""
        try:
            address = str(addresses.parse_address(message.address))
        except ValueError as error:
            raise errors.MalformedRequest(str(error)) from error
        endpoint = endpoint_table.Endpoint(
            message.endpoint_id,
            message.incarnation,
            message.sequence,
            address,
            message.data_centre,
            message.pool,
            message.environment,
            message.weights_version,
            message.leaving,
            message.running,
            message.waiting,
            time.monotonic(),
        )
        self._context.directory.merge_endpoint(endpoint, is_direct=True)
        return messages.Change(self._context.store.version)

    def _commit(self, command, operator):
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change=type(command).__name__,
            operation=command.operation_id,
        )
        outcome = self._context.proposer.submit(
            command, CHANGE_TIMEOUT_SECONDS
        )
        match outcome:
            case commands.Applied(version=version, document_version=number):
                return messages.Change(version, number)
            case commands.Conflicted():
                raise errors.VersionConflict(
                    f'{outcome.reason}; in force is version '
                    f'{outcome.winner_version} '
                    f'({outcome.winner_digest[:16]}) by '
                    f'{outcome.winner_operator}'
                )
            case commands.Absent(name=name):
                raise errors.NotFound(f'{name} does not exist')
        raise errors.InternalError(
            f'unexpected result {type(outcome).__name__}'
        )

    def _find_digest(self, key):
        # A key is named by its id or by its digest of 64 hex digits.
        if len(key) == 64:
            return key
        for digest in self._context.store.fleet.keys_by_digest:
            if keys.key_id_of(digest) == key:
                return digest
        raise errors.NotFound(f'no key {key[:64]!r}')

    def _confirmations(self, confirmed_addresses):
        own = self._context.directory.own_vm
        ids_by_data_centre = {}
        for vm in self._context.directory.vms():
            confirmed, unconfirmed = ids_by_data_centre.setdefault(
                vm.data_centre, ([], [])
            )
            is_confirmed = (
                vm.id == own.id or vm.link_address in confirmed_addresses
            )
            (confirmed if is_confirmed else unconfirmed).append(vm.id)
        return tuple(
            messages.Confirmation(
                data_centre, tuple(confirmed), tuple(unconfirmed)
            )
            for data_centre, (confirmed, unconfirmed) in sorted(
                ids_by_data_centre.items()
            )
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


def _parse_document(text, environment):
    match documents.parse_document(text, environment):
        case result.Failure(error):
            raise error
        case result.Success(document):
            return document


def _document_info(environment, version, text=''):
    return messages.DocumentInfo(
        environment,
        version.version,
        version.digest,
        version.operator,
        version.promoted_from,
        text,
    )


def _endpoint_state(endpoint, drained_ids):
    if endpoint.leaving:
        return 'leaving'
    return 'drained' if endpoint.id in drained_ids else 'serving'


def _replica_status(replica_runner):
    if replica_runner is None or not replica_runner.is_running:
        return None
    return replica_runner.replica.status()


def _vm_ids(members):
    return tuple(member.vm_id for member in members)
