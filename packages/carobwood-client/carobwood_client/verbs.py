"""The verbs of the command line: each prints one result.

Each takes the ``Connection``, the parsed arguments and the ``Printer``,
and returns the exit code.
"""

import dataclasses
import pathlib

from carobwood import errors

from . import exit_codes
from . import porcelain

_ORDER_COLUMNS = (
    'fencing_number',
    'endpoint_id',
    'kind',
    'argument',
    'operator',
    'state',
    'detail',
)


def read_text(path):
    """Return the text of a file.

    Raises:
        ClientUsage: it cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ClientUsage(f'{path}: {error}') from error


def document_check(connection, arguments, printer):
    """Tell whether a document is good."""
    text = read_text(arguments.file)
    info = porcelain.document_check(connection, arguments.environment, text)
    printer.result(info, f'good, digest {info["digest"][:16]}')
    return exit_codes.EXIT_OK


def document_diff(connection, arguments, printer):
    """Print how a document differs from the one in force."""
    text = read_text(arguments.file)
    lines = porcelain.document_diff(connection, arguments.environment, text)
    printer.result(lines, '\n'.join(lines))
    return exit_codes.EXIT_OK


def document_apply(connection, arguments, printer):
    """Put a document in force."""
    change = porcelain.document_apply(
        connection,
        arguments.environment,
        read_text(arguments.file),
        arguments.expect_version,
        arguments.operation_id,
        printer.progress,
    )
    return _print_change(
        printer,
        change,
        f'{arguments.environment} is at version {change.document_version}',
    )


def document_promote(connection, arguments, printer):
    """Move the document that was tried to another environment."""
    change = porcelain.document_promote(
        connection,
        arguments.source,
        arguments.target,
        arguments.digest,
        arguments.expect_version,
        printer.progress,
    )
    return _print_change(
        printer,
        change,
        f'{arguments.target} is at version {change.document_version}',
    )


def document_show(connection, arguments, printer):
    """Print the document in force."""
    info = porcelain.document_show(connection, arguments.environment)
    printer.result(info, info['text'].rstrip('\n'))
    return exit_codes.EXIT_OK


def document_history(connection, arguments, printer):
    """List the versions of the document."""
    rows = porcelain.document_history(connection, arguments.environment)
    printer.rows(rows, ('version', 'digest', 'operator', 'promoted_from'))
    return exit_codes.EXIT_OK


def customer_list(connection, arguments, printer):
    """List customers and their rates."""
    rows = porcelain.customer_list(connection, arguments.environment)
    printer.rows(
        rows,
        (
            'customer',
            'rate_tokens_per_second',
            'burst_tokens',
            'offline_grace_seconds',
            'keys',
        ),
    )
    return exit_codes.EXIT_OK


def key_issue(connection, arguments, printer):
    """Issue a key and print it once."""
    key = porcelain.key_issue(
        connection,
        arguments.environment,
        arguments.customer,
        printer.progress,
    )
    text = f'key id  {key.key_id}\nsecret  {key.secret}'
    printer.result(dataclasses.asdict(key), text)
    return exit_codes.EXIT_NOT_EVERYWHERE if key.behind else exit_codes.EXIT_OK


def key_withdraw(connection, arguments, printer):
    """Withdraw a key everywhere."""
    withdrawn = porcelain.key_withdraw(connection, arguments.key)
    rows = [
        {
            'data_centre': name,
            'confirmed': withdrawn.confirmed_by_data_centre[name],
            'unconfirmed': missing,
        }
        for name, missing in withdrawn.unconfirmed_by_data_centre.items()
    ]
    if arguments.json:
        printer.result(dataclasses.asdict(withdrawn), '')
    else:
        printer.rows(rows, ('data_centre', 'confirmed', 'unconfirmed'))
    return (
        exit_codes.EXIT_OK
        if withdrawn.is_everywhere
        else exit_codes.EXIT_NOT_EVERYWHERE
    )


def key_list(connection, arguments, printer):
    """List the keys by their digests."""
    rows = porcelain.key_list(connection, arguments.environment)
    printer.rows(rows, ('key_id', 'environment', 'customer', 'withdrawn'))
    return exit_codes.EXIT_OK


def endpoint_list(connection, arguments, printer):
    """List the endpoints."""
    printer.rows(
        porcelain.endpoint_list(connection),
        (
            'endpoint_id',
            'pool',
            'environment',
            'data_centre',
            'address',
            'weights_version',
            'state',
            'running',
            'waiting',
        ),
    )
    return exit_codes.EXIT_OK


def endpoint_drain(connection, arguments, printer):
    """Keep new work from an endpoint, or allow it again."""
    change = porcelain.endpoint_drain(
        connection, arguments.endpoint, arguments.drained, printer.progress
    )
    state = 'drained' if arguments.drained else 'in use'
    return _print_change(printer, change, f'{arguments.endpoint} is {state}')


def order_list(connection, arguments, printer):
    """List the recent orders to engines."""
    printer.rows(porcelain.order_list(connection), _ORDER_COLUMNS)
    return exit_codes.EXIT_OK


def order_place(connection, arguments, printer):
    """Order an engine to change."""
    order = porcelain.order_place(
        connection,
        arguments.endpoint,
        arguments.kind,
        arguments.argument,
        printer.progress,
    )
    printer.result(
        order,
        f'order {order["fencing_number"]} is {order["state"]} '
        f'{order["detail"]}'.rstrip(),
    )
    if order['state'] == 'pending':
        return exit_codes.EXIT_UNCERTAIN
    return (
        exit_codes.EXIT_OK
        if order['state'] == 'done'
        else exit_codes.EXIT_REFUSED
    )


def vm_list(connection, arguments, printer):
    """List the VMs."""
    printer.rows(
        porcelain.vm_list(connection),
        (
            'vm_id',
            'data_centre',
            'operator_address',
            'registered',
            'alive',
            'version',
            'replica',
        ),
    )
    return exit_codes.EXIT_OK


def vm_found(connection, arguments, printer):
    """Found the fleet."""
    info = porcelain.vm_found(connection)
    printer.result(info, f'fleet {info["fleet_id"]} is founded')
    return exit_codes.EXIT_OK


def vm_replace(connection, arguments, printer):
    """Put a VM in the place of one that is lost."""
    info = porcelain.vm_replace(
        connection, arguments.old, arguments.new, arguments.timeout
    )
    printer.result(info, f'{arguments.new} votes in place of {arguments.old}')
    return exit_codes.EXIT_OK


def vm_forget(connection, arguments, printer):
    """Forget a VM that will not return."""
    change = porcelain.vm_forget(connection, arguments.vm, printer.progress)
    return _print_change(printer, change, f'{arguments.vm} is forgotten')


def status(connection, arguments, printer):
    """Print how the fleet stands."""
    info = porcelain.status(connection)
    if arguments.json:
        printer.result(info, '')
        return exit_codes.EXIT_OK
    rows = [
        {'name': name, 'value': info[name]}
        for name in (
            'vm_id',
            'fleet_id',
            'version',
            'ready',
            'requests_in_flight',
            'link_bytes_sent',
            'link_bytes_received',
            'role',
            'term',
            'claims',
            'voters',
            'learners',
        )
    ]
    printer.rows(rows, ('name', 'value'))
    printer.rows(
        info['documents'],
        ('environment', 'version', 'digest', 'operator', 'promoted_from'),
    )
    return vm_list(connection, arguments, printer)


def _print_change(printer, change, text):
    if change.behind:
        text += f'; not yet on {", ".join(change.behind)}'
    printer.result(dataclasses.asdict(change), text)
    return (
        exit_codes.EXIT_NOT_EVERYWHERE if change.behind else exit_codes.EXIT_OK
    )
