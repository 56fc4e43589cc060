"""The part of the replicated state that every VM of a fleet gets."""

import functools
import zlib

import msgspec

from carobwood import document as documents
from carobwood import events

from . import commands
from . import rollout_records

RolloutPhase = rollout_records.RolloutPhase
RolloutRecord = rollout_records.RolloutRecord
# Results kept for retries of operations; the oldest are dropped first.
MAX_OPERATION_RESULTS = 10000
# Finished orders that are kept; the oldest are dropped first.
MAX_FINISHED_ORDERS = 200
MAX_DOCUMENT_BYTES = documents.MAX_DOCUMENT_BYTES


class DocumentVersion(msgspec.Struct, frozen=True):
    """One version of an environment's document.

    Attributes:
        version: number within the environment, from 1.
        digest: digest of the text.
        text_zlib: the YAML text, compressed.
        operator: name of the operator who put it in force.
        promoted_from: environment that it was promoted from, or empty.
    """

    version: int
    digest: str
    text_zlib: bytes
    operator: str
    promoted_from: str = ''

    @property
    def text(self):
        """The YAML text."""
        return decompress_text(self.text_zlib)


class KeyRecord(msgspec.Struct, frozen=True):
    """An issued API key.

    Attributes:
        digest: digest of the key; the key itself is not stored.
        environment: environment in which the key is valid.
        customer: id of the customer who owns the key.
    """

    digest: str
    environment: str
    customer: str


class VmRecord(msgspec.Struct, frozen=True):
    """A registered VM."""

    vm_id: str
    data_centre: str


class EngineOrder(msgspec.Struct, frozen=True):
    """An order to an engine.

    Attributes:
        fencing_number: fencing token of the order: its log index, which
            is higher for each later order.
        endpoint_id: id of the engine.
        kind: ``load-weights``, ``load-adapter`` or ``set-role``.
        argument: version of the weights, name of the adapter or role.
        operator: name of the operator who placed it.
        state: ``pending``, ``done`` or ``refused``.
        detail: why the engine refused it.
    """

    fencing_number: int
    endpoint_id: str
    kind: str
    argument: str
    operator: str
    state: str = 'pending'
    detail: str = ''

    @property
    def needs_drain(self):
        """Whether the engine must be idle while it executes the order."""
        return self.kind != 'load-adapter'


class OrdersLockState(msgspec.Struct, frozen=True):
    """State of the lock on sending orders to engines.

    Attributes:
        holder: the VM that holds the lock, or empty if it is free.
        term: Raft term of the last command that changed the lock.
        number: number of that command within the term.
    """

    holder: str = ''
    term: int = 0
    number: int = 0


class FleetState(msgspec.Struct, frozen=True, dict=True):
    """An immutable version of the fleet's state.

    Attributes:
        version: log index of the last applied command of the fleet.
        history_by_environment: document versions, oldest first.
        keys_by_digest: issued API keys.
        withdrawn_digests: digests of revoked API keys.
        vms_by_id: registered VMs.
        drained_endpoints: ids of endpoints that an operator drained.
        orders_by_fencing: pending and recent orders to engines, by
            fencing number.
        results_by_operation: results of recent operations, by operation
            id, oldest first.
        configuration: the configuration in force.
        weights_by_model: version of the weights that engines have to
            load, by model.
        orders_hold: the lock on sending orders to engines.
        rollouts_by_service: the newest rollout of each service.
    """

    version: int = 0
    history_by_environment: dict[str, tuple[DocumentVersion, ...]] = {}
    keys_by_digest: dict[str, KeyRecord] = {}
    withdrawn_digests: frozenset[str] = frozenset()
    vms_by_id: dict[str, VmRecord] = {}
    drained_endpoints: frozenset[str] = frozenset()
    orders_by_fencing: dict[int, EngineOrder] = {}
    results_by_operation: dict[str, commands.AnyResult] = {}
    configuration: commands.ConfigurationHeld = commands.ConfigurationHeld(
        0, b''
    )
    weights_by_model: dict[str, int] = {}
    orders_hold: OrdersLockState = OrdersLockState()
    rollouts_by_service: dict[str, RolloutRecord] = {}

    def current(self, environment):
        """Return the ``DocumentVersion`` in force, or None."""
        history = self.history_by_environment.get(environment)
        return history[-1] if history else None

    def document(self, environment):
        """Return the ``Document`` in force, or None."""
        current = self.current(environment)
        if current is None:
            return None
        return _parse_cached(current.text_zlib)

    def previous_weights_versions(self, environment, model_id):
        """Return the weights versions that earlier documents named.

        Args:
            environment: environment of the documents.
            model_id: id of the model.

        Returns:
            A frozenset of versions, without the one in force.
        """
        history = self.history_by_environment.get(environment, ())
        return _former_weights(history, model_id)

    def pending_orders(self):
        """Return the orders that are not finished, oldest first."""
        orders = self.orders_by_fencing.values()
        return [order for order in orders if order.state == 'pending']

    def unavailable_endpoints(self):
        """Return the ids of endpoints that must get no new requests.

        These are the drained ones and those with a pending order that
        requires an idle engine.
        """
        ordered = {
            o.endpoint_id for o in self.pending_orders() if o.needs_drain
        }
        return self.drained_endpoints | ordered

    def apply(self, index, command):
        """Apply a committed command.

        A command that cannot be applied changes only the version, on each
        VM alike, so that the commands after it are applied.

        Args:
            index: log index of the command.
            command: the ``Command``.

        Returns:
            The next ``FleetState`` and the command's ``Result``, or None
            if the command could not be applied.
        """
        try:
            return self._apply(index, command)
        except MemoryError:
            # Other VMs may have the memory: it must be applied later.
            raise
        except Exception as error:
            emit_command_failed(index, command, repr(error))
            return self._with(version=index), None

    def _apply(self, index, command):
        operation_id = getattr(command, 'operation_id', '')
        if operation_id in self.results_by_operation:
            recorded = self.results_by_operation[operation_id]
            return self._with(version=index), recorded
        changed, result = self._change(index, command)
        if operation_id:
            changed = changed._record_result(operation_id, result)
        return msgspec.structs.replace(changed, version=index), result

    def _change(self, index, command):
        applied = commands.Applied(index)
        match command:
            case commands.PutDocument():
                return self._put_document(index, command, '')
            case commands.PromoteDocument():
                return self._promote(index, command)
            case commands.IssueKey():
                return self._issue_key(command), applied
            case commands.WithdrawKey(digest=digest):
                withdrawn = self.withdrawn_digests | {digest}
                return self._with(withdrawn_digests=withdrawn), applied
            case commands.DrainEndpoint(endpoint_id=name, drained=drained):
                return self._drain(name, drained), applied
            case commands.PlaceOrder():
                return self._place_order(index, command), applied
            case commands.FinishOrder():
                return self._finish_order(command), applied
            case commands.RegisterVm(vm_id=vm_id, data_centre=data_centre):
                record = VmRecord(vm_id, data_centre)
                vms = {**self.vms_by_id, vm_id: record}
                return self._with(vms_by_id=vms), applied
            case commands.ForgetVm(vm_id=vm_id):
                return self._forget_vm(vm_id, applied)
            case commands.PutConfiguration():
                return self._put_configuration(command), applied
            case commands.NameWeights(model=model, version=version):
                return self._name_weights(model, version), applied
            case commands.HoldOrders():
                return self._hold_orders(command), applied
            case (
                commands.StartRollout()
                | commands.ReserveExposure()
                | commands.AdvanceRollout()
            ):
                rollouts, held = rollout_records.apply(
                    self.rollouts_by_service, index, command
                )
                return self._with(rollouts_by_service=rollouts), held
            case commands.UnknownCommand():
                emit_command_failed(index, command, 'unknown to this build')
                return self, None
        return self, applied

    def _with(self, **changes):
        return msgspec.structs.replace(self, **changes)

    def _record_result(self, operation_id, result):
        results = {**self.results_by_operation, operation_id: result}
        while len(results) > MAX_OPERATION_RESULTS:
            del results[next(iter(results))]
        return self._with(results_by_operation=results)

    def _put_document(self, index, command, promoted_from):
        history = self.history_by_environment.get(command.environment, ())
        in_force = history[-1].version if history else 0
        if in_force != command.expected_version:
            reason = f'expected version {command.expected_version}'
            return self, self._conflict(reason, command.environment)
        version = DocumentVersion(
            in_force + 1,
            command.digest,
            command.text_zlib,
            command.operator,
            promoted_from,
        )
        history = self._trim_history(history + (version,))
        histories = {
            **self.history_by_environment,
            command.environment: history,
        }
        result = commands.Applied(index, version.version)
        return self._with(history_by_environment=histories), result

    def _promote(self, index, command):
        source_version = self.current(command.source)
        if source_version is None:
            return self, commands.Absent(command.source)
        if source_version.digest != command.source_digest:
            reason = f'{command.source} holds another document'
            return self, self._conflict(reason, command.source)
        put = commands.PutDocument(
            command.operation_id,
            command.target,
            command.text_zlib,
            command.digest,
            command.expected_version,
            command.operator,
        )
        return self._put_document(index, put, command.source)

    def _conflict(self, reason, environment):
        current = self.current(environment)
        if current is None:
            return commands.Conflicted(reason, 0, '', '')
        return commands.Conflicted(
            reason, current.version, current.digest, current.operator
        )

    def _trim_history(self, history):
        parsed = documents.parse_document(history[-1].text).value_or(None)
        if parsed is None:
            # An older build has accepted what this one refuses.
            return history
        return history[-parsed.retention.history_versions :]

    def _issue_key(self, command):
        record = KeyRecord(
            command.digest, command.environment, command.customer
        )
        keys = {**self.keys_by_digest, command.digest: record}
        return self._with(keys_by_digest=keys)

    def _drain(self, endpoint_id, drained):
        names = self.drained_endpoints - {endpoint_id}
        if drained:
            names |= {endpoint_id}
        return self._with(drained_endpoints=names)

    def _place_order(self, index, command):
        order = EngineOrder(
            index,
            command.endpoint_id,
            command.kind,
            command.argument,
            command.operator,
        )
        orders = {**self.orders_by_fencing, index: order}
        finished = [i for i, o in orders.items() if o.state != 'pending']
        for fencing_number in finished[:-MAX_FINISHED_ORDERS]:
            del orders[fencing_number]
        return self._with(orders_by_fencing=orders)

    def _finish_order(self, command):
        order = self.orders_by_fencing.get(command.fencing_number)
        if order is None or order.state != 'pending':
            return self
        order = msgspec.structs.replace(
            order, state=command.state, detail=command.detail
        )
        orders = {**self.orders_by_fencing, order.fencing_number: order}
        return self._with(orders_by_fencing=orders)

    def _put_configuration(self, command):
        if command.version <= self.configuration.version:
            return self
        configuration = commands.ConfigurationHeld(
            command.version, command.content_zlib
        )
        return self._with(configuration=configuration)

    def _name_weights(self, model, version):
        if version <= self.weights_by_model.get(model, 0):
            return self
        weights = {**self.weights_by_model, model: version}
        return self._with(weights_by_model=weights)

    def _hold_orders(self, command):
        current = self.orders_hold
        is_newer = (command.term, command.number) > (
            current.term,
            current.number,
        )
        if not is_newer or command.expected_holder != current.holder:
            return self
        new_hold = OrdersLockState(
            command.holder, command.term, command.number
        )
        return self._with(orders_hold=new_hold)

    def _forget_vm(self, vm_id, applied):
        if vm_id not in self.vms_by_id:
            return self, commands.Absent(vm_id)
        vms = dict(self.vms_by_id)
        del vms[vm_id]
        return self._with(vms_by_id=vms), applied


def emit_command_failed(index, command, reason):
    """Log a command of the replicated log that has no effect."""
    events.emit(
        events.COMMAND_FAILED,
        log_index=index,
        command=type(command).__name__,
        reason=reason,
    )


def compress_text(text):
    """Return the compressed form of a document's text."""
    return zlib.compress(text.encode('utf-8'))


def decompress_text(text_zlib):
    """Return a document's text from its compressed form."""
    return zlib.decompress(text_zlib).decode('utf-8')


@functools.lru_cache(maxsize=16)
def _parse_cached(text_zlib):
    return documents.parse_document(decompress_text(text_zlib)).unwrap()


@functools.lru_cache(maxsize=64)
def _former_weights(history, model_id):
    versions = []
    for version in history:
        parsed = documents.parse_document(version.text).value_or(None)
        model = parsed.models_by_id.get(model_id) if parsed else None
        versions.append(model.weights_version if model else '')
    return frozenset(versions[:-1]) - {'', *versions[-1:]}
