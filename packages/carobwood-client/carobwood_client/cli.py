"""The command line: parses arguments and runs a verb."""

import argparse
import os
import sys

from carobwood import errors

from . import connection as connections
from . import exit_codes
from . import printer as printers
from . import verbs


_CONFLICTS = ('version_conflict', 'digest_mismatch', 'already_founded')
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
        return exit_codes.EXIT_USAGE
    except connections.Unreachable as error:
        printer.fail(error)
        return exit_codes.EXIT_UNREACHABLE
    except connections.Refused as error:
        printer.fail(error)
        if error.code in _CONFLICTS:
            return exit_codes.EXIT_CONFLICT
        if error.code == 'change_uncertain':
            return exit_codes.EXIT_UNCERTAIN
        return exit_codes.EXIT_REFUSED


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
    _add_verb(nouns, 'status', verbs.status, "show a VM's view of the fleet")
    return parser


def _connect(arguments):
    token = os.environ.get('CAROBWOOD_OPERATOR_TOKEN', '')
    if arguments.token_file:
        token = verbs.read_text(arguments.token_file).strip()
        # A daemon's token file serves too: NAME:TOKEN.
        token = token.splitlines()[0].rpartition(':')[2] if token else ''
    if not token:
        raise errors.ClientUsage('give --token-file or its variable')
    operators = [o for o in arguments.operators.split(',') if o]
    return connections.Connection(operators, token, arguments.ca_file)


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
    parsers = _add_noun(nouns, 'document', 'documents of the environments')
    texts = (
        ('check', verbs.document_check, 'check a document; list every fault'),
        ('diff', verbs.document_diff, 'compare with the document in force'),
        ('apply', verbs.document_apply, 'put a document in force everywhere'),
    )
    for name, function, text in texts:
        parser = _add_verb(parsers, name, function, text)
        parser.add_argument('file', help='YAML file of the document')
        _add_environment(parser)
        if name == 'apply':
            _add_expected(parser)
            parser.add_argument(
                '--operation-id', help='id of an earlier try to resend'
            )
    parser = _add_verb(
        parsers, 'promote', verbs.document_promote, 'promote a tried document'
    )
    parser.add_argument('--source', default='trial', help='where it is tried')
    parser.add_argument('--target', default='production', help='where to')
    parser.add_argument('--digest', help='digest that was tried')
    _add_expected(parser)
    for name, function, text in (
        ('show', verbs.document_show, 'print the document in force'),
        ('history', verbs.document_history, 'list the versions of a document'),
    ):
        _add_environment(_add_verb(parsers, name, function, text))


def _add_customer_and_key_verbs(nouns):
    parsers = _add_noun(nouns, 'customer', 'customers of a document')
    parser = _add_verb(parsers, 'list', verbs.customer_list, 'list customers')
    _add_environment(parser)
    parsers = _add_noun(nouns, 'key', "callers' keys")
    parser = _add_verb(
        parsers, 'issue', verbs.key_issue, 'issue a key, shown once'
    )
    parser.add_argument('customer', help='id of the customer')
    _add_environment(parser)
    parser = _add_verb(
        parsers, 'withdraw', verbs.key_withdraw, 'withdraw a key'
    )
    parser.add_argument('key', help='id of the key, or its SHA-256 digest')
    _add_environment(_add_verb(parsers, 'list', verbs.key_list, 'list keys'))


def _add_endpoint_verbs(nouns):
    parsers = _add_noun(nouns, 'endpoint', 'endpoints that serve requests')
    _add_verb(parsers, 'list', verbs.endpoint_list, 'list endpoints')
    for name, drained, text in (
        ('drain', True, 'keep new work from an endpoint'),
        ('undrain', False, 'give an endpoint new work again'),
    ):
        parser = _add_verb(parsers, name, verbs.endpoint_drain, text)
        parser.add_argument('endpoint', help='id of the endpoint')
        parser.set_defaults(drained=drained)


def _add_order_verbs(nouns):
    parsers = _add_noun(nouns, 'order', 'orders to engines')
    _add_verb(parsers, 'list', verbs.order_list, 'list recent orders')
    parser = _add_verb(
        parsers, 'place', verbs.order_place, 'order an engine to change'
    )
    parser.add_argument('endpoint', help='id of the engine')
    parser.add_argument(
        'kind', choices=('load-weights', 'load-adapter', 'set-role')
    )
    parser.add_argument('argument', help='version, adapter or role')


def _add_vm_verbs(nouns):
    parsers = _add_noun(nouns, 'vm', 'VMs of the fleet')
    _add_verb(parsers, 'list', verbs.vm_list, 'list VMs')
    _add_verb(
        parsers, 'found', verbs.vm_found, 'found a fleet on the first VM'
    )
    parser = _add_verb(
        parsers, 'replace', verbs.vm_replace, 'replace a voter by another VM'
    )
    parser.add_argument('old', help='id of the VM that is lost')
    parser.add_argument('new', help='id of the VM that takes its place')
    parser.add_argument(
        '--timeout', type=float, default=30.0, help='seconds to wait'
    )
    parser = _add_verb(
        parsers, 'forget', verbs.vm_forget, 'drop a VM for good'
    )
    parser.add_argument('vm', help='id of the VM')
