"""Checked settings of a VM that relays or controls."""

import dataclasses

from carobwood import addresses
from carobwood import errors

from . import settings
from .relay import quota


@dataclasses.dataclass(frozen=True)
class Bounds:
    """What the fleet promises; seconds and units.

    Attributes:
        stop_seconds: time for a stop.
        weights_seconds: time to change weights.
        lease_seconds: time between orders of two holders.
        retry_ratio: repeats for each request.
        retry_slack: repeats besides.
        retry_seconds: window that repeats are counted over.
        quota_tolerance: by how much a customer's limit may be exceeded.
    """

    stop_seconds: float
    weights_seconds: float
    lease_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_seconds: float
    quota_tolerance: quota.Tolerance


@dataclasses.dataclass(frozen=True)
class TraceSettings:
    """Where the spans of requests go.

    Attributes:
        export: ``none``, ``file`` or ``otlp``.
        target: path of the file, or URL of the collector.
    """

    export: str = 'none'
    target: str = ''


def read_trace_settings(environ):
    """Return the ``TraceSettings`` of the environment's variables.

    Args:
        environ: values by name; see docs/configuration.md.

    Raises:
        SettingsInvalid: an unknown way to export, or no target for it.
    """
    prefix = settings.ENVIRONMENT_PREFIX
    read = TraceSettings(
        environ.get(f'{prefix}TRACE_EXPORT', 'none'),
        environ.get(f'{prefix}TRACE_TARGET', ''),
    )
    if read.export not in settings.TRACE_EXPORTS:
        fault = f'{prefix}TRACE_EXPORT {read.export!r}: unknown'
        raise errors.SettingsInvalid([fault])
    if read.export != 'none' and not read.target:
        raise errors.SettingsInvalid([f'{prefix}TRACE_TARGET: is required'])
    return read


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Checked settings of a VM that relays or controls.

    Attributes:
        vm_id: name of this VM.
        data_centre: data centre of this VM.
        link_listen: address for other VMs.
        seeds: link addresses of VMs to ask first.
        is_first_start: whether the fleet is founded by this start.
        data_folder: folder for durable state, or empty.
        caller_listen: address for callers, or None.
        ready_listen: address for the balancer's question, or None.
        control_listen: address for operators and endpoints, or None.
        metrics_listen: address for metrics, or None.
        link_secret: secret shared by all VMs.
        balancer_seconds: time that the balancer needs to see that this
            VM is no longer ready.
        replica_options: how a replica runs.
        bounds: what the fleet promises.
        trace: where the spans of requests go.
    """

    vm_id: str
    data_centre: str
    link_listen: addresses.Address
    seeds: tuple[str, ...]
    is_first_start: bool
    data_folder: str
    caller_listen: addresses.Address | None
    ready_listen: addresses.Address | None
    control_listen: addresses.Address | None
    metrics_listen: addresses.Address | None
    link_secret: bytes = dataclasses.field(repr=False)
    balancer_seconds: float
    replica_options: settings.ReplicaOptions
    bounds: Bounds
    trace: TraceSettings = TraceSettings()
