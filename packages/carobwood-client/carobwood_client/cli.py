"""The command line: parses arguments and prints results."""

import argparse
import dataclasses
import os
import pathlib
import sys

from carobwood import errors

from . import connection as connections
from . import porcelain
from . import printer as printers

EXIT_OK = 0
EXIT_REFUSED = 1
EXIT_USAGE = 2
EXIT_CONFLICT = 3
EXIT_UNCERTAIN = 4
EXIT_NOT_EVERYWHERE = 5
EXIT_UNREACHABLE = 6

_CONFLICTS = ('version_conflict', 'digest_mismatch', 'already_founded')
_ORDER_COLUMNS = (
    'fencing_number',
    'endpoint_id',
    'kind',
    'argument',
    'operator',
    'state',
    'detail',
)
_EPILOG = """\
exit codes: 0 done, 1 refused, 2 wrong usage, 3 another change came first,
4 the change may or may not be committed, 5 committed but not yet on every
live VM, 6 no VM could be reached.
environment: CAROBWOOD_OPERATORS, CAROBWOOD_OPERATOR_TOKEN,
CAROBWOOD_OPERATOR_TOKEN_FILE, CAROBWOOD_CA_FILE.
"""


def run(argv, output=sys.stdout, errors_output=sys.stderr):
    """Run one command.

    Returns:
        The exit code.
    """
    parser = make_parser()
    arguments = parser.parse_args(argv)
    printer = printers.Printer(arguments.json, output, errors_output)
    try:
        connection = _connect(arguments)
        return arguments.function(connection, arguments, printer)
    except errors.ClientUsage as error:
        printer.fail(error)
        return EXIT_USAGE
    except connections.Unreachable as error:
        printer.fail(error)
        return EXIT_UNREACHABLE
    except connections.Refused as error:
        printer.fail(error)
        if error.code in _CONFLICTS:
            return EXIT_CONFLICT
        if error.code == 'change_uncertain':
            return EXIT_UNCERTAIN
        return EXIT_REFUSED


def make_parser():
    """Return the parser of the whole command line."""
    parser = argparse.ArgumentParser(
        prog='carobwood',
        description='Operates a fleet of carobwood VMs.',
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        '--operators',
        default=os.environ.get('CAROBWOOD_OPERATORS', '127.0.0.1:8081'),
        help="IP:PORT of operators' listeners, separated by commas",
    )
    parser.add_argument(
        '--token-file',
        default=os.environ.get('CAROBWOOD_OPERATOR_TOKEN_FILE', ''),
        help="file with the operator's token",
    )
    parser.add_argument(
        '--ca-file',
        default=os.environ.get('CAROBWOOD_CA_FILE', ''),
        help="PEM file of the listeners' authority; turns TLS on",
    )
    nouns = parser.add_subparsers(dest='noun', required=True)
    _add_document_verbs(nouns)
    _add_customer_and_key_verbs(nouns)
    _add_endpoint_verbs(nouns)
    _add_order_verbs(nouns)
    _add_vm_verbs(nouns)
    _add_verb(nouns, 'status', _status, "show a VM's view of the fleet")
    return parser


def _connect(arguments):
    token = os.environ.get('CAROBWOOD_OPERATOR_TOKEN', '')
    if arguments.token_file:
        token = _read(arguments.token_file).strip()
        # A daemon's token file serves too: NAME:TOKEN.
        token = token.splitlines()[0].rpartition(':')[2] if token else ''
    if not token:
        raise errors.ClientUsage('give --token-file or its variable')
    operators = [o for o in arguments.operators.split(',') if o]
    return connections.Connection(operators, token, arguments.ca_file)


def _read(path):
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise errors.ClientUsage(f'{path}: {error}') from error


def _add_verb(parsers, name, function, text):
    parser = parsers.add_parser(name, help=text, description=text)
    parser.add_argument(
        '--json', action='store_true', help='print JSON, not a table'
    )
    parser.set_defaults(function=function)
    return parser


def _add_noun(nouns, name, text):
    parser = nouns.add_parser(name, help=text, description=text)
    return parser.add_subparsers(dest='verb', required=True)


def _add_environment(parser, default='production'):
    parser.add_argument(
        '--environment', default=default, help='name of the environment'
    )


def _add_expected(parser):
    parser.add_argument(
        '--expect-version',
        type=int,
        help='version that the change builds on; the one in force now if '
        'not given',
    )


def _add_document_verbs(nouns):
    verbs = _add_noun(nouns, 'document', 'documents of the environments')
    texts = (
        ('check', _document_check, 'check a document; list every fault'),
        ('diff', _document_diff, 'compare with the document in force'),
        ('apply', _document_apply, 'put a document in force everywhere'),
    )
    for name, function, text in texts:
        parser = _add_verb(verbs, name, function, text)
        parser.add_argument('file', help='YAML file of the document')
        _add_environment(parser)
        if name == 'apply':
            _add_expected(parser)
            parser.add_argument(
                '--operation-id', help='id of an earlier try to resend'
            )
    parser = _add_verb(
        verbs, 'promote', _document_promote, 'promote a tried document'
    )
    parser.add_argument('--source', default='trial', help='where it is tried')
    parser.add_argument('--target', default='production', help='where to')
    parser.add_argument('--digest', help='digest that was tried')
    _add_expected(parser)
    for name, function, text in (
        ('show', _document_show, 'print the document in force'),
        ('history', _document_history, 'list the versions of a document'),
    ):
        _add_environment(_add_verb(verbs, name, function, text))


def _add_customer_and_key_verbs(nouns):
    verbs = _add_noun(nouns, 'customer', 'customers of a document')
    parser = _add_verb(verbs, 'list', _customer_list, 'list customers')
    _add_environment(parser)
    verbs = _add_noun(nouns, 'key', "callers' keys")
    parser = _add_verb(verbs, 'issue', _key_issue, 'issue a key, shown once')
    parser.add_argument('customer', help='id of the customer')
    _add_environment(parser)
    parser = _add_verb(verbs, 'withdraw', _key_withdraw, 'withdraw a key')
    parser.add_argument('key', help='id of the key, or its SHA-256 digest')
    _add_environment(_add_verb(verbs, 'list', _key_list, 'list keys'))


def _add_endpoint_verbs(nouns):
    verbs = _add_noun(nouns, 'endpoint', 'endpoints that serve requests')
    _add_verb(verbs, 'list', _endpoint_list, 'list endpoints')
    for name, drained, text in (
        ('drain', True, 'keep new work from an endpoint'),
        ('undrain', False, 'give an endpoint new work again'),
    ):
        parser = _add_verb(verbs, name, _endpoint_drain, text)
        parser.add_argument('endpoint', help='id of the endpoint')
        parser.set_defaults(drained=drained)


def _add_order_verbs(nouns):
    verbs = _add_noun(nouns, 'order', 'orders to engines')
    _add_verb(verbs, 'list', _order_list, 'list recent orders')
    parser = _add_verb(
        verbs, 'place', _order_place, 'order an engine to change'
    )
    parser.add_argument('endpoint', help='id of the engine')
    parser.add_argument(
        'kind', choices=('load-weights', 'load-adapter', 'set-role')
    )
    parser.add_argument('argument', help='version, adapter or role')


def _add_vm_verbs(nouns):
    verbs = _add_noun(nouns, 'vm', 'VMs of the fleet')
    _add_verb(verbs, 'list', _vm_list, 'list VMs')
    _add_verb(verbs, 'found', _vm_found, 'found a fleet on the first VM')
    parser = _add_verb(
        verbs, 'replace', _vm_replace, 'replace a voter by another VM'
    )
    parser.add_argument('old', help='id of the VM that is lost')
    parser.add_argument('new', help='id of the VM that takes its place')
    parser.add_argument(
        '--timeout', type=float, default=30.0, help='seconds to wait'
    )
    parser = _add_verb(verbs, 'forget', _vm_forget, 'drop a VM for good')
    parser.add_argument('vm', help='id of the VM')


def _document_check(connection, arguments, printer):
    text = _read(arguments.file)
    info = porcelain.document_check(connection, arguments.environment, text)
    printer.result(info, f'good, digest {info["digest"][:16]}')
    return EXIT_OK


def _document_diff(connection, arguments, printer):
    text = _read(arguments.file)
    lines = porcelain.document_diff(connection, arguments.environment, text)
    printer.result(lines, '\n'.join(lines))
    return EXIT_OK


def _document_apply(connection, arguments, printer):
    change = porcelain.document_apply(
        connection,
        arguments.environment,
        _read(arguments.file),
        arguments.expect_version,
        arguments.operation_id,
        printer.progress,
    )
    return _print_change(
        printer,
        change,
        f'{arguments.environment} is at version {change.document_version}',
    )


def _document_promote(connection, arguments, printer):
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


def _document_show(connection, arguments, printer):
    info = porcelain.document_show(connection, arguments.environment)
    printer.result(info, info['text'].rstrip('\n'))
    return EXIT_OK


def _document_history(connection, arguments, printer):
    rows = porcelain.document_history(connection, arguments.environment)
    printer.rows(rows, ('version', 'digest', 'operator', 'promoted_from'))
    return EXIT_OK


def _customer_list(connection, arguments, printer):
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
    return EXIT_OK


def _key_issue(connection, arguments, printer):
    key = porcelain.key_issue(
        connection,
        arguments.environment,
        arguments.customer,
        printer.progress,
    )
    text = f'key id  {key.key_id}\nsecret  {key.secret}'
    printer.result(dataclasses.asdict(key), text)
    return EXIT_NOT_EVERYWHERE if key.behind else EXIT_OK


def _key_withdraw(connection, arguments, printer):
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
    return EXIT_OK if withdrawn.is_everywhere else EXIT_NOT_EVERYWHERE


def _key_list(connection, arguments, printer):
    rows = porcelain.key_list(connection, arguments.environment)
    printer.rows(rows, ('key_id', 'environment', 'customer', 'withdrawn'))
    return EXIT_OK


def _endpoint_list(connection, arguments, printer):
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
    return EXIT_OK


def _endpoint_drain(connection, arguments, printer):
    change = porcelain.endpoint_drain(
        connection, arguments.endpoint, arguments.drained, printer.progress
    )
    state = 'drained' if arguments.drained else 'in use'
    return _print_change(printer, change, f'{arguments.endpoint} is {state}')


def _order_list(connection, arguments, printer):
    printer.rows(porcelain.order_list(connection), _ORDER_COLUMNS)
    return EXIT_OK


def _order_place(connection, arguments, printer):
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
        return EXIT_UNCERTAIN
    return EXIT_OK if order['state'] == 'done' else EXIT_REFUSED


def _vm_list(connection, arguments, printer):
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
    return EXIT_OK


def _vm_found(connection, arguments, printer):
    info = porcelain.vm_found(connection)
    printer.result(info, f'fleet {info["fleet_id"]} is founded')
    return EXIT_OK


def _vm_replace(connection, arguments, printer):
    info = porcelain.vm_replace(
        connection, arguments.old, arguments.new, arguments.timeout
    )
    printer.result(info, f'{arguments.new} votes in place of {arguments.old}')
    return EXIT_OK


def _vm_forget(connection, arguments, printer):
    change = porcelain.vm_forget(connection, arguments.vm, printer.progress)
    return _print_change(printer, change, f'{arguments.vm} is forgotten')


def _status(connection, arguments, printer):
    info = porcelain.status(connection)
    if arguments.json:
        printer.result(info, '')
        return EXIT_OK
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
    return _vm_list(connection, arguments, printer)


def _print_change(printer, change, text):
    if change.behind:
        text += f'; not yet on {", ".join(change.behind)}'
    printer.result(dataclasses.asdict(change), text)
    return EXIT_NOT_EVERYWHERE if change.behind else EXIT_OK
