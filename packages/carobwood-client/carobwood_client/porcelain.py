"""One function per verb of the command line, without parsing or printing.

Functions with a parameter ``progress`` wait until the change is in force
on all live VMs, for at most ``PROPAGATION_TIMEOUT_SECONDS``. Meanwhile
they call it with the number of VMs on which the change is in force and
the number of live VMs.
"""

import dataclasses
import time
import uuid

from carobwood import document as documents
from carobwood import keys

from . import connection as connections

POLL_SECONDS = 0.1
PROPAGATION_TIMEOUT_SECONDS = 30.0
ORDER_TIMEOUT_SECONDS = 120.0
# Added to the time that a VM waits, so that its response still arrives.
RESPONSE_MARGIN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True)
class AppliedChange:
    """A committed change and the VMs on which it is not yet in force.

    Attributes:
        version: version of the replicated state with the change.
        document_version: new version of the document, or 0 if the change
            is not one of a document.
        behind: ids of the live VMs that did not reach ``version`` in
            time.
    """

    version: int
    document_version: int
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class NewKey:
    """A newly issued key, the only time in clear text.

    Attributes:
        key_id: short id of the key, which is not secret.
        customer: id of the customer that the key belongs to.
        secret: the key itself.
        behind: ids of the live VMs that did not receive the key in time.
    """

    key_id: str
    customer: str
    secret: str
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class WithdrawalResult:
    """The withdrawal of a key and the VMs that confirmed it.

    Attributes:
        key_id: short id of the key, which is not secret.
        committed: whether the withdrawal is committed to the replicated
            log.
        confirmed_by_data_centre: ids of the VMs that confirmed the
            withdrawal.
        unconfirmed_by_data_centre: ids of the VMs that did not.
    """

    key_id: str
    committed: bool
    confirmed_by_data_centre: dict[str, list[str]]
    unconfirmed_by_data_centre: dict[str, list[str]]

    @property
    def is_confirmed_by_all(self):
        """Whether every known VM has confirmed the withdrawal."""
        return not any(self.unconfirmed_by_data_centre.values())


def document_check(connection, environment, text):
    """Check a document without putting it in force."""
    return connection.post(
        '/v1/documents/check', environment=environment, text=text
    )


def document_diff(connection, environment, text):
    """Return the lines of the diff from the document in force."""
    return connection.post(
        '/v1/documents/diff', environment=environment, text=text
    )


def document_apply(
    connection, environment, text, expected_version, operation_id, progress
):
    """Put a document in force and wait until it is on all live VMs.

    Args:
        connection: the ``Connection``.
        environment: name of the environment.
        text: the YAML text.
        expected_version: version that the document is based on, or None
            for the version in force now.
        operation_id: id of an earlier attempt, so that the change is not
            applied twice, or None for a new id.
        progress: called with the number of VMs on which the change is in
            force and the number of live VMs.

    Returns:
        The ``AppliedChange``.
    """
    if expected_version is None:
        expected_version = _version_in_force(connection, environment)
    change = connection.post(
        '/v1/documents/apply',
        environment=environment,
        text=text,
        operation_id=operation_id or _new_operation_id(),
        expected_version=expected_version,
    )
    return _await_propagation(connection, change, progress)


def document_promote(
    connection, source, target, digest, expected_version, progress
):
    """Put the document of one environment in force in another.

    Args:
        connection: the ``Connection``.
        source: environment in which the document was tested.
        target: environment to promote the document to.
        digest: digest of the tested document, or None for that of the
            document in force in the source.
        expected_version: version in the target that the change is based
            on, or None for the version in force now.
        progress: called with the number of VMs on which the change is in
            force and the number of live VMs.

    Returns:
        The ``AppliedChange``.
    """
    if digest is None:
        current = connection.get('/v1/documents/current', environment=source)
        digest = current['digest']
    if expected_version is None:
        expected_version = _version_in_force(connection, target)
    change = connection.post(
        '/v1/documents/promote',
        source=source,
        target=target,
        digest=digest,
        operation_id=_new_operation_id(),
        expected_version=expected_version,
    )
    return _await_propagation(connection, change, progress)


def document_show(connection, environment):
    """Return the document in force, with its version and digest."""
    return connection.get('/v1/documents/current', environment=environment)


def document_history(connection, environment):
    """Return the versions of an environment's document."""
    return connection.get('/v1/documents/history', environment=environment)


def customer_list(connection, environment):
    """Return the customers of an environment."""
    return connection.get('/v1/customers', environment=environment)


def key_issue(connection, environment, customer, progress):
    """Issue a key and return it as a ``NewKey``.

    The key is generated here; only its digest is sent to the VMs.
    """
    issued = keys.issue_key()
    change = connection.post(
        '/v1/keys/issue',
        environment=environment,
        customer=customer,
        digest=issued.digest,
        operation_id=_new_operation_id(),
    )
    applied = _await_propagation(connection, change, progress)
    return NewKey(issued.key_id, customer, issued.secret, applied.behind)


def key_withdraw(connection, key):
    """Withdraw a key through a VM of every data centre that is reachable.

    The withdrawal is sent to all addresses of the connection and to one
    live VM of each data centre.
    Args:
        connection: the ``Connection``.
        key: the key's id, or its whole digest.

    Returns:
        The ``WithdrawalResult``.

    Raises:
        Unreachable: no VM answered.
    """
    confirmed = {}
    known = {}
    committed = False
    key_id = key
    answered = False
    for operator in _operators_of_all_data_centres(connection):
        try:
            response = connection.post_to(
                operator, '/v1/keys/withdraw', key=key
            )
        except connections.Unreachable:
            continue
        answered = True
        key_id = response['key_id']
        committed = committed or response['committed']
        for result in response['data_centres']:
            name = result['data_centre']
            confirmed.setdefault(name, set()).update(result['confirmed'])
            known.setdefault(name, set()).update(
                result['confirmed'], result['unconfirmed']
            )
    if not answered:
        raise connections.Unreachable('no VM answered the withdrawal')
    return WithdrawalResult(
        key_id,
        committed,
        {name: sorted(vms) for name, vms in sorted(confirmed.items())},
        {
            name: sorted(vms - confirmed[name])
            for name, vms in sorted(known.items())
        },
    )


def key_list(connection, environment):
    """Return the keys of an environment."""
    return connection.get('/v1/keys', environment=environment)


def endpoint_list(connection):
    """Return the endpoints known to the VM that answers."""
    return connection.get('/v1/endpoints')


def endpoint_drain(connection, endpoint_id, drained, progress):
    """Stop or resume sending new requests to an endpoint.

    Args:
        connection: the ``Connection``.
        endpoint_id: id of the endpoint.
        drained: True to stop, False to resume.
        progress: called with the number of VMs on which the change is in
            force and the number of live VMs.

    Returns:
        The ``AppliedChange``.
    """
    change = connection.post(
        '/v1/endpoints/drain',
        endpoint_id=endpoint_id,
        drained=drained,
        operation_id=_new_operation_id(),
    )
    return _await_propagation(connection, change, progress)


def order_place(connection, endpoint_id, kind, argument, progress):
    """Order an engine to change and wait for the outcome.

    Args:
        connection: the ``Connection``.
        endpoint_id: id of the engine.
        kind: ``load-weights``, ``load-adapter`` or ``set-role``.
        argument: version of the weights, name of the adapter or role.
        progress: called with the number of VMs that know the order and
            the number of live VMs.

    Returns:
        The order as a dictionary, whose ``state`` is still ``pending``
        if it takes longer than ``ORDER_TIMEOUT_SECONDS``.
    """
    change = connection.post(
        '/v1/orders/place',
        endpoint_id=endpoint_id,
        kind=kind,
        argument=argument,
        operation_id=_new_operation_id(),
    )
    _await_propagation(connection, change, progress)
    deadline = time.monotonic() + ORDER_TIMEOUT_SECONDS
    while True:
        for order in order_list(connection):
            if order['fencing_number'] != change['version']:
                continue
            if order['state'] != 'pending' or time.monotonic() > deadline:
                return order
        time.sleep(POLL_SECONDS)


def order_list(connection):
    """Return recent orders to engines."""
    return connection.get('/v1/orders')


def vm_list(connection):
    """Return the VMs of the fleet."""
    return connection.get('/v1/vms')


def vm_found(connection):
    """Found a fleet on the first VM of the connection."""
    return connection.post_to(connection.operators[0], '/v1/fleet/found')


def vm_replace(connection, old_vm_id, new_vm_id, timeout):
    """Replace a voter and wait until the new one has caught up.

    Afterwards the fleet survives the loss of one more voter.

    Args:
        connection: the ``Connection``.
        old_vm_id: id of the voter to remove.
        new_vm_id: id of the VM that becomes a voter.
        timeout: seconds that the VM waits for the replacement.
    """
    return connection.post(
        '/v1/vms/replace',
        read_timeout=timeout + RESPONSE_MARGIN_SECONDS,
        old_vm_id=old_vm_id,
        new_vm_id=new_vm_id,
        timeout_seconds=timeout,
    )


def vm_forget(connection, vm_id, progress):
    """Remove a VM that will not return."""
    change = connection.post(
        '/v1/vms/forget', vm_id=vm_id, operation_id=_new_operation_id()
    )
    return _await_propagation(connection, change, progress)


def status(connection):
    """Return the status of a VM and the fleet as it sees it."""
    return connection.get('/v1/status')


def digest_of_text(text):
    """Return the digest of a document's text."""
    return documents.digest_text(text)


def _new_operation_id():
    return uuid.uuid4().hex


def _version_in_force(connection, environment):
    for info in status(connection)['documents']:
        if info['environment'] == environment:
            return info['version']
    return 0


def _await_propagation(connection, change, progress):
    deadline = time.monotonic() + PROPAGATION_TIMEOUT_SECONDS
    while True:
        alive = [vm for vm in vm_list(connection) if vm['alive']]
        behind = tuple(
            vm['vm_id'] for vm in alive if vm['version'] < change['version']
        )
        progress(len(alive) - len(behind), len(alive))
        if not behind or time.monotonic() > deadline:
            return AppliedChange(
                change['version'], change['document_version'], behind
            )
        time.sleep(POLL_SECONDS)


def _operators_of_all_data_centres(connection):
    operators = list(connection.operators)
    try:
        vms = vm_list(connection)
    except connections.Unreachable:
        return operators
    seen = set()
    for vm in vms:
        address = vm['operator_address']
        if vm['alive'] and address and vm['data_centre'] not in seen:
            seen.add(vm['data_centre'])
            if address not in operators:
                operators.append(address)
    return operators
