"""One function for each verb of the operators."""

import dataclasses
import time
import uuid

from carobwood import document as documents
from carobwood import keys

from . import connection as connections

POLL_SECONDS = 0.1
IN_FORCE_TIMEOUT = 30.0
ORDER_TIMEOUT = 120.0
REPLY_MARGIN = 10.0


@dataclasses.dataclass(frozen=True)
class AppliedChange:
    """A change and how far it is in force.

    Attributes:
        version: state version that holds the change.
        document_version: new version of the document, or 0.
        behind: names of live VMs that have not reached it in time.
    """

    version: int
    document_version: int
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class NewKey:
    """A fresh key, in clear this once.

    Attributes:
        key_id: public name of the key.
        customer: whose key it is.
        secret: the key itself.
        behind: names of live VMs that do not know it yet.
    """

    key_id: str
    customer: str
    secret: str
    behind: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Withdrawn:
    """A withdrawal and how far it has spread.

    Attributes:
        key_id: public name of the key.
        committed: whether the log holds the withdrawal.
        confirmed_by_data_centre: names of VMs that confirmed it.
        unconfirmed_by_data_centre: names of VMs that have not.
    """

    key_id: str
    committed: bool
    confirmed_by_data_centre: dict[str, list[str]]
    unconfirmed_by_data_centre: dict[str, list[str]]

    @property
    def is_everywhere(self):
        """Whether every known VM has confirmed."""
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
    """Put a document in force and wait until it is everywhere.

    Args:
        connection: the ``Connection``.
        environment: name of the environment.
        text: the YAML text.
        expected_version: version that it builds on, or None for the one
            in force now.
        operation_id: id of an earlier try to resend, or None.
        progress: called with (VMs in force, VMs alive).
    """
    if expected_version is None:
        expected_version = _version_in_force(connection, environment)
    change = connection.post(
        '/v1/documents/apply',
        environment=environment,
        text=text,
        operation_id=operation_id or _new_id(),
        expected_version=expected_version,
    )
    return _await_change(connection, change, progress)


def document_promote(
    connection, source, target, digest, expected_version, progress
):
    """Put the document that was tried in force elsewhere."""
    if digest is None:
        tried = connection.get('/v1/documents/current', environment=source)
        digest = tried['digest']
    if expected_version is None:
        expected_version = _version_in_force(connection, target)
    change = connection.post(
        '/v1/documents/promote',
        source=source,
        target=target,
        digest=digest,
        operation_id=_new_id(),
        expected_version=expected_version,
    )
    return _await_change(connection, change, progress)


def document_show(connection, environment):
    """Return the document in force."""
    return connection.get('/v1/documents/current', environment=environment)


def document_history(connection, environment):
    """Return the versions of a document."""
    return connection.get('/v1/documents/history', environment=environment)


def customer_list(connection, environment):
    """Return the customers of an environment."""
    return connection.get('/v1/customers', environment=environment)


def key_issue(connection, environment, customer, progress):
    """Issue a key; only its digest leaves this process."""
    issued = keys.issue_key()
    change = connection.post(
        '/v1/keys/issue',
        environment=environment,
        customer=customer,
        digest=issued.digest,
        operation_id=_new_id(),
    )
    applied = _await_change(connection, change, progress)
    return NewKey(issued.key_id, customer, issued.secret, applied.behind)


def key_withdraw(connection, key):
    """Withdraw a key by way of every data centre that can be reached.

    Args:
        connection: the ``Connection``.
        key: the key's id, or its whole digest.
    """
    confirmed = {}
    known = {}
    committed = False
    key_id = key
    answered = False
    for operator in _operators_everywhere(connection):
        try:
            reply = connection.post_to(operator, '/v1/keys/withdraw', key=key)
        except connections.Unreachable:
            continue
        answered = True
        key_id = reply['key_id']
        committed = committed or reply['committed']
        for part in reply['data_centres']:
            name = part['data_centre']
            confirmed.setdefault(name, set()).update(part['confirmed'])
            known.setdefault(name, set()).update(
                part['confirmed'], part['unconfirmed']
            )
    if not answered:
        raise connections.Unreachable('no VM took the withdrawal')
    return Withdrawn(
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
    """Return the endpoints that a VM knows."""
    return connection.get('/v1/endpoints')


def endpoint_drain(connection, endpoint_id, drained, progress):
    """Keep new work from an endpoint, or allow it again."""
    change = connection.post(
        '/v1/endpoints/drain',
        endpoint_id=endpoint_id,
        drained=drained,
        operation_id=_new_id(),
    )
    return _await_change(connection, change, progress)


def order_place(connection, endpoint_id, kind, argument, progress):
    """Order an engine to change and wait for the outcome.

    Returns:
        The order as a dictionary, still ``pending`` if it takes longer
        than ``ORDER_TIMEOUT`` seconds.
    """
    change = connection.post(
        '/v1/orders/place',
        endpoint_id=endpoint_id,
        kind=kind,
        argument=argument,
        operation_id=_new_id(),
    )
    _await_change(connection, change, progress)
    deadline = time.monotonic() + ORDER_TIMEOUT
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
    """Found a fleet on the first VM that the connection names."""
    return connection.post_to(connection.operators[0], '/v1/fleet/found')


def vm_replace(connection, old_vm_id, new_vm_id, timeout):
    """Replace a voter; returns when a further loss is survivable."""
    return connection.post(
        '/v1/vms/replace',
        read_timeout=timeout + REPLY_MARGIN,
        old_vm_id=old_vm_id,
        new_vm_id=new_vm_id,
        timeout_seconds=timeout,
    )


def vm_forget(connection, vm_id, progress):
    """Drop a VM that will not return."""
    change = connection.post(
        '/v1/vms/forget', vm_id=vm_id, operation_id=_new_id()
    )
    return _await_change(connection, change, progress)


def status(connection):
    """Return a VM's view of the fleet."""
    return connection.get('/v1/status')


def digest_of_text(text):
    """Return the digest that identifies a document."""
    return documents.digest_text(text)


def _new_id():
    return uuid.uuid4().hex


def _version_in_force(connection, environment):
    for info in status(connection)['documents']:
        if info['environment'] == environment:
            return info['version']
    return 0


def _await_change(connection, change, progress):
    deadline = time.monotonic() + IN_FORCE_TIMEOUT
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


def _operators_everywhere(connection):
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
