"""Choice of the endpoint for a request."""

import dataclasses

from carobwood import errors

from . import policies
from . import prefix
from . import rendezvous

RECOMPUTATION_WEIGHT = 2.0
# Pieces of an engine over the mean, up to which it gets new prefixes.
BALANCE_FACTOR = 1.25
REMOTE_SECONDS = 0.002
SERVICE_SECONDS_PER_REQUEST = 0.05
TYPICAL_PROMPT_TOKENS = 2048


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint and its expected time to the first token.

    Attributes:
        endpoint: the ``Endpoint``.
        cost: what choices are compared by, in seconds.
        is_avoided: whether its breaker is open.
        missing_tokens: tokens of the prompt that it probably lacks.
        seconds: expected seconds until the first token, apart from
            requests that wait on this VM.
    """

    endpoint: object
    cost: float
    is_avoided: bool
    missing_tokens: int = 0
    seconds: float = 0.0


class Chooser:
    """Orders the endpoints that may take a request."""

    def __init__(
        self,
        directory,
        store,
        loads,
        breakers,
        placements,
        rates,
        data_centre,
        policy,
    ):
        self._directory = directory
        self._store = store
        self._loads = loads
        self._breakers = breakers
        self._placements = placements
        self._rates = rates
        self._policy = policy
        self._data_centre = data_centre

    def eligible(self, environment, pool):
        """Return endpoints that may get new work.

        Args:
            environment: environment that they must serve.
            pool: the ``Pool``.
        """
        withheld = self._store.fleet.withheld_endpoints()
        return [
            endpoint
            for endpoint in self._present(environment, pool)
            if endpoint.id not in withheld
        ]

    def weights_versions(self, environment, pool, model):
        """Return weights that may serve a model now, those in force first.

        Until half of the engines serve the weights that the document asks
        for, those with weights that it asked for before go on serving.
        """
        wanted = model.weights_version
        former = self._store.fleet.former_weights(environment, model.id)
        if not former:
            return (wanted,)
        versions = [
            endpoint.weights_version
            for endpoint in self.eligible(environment, pool)
        ]
        all_engines = len(self._present(environment, pool))
        if 2 * versions.count(wanted) >= all_engines:
            return (wanted,)
        return (wanted, *sorted(former & set(versions)))

    def order_engines(self, environment, pool, prompts_by_weights):
        """Return a ``Candidate`` for each engine, the best first.

        Args:
            environment: environment that they must serve.
            pool: the ``Pool``.
            prompts_by_weights: the ``Prompt`` by the weights version that
                an engine may have.

        Raises:
            NoEndpoint: none may take it.
        """
        found = [
            endpoint
            for endpoint in self.eligible(environment, pool)
            if endpoint.weights_version in prompts_by_weights
        ]
        if not found:
            raise errors.NoEndpoint(f'no endpoint of {pool.id} is known')
        candidates = []
        for weights, prompt in prompts_by_weights.items():
            alike = [e for e in found if e.weights_version == weights]
            if alike:
                candidates += self._candidates(alike, pool, prompt)
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
                ranked = rendezvous.rank(prompt.chain[0], found)
                return [by_id[endpoint.id] for endpoint in ranked]
        return _best_first(candidates)

    def missing_tokens(self, endpoint, prompt):
        """Return tokens of a prompt that an engine probably lacks."""
        cached = self._placements.cached_pieces(endpoint, prompt.chain)
        return max(0, prompt.tokens - cached * prefix.PIECE_TOKENS)

    def order_services(self, environment, pool):
        """Return services, the best first.

        Raises:
            NoEndpoint: none may take a request.
        """
        found = self._within_bounds(self.eligible(environment, pool), pool)
        candidates = [
            Candidate(
                endpoint,
                self._known_requests(endpoint) * SERVICE_SECONDS_PER_REQUEST
                + self._distance(endpoint),
                self._breakers.is_open(endpoint),
            )
            for endpoint in found
        ]
        return [candidate.endpoint for candidate in _best_first(candidates)]

    def _present(self, environment, pool):
        return [
            endpoint
            for endpoint in self._directory.endpoints()
            if endpoint.pool == pool.id
            and endpoint.environment == environment
            and not endpoint.leaving
        ]

    def _within_bounds(self, found, pool):
        if not found:
            raise errors.NoEndpoint(f'no endpoint of {pool.id} is known')
        bound = pool.max_in_flight_per_endpoint
        free = [e for e in found if self._loads.open_requests(e) < bound]
        if not free:
            raise errors.Saturated(f'all endpoints of {pool.id} are full')
        return free

    def _candidates(self, found, pool, prompt):
        credits_by_id = self._credited_pieces(prompt, found)
        seconds_per_token = self._rates.seconds_per_token(pool.id)
        candidates = []
        for endpoint in found:
            credited = credits_by_id.get(endpoint.id, 0)
            lacking = self.missing_tokens(endpoint, prompt)
            likely = prompt.tokens - credited * prefix.PIECE_TOKENS
            missing = max(0, min(lacking, likely))
            queued = self._queued_tokens(endpoint)
            waiting = self._loads.waiting_tokens(endpoint)
            distance = self._distance(endpoint)
            # Tokens computed again delay the requests behind, too.
            weighted = missing * RECOMPUTATION_WEIGHT + queued + waiting
            candidates.append(
                Candidate(
                    endpoint,
                    weighted * seconds_per_token + distance,
                    self._breakers.is_open(endpoint),
                    lacking,
                    (lacking + queued) * seconds_per_token + distance,
                )
            )
        return candidates

    def _credited_pieces(self, prompt, found):
        # One engine is taken to hold all of the prefix but the last piece,
        # which may be partial and names the request: among those that
        # hold most of it the first in rendezvous order, or, if none holds
        # any, the prefix's home. So nested prefixes stay together.
        usual = max(1, len(prompt.chain) - 1)
        held_by_id = {
            endpoint.id: self._placements.cached_pieces(endpoint, prompt.chain)
            for endpoint in found
        }
        most = max(held_by_id.values())
        if most == 0:
            return {self._home(prompt, found).id: usual}
        holders = [e for e in found if held_by_id[e.id] == most]
        return {rendezvous.rank(prompt.chain[0], holders)[0].id: usual}

    def _home(self, prompt, found):
        # Rendezvous hashing with bounded loads: the first choice that
        # would not hold much more than its part of all pieces, else the
        # one with the fewest. Mirrokni, Thorup and Zadimoghaddam,
        # "Consistent Hashing with Bounded Loads", 2018.
        pieces_by_id = {
            endpoint.id: self._placements.resident_pieces(endpoint)
            for endpoint in found
        }
        total = sum(pieces_by_id.values()) + len(prompt.chain)
        bound = BALANCE_FACTOR * total / len(found)
        ranked = rendezvous.rank(prompt.chain[0], found)
        for endpoint in ranked:
            if pieces_by_id[endpoint.id] + len(prompt.chain) <= bound:
                return endpoint
        return min(ranked, key=lambda endpoint: pieces_by_id[endpoint.id])

    def _queued_tokens(self, endpoint):
        # Reported load is late, and part of it is this VM's own.
        own = self._loads.open_requests(endpoint)
        others = max(0, endpoint.waiting - own)
        queued = others * TYPICAL_PROMPT_TOKENS
        return queued + self._loads.prefill_tokens(endpoint)

    def _known_requests(self, endpoint):
        return max(
            endpoint.waiting + endpoint.running,
            self._loads.open_requests(endpoint),
        )

    def _distance(self, endpoint):
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return REMOTE_SECONDS


def _best_first(candidates):
    return sorted(
        candidates, key=lambda c: (c.is_avoided, c.cost, c.endpoint.id)
    )
