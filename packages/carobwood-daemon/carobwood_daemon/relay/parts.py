"""The dependencies that the components of a relay share."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class RelayParts:
    """The dependencies that the components of a relay share.

    Attributes:
        data_centre: data centre of this VM.
        weights_seconds: time in seconds within which all engines must
            have loaded a new version of the weights.
        is_settled: function without arguments; returns whether this VM
            has run long enough to have received the endpoints'
            announcements.
        state: the ``RelayState``, whose ``configuration`` is the one in
            force, or None.
        dialect: the ``Dialect``, the protocol adapter of the platform.
        directory: the ``Directory`` of VMs and endpoints.
        weights: the ``EngineWeights``: versions that engines have loaded.
        loads: the ``FleetLoads``: requests in flight on each endpoint.
        reading: the ``ReadingShares``: how much of the time each engine
            processes prompts.
        spread_loads: function without arguments; sends the loads to the
            other entry VMs at once instead of in the next gossip round.
        prefix_cache_index: the ``PrefixCacheIndex``: which engine caches
            which prompt prefix.
        stores: the ``KvStores``: contents of the KV cache stores.
        health: the ``Health``: failures of endpoints.
        waiting: the ``WaitingRoom``: the queue of requests that fit on no
            endpoint yet.
        retries: the ``RetryAllowance``: bound on retries.
        crash_suspects: the ``CrashSuspects``: requests that may crash
            endpoints.
        pool: the ``UpstreamPool``: idle connections to endpoints.
        gate: the ``Gate``: limit of requests in flight on this VM.
        tracer: the ``Tracer``.
        metrics: the ``Metrics``.
    """

    data_centre: str
    weights_seconds: float
    is_settled: object
    state: object
    dialect: object
    directory: object
    weights: object
    loads: object
    reading: object
    spread_loads: object
    prefix_cache_index: object
    stores: object
    health: object
    waiting: object
    retries: object
    crash_suspects: object
    pool: object
    gate: object
    tracer: object
    metrics: object
