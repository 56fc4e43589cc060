"""Choice of the endpoint for a request."""

import dataclasses

from carobwood import errors

from . import prefix
from . import rendezvous

PREFILL_SECONDS_PER_TOKEN = 0.0001
SECONDS_PER_QUEUED_REQUEST = 0.05
REMOTE_SECONDS = 0.002


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

    def __init__(self, directory, store, loads, placements, data_centre):
        self._directory = directory
        self._store = store
        self._loads = loads
        self._placements = placements
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
        # Without evidence, the first choice of the hash is taken to hold
        # the prefix: every VM sends it there, so it soon does.
        owner = rendezvous.rank(prompt.chain[0], found)[0]
        candidates = [
            self._candidate(endpoint, prompt, endpoint is owner)
            for endpoint in found
        ]
        return _best_first(candidates)

    def order_services(self, environment, pool):
        """Return services, the best first.

        Raises:
            NoEndpoint: none may take a request.
        """
        found = self._within_bounds(self.eligible(environment, pool), pool)
        candidates = [
            Candidate(
                endpoint,
                self._wait(endpoint) + self._distance(endpoint),
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

    def _candidate(self, endpoint, prompt, is_owner):
        cached = self._placements.cached_pieces(endpoint, prompt.chain)
        if is_owner:
            cached = max(cached, 1)
        missing = max(0, prompt.tokens - cached * prefix.PIECE_TOKENS)
        seconds = (
            self._wait(endpoint)
            + missing * PREFILL_SECONDS_PER_TOKEN
            + self._distance(endpoint)
        )
        suspected = self._loads.is_suspected(endpoint)
        return Candidate(endpoint, seconds, suspected)

    def _wait(self, endpoint):
        queued = max(
            endpoint.waiting + endpoint.running,
            self._loads.open_requests(endpoint),
        )
        return queued * SECONDS_PER_QUEUED_REQUEST

    def _distance(self, endpoint):
        if endpoint.data_centre == self._data_centre:
            return 0.0
        return REMOTE_SECONDS


def _best_first(candidates):
    ordered = sorted(
        candidates, key=lambda c: (c.is_suspected, c.seconds, c.endpoint.id)
    )
    return [candidate.endpoint for candidate in ordered]
