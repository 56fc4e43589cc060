"""One function for each verb that operators and endpoints use."""

import difflib
import math
import time

from returns import result

from carobwood import addresses
from carobwood import document as documents
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes
from carobwood import keys

from ..membership import directory as directories
from ..membership import link_transport
from ..replication import commands
from ..replication import fleet_state

from . import messages

CHANGE_TIMEOUT = 10.0
CONFIRM_TIMEOUT = 2.0
COMMIT_TIMEOUT = 1.0
NO_CONTACT_SECONDS = -1.0
REPLACE_MARGIN = 2.0
REDIRECT_PAUSE = 0.2


class Porcelain:
    """The operators' verbs on this VM."""

    def __init__(self, parts):
        """Take the daemon's ``Parts`` that the verbs work with."""
        self._parts = parts

    def check(self, message):
        """Check a document; raises ``DocumentInvalid``."""
        document = _parse(message.text, message.environment)
        return messages.DocumentInfo(
            document.environment,
            0,
            documents.digest_text(message.text),
            '',
            '',
        )

    def diff(self, message):
        """Return the unified diff from the document in force."""
        _parse(message.text, message.environment)
        current = self._parts.store.fleet.current(message.environment)
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

    def apply(self, message, operator):
        """Put a document in force everywhere."""
        _parse(message.text, message.environment)
        return self._change(
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

    def promote(self, message, operator):
        """Put the document that was tried in force elsewhere."""
        tried = self._parts.store.fleet.current(message.source)
        if tried is None or tried.digest != message.digest:
            raise errors.DigestMismatch(
                f'{message.source} does not hold {message.digest[:16]}'
            )
        text = documents.retarget(tried.text, message.target)
        _parse(text, message.target)
        return self._change(
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

    def document(self, environment):
        """Return the document in force."""
        current = self._parts.store.fleet.current(environment)
        if current is None:
            raise errors.NotFound(f'no document of {environment}')
        return _document_info(environment, current, current.text)

    def history(self, environment):
        """Return the versions of a document, oldest first."""
        history = self._parts.store.fleet.history_by_environment
        return [
            _document_info(environment, version)
            for version in history.get(environment, ())
        ]

    def customers(self, environment):
        """Return the customers of a document."""
        fleet = self._parts.store.fleet
        document = fleet.document(environment)
        if document is None:
            raise errors.NotFound(f'no document of {environment}')
        counts = {}
        for record in fleet.keys_by_digest.values():
            valid = record.digest not in fleet.withdrawn_digests
            if record.environment == environment and valid:
                counts[record.customer] = counts.get(record.customer, 0) + 1
        return [
            messages.CustomerInfo(
                customer.id,
                customer.rate_tokens_per_second,
                customer.burst_tokens,
                customer.offline_grace_seconds,
                counts.get(customer.id, 0),
            )
            for customer in document.customers
        ]

    def issue_key(self, message, operator):
        """Record a new key's digest."""
        document = self._parts.store.fleet.document(message.environment)
        if document is None:
            raise errors.NotFound(f'no document of {message.environment}')
        if message.customer not in document.customers_by_id:
            raise errors.NotFound(f'no customer {message.customer[:64]!r}')
        return self._change(
            commands.IssueKey(
                message.operation_id,
                message.environment,
                message.customer,
                message.digest,
            ),
            operator,
        )

    def keys(self, environment):
        """Return the keys of an environment."""
        fleet = self._parts.store.fleet
        withdrawn = fleet.withdrawn_digests | self._parts.withdrawals.digests
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
        """Withdraw a key here and now, and spread it.

        Needs no quorum: the withdrawal is committed later if none is
        there.
        """
        digest = self._find_digest(message.key)
        parts = self._parts
        parts.withdrawals.add({digest})
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change='WithdrawKey',
            key=keys.key_id_of(digest),
        )
        confirmed = parts.gossip.confirm(digest, CONFIRM_TIMEOUT)
        try:
            parts.proposer.submit(commands.WithdrawKey(digest), COMMIT_TIMEOUT)
            committed = True
        except errors.ChangeUncertain:
            committed = False
        return messages.Withdrawal(
            keys.key_id_of(digest),
            committed,
            self._confirmations(confirmed),
        )

    def endpoints(self):
        """Return the endpoints that this VM knows."""
        drained = self._parts.store.fleet.withheld_endpoints()
        found = sorted(self._parts.directory.endpoints(), key=lambda e: e.id)
        return [
            messages.EndpointInfo(
                endpoint.id,
                endpoint.pool,
                endpoint.environment,
                endpoint.address,
                endpoint.data_centre,
                endpoint.incarnation,
                endpoint.weights_version,
                _endpoint_state(endpoint, drained),
                endpoint.running,
                endpoint.waiting,
            )
            for endpoint in found
        ]

    def drain(self, message, operator):
        """Keep new work from an endpoint, or allow it again."""
        return self._change(
            commands.DrainEndpoint(
                message.operation_id, message.endpoint_id, message.drained
            ),
            operator,
        )

    def place_order(self, message, operator):
        """Place an order to an engine that this VM knows."""
        endpoint = self._parts.directory.find_endpoint(message.endpoint_id)
        if endpoint is None:
            raise errors.NotFound(f'no endpoint {message.endpoint_id[:64]!r}')
        return self._change(
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
        """Return recent orders to engines."""
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
            for order in self._parts.store.fleet.orders_by_fencing.values()
        ]

    def vms(self):
        """Return the VMs that are registered or alive."""
        registered = self._parts.store.fleet.vms_by_id
        now = time.monotonic()
        replicas = self._replica_roles()
        infos = []
        known = {vm.id: vm for vm in self._parts.directory.vms()}
        for vm_id in sorted(set(known) | set(registered)):
            vm = known.get(vm_id)
            record = registered.get(vm_id)
            infos.append(
                messages.VmInfo(
                    vm_id,
                    vm.data_centre if vm else record.data_centre,
                    vm.operator_address if vm else '',
                    record is not None,
                    vm is not None and not vm.is_silent(now),
                    self._version_of(vm),
                    replicas.get(vm_id, ''),
                )
            )
        return infos

    def forget(self, message, operator):
        """Drop a VM that will not return."""
        command = commands.ForgetVm(message.operation_id, message.vm_id)
        return self._change(command, operator)

    def found(self, operator):
        """Found a fleet with this VM as its first voter."""
        parts = self._parts
        if parts.voter is None:
            raise errors.NotFound('this VM has no data folder')
        if any(vm.version > 0 for vm in parts.directory.vms()[1:]):
            raise errors.AlreadyFounded('a peer belongs to a fleet')
        parts.voter.found()
        events.emit(events.OPERATOR_CHANGE, operator=operator, change='Found')
        return self.status()

    def replace(self, message, operator):
        """Replace a voter and wait until a further loss is survivable."""
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
            time.sleep(REDIRECT_PAUSE)
        raise errors.QuorumUnavailable('no leader takes the change')

    def status(self):
        """Return this VM's view of the fleet."""
        parts = self._parts
        age = parts.store.contact_age()
        voter_status = _replica_status(parts.voter)
        fleet = parts.store.fleet
        return messages.StatusInfo(
            parts.directory.own_vm.id,
            parts.voter.fleet_id if parts.voter else '',
            fleet.version,
            parts.gate.is_ready,
            parts.gate.in_flight,
            link_transport.METER.sent,
            link_transport.METER.received,
            NO_CONTACT_SECONDS if math.isinf(age) else age,
            voter_status.role if voter_status else 'none',
            voter_status.term if voter_status else 0,
            voter_status.leader_address if voter_status else '',
            voter_status.commit_index if voter_status else 0,
            voter_status.log_entries if voter_status else 0,
            parts.voter.claim_count if parts.voter else 0,
            _vm_ids(voter_status.voters) if voter_status else (),
            _vm_ids(voter_status.learners) if voter_status else (),
            tuple(
                _document_info(name, history[-1])
                for name, history in fleet.history_by_environment.items()
            ),
            tuple(self.vms()),
        )

    def announce(self, message):
        """Take an endpoint's announcement."""
        try:
            address = str(addresses.parse_address(message.address))
        except ValueError as error:
            raise errors.MalformedRequest(str(error)) from error
        endpoint = directories.Endpoint(
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
        self._parts.directory.note_endpoint(endpoint, announced_here=True)
        return messages.Change(self._parts.store.version)

    def _change(self, command, operator):
        events.emit(
            events.OPERATOR_CHANGE,
            operator=operator,
            change=type(command).__name__,
            operation=command.operation_id,
        )
        outcome = self._parts.proposer.submit(command, CHANGE_TIMEOUT)
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
        raise errors.InternalError(f'unexpected {type(outcome).__name__}')

    def _find_digest(self, key):
        if len(key) == 64:
            return key
        for digest in self._parts.store.fleet.keys_by_digest:
            if keys.key_id_of(digest) == key:
                return digest
        raise errors.NotFound(f'no key {key[:64]!r}')

    def _confirmations(self, confirmed_addresses):
        own = self._parts.directory.own_vm
        found = {}
        for vm in self._parts.directory.vms():
            confirmed, missing = found.setdefault(vm.data_centre, ([], []))
            is_confirmed = (
                vm.id == own.id or vm.link_address in confirmed_addresses
            )
            (confirmed if is_confirmed else missing).append(vm.id)
        return tuple(
            messages.Confirmation(name, tuple(confirmed), tuple(missing))
            for name, (confirmed, missing) in sorted(found.items())
        )

    def _version_of(self, vm):
        if vm is None:
            return 0
        if vm.id == self._parts.directory.own_vm.id:
            return self._parts.store.version
        return vm.version

    def _replica_roles(self):
        status = _replica_status(self._parts.voter)
        if status is None:
            return {}
        roles = {member.vm_id: 'learner' for member in status.learners}
        roles.update({member.vm_id: 'voter' for member in status.voters})
        for member in status.voters:
            if member.address == status.leader_address:
                roles[member.vm_id] = 'leader'
        return roles

    def _ask_leader_to_replace(self, message, deadline):
        seconds = max(0.0, deadline - time.monotonic())
        parts = self._parts
        address = ''
        if parts.voter is not None and parts.voter.is_running:
            try:
                parts.voter.replace(
                    message.old_vm_id, message.new_vm_id, seconds
                )
                return self.status()
            except errors.NotLeader as error:
                address = error.leader_address
        candidates = [address] if address else parts.directory.disk_addresses()
        request = ttypes.ReplaceRequest(
            message.old_vm_id, message.new_vm_id, int(seconds * 1000)
        )
        for candidate in candidates:
            try:
                reply = parts.links.to(candidate).call(
                    'replace_voter', request, seconds + REPLACE_MARGIN
                )
            except errors.LinkFailed:
                continue
            if reply.status == ttypes.ProposeStatus.COMMITTED:
                return self.status()
            if reply.status == ttypes.ProposeStatus.UNCERTAIN:
                raise errors.ReplacementRefused(reply.problem)
        return None


def _parse(text, environment):
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


def _endpoint_state(endpoint, drained):
    if endpoint.leaving:
        return 'leaving'
    return 'drained' if endpoint.id in drained else 'serving'


def _replica_status(voter):
    if voter is None or not voter.is_running:
        return None
    return voter.replica.status()


def _vm_ids(members):
    return tuple(member.vm_id for member in members)
