"""The flags of the daemon, each of which may be an environment variable."""

import argparse

from carobwood import errors

from .replication import applier
from .replication import membership_changes
from .replication import timing
from .routing import policies

# ``--vm-id`` can also be given as ``CAROBWOOD_VM_ID``, and so on.
ENVIRONMENT_PREFIX = 'CAROBWOOD_'
LOG_LEVELS = ('debug', 'info', 'warning', 'error')
TRACE_EXPORTS = ('none', 'file', 'otlp')


class _ArgumentParser(argparse.ArgumentParser):
    """An argument parser that raises ``SettingsInvalid``, not exits."""

    def error(self, message):
        raise errors.SettingsInvalid([message])


def build_parser(environ):
    """Return the parser of the command line.

    Args:
        environ: environment variables, which give the defaults.
    """
    parser = _ArgumentParser(
        prog='carobwoodd',
        description='Routes language-model traffic on one VM of a fleet.',
        epilog='Each flag can be given as an environment variable, such '
        'as CAROBWOOD_VM_ID for --vm-id. Flags override variables.',
        formatter_class=argparse.ArgumentDefaultsHelpFormatter,
    )

    def add(flag, default, text, **options):
        name = ENVIRONMENT_PREFIX + flag.upper().replace('-', '_')
        parser.add_argument(
            f'--{flag}',
            default=environ.get(name, default),
            help=text,
            **options,
        )

    _add_vm_flags(add)
    _add_security_flags(add)
    _add_operation_flags(add)
    parser.add_argument(
        '--allow-plain-text',
        action='store_true',
        default=environ.get('CAROBWOOD_ALLOW_PLAIN_TEXT') == '1',
        help='serve plain text on addresses other than loopback, behind '
        'a load balancer that terminates TLS',
    )
    return parser


def _add_vm_flags(add):
    add('vm-id', '', 'name of this VM, unique in the fleet')
    add('data-centre', '', 'data centre of this VM')
    add('environment', 'production', 'environment that this VM serves')
    add('caller-listen', '127.0.0.1:8080', 'IP:PORT to listen on for callers')
    add(
        'operator-listen',
        '127.0.0.1:8081',
        'IP:PORT to listen on for operators',
    )
    add('link-listen', '127.0.0.1:8082', 'IP:PORT to listen on for other VMs')
    add('operator-advertise', '', 'IP:PORT at which operators reach this VM')
    add('link-advertise', '', 'IP:PORT at which other VMs reach this VM')
    add('peers', '', "IP:PORT of other VMs' links, separated by commas")
    add('data-folder', '', 'folder for durable state; empty to store nothing')


def _add_security_flags(add):
    add('link-secret-file', '', 'file with the secret shared by all VMs')
    add(
        'operator-token-file',
        '',
        'file with a NAME:TOKEN line for each operator',
    )
    add(
        'announce-token-file',
        '',
        'file with the token that endpoints announce themselves with',
    )
    add(
        'tls-certificate',
        '',
        'PEM file with the certificate chain of the listeners',
    )
    add('tls-key', '', 'PEM file with the private key of the certificate')


def _add_operation_flags(add):
    defaults = timing.Timing()
    add(
        'choice',
        'expected-time',
        'policy that chooses an engine; all but the default are '
        'baselines for comparison',
        choices=tuple(policies.POLICIES_BY_NAME),
    )
    add('max-requests', 600, "callers' requests served at once")
    add('max-body-bytes', 16 * 1024 * 1024, 'largest body of a model request')
    add('memory-limit-mb', 256, 'memory that this VM may take')
    add('vm-slots', 8, "number of VMs that each customer's rate is divided by")
    add(
        'election-timeout',
        defaults.election_min,
        'seconds without a leader after which an election may start',
    )
    add(
        'snapshot-entries',
        applier.SNAPSHOT_ENTRIES,
        'log entries between two snapshots',
    )
    add(
        'target-voters',
        membership_changes.TARGET_VOTERS,
        'number of voters up to which learners are promoted',
    )
    add(
        'balancer-delay',
        1.0,
        'seconds at a stop from reporting not ready to refusing requests',
    )
    add(
        'drain-timeout',
        60.0,
        'seconds at a stop to wait for requests in flight',
    )
    add('statsd', '', 'IP:PORT of a statsd server; empty for no metrics')
    add(
        'trace-export',
        'none',
        'where to export traces to',
        choices=TRACE_EXPORTS,
    )
    add(
        'trace-target',
        '',
        'path of the trace file, or URL of the OTLP collector',
    )
    add('log-level', 'info', 'lowest level that is logged', choices=LOG_LEVELS)
