"""Builders of what an entry VM knows when it explains a request."""

import types

import relay_builders as builders

from carobwood_daemon.relay import connection_pool
from carobwood_daemon.relay import endpoint_availability
from carobwood_daemon.relay import endpoint_health
from carobwood_daemon.relay import endpoint_rate_limits
from carobwood_daemon.relay import endpoint_reachability
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import explainer
from carobwood_daemon.relay import explanation
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import load_features
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import overload_control
from carobwood_daemon.relay import quota
from carobwood_daemon.relay import selector
from carobwood_daemon.relay import wait_queue
from carobwood_daemon.rollouts import entry_rollouts
from carobwood_daemon.routing import prefix_cache_index
from carobwood_platform import dialect

SEGMENTS = (
    messages.PromptSegment('rulebook', 8000),
    messages.PromptSegment('portrait', 100),
)


def query(**changes):
    """Return a query of the customer ``bole`` with a shared prompt."""
    fields = {
        'host': builders.HOST,
        'path': '/checks/x',
        'customer': 'bole',
        'model': builders.MODEL,
        'prompt_segments': SEGMENTS,
        'prompt_tokens': 8100,
        'output_tokens': 50,
    }
    return explanation.Query(**{**fields, **changes})


class EntryVm:
    """The state of an entry VM with three engines, without a network.

    Attributes:
        clock: the ``Clock``.
        engines: the engines; a test changes the list.
        drained: engines that take no new work.
        request_permit: called with an endpoint and a statement to ask for a
            permit; None, which can't be called, unless a test replaces it.
        context: what stands for the ``RelayContext``.
        explainer: the ``Explainer``.
    """

    def __init__(self, has_overload_control=False, **configuration):
        """Create the state.

        Args:
            has_overload_control: whether the admission is controlled.
            **configuration: fields of the configuration that differ.
        """
        self.clock = builders.Clock()
        self.drained = []
        self.request_permit = None
        self.engines = [builders.endpoint(f'engine-{n}') for n in range(3)]
        self.configuration_store = types.SimpleNamespace(
            configuration=dialect.PlatformDialect().parse_configuration(
                builders.configuration_body(**configuration)
            )
        )
        self.loads = fleet_loads.FleetLoads(self.clock)
        self.quota = quota.FleetQuota(
            builders.tolerance(), True, clock=self.clock
        )
        self.quota.set_limits(self.configuration_store.configuration.customers)
        self.index = prefix_cache_index.PrefixCacheIndex(self.clock)
        self.queue = wait_queue.WaitQueue()
        self.availability = endpoint_availability.EndpointAvailability(
            self.clock, lambda limit: 0.0
        )
        self.health = endpoint_health.EndpointHealth(self.clock)
        self.rate_limits = endpoint_rate_limits.EndpointRateLimits(
            lambda *arguments: self.request_permit(*arguments),
            clock=self.clock,
        )
        self.weights = engine_weights.EngineWeights(self.clock)
        self.prefill_shares = fleet_loads.PrefillShares(self.clock)
        self.rollouts_by_service = {}
        for engine in self.engines:
            self.weights.record_version(engine, 1)
        self.overload = None
        if has_overload_control:
            self.overload = overload_control.OverloadControl()
        self.context = self._make_context()
        self.selector = selector.Selector(self.context)
        self.explainer = explainer.Explainer(
            self.context,
            self.selector,
            self.quota,
            lambda service: self.rollouts_by_service.get(service),
        )

    def _make_context(self):
        stub = types.SimpleNamespace
        return stub(
            data_centre='bole',
            weights_change_seconds=8.0,
            directory=stub(
                own_vm=stub(id='front-0'),
                endpoints=lambda: self.engines + self.drained,
                serving_endpoints=lambda: self.engines,
                news_age=lambda endpoint: 0.25,
            ),
            health=self.health,
            availability=self.availability,
            pool=connection_pool.ConnectionPool(),
            rate_limits=self.rate_limits,
            reachability=endpoint_reachability.EndpointReachability(
                lambda: self.engines, self.clock
            ),
            is_discovery_done=lambda: True,
            loads=self.loads,
            prefix_cache_index=self.index,
            prefill_shares=self.prefill_shares,
            kv_stores=stub(find_available=lambda: None),
            push_loads=lambda: None,
            configuration_store=self.configuration_store,
            wait_queue=self.queue,
            load_features=load_features.LoadFeatures(
                controls_admission=self.overload is not None
            ),
            engine_weights=self.weights,
            overload=self.overload,
            rollouts=entry_rollouts.NoRollouts(),
            engine_speeds=None,
        )

    def explain(self, **changes):
        """Return the explanation of a query and its only service."""
        found = self.explainer.explain(query(**changes))
        return found, found.services[0]

    def obstacles(self, **changes):
        """Return the obstacles of a query by endpoint id."""
        _, service = self.explain(**changes)
        return {e.endpoint_id: e.obstacle for e in service.endpoints}

    def fill(self, engine, running=64):
        """Add requests in flight to an engine."""
        return self.loads.reserve(engine.id, fleet_loads.Load(running=running))
