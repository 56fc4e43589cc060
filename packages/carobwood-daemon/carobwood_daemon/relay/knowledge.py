"""Objects that the parts of an entry VM or a control VM share."""

import dataclasses

from ..observe import metrics as metric_clients
from ..routing import crash_suspects
from ..routing import prefix_cache_index

from . import engine_weights
from . import fleet_loads
from . import health
from . import kv_stores
from . import news
from . import past_spending
from . import quota
from . import state
from . import upstream
from . import waiting


@dataclasses.dataclass(frozen=True)
class Knowledge:
    """Objects that the parts of a VM share.

    Attributes:
        store: the ``StateStore``.
        state: the ``RelayState``, with the ``configuration`` in force.
        weights: the ``EngineWeights``.
        loads: the ``FleetLoads``.
        quota: the ``FleetQuota``.
        waiting: the ``WaitingRoom``.
        prefix_cache_index: the ``PrefixCacheIndex``.
        crash_suspects: the ``CrashSuspects``.
        health: the ``Health``.
        pool: the ``UpstreamPool``.
        stores: the ``KvStores``.
        past_usage_table: the ``PastUsageTable``.
        news: the ``RelayGossipTopic``, which exchanges loads, usage and
            weights with other VMs.
        metrics: the ``PrometheusMetrics``.
    """

    store: object
    state: state.RelayState
    weights: engine_weights.EngineWeights
    loads: fleet_loads.FleetLoads
    quota: quota.FleetQuota
    waiting: waiting.WaitingRoom
    prefix_cache_index: prefix_cache_index.PrefixCacheIndex
    crash_suspects: crash_suspects.CrashSuspects
    health: health.Health
    pool: upstream.UpstreamPool
    stores: kv_stores.KvStores
    past_usage_table: past_spending.PastUsageTable
    news: news.RelayGossipTopic
    metrics: metric_clients.PrometheusMetrics

    def note_endpoint(self, endpoint):
        """Record the weights that an endpoint announces.

        Wakes waiting requests, as the endpoint may now serve them.
        """
        if endpoint.weights_version:
            self.weights.note_version(endpoint, int(endpoint.weights_version))
        self.waiting.wake()


def make_knowledge(settings, dialect, store):
    """Return the ``Knowledge`` of a VM that has just started.

    Args:
        settings: the ``RelaySettings``.
        dialect: the ``Dialect`` of the platform.
        store: the ``StateStore`` with the replicated state of the fleet.
    """
    weights = engine_weights.EngineWeights()
    loads = fleet_loads.FleetLoads()
    past_usage_table = past_spending.PastUsageTable(
        settings.bounds.quota_tolerance.window
    )
    fleet_quota = quota.FleetQuota(
        settings.bounds.quota_tolerance, settings.is_first_start
    )
    waiting_room = waiting.WaitingRoom()
    relay_state = state.RelayState(store, dialect, weights)
    relay_state.on_change(
        lambda configuration: fleet_quota.set_limits(configuration.customers)
    )
    takes_callers = settings.caller_listen is not None
    return Knowledge(
        store,
        relay_state,
        weights,
        loads,
        fleet_quota,
        waiting_room,
        prefix_cache_index.PrefixCacheIndex(),
        crash_suspects.CrashSuspects(),
        health.Health(),
        upstream.UpstreamPool(),
        kv_stores.KvStores(dialect),
        past_usage_table,
        news.RelayGossipTopic(
            loads,
            fleet_quota,
            past_usage_table,
            weights,
            takes_callers,
            waiting_room.wake,
        ),
        metric_clients.PrometheusMetrics(),
    )
