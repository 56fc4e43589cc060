"""Checked settings of a VM that relays or controls."""

import dataclasses

from carobwood import addresses
from carobwood import errors

from . import settings
from . import settings_flags
from .limits import buffer_budget
from .relay import load_features as features
from .relay import quota_tolerance


@dataclasses.dataclass(frozen=True)
class FleetLimits:
    """Limits that the operators require the fleet to keep.

    Attributes:
        shutdown_seconds: time in seconds for the graceful shutdown of a VM.
        weights_change_seconds: time in seconds within which all engines must
            have loaded a new version of the weights.
        order_lease_seconds: least time in seconds between orders to engines by
            two different VMs.
        retry_ratio: retries that are allowed per request.
        retry_slack: retries that are allowed in addition, per window.
        retry_window_seconds: length in seconds of the sliding window over
            which retries are counted.
        quota_tolerance: by how much a customer's limit may be exceeded.
    """

    shutdown_seconds: float
    weights_change_seconds: float
    order_lease_seconds: float
    retry_ratio: float
    retry_slack: float
    retry_window_seconds: float
    quota_tolerance: quota_tolerance.QuotaTolerance


@dataclasses.dataclass(frozen=True)
class RolloutLimits:
    """Limits that the operators require of rollouts of software versions.

    Attributes:
        exposure_share: share of a service's requests that a version may get
            which turns out to be bad.
        exposure_slack: requests that it may get in addition.
        rollback_seconds: time in seconds after which it gets none, once the
            evidence against it suffices.
    """

    exposure_share: float
    exposure_slack: float
    rollback_seconds: float


@dataclasses.dataclass(frozen=True)
class TraceSettings:
    """Export of the requests' trace spans.

    Attributes:
        export: ``none``, ``file`` or ``otlp``.
        target: path of the file, or URL of the OTLP collector.
    """

    export: str = 'none'
    target: str = ''


def read_trace_settings(environ):
    """Read the ``TraceSettings`` from environment variables.

    Args:
        environ: values of the environment variables by name; see
            docs/configuration.md.

    Raises:
        SettingsInvalid: the export is unknown, or its target is missing.
    """
    prefix = settings_flags.ENVIRONMENT_PREFIX
    trace = TraceSettings(
        environ.get(f'{prefix}TRACE_EXPORT', 'none'),
        environ.get(f'{prefix}TRACE_TARGET', ''),
    )
    if trace.export not in settings_flags.TRACE_EXPORTS:
        fault = f'{prefix}TRACE_EXPORT {trace.export!r}: unknown'
        raise errors.SettingsInvalid([fault])
    if trace.export != 'none' and not trace.target:
        raise errors.SettingsInvalid([f'{prefix}TRACE_TARGET: is required'])
    return trace


@dataclasses.dataclass(frozen=True)
class RelaySettings:
    """Checked settings of a VM that relays or controls.

    Attributes:
        vm_id: id of this VM.
        data_centre: data centre of this VM.
        link_listen: listen address for other VMs.
        seeds: link addresses of the VMs to contact first.
        is_first_start: whether a new fleet is founded with this start.
        data_folder: path of the folder for durable state, or empty.
        caller_listen: listen address for callers, or None.
        forward_listen: listen address for requests that other VMs forward,
            or None.
        ready_listen: listen address for the load balancer's readiness
            checks, or None.
        control_listen: listen address for operators and endpoints, or
            None.
        metrics_listen: listen address for metrics, or None.
        link_secret: secret that all VMs share, which authenticates links.
        balancer_delay_seconds: time in seconds that the load balancer needs to
            notice that this VM is no longer ready.
        replica_options: options of the replica of the replicated state.
        fleet_limits: limits that the fleet must keep.
        trace: export of the requests' trace spans.
        memory_limit_bytes: memory that this VM may use.
        rollout_limits: limits of rollouts, or None if there are none here.
        load_features: the ``LoadFeatures``.
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
    balancer_delay_seconds: float
    replica_options: settings.ReplicaOptions
    fleet_limits: FleetLimits
    trace: TraceSettings = TraceSettings()
    forward_listen: addresses.Address | None = None
    memory_limit_bytes: int = buffer_budget.DEFAULT_MEMORY_LIMIT_BYTES
    rollout_limits: RolloutLimits | None = None
    load_features: features.LoadFeatures = features.LoadFeatures()
