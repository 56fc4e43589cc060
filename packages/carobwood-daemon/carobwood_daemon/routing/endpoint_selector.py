"""Selection of the endpoint for a request."""

import dataclasses

from carobwood import errors

from . import policies
from . import prefix
from . import rendezvous

# Weight of uncached prompt tokens relative to tokens queued on the engine.
UNCACHED_TOKEN_WEIGHT = 2.0
# An engine gets new prefixes only while its cached blocks stay within this
# multiple of the mean over all candidates.
MAX_BLOCK_IMBALANCE = 1.25
# Added latency of an endpoint in another data centre.
REMOTE_LATENCY_SECONDS = 0.002
# Assumed processing time of one request by a service.
SERVICE_SECONDS_PER_REQUEST = 0.05
# Assumed prompt length of requests that other VMs queue on an engine.
ASSUMED_PROMPT_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that may take a request, with its estimated cost.

    Attributes:
        endpoint: the ``Endpoint``.
        cost: cost in seconds by which candidates are compared.
        is_breaker_open: whether the endpoint's circuit breaker is open.
        uncached_tokens: prompt tokens that are likely not in its prefix
            cache.
        expected_seconds: expected seconds until the first token, not counting
            requests queued on this VM.
    """

    endpoint: object
    cost: float
    is_breaker_open: bool
    uncached_tokens: int = 0
    expected_seconds: float = 0.0


class EndpointSelector:
    """Ranks the endpoints that may take a request."""

    def __init__(
        self,
        directory,
        store,
        loads,
        circuit_breakers,
        prefix_cache_index,
        prefill_times,
        data_centre,
        policy,
    ):
        self._directory = directory
        self._store = store
        self._loads = loads
        self._circuit_breakers = circuit_breakers
        self._prefix_cache_index = prefix_cache_index
        self._prefill_times = prefill_times
        self._policy = policy
        self._data_centre = data_centre

    def eligible_endpoints(self, environment, pool):
        """Return the endpoints of a pool that may get new requests.

        Args:
            environment: environment that the endpoints must serve.
            pool: the ``Pool``.
        """
        withheld = self._store.fleet.unavailable_endpoints()
        return [
            endpoint
            for endpoint in self._active_endpoints(environment, pool)
            if endpoint.id not in withheld
        ]

    def weights_versions(self, environment, pool, model):
        """Return the weights versions that may currently serve a model.

        The version that the document specifies comes first. Until half of
        the engines have loaded it, engines with a previously specified
        version continue to serve the model.

        Args:
            environment: environment that the engines must serve.
            pool: the ``Pool`` of the model.
            model: the ``Model``.
        """
        specified = model.weights_version
        former = self._store.fleet.previous_weights_versions(
            environment, model.id
        )
        if not former:
            return (specified,)
        versions = [
            endpoint.weights_version
            for endpoint in self.eligible_endpoints(environment, pool)
        ]
        engine_count = len(self._active_endpoints(environment, pool))
        if 2 * versions.count(specified) >= engine_count:
            return (specified,)
        return (specified, *sorted(former & set(versions)))

    def rank_engines(self, environment, pool, prompts_by_weights):
        """Return a ``Candidate`` for each eligible engine, the best first.

        Args:
            environment: environment that the engines must serve.
            pool: the ``Pool``.
            prompts_by_weights: the ``Prompt`` for each weights version that
                may serve the request; the version in force comes first.

        Raises:
            NoEndpoint: no engine may take the request.
        """
        found = [
            endpoint
            for endpoint in self.eligible_endpoints(environment, pool)
            if endpoint.weights_version in prompts_by_weights
        ]
        if not found:
            raise errors.NoEndpoint(f'pool {pool.id} has no eligible endpoint')
        candidates = []
        for weights, prompt in prompts_by_weights.items():
            matching = [e for e in found if e.weights_version == weights]
            if matching:
                candidates += self._estimate_costs(matching, pool, prompt)
        prompt = next(iter(prompts_by_weights.values()))
        match self._policy:
            case policies.RoundRobin(numbers=numbers):
                candidates.sort(key=lambda c: c.endpoint.id)
                start = next(numbers) % len(candidates)
                return candidates[start:] + candidates[:start]
            case policies.LeastLoaded():
                return sorted(
                    candidates, key=lambda c: self._known_requests(c.endpoint)
                )
            case policies.PrefixHash():
                by_id = {c.endpoint.id: c for c in candidates}
                ranked = rendezvous.rank(prompt.block_hashes[0], found)
                return [by_id[endpoint.id] for endpoint in ranked]
        return _best_first(candidates)

    def uncached_tokens(self, endpoint, prompt):
        """Return the prompt tokens that an engine likely has to compute."""
        cached = self._prefix_cache_index.count_cached_blocks(
            endpoint, prompt.block_hashes
        )
        return max(0, prompt.tokens - cached * prefix.BLOCK_TOKENS)

    def rank_services(self, environment, pool):
        """Return the service endpoints below their limit, the best first.

        Args:
            environment: environment that the endpoints must serve.
            pool: the ``Pool``.

        Raises:
            NoEndpoint: no endpoint may take a request.
            Saturated: all endpoints have reached the limit of requests in
                flight.
        """
        found = self._below_limit(
            self.eligible_endpoints(environment, pool), pool
        )
        candidates = [
            Candidate(
                endpoint,
                self._known_requests(endpoint) * SERVICE_SECONDS_PER_REQUEST
                + self._network_latency(endpoint),
                self._circuit_breakers.is_open(endpoint),
            )
            for endpoint in found
        ]
        return [candidate.endpoint for candidate in _best_first(candidates)]

    def _active_endpoints(self, environment, pool):
        return [
            endpoint
            for endpoint in self._directory.endpoints()
            if endpoint.pool == pool.id
            and endpoint.environment == environment
            and not endpoint.leaving
        ]

    def _below_limit(self, found, pool):
        if not found:
            raise errors.NoEndpoint(f'pool {pool.id} has no eligible endpoint')
        limit = pool.max_in_flight_per_endpoint
        free = [e for e in found if self._loads.open_requests(e) < limit]
        if not free:
            raise errors.Saturated(
                f'all endpoints of pool {pool.id} have reached the limit of '
                'requests in flight'
            )
        return free

    def _estimate_costs(self, found, pool, prompt):
        assumed_by_id = self._assumed_blocks(prompt, found)
        seconds_per_token = self._prefill_times.seconds_per_token(pool.id)
        candidates = []
        for endpoint in found:
            assumed = assumed_by_id.get(endpoint.id, 0)
            uncached = self.uncached_tokens(endpoint, prompt)
            remaining = prompt.tokens - assumed * prefix.BLOCK_TOKENS
            missing = max(0, min(uncached, remaining))
            queued = self._queued_tokens(endpoint)
            waiting = self._loads.queued_tokens(endpoint)
            latency = self._network_latency(endpoint)
            # Uncached tokens weigh more, because computing them also delays
            # the requests that follow on the engine.
            weighted = missing * UNCACHED_TOKEN_WEIGHT + queued + waiting
            candidates.append(
                Candidate(
                    endpoint,
                    weighted * seconds_per_token + latency,
                    self._circuit_breakers.is_open(endpoint),
                    uncached,
                    (uncached + queued) * seconds_per_token + latency,
                )
            )
        return candidates

    def _assumed_blocks(self, prompt, found):
        # For the cost comparison, one preferred engine counts as if it
        # cached all blocks but the last, which may be partial and is
        # usually specific to the request. The preferred engine is the first
        # in rendezvous order among the engines that cache the most blocks
        # of the prompt, or, if none caches any, the engine that
        # _assign_new_prefix selects. This keeps prompts with a common
        # prefix on the same engine.
        shared_blocks = max(1, len(prompt.block_hashes) - 1)
        cached_by_id = {
            endpoint.id: self._prefix_cache_index.count_cached_blocks(
                endpoint, prompt.block_hashes
            )
            for endpoint in found
        }
        most = max(cached_by_id.values())
        if most == 0:
            return {self._assign_new_prefix(prompt, found).id: shared_blocks}
        holders = [e for e in found if cached_by_id[e.id] == most]
        return {
            rendezvous.rank(prompt.block_hashes[0], holders)[
                0
            ].id: shared_blocks
        }

    def _assign_new_prefix(self, prompt, found):
        # Rendezvous hashing with bounded loads: selects the first engine in
        # rendezvous order that stays within MAX_BLOCK_IMBALANCE times the
        # mean number of cached blocks, otherwise the engine with the fewest
        # blocks. See Mirrokni, Thorup and Zadimoghaddam, "Consistent Hashing
        # with Bounded EndpointLoads", 2018.
        blocks_by_id = {
            endpoint.id: self._prefix_cache_index.count_blocks(endpoint)
            for endpoint in found
        }
        total = sum(blocks_by_id.values()) + len(prompt.block_hashes)
        bound = MAX_BLOCK_IMBALANCE * total / len(found)
        ranked = rendezvous.rank(prompt.block_hashes[0], found)
        for endpoint in ranked:
            if blocks_by_id[endpoint.id] + len(prompt.block_hashes) <= bound:
                return endpoint
        return min(ranked, key=lambda endpoint: blocks_by_id[endpoint.id])

    def _queued_tokens(self, endpoint):
        # The load that endpoints report is delayed and includes this VM's
        # own requests, which are counted by their prefill tokens instead.
        own = self._loads.open_requests(endpoint)
        others = max(0, endpoint.waiting - own)
        queued = others * ASSUMED_PROMPT_TOKENS
        return queued + self._loads.prefill_tokens(endpoint)

    def _known_requests(self, endpoint):
        return max(
            endpoint.waiting + endpoint.running,
            self._loads.open_requests(endpoint),
        )

    def _network_latency(self, endpoint):
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return REMOTE_LATENCY_SECONDS


def _best_first(candidates):
    return sorted(
        candidates, key=lambda c: (c.is_breaker_open, c.cost, c.endpoint.id)
    )
