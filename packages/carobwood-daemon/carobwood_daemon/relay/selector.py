"""Selection of an endpoint for a request.

The selector collects what this VM knows of each endpoint (load in flight,
health, weights version, cached prompt segments), lets ``placement`` choose,
reserves the capacity and says from where the engine can fetch the prompt
segments that it lacks.
"""

import dataclasses

from carobwood import errors

from . import block_digests
from . import cache_transfers
from . import fleet_loads
from . import placement
from ..routing import rendezvous

# Time after the target weights version rises during which engines with an
# older version are not penalised.
OLD_WEIGHTS_GRACE_SECONDS = 1.2
# Fraction of the time allowed for a weights change after which engines with
# an older version get no requests.
OLD_WEIGHTS_MAX_FRACTION = 0.85
# Concurrent requests on an endpoint of a plain service, for which the
# configuration gives no capacity.
PLAIN_SERVICE_SLOTS = 6
# Age of the news of an endpoint from which its software version is not relied
# on. An endpoint that ends and starts again takes longer.
MAX_VERSION_AGE_SECONDS = 1.5
# Leading bytes of a block digest that are logged; enough to tell the blocks
# in one day's log apart.
LOGGED_DIGEST_BYTES = 4


@dataclasses.dataclass(frozen=True, eq=False)
class Assignment:
    """An endpoint assigned to a request, with its capacity reserved.

    Attributes:
        endpoint: the ``Endpoint``.
        reservation: the ``Reservation`` of the request's load there.
        cache_salt: cache salt, which separates the cached blocks of different
            weights versions and isolated customers; empty for a plain
            service.
        weights_version: weights version of the engine, or 0 if unknown or
            a plain service.
        block_digests: digests of the prompt's shared segments under the
            salt, in prompt order.
        fetch_from: address of an engine or store with more of the shared
            prefix in its cache, or empty.
        save_to: address of the store to which the engine saves the shared
            prefix, or empty.
        decision_inputs: values on which the choice was based, as log line
            fields.
    """

    endpoint: object
    reservation: fleet_loads.Reservation
    cache_salt: str
    weights_version: int
    block_digests: tuple[bytes, ...]
    fetch_from: str
    save_to: str
    decision_inputs: dict


class Selector:
    """Assigns endpoints to requests and tracks the load in flight."""

    def __init__(self, context):
        """Create the selector; ``context`` is the ``RelayContext``."""
        self._context = context

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

    def try_assign(self, request, excluded):
        """Assign an endpoint to a request without waiting.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.

        Returns:
            An ``Assignment``, or None if no endpoint has capacity now.

        Raises:
            ConfigurationChanged: the request was admitted under another
                configuration.
        """
        context = self._context
        self._check_configuration(request)
        endpoints = [
            endpoint
            for endpoint in self.endpoints(request)
            if endpoint.id not in excluded
            and not context.health.is_ejected(endpoint)
            and not self.seconds_until_open(endpoint)
        ]
        loads_by_id = context.loads.total_loads()
        context.prefill_shares.add_sample(loads_by_id)
        candidates = self._candidates(request, endpoints, loads_by_id)
        choice = self._choose_permitted(candidates, request.demand)
        if choice is None:
            return None
        return self._assign(request, choice, candidates)

    def _check_configuration(self, request):
        """Check that a request was admitted under the one in force."""
        in_force = self._context.configuration_store.configuration
        if request.configuration is not in_force:
            raise errors.ConfigurationChanged(
                'the configuration has changed since the admission'
            )

    def _choose_permitted(self, candidates, demand):
        """Choose a candidate, with a permit if its requests need one.

        Endpoints that have named a rate limit come last.
        """
        rate_limits = self._context.rate_limits
        preferred = [
            candidate
            for candidate in candidates
            if not rate_limits.is_spared(candidate.endpoint)
        ]
        for group in (preferred, candidates):
            remaining = list(group)
            while choice := placement.choose(remaining, demand):
                if self._acquire(choice.candidate.endpoint):
                    return choice
                remaining.remove(choice.candidate)
        return None

    def _acquire(self, endpoint):
        context = self._context
        return context.rate_limits.acquire(
            endpoint
        ) and context.availability.acquire(endpoint)

    def seconds_until_open(self, endpoint):
        """Return the seconds until an endpoint takes requests of this VM."""
        return max(
            self._context.availability.seconds_until_available(endpoint),
            self._context.rate_limits.seconds_until_next(endpoint),
        )

    def release(self, assignment):
        """Release the capacity that an assignment reserves."""
        assignment.reservation.release()
        self._context.wait_queue.notify_all()

    def release_prefill(self, assignment):
        """Release the prefill load; the engine has prefilled the prompt."""
        assignment.reservation.release_prefill()
        self._context.wait_queue.notify_all()

    def endpoints(self, request):
        """Return the endpoints that may take a request, now or later."""
        return [
            endpoint
            for endpoint in self._context.directory.serving_endpoints()
            if endpoint.pool == request.service
            and self._fits_version(request.software_version, endpoint)
            and not self._context.availability.is_leaving(endpoint)
        ]

    def _fits_version(self, version, endpoint):
        """Return whether a stream of a software version may go on there.

        Endpoints do not check it. What this VM believes of one that it has
        not heard of lately may be that of its former start.
        """
        if version is None:
            return True
        if not version or version != endpoint.software_version:
            return False
        age = self._context.directory.news_age(endpoint)
        return age < MAX_VERSION_AGE_SECONDS

    def eligible_ids(self, request, endpoints, loads_by_id):
        """Return the ids of endpoints whose weights allow a request now."""
        return {
            candidate.endpoint.id
            for candidate in self._candidates(request, endpoints, loads_by_id)
        }

    def _candidates(self, request, endpoints, loads_by_id):
        service = request.configuration.services_by_name.get(request.service)
        if service is None:
            # Not known to be a plain service: an engine would need a salt.
            return []
        if service.engine is None:
            return [
                self._plain_candidate(endpoint, loads_by_id)
                for endpoint in endpoints
            ]
        affinity_id = self._affinity_id(request, endpoints)
        weights = self._context.engine_weights
        # Read once: the salt and the expected version rest on it.
        versions_by_id = {
            endpoint.id: weights.version(endpoint) for endpoint in endpoints
        }
        return [
            self._engine_candidate(
                request,
                endpoint,
                versions_by_id[endpoint.id],
                service.engine,
                loads_by_id,
                affinity_id,
            )
            for endpoint in endpoints
            if versions_by_id[endpoint.id]
            and not weights.is_loading(endpoint)
            and not self._is_outdated(request, versions_by_id[endpoint.id])
        ]

    def _plain_candidate(self, endpoint, loads_by_id):
        return placement.Candidate(
            endpoint,
            loads_by_id.get(endpoint.id, fleet_loads.Load()),
            PLAIN_SERVICE_SLOTS,
            failure_rate=self._context.health.failure_rate(endpoint),
            is_remote=endpoint.data_centre != self._context.data_centre,
        )

    def _engine_candidate(
        self,
        request,
        endpoint,
        weights_version,
        capacity,
        loads_by_id,
        affinity_id,
    ):
        block_digests = self._block_digests(request, weights_version)
        cached_count = self._context.prefix_cache_index.count_cached_blocks(
            endpoint, block_digests
        )
        shared_segments = request.metadata.prompt_segments[:-1]
        return placement.Candidate(
            endpoint,
            loads_by_id.get(endpoint.id, fleet_loads.Load()),
            capacity.slots,
            capacity.kv_cache_tokens,
            sum(segment.tokens for segment in shared_segments[:cached_count]),
            endpoint.id == affinity_id,
            self._has_old_weights(request, weights_version),
            self._context.health.failure_rate(endpoint),
            endpoint.data_centre != self._context.data_centre,
            self._context.prefill_shares.share(endpoint.id),
            weights_version,
        )

    def _affinity_id(self, request, endpoints):
        """Return the id of the prefix's first endpoint in hash order."""
        shared_segments = request.metadata.prompt_segments[:-1]
        if not shared_segments or not endpoints:
            return ''
        key = '/'.join(segment.id for segment in shared_segments).encode(
            'utf-8'
        )
        return rendezvous.rank(key, endpoints)[0].id

    def _has_old_weights(self, request, weights_version):
        weights = self._context.engine_weights
        model = request.metadata.model
        is_old = weights_version < weights.target_version(model)
        age = weights.seconds_since_target_set(model)
        return is_old and age > OLD_WEIGHTS_GRACE_SECONDS

    def _is_outdated(self, request, weights_version):
        weights = self._context.engine_weights
        limit = self._context.weights_change_seconds * OLD_WEIGHTS_MAX_FRACTION
        age = weights.seconds_since_target_set(request.metadata.model)
        return self._has_old_weights(request, weights_version) and age > limit

    def _block_digests(self, request, weights_version):
        salt = _salt(request, weights_version)
        return tuple(
            block_digests.block_digest(salt, segment.id)
            for segment in request.metadata.prompt_segments[:-1]
        )

    def _assign(self, request, choice, candidates):
        endpoint = choice.candidate.endpoint
        block_digests = ()
        if choice.candidate.kv_cache_tokens:
            block_digests = self._block_digests(
                request, choice.candidate.weights_version
            )
        if block_digests:
            self._context.prefix_cache_index.record_use(
                endpoint, block_digests
            )
        reservation = self._context.loads.reserve(endpoint.id, choice.load)
        if choice.load.prefill_tokens >= fleet_loads.URGENT_PREFILL_TOKENS:
            self._context.push_loads()
        if choice.candidate.kv_cache_tokens:
            return self._engine_assignment(
                request,
                choice.candidate,
                candidates,
                block_digests,
                reservation,
            )
        return Assignment(
            endpoint,
            reservation,
            '',
            0,
            (),
            '',
            '',
            _decision_inputs(choice.candidate, candidates),
        )

    def _engine_assignment(
        self, request, chosen, candidates, block_digests, reservation
    ):
        salt = _salt(request, chosen.weights_version)
        transfer = cache_transfers.choose(
            request.metadata.prompt_segments[:-1],
            chosen,
            candidates,
            self._context.kv_stores.find_available(),
            salt,
        )
        return Assignment(
            chosen.endpoint,
            reservation,
            salt,
            chosen.weights_version,
            block_digests,
            transfer.fetch_from,
            transfer.save_to,
            {
                'tokens': request.demand.total_tokens,
                'shared': _segment_summaries(request, block_digests),
            }
            | _decision_inputs(chosen, candidates),
        )


def _salt(request, weights_version):
    """Return the cache salt; blocks are shared only under one salt."""
    customer = request.customer
    if customer is not None and customer.is_isolated:
        return f'v{weights_version}/{customer.name}'
    group = request.configuration.sharing_group
    return f'v{weights_version}.{group}' if group else f'v{weights_version}'


def _segment_summaries(request, block_digests):
    """Return [abbreviated digest, tokens] of each shared segment."""
    return [
        [digest[:LOGGED_DIGEST_BYTES].hex(), segment.tokens]
        for digest, segment in zip(
            block_digests, request.metadata.prompt_segments, strict=False
        )
    ]


def _decision_inputs(chosen, candidates):
    """Return the values behind a choice, as log line fields."""
    return {
        'candidates': len(candidates),
        'running': chosen.load.running,
        'unread': chosen.load.prefill_tokens,
        'streams': chosen.load.streams,
        'reading': round(chosen.prefill_share, 2),
        'cached': chosen.cached_tokens,
        'home': chosen.has_affinity,
    }
