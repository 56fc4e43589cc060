"""Selection of an endpoint for a request.

The selector collects what this VM knows of each endpoint (load in flight,
health, weights version, cached prompt segments), lets ``placement`` choose,
reserves the capacity and says from where the engine can fetch the prompt
segments that it lacks.
"""

import dataclasses
import threading

from carobwood import errors

from . import assignments
from . import cache_transfers
from . import candidates as candidate_records
from . import engine_speeds
from . import fleet_loads
from . import obstacles
from . import placement
from . import sampled_choice

# Age of the news of an endpoint from which its software version is not relied
# on. An endpoint that ends and starts again takes longer.
MAX_VERSION_AGE_SECONDS = 1.5


@dataclasses.dataclass(frozen=True, eq=False)
class _Place:
    """A place at an endpoint, which may still need a permit.

    Attributes:
        choice: the ``Choice`` of the endpoint.
        candidates: the ``Candidate`` records that were looked at.
        reservation: the ``Reservation`` of the request's load there.
    """

    choice: placement.Choice
    candidates: list[placement.Candidate]
    reservation: fleet_loads.Reservation


class Selector:
    """Assigns endpoints to requests and tracks the load in flight."""

    def __init__(self, context):
        """Create the selector; ``context`` is the ``RelayContext``."""
        self._context = context
        self._candidate_builder = candidate_records.CandidateBuilder(context)
        # Held from the look at the loads until one is reserved. No call to
        # another VM is made meanwhile.
        self._reserving = threading.Lock()

    def has_untried_endpoint(self, request, excluded):
        """Return whether the service has an endpoint not yet excluded.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.

        Raises:
            ConfigurationChanged: it has none, and the request was admitted
                under another configuration, which may have named others.
        """
        for endpoint in self.endpoints(request):
            if endpoint.id not in excluded:
                return True
        self._check_configuration(request)
        return False

    def try_assign(self, request, excluded, only_id=None, filter_room=None):
        """Assign an endpoint to a request without waiting.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.
            only_id: id of the one endpoint that it may go to, or None.
            filter_room: called with ``Candidate`` records; returns those that
                have room for the request. None if all have that have
                capacity.

        Returns:
            An ``Assignment``, or None if no endpoint has capacity now.

        Raises:
            ConfigurationChanged: the request was admitted under another
                configuration.
        """
        denied_ids = set()
        while place := self._take_place(
            request, excluded, only_id, denied_ids, filter_room
        ):
            endpoint = place.choice.candidate.endpoint
            if self._acquire(endpoint, place.reservation):
                return self._assign(request, place)
            denied_ids.add(endpoint.id)
        return None

    def candidates(self, request, excluded):
        """Return the ``Candidate`` records of a request, full ones included.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.

        Raises:
            ConfigurationChanged: see ``try_assign``.
        """
        return [
            candidate
            for endpoints in self._version_groups(request, excluded)
            for candidate in self._find_candidates(
                request, endpoints, excluded
            )
        ]

    def find_endpoint(self, request, excluded):
        """Return the ``Endpoint`` that would be assigned first, or None.

        Nothing is reserved, and no permit is asked for.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.

        Raises:
            ConfigurationChanged: see ``try_assign``.
        """
        for endpoints in self._version_groups(request, excluded):
            candidates = self._find_candidates(request, endpoints, excluded)
            choice = self._choose(candidates, request.demand)
            if choice is not None:
                return choice.candidate.endpoint
        return None

    def survey(self, request, filter_room=None):
        """Return what would be known and chosen for a request now.

        Nothing is reserved or counted, and no permit is asked for.

        Args:
            request: the ``AdmittedRequest``.
            filter_room: see ``try_assign``.

        Returns:
            The ``Survey``.

        Raises:
            ConfigurationChanged: see ``try_assign``.
        """
        full_addresses = self._context.pool.full_addresses()
        loads_by_id = self._context.loads.total_loads()
        obstacles_by_id = {
            endpoint.id: obstacles.Obstacle.OTHER_VERSION
            for endpoint in self.endpoints(request)
        }
        candidates_by_id = {}
        choice = None
        for endpoints in self._version_groups(request, frozenset()):
            for endpoint in endpoints:
                obstacles_by_id[endpoint.id] = self._obstacle(
                    endpoint, full_addresses
                )
            candidates = self._candidate_builder.build(
                request,
                [e for e in endpoints if obstacles_by_id[e.id] is None],
                loads_by_id,
            )
            allowed = filter_room(candidates) if filter_room else candidates
            if choice is None:
                choice = self._choose(allowed, request.demand)
            for candidate in candidates:
                candidates_by_id.setdefault(candidate.endpoint.id, candidate)
        return obstacles.Survey(
            loads_by_id, obstacles_by_id, candidates_by_id, choice
        )

    def _obstacle(self, endpoint, full_addresses):
        """Return the ``Obstacle`` that keeps requests from an endpoint."""
        context = self._context
        if endpoint.address in full_addresses:
            return obstacles.Obstacle.NO_CONNECTION
        if context.health.is_ejected(endpoint):
            return obstacles.Obstacle.EJECTED
        if context.availability.seconds_until_available(endpoint):
            return obstacles.Obstacle.UNAVAILABLE
        if context.rate_limits.seconds_until_next(endpoint):
            return obstacles.Obstacle.NO_PERMIT
        if context.pool.seconds_until_open(endpoint.address):
            return obstacles.Obstacle.BACKED_OFF
        return None

    def _check_configuration(self, request):
        """Check that a request was admitted under the one in force."""
        in_force = self._context.configuration_store.configuration
        if request.configuration is not in_force:
            raise errors.ConfigurationChanged(
                'the configuration has changed since the admission'
            )

    def _version_groups(self, request, excluded):
        """Return the endpoints that may take a request now, in groups.

        The endpoints of a later group are for requests that find no room in
        an earlier one.
        """
        self._check_configuration(request)
        return self._context.rollouts.find_groups(
            request, self.endpoints(request), excluded
        )

    def _find_candidates(self, request, endpoints, excluded):
        context = self._context
        full_addresses = context.pool.full_addresses()
        endpoints = [
            endpoint
            for endpoint in endpoints
            if endpoint.id not in excluded
            and self._obstacle(endpoint, full_addresses) is None
        ]
        loads_by_id = context.loads.total_loads()
        context.prefill_shares.add_sample(loads_by_id)
        return self._candidate_builder.build(request, endpoints, loads_by_id)

    def _groups(self, candidates):
        """Return the groups of candidates to choose from, in this order.

        Endpoints that have named a rate limit come last.
        """
        rate_limits = self._context.rate_limits
        preferred = [
            candidate
            for candidate in candidates
            if not rate_limits.is_spared(candidate.endpoint)
        ]
        return preferred, candidates

    def _choose(self, candidates, demand):
        """Return the ``Choice`` of a candidate, or None."""
        for group in self._groups(candidates):
            choice = self._choose_in(group, demand)
            if choice is not None:
                return choice
        return None

    def _choose_in(self, candidates, demand):
        if self._context.engine_speeds is None:
            return placement.choose(candidates, demand)
        return sampled_choice.choose(candidates, demand)

    def _take_place(self, request, excluded, only_id, denied_ids, filter_room):
        """Choose an endpoint and reserve the capacity there.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.
            only_id: id of the one endpoint that it may go to, or None.
            denied_ids: ids of endpoints to which it may not be sent now.
            filter_room: see ``try_assign``.

        Returns:
            The ``_Place``, or None if no endpoint has capacity now.
        """
        with self._reserving:
            for endpoints in self._version_groups(request, excluded):
                candidates = self._find_candidates(
                    request, endpoints, excluded
                )
                allowed = [
                    candidate
                    for candidate in candidates
                    if only_id in (None, candidate.endpoint.id)
                    and candidate.endpoint.id not in denied_ids
                ]
                if filter_room is not None:
                    allowed = filter_room(allowed)
                choice = self._choose(allowed, request.demand)
                if choice is None:
                    continue
                reservation = self._context.loads.reserve(
                    choice.candidate.endpoint.id, choice.load
                )
                return _Place(choice, candidates, reservation)
        return None

    def _acquire(self, endpoint, reservation):
        """Acquire the permit for a place, or give the place up.

        The permit comes last, as it can't be given back to the fleet.
        """
        context = self._context
        is_permitted = False
        is_available = context.availability.acquire(endpoint)
        try:
            is_permitted = is_available and context.rate_limits.acquire(
                endpoint
            )
        finally:
            if not is_permitted:
                reservation.release()
                if is_available:
                    context.availability.give_back(endpoint)
        return is_permitted

    def seconds_until_open(self, endpoint):
        """Return the seconds until an endpoint takes requests of this VM."""
        return max(
            self._context.availability.seconds_until_available(endpoint),
            self._context.rate_limits.seconds_until_next(endpoint),
            self._context.pool.seconds_until_open(endpoint.address),
        )

    def seconds_until_any_open(self, request, excluded):
        """Return the seconds until any endpoint takes a request, or 0.0.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.
        """
        return min(
            (
                self.seconds_until_open(endpoint)
                for endpoint in self.endpoints(request)
                if endpoint.id not in excluded
            ),
            default=0.0,
        )

    def release(self, assignment):
        """Release the capacity that an assignment reserves."""
        assignment.reservation.release()
        self._context.rollouts.end_attempt(assignment)
        self._context.wait_queue.notify_all()

    def release_prefill(self, assignment):
        """Release the prefill load; the engine has prefilled the prompt."""
        assignment.reservation.release_prefill()
        self._context.wait_queue.notify_all()

    def endpoints(self, request):
        """Return the endpoints that may take a request, now or later."""
        endpoints = [
            endpoint
            for endpoint in self._context.directory.serving_endpoints()
            if endpoint.pool == request.service
            and not self._context.availability.is_leaving(endpoint)
        ]
        endpoints = self._context.rollouts.find_possible(request, endpoints)
        version = request.software_version
        if version is None:
            return endpoints
        return [
            endpoint
            for endpoint in endpoints
            if self._fits_version(version, endpoint)
        ]

    def _fits_version(self, version, endpoint):
        """Return whether a stream of a software version may go on there.

        Endpoints do not check it. What this VM believes of one that it has
        not heard of lately may be that of its former start.
        """
        if not version or version != endpoint.software_version:
            return False
        age = self._context.directory.news_age(endpoint)
        return age < MAX_VERSION_AGE_SECONDS

    def eligible_ids(self, request, endpoints, loads_by_id):
        """Return the ids of endpoints whose weights allow a request now."""
        return {
            candidate.endpoint.id
            for candidate in self._candidate_builder.build(
                request, endpoints, loads_by_id
            )
        }

    def _assign(self, request, place):
        choice = place.choice
        endpoint = choice.candidate.endpoint
        block_digests = ()
        if choice.candidate.kv_cache_tokens:
            block_digests = candidate_records.digests_of(
                request, choice.candidate.weights_version
            )
        if block_digests:
            self._context.prefix_cache_index.record_use(
                endpoint, block_digests
            )
        if choice.load.prefill_tokens >= fleet_loads.URGENT_PREFILL_TOKENS:
            self._context.push_loads()
        if choice.candidate.kv_cache_tokens:
            return self._engine_assignment(request, place, block_digests)
        return assignments.Assignment(
            endpoint,
            place.reservation,
            '',
            0,
            (),
            '',
            '',
            assignments.decision_inputs(choice.candidate, place.candidates),
        )

    def _engine_assignment(self, request, place, block_digests):
        chosen = place.choice.candidate
        salt = candidate_records.salt_of(request, chosen.weights_version)
        transfer = cache_transfers.choose(
            request.metadata.prompt_segments[:-1],
            chosen,
            place.candidates,
            self._context.kv_stores.find_available(),
            salt,
        )
        return assignments.Assignment(
            chosen.endpoint,
            place.reservation,
            salt,
            chosen.weights_version,
            block_digests,
            transfer.fetch_from,
            transfer.save_to,
            {
                'tokens': request.demand.total_tokens,
                'shared': assignments.summarise_segments(
                    request, block_digests
                ),
            }
            | assignments.decision_inputs(chosen, place.candidates),
            engine_speeds.PromptWork(
                place.choice.load.prefill_tokens,
                chosen.load.prefill_tokens,
                place.choice.fetched_tokens(request.demand),
            ),
        )
