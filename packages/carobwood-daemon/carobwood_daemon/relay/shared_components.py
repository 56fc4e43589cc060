"""Objects that the parts of an entry VM or a control VM share."""

import dataclasses

from ..limits import buffer_budget
from ..observe import metrics as metric_clients
from ..rollouts import entry_rollouts
from ..routing import crash_suspects
from ..routing import prefix_cache_index

from . import configuration_store
from . import connection_pool
from . import connection_shares
from . import endpoint_availability
from . import endpoint_health
from . import endpoint_limits
from . import endpoint_rate_limits
from . import endpoint_reachability
from . import engine_speeds
from . import engine_weights
from . import fleet_loads
from . import forwarding_peers
from . import kv_stores
from . import load_estimates
from . import past_usage
from . import quota
from . import shared_connection_pool
from . import stream_resumption
from . import wait_queue


@dataclasses.dataclass(frozen=True)
class SharedComponents:
    """Objects that the parts of a VM share.

    Attributes:
        store: the ``StateStore``.
        configuration_store: the ``ConfigurationStore``, with the
            ``configuration`` in force.
        engine_weights: the ``EngineWeights``.
        loads: the ``FleetLoads``.
        quota: the ``FleetQuota``.
        wait_queue: the ``WaitQueue``.
        prefix_cache_index: the ``PrefixCacheIndex``.
        crash_suspects: the ``CrashSuspects``.
        health: the ``EndpointHealth``.
        availability: the ``EndpointAvailability``.
        rate_limits: the ``EndpointRateLimits``.
        reachability: the ``EndpointReachability``.
        peers: the ``ForwardingPeers``.
        pool: the ``ConnectionPool`` of connections to endpoints.
        peer_pool: the ``ConnectionPool`` of connections to other VMs.
        kv_stores: the ``KvStores``.
        past_usage_table: the ``PastUsageTable``.
        metrics: the ``PrometheusMetrics``.
        stream_resumption: the ``StreamResumption``.
        buffers: the ``BufferBudget`` of the VM.
        rollouts: the ``EntryRollouts``, or ``NoRollouts``.
        engine_speeds: the ``EngineSpeeds``, or None if they are not learned.
    """

    store: object
    configuration_store: configuration_store.ConfigurationStore
    engine_weights: engine_weights.EngineWeights
    loads: fleet_loads.FleetLoads
    quota: quota.FleetQuota
    wait_queue: wait_queue.WaitQueue
    prefix_cache_index: prefix_cache_index.PrefixCacheIndex
    crash_suspects: crash_suspects.CrashSuspects
    health: endpoint_health.EndpointHealth
    availability: endpoint_availability.EndpointAvailability
    rate_limits: endpoint_rate_limits.EndpointRateLimits
    reachability: endpoint_reachability.EndpointReachability
    peers: forwarding_peers.ForwardingPeers
    pool: connection_pool.ConnectionPool
    peer_pool: connection_pool.ConnectionPool
    kv_stores: kv_stores.KvStores
    past_usage_table: past_usage.PastUsageTable
    metrics: metric_clients.PrometheusMetrics
    stream_resumption: stream_resumption.StreamResumption
    buffers: buffer_budget.BufferBudget
    rollouts: object
    engine_speeds: engine_speeds.EngineSpeeds | None

    def update_endpoint(self, endpoint):
        """Record the weights that an endpoint announces.

        Wakes waiting requests, as the endpoint may now serve them.
        """
        if endpoint.weights_version:
            self.engine_weights.record_version(
                endpoint, int(endpoint.weights_version)
            )
        self.wait_queue.notify_all()

    def close_expired_connections(self):
        """Close idle connections that are not used again."""
        self.pool.close_expired()
        self.peer_pool.close_expired()

    def close_connections(self):
        """Close the connections to endpoints and to other VMs."""
        self.pool.close()
        self.peer_pool.close()


def make_shared_components(
    settings,
    dialect,
    store,
    request_permit,
    resumption,
    directory,
    buffers,
):
    """Return the ``SharedComponents`` of a VM that has just started.

    Args:
        settings: the ``RelaySettings``.
        dialect: the ``Dialect`` of the platform.
        store: the ``StateStore`` with the replicated state of the fleet.
        request_permit: see ``EndpointRateLimits``.
        resumption: the ``StreamResumption``.
        directory: the ``Directory`` of VMs and endpoints.
        buffers: the ``BufferBudget``.
    """
    metrics = metric_clients.PrometheusMetrics()
    buffers.set_metrics(metrics)
    weights = engine_weights.EngineWeights()
    speeds = None
    loads = fleet_loads.FleetLoads()
    if settings.load_features.learns_engines:
        speeds = engine_speeds.EngineSpeeds()
        loads = load_estimates.EstimatedLoads(speeds.speed_of_id)
    past_usage_table = past_usage.PastUsageTable(
        settings.fleet_limits.quota_tolerance.window
    )
    fleet_quota = quota.FleetQuota(
        settings.fleet_limits.quota_tolerance, settings.is_first_start
    )
    queue = wait_queue.WaitQueue()
    shares_connections = settings.load_features.shares_connections
    reachability = endpoint_reachability.EndpointReachability(
        directory.serving_endpoints, probes_few=shares_connections
    )
    peers = forwarding_peers.ForwardingPeers(directory)
    reachability.on_change(peers.set_own_state)
    # Waiting requests are forwarded, or go to endpoints again.
    reachability.on_change(lambda is_cut_off: queue.notify_all())
    # Before the configuration, which lets requests in.
    rollouts = entry_rollouts.follow_rollouts(
        settings.rollout_limits,
        store,
        directory,
        metrics,
        queue.notify_all,
    )
    relay_configuration = configuration_store.ConfigurationStore(
        store, dialect, weights
    )
    relay_configuration.add_preparation(
        lambda configuration: directory.add_named_pools(
            configuration.services_by_name
        )
    )
    relay_configuration.add_preparation(
        lambda configuration: fleet_quota.set_limits(configuration.customers)
    )
    relay_configuration.add_change_listener(
        lambda configuration: directory.set_named_pools(
            configuration.services_by_name
        )
    )
    return SharedComponents(
        store,
        relay_configuration,
        weights,
        loads,
        fleet_quota,
        queue,
        prefix_cache_index.PrefixCacheIndex(),
        crash_suspects.CrashSuspects(),
        endpoint_health.EndpointHealth(),
        endpoint_availability.EndpointAvailability(
            count_vms=lambda: len(directory.entry_vms())
        ),
        endpoint_rate_limits.EndpointRateLimits(request_permit, metrics.count),
        reachability,
        peers,
        _make_pool(
            shares_connections,
            relay_configuration,
            directory,
            metrics,
            reachability,
        ),
        connection_pool.ConnectionPool(),
        kv_stores.KvStores(dialect),
        past_usage_table,
        metrics,
        resumption,
        buffers,
        rollouts,
        speeds,
    )


def _make_pool(
    shares_connections, configurations, directory, metrics, reachability
):
    """Return the ``ConnectionPool`` of connections to endpoints."""
    if not shares_connections:
        return connection_pool.ConnectionPool(on_result=reachability.note)
    shares = connection_shares.ConnectionShares(
        lambda: endpoint_limits.find_limits(
            configurations.configuration, directory.serving_endpoints()
        ),
        lambda: len(directory.entry_vms()),
    )
    return shared_connection_pool.SharedConnectionPool(
        shares, metrics, reachability.note
    )
