"""Command-line parser, which runs the function of the given verb."""

import argparse
import os
import sys

from carobwood import errors

from . import connection as connections
from . import exit_codes
from . import explain
from . import printer as printers
from . import verbs


_CONFLICT_CODES = ('version_conflict', 'digest_mismatch', 'already_founded')
_EPILOG = """\
exit codes: 0 done, 1 refused, 2 invalid arguments, 3 conflict with another
change, 4 the change may or may not be committed, 5 committed but not yet on
every live VM, 6 no VM could be reached.
environment: CAROBWOOD_OPERATORS, CAROBWOOD_OPERATOR_TOKEN,
CAROBWOOD_OPERATOR_TOKEN_FILE, CAROBWOOD_CA_FILE.
"""


def run(argv, output=sys.stdout, error_output=sys.stderr):
    """Run one command and print its result.

    Args:
        argv: arguments without the name of the program.
        output: text stream for results.
        error_output: text stream for errors and progress.

    Returns:
        The exit code.
    """
    parser = make_parser()
    arguments = parser.parse_args(argv)
    printer = printers.Printer(arguments.json, output, error_output)
    try:
        connection = arguments.connect(arguments)
        return arguments.function(connection, arguments, printer)
    except errors.ClientUsage as error:
        printer.print_error(error)
        return exit_codes.EXIT_USAGE
    except connections.Unreachable as error:
        printer.print_error(error)
        return exit_codes.EXIT_UNREACHABLE
    except connections.ErrorResponse as error:
        printer.print_error(error)
        if error.code in _CONFLICT_CODES:
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
        help="IP:PORT of the VMs' listeners for operators, comma-separated",
    )
    parser.add_argument(
        '--token-file',
        default=os.environ.get('CAROBWOOD_OPERATOR_TOKEN_FILE', ''),
        help="file with the operator's token, alone or as NAME:TOKEN",
    )
    parser.add_argument(
        '--ca-file',
        default=os.environ.get('CAROBWOOD_CA_FILE', ''),
        help="PEM file of the CA of the listeners' certificates; enables TLS",
    )
    nouns = parser.add_subparsers(dest='noun', required=True)
    _add_document_verbs(nouns)
    _add_customer_and_key_verbs(nouns)
    _add_endpoint_verbs(nouns)
    _add_order_verbs(nouns)
    _add_vm_verbs(nouns)
    _add_explain(nouns)
    _add_verb(
        nouns, 'status', verbs.status, 'show the fleet as one VM sees it'
    )
    return parser


def _connect(arguments):
    token = os.environ.get('CAROBWOOD_OPERATOR_TOKEN', '')
    if arguments.token_file:
        token = verbs.read_text(arguments.token_file).strip()
        # The file may also be a daemon's token file, of which the first
        # line is used; its lines have the form NAME:TOKEN.
        token = token.splitlines()[0].rpartition(':')[2] if token else ''
    if not token:
        raise errors.ClientUsage(
            'no token given; set --token-file or CAROBWOOD_OPERATOR_TOKEN'
        )
    operators = [
        address for address in arguments.operators.split(',') if address
    ]
    return connections.Connection(operators, token, arguments.ca_file)


def _add_verb(parsers, name, function, help_text):
    parser = parsers.add_parser(name, help=help_text, description=help_text)
    parser.add_argument(
        '--json', action='store_true', help='print JSON, not a table'
    )
    parser.set_defaults(function=function, connect=_connect)
    return parser


def _add_noun(nouns, name, help_text):
    parser = nouns.add_parser(name, help=help_text, description=help_text)
    return parser.add_subparsers(dest='verb', required=True)


def _add_environment(parser, default='production'):
    parser.add_argument(
        '--environment', default=default, help='name of the environment'
    )


def _add_expected_version(parser):
    parser.add_argument(
        '--expect-version',
        type=int,
        help='version that the change is based on, refused if another one '
        'is in force; default: the version in force now',
    )


def _add_document_verbs(nouns):
    parsers = _add_noun(nouns, 'document', 'documents of the environments')
    verbs_with_file = (
        (
            'check',
            verbs.document_check,
            'check a document and list its faults',
        ),
        ('diff', verbs.document_diff, 'compare with the document in force'),
        ('apply', verbs.document_apply, 'put a document in force on all VMs'),
    )
    for name, function, help_text in verbs_with_file:
        parser = _add_verb(parsers, name, function, help_text)
        parser.add_argument('file', help='YAML file of the document')
        _add_environment(parser)
        if name == 'apply':
            _add_expected_version(parser)
            parser.add_argument(
                '--operation-id',
                help='id of an earlier attempt, so that it is not applied '
                'twice',
            )
    parser = _add_verb(
        parsers,
        'promote',
        verbs.document_promote,
        'put the document of one environment in force in another',
    )
    parser.add_argument(
        '--source',
        default='trial',
        help='environment in which the document was tested',
    )
    parser.add_argument(
        '--target',
        default='production',
        help='environment to promote the document to',
    )
    parser.add_argument(
        '--digest',
        help='digest of the tested document; default: the digest of the '
        'document in force in the source',
    )
    _add_expected_version(parser)
    for name, function, help_text in (
        ('show', verbs.document_show, 'print the document in force'),
        ('history', verbs.document_history, 'list the versions of a document'),
    ):
        _add_environment(_add_verb(parsers, name, function, help_text))


def _add_customer_and_key_verbs(nouns):
    parsers = _add_noun(nouns, 'customer', 'customers of a document')
    parser = _add_verb(parsers, 'list', verbs.customer_list, 'list customers')
    _add_environment(parser)
    parsers = _add_noun(nouns, 'key', "callers' keys")
    parser = _add_verb(
        parsers, 'issue', verbs.key_issue, 'issue a key and show it once'
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
    for name, drained, help_text in (
        ('drain', True, 'send an endpoint no new requests'),
        ('undrain', False, 'send an endpoint new requests again'),
    ):
        parser = _add_verb(parsers, name, verbs.endpoint_drain, help_text)
        parser.add_argument('endpoint', help='id of the endpoint')
        parser.set_defaults(drained=drained)


def _add_order_verbs(nouns):
    parsers = _add_noun(nouns, 'order', 'orders to engines')
    _add_verb(parsers, 'list', verbs.order_list, 'list recent orders')
    parser = _add_verb(
        parsers,
        'place',
        verbs.order_place,
        'order an engine to change its weights, adapter or role',
    )
    parser.add_argument('endpoint', help='id of the engine')
    parser.add_argument(
        'kind', choices=('load-weights', 'load-adapter', 'set-role')
    )
    parser.add_argument(
        'argument', help='version of the weights, name of the adapter or role'
    )


def _add_vm_verbs(nouns):
    parsers = _add_noun(nouns, 'vm', 'VMs of the fleet')
    _add_verb(parsers, 'list', verbs.vm_list, 'list VMs')
    _add_verb(
        parsers,
        'found',
        verbs.vm_found,
        'found a fleet on the first VM of --operators',
    )
    parser = _add_verb(
        parsers, 'replace', verbs.vm_replace, 'replace a voter by another VM'
    )
    parser.add_argument('old', help='id of the voter to remove')
    parser.add_argument('new', help='id of the VM that becomes a voter')
    parser.add_argument(
        '--timeout', type=float, default=30.0, help='seconds to wait'
    )
    parser = _add_verb(
        parsers, 'forget', verbs.vm_forget, 'remove a VM that will not return'
    )
    parser.add_argument('vm', help='id of the VM')


def _add_explain(nouns):
    parser = _add_verb(
        nouns,
        'explain',
        explain.explain,
        'explain where a VM of the relay would send a request now, and why; '
        'nothing is sent or counted',
    )
    parser.set_defaults(connect=explain.connect)
    parser.add_argument(
        '--vm', required=True, help="IP:PORT of the entry VM's metrics"
    )
    parser.add_argument(
        '--secret-file', required=True, help="file with the fleet's secret"
    )
    parser.add_argument('host', help='host of the request')
    parser.add_argument('path', help='path of the request')
    sender = parser.add_mutually_exclusive_group()
    sender.add_argument('--key-file', help="file with the caller's key")
    sender.add_argument('--customer', default='', help='name of the customer')
    parser.add_argument('--model', default='', help='requested model')
    parser.add_argument(
        '--part',
        action='append',
        default=[],
        metavar='ID:TOKENS',
        help='a part of the prompt, in order; the last one is not shared',
    )
    parser.add_argument(
        '--prompt-tokens', type=int, help='length of the whole prompt'
    )
    parser.add_argument(
        '--output-tokens', type=int, default=0, help='most tokens of output'
    )
