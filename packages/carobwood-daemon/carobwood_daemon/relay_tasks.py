"""Periodic tasks of an entry VM or a control VM of the relay."""

import functools

from carobwood import errors
from carobwood import events

from .membership import endpoint_persister
from .membership import periodic_tasks
from .membership import prefix_cache_persister
from .orders import orders_lock
from .orders import weights_rollout
from .relay import endpoint_prober
from .relay import engine_cache_monitors
from .relay import usage_persister
from .rollouts import owner
from .rollouts import reporter


def make_persisters(folder, directory, shared):
    """Return the tasks that save what a control VM has to know at a start.

    Args:
        folder: the ``DataFolder``.
        directory: the ``Directory`` of VMs and endpoints.
        shared: the ``SharedComponents``.

    Returns:
        The persisters, that of the endpoints first.
    """
    return [
        endpoint_persister.EndpointPersister(folder, directory),
        prefix_cache_persister.PrefixCachePersister(
            folder, shared.prefix_cache_index
        ),
        usage_persister.UsagePersister(folder, shared.past_usage_table),
    ]


def make_silent_prober(directory, shared):
    """Return the ``SilentEndpointProber`` of an entry VM."""
    return periodic_tasks.SilentEndpointProber(
        directory,
        shared.prefix_cache_index.forget,
        functools.partial(_accepts_connection, shared),
    )


def make_entry_tasks(settings, directory, dialect, shared, calls):
    """Return the further tasks of an entry VM.

    Args:
        settings: the ``RelaySettings``.
        directory: the ``Directory`` of VMs and endpoints.
        dialect: the ``Dialect`` of the platform.
        shared: the ``SharedComponents``.
        calls: the ``VmCalls`` of the reports of rollouts.
    """
    tasks = [
        endpoint_prober.EndpointProber(
            shared.health,
            shared.reachability,
            shared.pool,
            shared.wait_queue.notify_all,
        ),
        engine_cache_monitors.EngineCacheMonitors(
            shared.configuration_store,
            directory,
            dialect,
            shared.prefix_cache_index,
        ),
    ]
    if settings.rollout_limits is not None:
        tasks.append(
            reporter.RolloutReporter(
                shared.rollouts,
                calls,
                lambda: len(directory.entry_vms()),
                shared.metrics,
                shared.wait_queue.notify_all,
            )
        )
    return tasks


def make_rollout(settings, dialect, replica_runner, directory, shared, push):
    """Return the ``WeightsRollout`` of a control VM.

    Args:
        settings: the ``RelaySettings``.
        dialect: the ``Dialect`` of the platform.
        replica_runner: the ``ReplicaRunner``.
        directory: the ``Directory`` of VMs and endpoints.
        shared: the ``SharedComponents``.
        push: function without arguments that starts gossip now.
    """
    lock = orders_lock.OrdersLock(
        replica_runner,
        shared.store,
        settings.vm_id,
        settings.fleet_limits.order_lease_seconds,
    )
    return weights_rollout.WeightsRollout(
        replica_runner,
        lock,
        shared.configuration_store,
        directory,
        shared.engine_weights,
        dialect,
        weights_rollout.RolloutOptions(settings.vm_id, push),
    )


def make_rollout_owner(settings, replica_runner, directory, shared):
    """Return the ``RolloutOwner`` of a control VM, or None.

    Args:
        settings: the ``RelaySettings``.
        replica_runner: the ``ReplicaRunner``, or None.
        directory: the ``Directory`` of VMs and endpoints.
        shared: the ``SharedComponents``.
    """
    if settings.rollout_limits is None or replica_runner is None:
        return None
    return owner.RolloutOwner(
        replica_runner,
        shared.store,
        directory,
        shared.configuration_store,
        shared.metrics,
        settings.rollout_limits,
    )


def make_control_tasks(
    settings, dialect, replica_runner, directory, shared, push, links
):
    """Return the further tasks of a control VM.

    Args:
        settings: the ``RelaySettings``.
        dialect: the ``Dialect`` of the platform.
        replica_runner: the ``ReplicaRunner``.
        directory: the ``Directory`` of VMs and endpoints.
        shared: the ``SharedComponents``.
        push: function without arguments that starts gossip now.
        links: connections to other VMs.
    """
    return [
        periodic_tasks.Joiner(replica_runner, directory, links),
        make_rollout(
            settings, dialect, replica_runner, directory, shared, push
        ),
    ]


def _accepts_connection(shared, endpoint):
    """Return whether a silent endpoint accepts a connection.

    A VM that reaches no endpoint, or has no descriptor left, cannot tell, and
    keeps it.
    """
    try:
        shared.pool.acquire(
            endpoint.address, False, endpoint_prober.PROBE_TIMEOUT_SECONDS
        ).close()
    except errors.DescriptorsUsedUp:
        return True
    except errors.EndpointUnreachable as error:
        if error.is_reset:
            return True
        events.emit(
            events.ENDPOINT_UNREACHED,
            endpoint=endpoint.id,
            reason=error.detail,
        )
        return shared.reachability.is_cut_off
    return True
