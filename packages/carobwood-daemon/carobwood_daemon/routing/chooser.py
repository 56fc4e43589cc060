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
        seconds: expected seconds until the first token.
        is_suspected: whether it failed a moment ago.
    """

    endpoint: object
    seconds: float
    is_suspected: bool


class Chooser:
    """Orders the endpoints that may take a request."""

    def __init__(
        self,
        directory,
        store,
        loads,
        placements,
        rates,
        data_centre,
        policy,
    ):
        self._directory = directory
        self._store = store
        self._loads = loads
        self._placements = placements
        self._rates = rates
        self._policy = policy
        self._data_centre = data_centre

    def eligible(self, environment, pool, weights_version=''):
        """Return endpoints that may get new work.

        Args:
            environment: environment that they must serve.
            pool: the ``Pool``.
            weights_version: weights that they must have, or empty.
        """
        withheld = self._store.fleet.withheld_endpoints()
        return [
            endpoint
            for endpoint in self._directory.endpoints()
            if endpoint.pool == pool.id
            and endpoint.environment == environment
            and not endpoint.leaving
            and endpoint.id not in withheld
            and (
                not weights_version
                or endpoint.weights_version == weights_version
            )
        ]

    def order_engines(self, environment, pool, model, prompt):
        """Return engines for a prompt, the best first.

        Raises:
            NoEndpoint: none may take it.
        """
        found = self.eligible(environment, pool, model.weights_version)
        found = self._within_bounds(found, pool)
        match self._policy:
            case policies.RoundRobin(numbers=numbers):
                found.sort(key=lambda endpoint: endpoint.id)
                start = next(numbers) % len(found)
                return found[start:] + found[:start]
            case policies.LeastLoaded():
                return sorted(found, key=self._known_requests)
            case policies.PrefixHash():
                return rendezvous.rank(prompt.chain[0], found)
        return self._order_by_expected_time(found, pool, prompt)

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
                self._loads.is_suspected(endpoint),
            )
            for endpoint in found
        ]
        return _best_first(candidates)

    def _within_bounds(self, found, pool):
        if not found:
            raise errors.NoEndpoint(f'no endpoint of {pool.id} is known')
        bound = pool.max_in_flight_per_endpoint
        free = [e for e in found if self._loads.open_requests(e) < bound]
        if not free:
            raise errors.Saturated(f'all endpoints of {pool.id} are full')
        return free

    def _order_by_expected_time(self, found, pool, prompt):
        credits_by_id = self._credited_pieces(prompt, found)
        seconds_per_token = self._rates.seconds_per_token(pool.id)
        candidates = []
        for endpoint in found:
            credited = credits_by_id.get(endpoint.id, 0)
            missing = min(
                self.missing_tokens(endpoint, prompt),
                prompt.tokens - credited * prefix.PIECE_TOKENS,
            )
            # Tokens computed again delay the requests behind, too.
            tokens = max(
                0, missing
            ) * RECOMPUTATION_WEIGHT + self._queued_tokens(endpoint)
            seconds = tokens * seconds_per_token + self._distance(endpoint)
            suspected = self._loads.is_suspected(endpoint)
            candidates.append(Candidate(endpoint, seconds, suspected))
        return _best_first(candidates)

    def _credited_pieces(self, prompt, found):
        # Without evidence, the engine that every VM would choose is taken
        # to hold all of the prefix but the last piece, which may be
        # partial and names the request.
        for endpoint in found:
            if self._placements.cached_pieces(endpoint, prompt.chain):
                return {}
        home = self._home(prompt, found)
        return {home.id: max(1, len(prompt.chain) - 1)}

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
    ordered = sorted(
        candidates, key=lambda c: (c.is_suspected, c.seconds, c.endpoint.id)
    )
    return [candidate.endpoint for candidate in ordered]
