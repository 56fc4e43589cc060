"""Settings of the daemon, from flags and environment variables."""

import dataclasses
import os
import pathlib

from carobwood import addresses
from carobwood import errors

from . import settings_flags
from .replication import timing

MIN_SECRET_BYTES = 16
MEGABYTE = 1024 * 1024


@dataclasses.dataclass(frozen=True)
class TlsFiles:
    """Paths of PEM files for TLS.

    Attributes:
        certificate: path of the certificate chain.
        key: path of the private key.
    """

    certificate: str
    key: str


@dataclasses.dataclass(frozen=True)
class ReplicaOptions:
    """Options of the local replica of the Raft log.

    Attributes:
        timing: periods of the Raft protocol.
        snapshot_entries: log entries between two snapshots.
        target_voters: learners are promoted until there are this many
            voters.
        replace_after: seconds without an answer after which a learner
            replaces a voter; 0 leaves replacement to operators.
    """

    timing: timing.Timing
    snapshot_entries: int
    target_voters: int
    replace_after: float = 0.0

    @property
    def tolerated_losses(self):
        """Voters that may be lost while a majority remains."""
        return (self.target_voters - 1) // 2


@dataclasses.dataclass(frozen=True)
class Settings:
    """Checked settings of a daemon.

    Attributes:
        vm_id: name of this VM, unique in the fleet.
        data_centre: data centre of this VM.
        environment: environment that this VM serves.
        caller_listen: address of the callers' listener.
        operator_listen: address of the operators' listener.
        link_listen: address that other VMs connect to.
        operator_advertise: ``IP:PORT`` at which operators reach this VM.
        link_advertise: ``IP:PORT`` at which other VMs reach this VM.
        peers: link addresses of other VMs to contact first.
        data_folder: folder for durable state; empty if nothing is stored.
        link_secret: secret shared by all VMs of the fleet.
        operator_tokens: (operator name, token) pairs.
        announce_token: token that endpoints announce themselves with.
        tls: files of the listeners' certificate; None for plain text.
        choice: name of the policy that chooses an engine.
        max_requests: limit of callers' requests served at once.
        max_body_bytes: largest body of a model request.
        memory_limit_bytes: memory that this VM may take.
        vm_slots: number of VMs that each customer's rate is divided by.
        replica_options: options of the local replica.
        balancer_delay: seconds at a stop between reporting not ready and
            refusing requests.
        drain_timeout: seconds at a stop to wait for requests in flight.
        statsd: address of a statsd server, or None.
        trace_export: ``none``, ``file`` or ``otlp``.
        trace_target: path of the trace file, or URL of the collector.
        log_level: lowest level that is logged.
    """

    vm_id: str
    data_centre: str
    environment: str
    caller_listen: addresses.Address
    operator_listen: addresses.Address
    link_listen: addresses.Address
    operator_advertise: str
    link_advertise: str
    peers: tuple[str, ...]
    data_folder: str
    link_secret: bytes = dataclasses.field(repr=False)
    operator_tokens: tuple[tuple[str, str], ...] = dataclasses.field(
        repr=False
    )
    announce_token: str = dataclasses.field(repr=False)
    tls: TlsFiles | None
    choice: str
    max_requests: int
    max_body_bytes: int
    memory_limit_bytes: int
    vm_slots: int
    replica_options: ReplicaOptions
    balancer_delay: float
    drain_timeout: float
    statsd: addresses.Address | None
    trace_export: str
    trace_target: str
    log_level: str


def parse(argv, environ=None):
    """Parse and check the settings.

    Args:
        argv: command line without the program's name.
        environ: environment variables; ``os.environ`` by default.

    Raises:
        SettingsInvalid: lists a fault for each invalid value.
    """
    environ = os.environ if environ is None else environ
    arguments = settings_flags.build_parser(environ).parse_args(argv)
    checker = _SettingsChecker()
    settings = _build_settings(arguments, checker)
    if checker.faults:
        raise errors.SettingsInvalid(checker.faults)
    return settings


class _SettingsChecker:
    """Converts values and collects a fault for each invalid one.

    Attributes:
        faults: descriptions of invalid values, with flag and value.
    """

    def __init__(self):
        self.faults = []

    def convert(self, flag, value, converter):
        """Return ``converter(value)``, or add a fault and return None."""
        try:
            return converter(value)
        except (ValueError, OSError) as error:
            self.faults.append(f'--{flag} {value!r}: {error}')
            return None

    def parse_number(self, flag, value, number_type, minimum, maximum):
        """Return the value as a number; add a fault if it is invalid.

        Args:
            flag: name of the flag, for the fault.
            value: text or number.
            number_type: ``int`` or ``float``.
            minimum: lowest valid number.
            maximum: highest valid number.

        Returns:
            The number, or None if the value is not a number.
        """
        number = self.convert(flag, value, number_type)
        if number is not None and not minimum <= number <= maximum:
            self.faults.append(
                f'--{flag} {value!r}: must be between {minimum} and {maximum}'
            )
        return number

    def require(self, flag, value):
        """Return the value; add a fault if it is empty."""
        if not value:
            self.faults.append(f'--{flag}: is required')
        return value


def _build_settings(arguments, checker):
    def parse_address(flag):
        value = getattr(arguments, flag.replace('-', '_'))
        return checker.convert(flag, value, addresses.parse_address)

    listen_addresses = {
        flag: parse_address(flag)
        for flag in ('caller-listen', 'operator-listen', 'link-listen')
    }
    _require_tls(arguments, checker, listen_addresses)
    return Settings(
        vm_id=checker.require('vm-id', arguments.vm_id),
        data_centre=checker.require('data-centre', arguments.data_centre),
        environment=checker.require('environment', arguments.environment),
        caller_listen=listen_addresses['caller-listen'],
        operator_listen=listen_addresses['operator-listen'],
        link_listen=listen_addresses['link-listen'],
        operator_advertise=_advertised_address(
            checker, arguments, 'operator', listen_addresses['operator-listen']
        ),
        link_advertise=_advertised_address(
            checker, arguments, 'link', listen_addresses['link-listen']
        ),
        peers=_parse_peers(checker, arguments.peers),
        data_folder=arguments.data_folder,
        link_secret=_read_secret(
            checker, 'link-secret-file', arguments.link_secret_file
        ).encode('utf-8'),
        operator_tokens=_read_operator_tokens(checker, arguments),
        announce_token=_read_secret(
            checker, 'announce-token-file', arguments.announce_token_file
        ),
        tls=_build_tls_files(checker, arguments),
        choice=arguments.choice,
        max_requests=checker.parse_number(
            'max-requests', arguments.max_requests, int, 1, 10000
        ),
        max_body_bytes=checker.parse_number(
            'max-body-bytes', arguments.max_body_bytes, int, 1024, 1 << 30
        ),
        memory_limit_bytes=MEGABYTE
        * checker.parse_number(
            'memory-limit-mb', arguments.memory_limit_mb, int, 64, 1 << 20
        ),
        vm_slots=checker.parse_number(
            'vm-slots', arguments.vm_slots, int, 1, 1000
        ),
        replica_options=_build_replica_options(checker, arguments),
        balancer_delay=checker.parse_number(
            'balancer-delay', arguments.balancer_delay, float, 0, 300
        ),
        drain_timeout=checker.parse_number(
            'drain-timeout', arguments.drain_timeout, float, 0, 3600
        ),
        statsd=parse_address('statsd') if arguments.statsd else None,
        trace_export=arguments.trace_export,
        trace_target=_require_trace_target(checker, arguments),
        log_level=arguments.log_level,
    )


def _require_tls(arguments, checker, listen_addresses):
    if arguments.tls_certificate or arguments.allow_plain_text:
        return
    for flag in ('caller-listen', 'operator-listen'):
        address = listen_addresses[flag]
        if address is not None and not address.is_loopback:
            checker.faults.append(
                f'--{flag} {address}: an address other than loopback '
                'requires --tls-certificate or --allow-plain-text'
            )


def _advertised_address(checker, arguments, name, listen_address):
    flag = f'{name}-advertise'
    value = getattr(arguments, flag.replace('-', '_'))
    if not value:
        return str(listen_address)
    return str(checker.convert(flag, value, addresses.parse_address))


def _parse_peers(checker, value):
    peers = []
    for text in filter(None, value.split(',')):
        address = checker.convert('peers', text, addresses.parse_address)
        peers.append(str(address))
    return tuple(peers)


def _read_secret(checker, flag, path):
    if not checker.require(flag, path):
        return ''
    text = checker.convert(flag, path, _read_text)
    if text is None:
        return ''
    text = text.strip()
    if len(text) < MIN_SECRET_BYTES:
        checker.faults.append(
            f'--{flag} {path!r}: must contain at least {MIN_SECRET_BYTES} '
            'bytes'
        )
    return text


def _read_text(path):
    return pathlib.Path(path).read_text(encoding='utf-8')


def _read_operator_tokens(checker, arguments):
    flag = 'operator-token-file'
    text = _read_secret(checker, flag, arguments.operator_token_file)
    tokens = []
    for line in text.splitlines():
        name, separator, token = line.strip().partition(':')
        if not separator or len(token) < MIN_SECRET_BYTES:
            checker.faults.append(
                f'--{flag} {arguments.operator_token_file!r}: each line must '
                f'be NAME:TOKEN with at least {MIN_SECRET_BYTES} bytes of '
                'token'
            )
            continue
        tokens.append((name, token))
    return tuple(tokens)


def _build_tls_files(checker, arguments):
    certificate, key = arguments.tls_certificate, arguments.tls_key
    if not certificate and not key:
        return None
    for flag, path in (('tls-certificate', certificate), ('tls-key', key)):
        if checker.require(flag, path):
            checker.convert(flag, path, _read_text)
    return TlsFiles(certificate, key)


def _build_replica_options(checker, arguments):
    election_timeout = checker.parse_number(
        'election-timeout', arguments.election_timeout, float, 0.2, 60
    )
    raft_timing = timing.Timing()
    if election_timeout is not None:
        raft_timing = timing.Timing(
            heartbeat=election_timeout / 8,
            election_min=election_timeout,
            election_max=2 * election_timeout,
        )
    return ReplicaOptions(
        raft_timing,
        checker.parse_number(
            'snapshot-entries',
            arguments.snapshot_entries,
            int,
            100,
            10_000_000,
        ),
        checker.parse_number(
            'target-voters', arguments.target_voters, int, 1, 9
        ),
    )


def _require_trace_target(checker, arguments):
    if arguments.trace_export != 'none':
        checker.require('trace-target', arguments.trace_target)
    return arguments.trace_target
