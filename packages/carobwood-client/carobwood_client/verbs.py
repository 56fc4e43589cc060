"""The verbs of the command line, each of which prints its result.

Each function takes the ``Connection``, the parsed arguments and the
``Printer``, and returns the exit code.
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
    """Return the text of a UTF-8 file.

    Raises:
        ClientUsage: the file cannot be read.
    """
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ClientUsage(f'{path}: {error}') from error


def document_check(connection, arguments, printer):
    """Check a document without putting it in force."""
    text = read_text(arguments.file)
    info = porcelain.document_check(connection, arguments.environment, text)
    printer.print_result(info, f'valid, digest {info["digest"][:16]}')
    return exit_codes.EXIT_OK


def document_diff(connection, arguments, printer):
    """Print how a document differs from the one in force."""
    text = read_text(arguments.file)
    lines = porcelain.document_diff(connection, arguments.environment, text)
    printer.print_result(lines, '\n'.join(lines))
    return exit_codes.EXIT_OK


def document_apply(connection, arguments, printer):
    """Put a document in force in its environment."""
    change = porcelain.document_apply(
        connection,
        arguments.environment,
        read_text(arguments.file),
        arguments.expect_version,
        arguments.operation_id,
        printer.print_progress,
    )
    return _print_change(
        printer,
        change,
        f'{arguments.environment} is at version {change.document_version}',
    )


def document_promote(connection, arguments, printer):
    """Put the document of one environment in force in another."""
    change = porcelain.document_promote(
        connection,
        arguments.source,
        arguments.target,
        arguments.digest,
        arguments.expect_version,
        printer.print_progress,
    )
    return _print_change(
        printer,
        change,
        f'{arguments.target} is at version {change.document_version}',
    )


def document_show(connection, arguments, printer):
    """Print the document in force."""
    info = porcelain.document_show(connection, arguments.environment)
    printer.print_result(info, info['text'].rstrip('\n'))
    return exit_codes.EXIT_OK


def document_history(connection, arguments, printer):
    """List the versions of an environment's document."""
    rows = porcelain.document_history(connection, arguments.environment)
    printer.print_rows(
        rows, ('version', 'digest', 'operator', 'promoted_from')
    )
    return exit_codes.EXIT_OK


def customer_list(connection, arguments, printer):
    """List the customers with their limits and number of keys."""
    rows = porcelain.customer_list(connection, arguments.environment)
    printer.print_rows(
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
        printer.print_progress,
    )
    text = f'key id  {key.key_id}\nsecret  {key.secret}'
    printer.print_result(dataclasses.asdict(key), text)
    return exit_codes.EXIT_NOT_EVERYWHERE if key.behind else exit_codes.EXIT_OK


def key_withdraw(connection, arguments, printer):
    """Withdraw a key on all VMs and list which VMs confirmed it."""
    withdrawal = porcelain.key_withdraw(connection, arguments.key)
    rows = [
        {
            'data_centre': data_centre,
            'confirmed': withdrawal.confirmed_by_data_centre[data_centre],
            'unconfirmed': unconfirmed,
        }
        for data_centre, unconfirmed in (
            withdrawal.unconfirmed_by_data_centre.items()
        )
    ]
    if arguments.json:
        printer.print_result(dataclasses.asdict(withdrawal), '')
    else:
        printer.print_rows(rows, ('data_centre', 'confirmed', 'unconfirmed'))
    return (
        exit_codes.EXIT_OK
        if withdrawal.is_confirmed_by_all
        else exit_codes.EXIT_NOT_EVERYWHERE
    )


def key_list(connection, arguments, printer):
    """List the keys of an environment by their ids."""
    rows = porcelain.key_list(connection, arguments.environment)
    printer.print_rows(
        rows, ('key_id', 'environment', 'customer', 'withdrawn')
    )
    return exit_codes.EXIT_OK


def endpoint_list(connection, arguments, printer):
    """List the endpoints."""
    printer.print_rows(
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
    """Stop or resume sending new requests to an endpoint."""
    change = porcelain.endpoint_drain(
        connection,
        arguments.endpoint,
        arguments.drained,
        printer.print_progress,
    )
    state = 'drained' if arguments.drained else 'in use'
    return _print_change(printer, change, f'{arguments.endpoint} is {state}')


def order_list(connection, arguments, printer):
    """List the recent orders to engines."""
    printer.print_rows(porcelain.order_list(connection), _ORDER_COLUMNS)
    return exit_codes.EXIT_OK


def order_place(connection, arguments, printer):
    """Order an engine to change its weights, adapter or role."""
    order = porcelain.order_place(
        connection,
        arguments.endpoint,
        arguments.kind,
        arguments.argument,
        printer.print_progress,
    )
    printer.print_result(
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
    printer.print_rows(
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
    """Found a fleet on the first VM of the connection."""
    info = porcelain.vm_found(connection)
    printer.print_result(info, f'founded the fleet {info["fleet_id"]}')
    return exit_codes.EXIT_OK


def vm_replace(connection, arguments, printer):
    """Replace a voter by another VM."""
    info = porcelain.vm_replace(
        connection, arguments.old, arguments.new, arguments.timeout
    )
    printer.print_result(info, f'replaced {arguments.old} by {arguments.new}')
    return exit_codes.EXIT_OK


def vm_forget(connection, arguments, printer):
    """Remove a VM that will not return."""
    change = porcelain.vm_forget(
        connection, arguments.vm, printer.print_progress
    )
    return _print_change(printer, change, f'{arguments.vm} is removed')


def status(connection, arguments, printer):
    """Print the status of a VM and the fleet as it sees it."""
    info = porcelain.status(connection)
    if arguments.json:
        printer.print_result(info, '')
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
    printer.print_rows(rows, ('name', 'value'))
    printer.print_rows(
        info['documents'],
        ('environment', 'version', 'digest', 'operator', 'promoted_from'),
    )
    return vm_list(connection, arguments, printer)


def _print_change(printer, change, text):
    if change.behind:
        text += f'; not yet in force on {", ".join(change.behind)}'
    printer.print_result(dataclasses.asdict(change), text)
    return (
        exit_codes.EXIT_NOT_EVERYWHERE if change.behind else exit_codes.EXIT_OK
    )
