"""What a VM knows of the endpoints that may take a request.

It collects load, health, weights and cached prompt segments; ``placement``
chooses among the candidates.
"""

from ..routing import rendezvous

from . import block_digests
from . import fleet_loads
from . import placement

# Time after the target weights version rises during which engines with an
# older version are not penalised.
OLD_WEIGHTS_GRACE_SECONDS = 1.2
# Fraction of the time allowed for a weights change after which engines with
# an older version get no requests.
OLD_WEIGHTS_MAX_FRACTION = 0.85
# Concurrent requests on an endpoint of a plain service, for which the
# configuration gives no capacity.
PLAIN_SERVICE_SLOTS = 6


class CandidateBuilder:
    """Builds the candidates of requests."""

    def __init__(self, context):
        """Create the builder; ``context`` is the ``RelayContext``."""
        self._context = context

    def build(self, request, endpoints, loads_by_id):
        """Return the ``Candidate`` records of those that a request may go to.

        Engines without known weights, or with weights that the request can't
        use now, are left out.

        Args:
            request: the ``AdmittedRequest``.
            endpoints: the ``Endpoint`` records.
            loads_by_id: ``Load`` by endpoint id.
        """
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
        model = request.metadata.model
        versions_by_id = {
            endpoint.id: weights.version(endpoint, model)
            for endpoint in endpoints
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
            and not weights.is_loading(endpoint, model)
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
        cached_count = self._context.prefix_cache_index.count_cached_blocks(
            endpoint, digests_of(request, weights_version)
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
            self._prefill_speed(endpoint),
        )

    def _prefill_speed(self, endpoint):
        speeds = self._context.engine_speeds
        if speeds is None:
            return fleet_loads.PREFILL_TOKENS_PER_SECOND
        return speeds.speed(endpoint)

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


def digests_of(request, weights_version):
    """Return the digests of a prompt's shared segments, in its order.

    Args:
        request: the ``AdmittedRequest``.
        weights_version: version of the weights that made the blocks.
    """
    salt = salt_of(request, weights_version)
    return tuple(
        block_digests.block_digest(salt, segment.id)
        for segment in request.metadata.prompt_segments[:-1]
    )


def salt_of(request, weights_version):
    """Return the cache salt; blocks are shared only under one salt.

    Args:
        request: the ``AdmittedRequest``.
        weights_version: version of the weights that make the blocks.
    """
    version = f'{_model_prefix(request)}v{weights_version}'
    customer = request.customer
    if customer is not None and customer.is_isolated:
        return f'{version}/{customer.name}'
    group = request.configuration.sharing_group
    return f'{version}.{group}' if group else version


def _model_prefix(request):
    """Return what tells the blocks of a service's models apart.

    Empty for a service with a single model.
    """
    service = request.configuration.services_by_name.get(request.service)
    if service is None or service.engine is None:
        return ''
    if len(service.engine.models) < 2:
        return ''
    return f'{request.metadata.model}:'
