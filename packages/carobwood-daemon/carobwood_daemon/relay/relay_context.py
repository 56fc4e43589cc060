"""The dependencies that the components of a relay share."""

import dataclasses

from ..rollouts import entry_rollouts

from . import load_features as features


@dataclasses.dataclass(frozen=True)
class RelayContext:
    """The dependencies that the components of a relay share.

    Attributes:
        data_centre: data centre of this VM.
        weights_change_seconds: time in seconds within which all engines must
            have loaded a new version of the weights.
        is_discovery_done: function without arguments; returns whether this VM
            has run long enough to have received the endpoints'
            announcements.
        configuration_store: the ``ConfigurationStore``, whose
            ``configuration`` is the one in force, or None.
        dialect: the ``Dialect``, the protocol adapter of the platform.
        directory: the ``Directory`` of VMs and endpoints.
        engine_weights: the ``EngineWeights``: versions that engines have
            loaded.
        loads: the ``FleetLoads``: requests in flight on each endpoint.
        prefill_shares: the ``PrefillShares``: how much of the time each engine
            processes prompts.
        push_loads: function without arguments; sends the loads to the
            other entry VMs at once instead of in the next gossip round.
        prefix_cache_index: the ``PrefixCacheIndex``: which engine caches
            which prompt prefix.
        kv_stores: the ``KvStores``: contents of the KV cache stores.
        activity: the ``EndpointActivity``: when endpoints were last heard.
        liveness: the ``EndpointLiveness``: whether endpoints answer.
        ended_endpoints: the ``EndedEndpoints``: which endpoints have ended
            without closing their connections.
        health: the ``EndpointHealth``: failures of endpoints.
        availability: the ``EndpointAvailability``: what endpoints say about
            the work that they take.
        rate_limits: the ``EndpointRateLimits``: how many requests endpoints
            take from all VMs together.
        reachability: the ``EndpointReachability``: whether this VM reaches
            any endpoint.
        peers: the ``ForwardingPeers``: VMs that may take requests of this one.
        wait_queue: the ``WaitQueue``: the queue of requests that fit on no
            endpoint yet.
        retry_budget: the ``FleetRetryBudget``: bound on retries.
        crash_suspects: the ``CrashSuspects``: requests that may crash
            endpoints.
        segment_suspects: the ``SegmentSuspects``: prompt segments that crash
            endpoints.
        stream_resumption: the ``StreamResumption``: at which software version
            a stream goes on.
        pool: the ``ConnectionPool``: idle connections to endpoints.
        gate: the ``RequestGate``: limit of requests in flight on this VM.
        tracer: the ``Tracer``.
        metrics: the ``Metrics``.
        route_durations: the ``RouteDurations``.
        buffers: the ``BufferBudget`` of this VM.
        rollouts: the ``EntryRollouts``, or ``NoRollouts``.
        load_features: the ``LoadFeatures`` that the settings switch on.
        overload: the ``OverloadControl``, or None if it is switched off.
        engine_speeds: the ``EngineSpeeds``, or None if they are not learned.
    """

    data_centre: str
    weights_change_seconds: float
    is_discovery_done: object
    configuration_store: object
    dialect: object
    directory: object
    engine_weights: object
    loads: object
    prefill_shares: object
    push_loads: object
    prefix_cache_index: object
    kv_stores: object
    activity: object
    liveness: object
    ended_endpoints: object
    health: object
    availability: object
    rate_limits: object
    reachability: object
    peers: object
    wait_queue: object
    retry_budget: object
    crash_suspects: object
    segment_suspects: object
    stream_resumption: object
    pool: object
    gate: object
    tracer: object
    metrics: object
    route_durations: object
    buffers: object
    rollouts: object = entry_rollouts.NoRollouts()
    load_features: features.LoadFeatures = features.LoadFeatures()
    overload: object = None
    engine_speeds: object = None
