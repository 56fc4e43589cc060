"""Explains where a request would go now; sends and counts nothing."""

import dataclasses
import functools

from carobwood import clocks
from carobwood import errors
from carobwood import keys

from . import admission
from . import assignment_queue
from . import caller_patience
from . import explanation
from . import fleet_loads
from . import messages
from . import obstacles
from . import overload_gate
from . import placement
from . import quota


class Explainer:
    """Collects what an entry VM knows of a request's way."""

    def __init__(self, context, selector, fleet_quota, find_rollout):
        """Create the explainer.

        Args:
            context: the ``RelayContext``.
            selector: the ``Selector``.
            fleet_quota: the ``FleetQuota``.
            find_rollout: function from the name of a service to its
                ``RolloutRecord``, or None.
        """
        self._context = context
        self._selector = selector
        self._fleet_quota = fleet_quota
        self._find_rollout = find_rollout

    def explain(self, query):
        """Return the ``Explanation`` of a ``Query``.

        Raises:
            ConfigurationMissing: this VM has no configuration yet.
            RouteNotFound: no route matches.
            KeyRefused: the key is missing, unknown or withdrawn.
            NotFound: the customer is unknown.
            ConfigurationChanged: it has changed meanwhile.
        """
        configuration = self._context.configuration_store.configuration
        if configuration is None:
            raise errors.ConfigurationMissing(
                'this VM has no configuration yet'
            )
        route = configuration.find_route(query.host.lower(), query.path)
        if route is None:
            raise errors.RouteNotFound('no route matches the host and path')
        customer = _find_customer(configuration, route, query)
        request = _make_request(configuration, route, customer, query)
        quota_view = None
        if customer is not None:
            decision = self._fleet_quota.preview(customer.name, request.units)
            quota_view = explanation.view_quota(decision, request.units)
            request = dataclasses.replace(
                request,
                is_within_rate=decision.verdict is quota.Verdict.WITHIN_RATE,
            )
        own_vm = self._context.directory.own_vm
        return explanation.Explanation(
            own_vm.id,
            self._context.data_centre,
            configuration.version,
            route.name,
            request.customer_name,
            request.priority,
            quota_view,
            tuple(
                self._view_service(request, share, quota_view)
                for share in route.weighted_services
            ),
        )

    def _view_service(self, request, share, quota_view):
        request = dataclasses.replace(request, service=share.service)
        context = self._context
        service_key = assignment_queue.queue_key(context, request)
        ahead = context.wait_queue.count_ahead(*service_key)
        room = _Room(context, request)
        survey = self._selector.survey(request, room.filter)
        overload = room.view(ahead)
        situation = explanation.Situation(
            explanation.is_over_quota(quota_view),
            bool(survey.obstacles_by_id) or not context.is_discovery_done(),
            survey.choice is not None,
            ahead,
            context.reachability.is_cut_off,
            self._opens_in_time(request),
            overload,
        )
        decision, reason = explanation.decide(situation)
        endpoint_id = ''
        if decision is explanation.Decision.SEND:
            endpoint_id = survey.choice.candidate.endpoint.id
        weights = [s.weight for s in request.route.weighted_services]
        return explanation.ServiceView(
            share.service,
            round(share.weight / sum(weights), 4),
            decision,
            reason,
            endpoint_id,
            ahead,
            round(context.loads.oldest_report_age(), 3),
            overload,
            self._view_rollout(share.service),
            self._view_endpoints(request, survey, room.ids),
        )

    def _opens_in_time(self, request):
        max_wait = self._context.wait_queue.max_wait(
            request.deadline_at, caller_patience.latest_wait_end(request)
        )
        seconds = self._selector.seconds_until_any_open(request, frozenset())
        return seconds <= max(0.0, max_wait)

    def _view_rollout(self, service):
        record = self._find_rollout(service)
        if record is None:
            return None
        return explanation.RolloutView(
            record.target_version, record.phase, record.reason
        )

    def _view_endpoints(self, request, survey, ids_with_room):
        costs_by_id = placement.costs_by_id(
            survey.candidates_by_id.values(), request.demand
        )
        find_obstacle = functools.partial(
            explanation.find_obstacle,
            survey=survey,
            demand=request.demand,
            ids_with_room=ids_with_room,
        )
        views = []
        for endpoint in self._context.directory.endpoints():
            if endpoint.pool != request.service:
                continue
            if endpoint.id in survey.obstacles_by_id:
                obstacle = find_obstacle(endpoint.id)
            else:
                obstacle = self._obstacle_to_any(endpoint)
            views.append(
                self._view_endpoint(
                    request.metadata.model,
                    endpoint,
                    obstacle,
                    survey.loads_by_id.get(endpoint.id, fleet_loads.Load()),
                    survey.candidates_by_id.get(endpoint.id),
                    costs_by_id.get(endpoint.id),
                )
            )
        return tuple(sorted(views, key=explanation.rank_of))

    def _obstacle_to_any(self, endpoint):
        """Return why an endpoint may not take a request, even later."""
        context = self._context
        serving = context.directory.serving_endpoints()
        if endpoint.id not in {other.id for other in serving}:
            return obstacles.Obstacle.DRAINED
        if context.availability.is_leaving(endpoint):
            return obstacles.Obstacle.LEAVING
        return obstacles.Obstacle.OTHER_VERSION

    def _view_endpoint(self, model, endpoint, obstacle, load, candidate, cost):
        context = self._context
        weights_version = context.engine_weights.version(endpoint, model)
        if candidate is not None:
            weights_version = candidate.weights_version
        return explanation.EndpointView(
            endpoint.id,
            endpoint.data_centre,
            endpoint.software_version,
            weights_version or 0,
            obstacle.value if obstacle else '',
            context.rate_limits.is_limited(endpoint),
            round(self._selector.seconds_until_open(endpoint), 3),
            None if cost is None else round(cost, 4),
            candidate.cached_tokens if candidate else 0,
            load.running,
            candidate.slots if candidate else 0,
            load.kv_cache_tokens,
            load.prefill_tokens,
            round(context.directory.news_age(endpoint), 3),
        )


class _Room:
    """Room that the admission under overload has for one request.

    Attributes:
        ids: ids of the endpoints with room, or None if all may have.
    """

    def __init__(self, context, request):
        self.ids = None
        self._control = None
        self._request = request
        self._offers = []
        if overload_gate.has_engines(request):
            self._control = context.overload
        if self._control is not None:
            self._need = overload_gate.make_need(request)

    def filter(self, candidates):
        """Return the candidates with room; see ``Selector.try_assign``."""
        if self._control is None:
            return candidates
        offers = overload_gate.make_offers(candidates, self._request.demand)
        ids = self._control.ids_with_room(self._need, offers)
        self._offers += offers
        self.ids = (self.ids or frozenset()) | ids
        return [c for c in candidates if c.endpoint.id in ids]

    def view(self, ahead):
        """Return the ``OverloadView``, or None without such an admission.

        Args:
            ahead: number of waiting requests that go before the request.
        """
        if self._control is None:
            return None
        control = self._control
        service = self._request.service
        return explanation.OverloadView(
            round(control.level(self._need), 2),
            round(control.limit_fraction(service), 2),
            round(control.forecast_seconds(service, ahead), 3),
            control.can_be_on_time(self._need, self._offers),
            control.is_worth_waiting(self._need, ahead),
        )


def _find_customer(configuration, route, query):
    if query.customer:
        for customer in configuration.customers:
            if customer.name == query.customer:
                return customer
        raise errors.NotFound('the configuration has no such customer')
    metadata = messages.RequestMetadata(
        api_key=_find_key(configuration, query.key_digest)
    )
    return admission.find_customer(configuration, route, metadata)


def _find_key(configuration, key_digest):
    """Return the key with a digest, or an empty string."""
    if not key_digest:
        return ''
    for key in configuration.customers_by_key:
        if key.isascii() and keys.digest_key(key) == key_digest:
            return key
    return ''


def _make_request(configuration, route, customer, query):
    """Return the ``AdmittedRequest`` that would be made of a query."""
    metadata = messages.RequestMetadata(
        model=query.model,
        prompt_segments=query.prompt_segments,
        prompt_tokens=query.prompt_tokens,
        output_tokens=query.output_tokens,
    )
    now = clocks.now()
    return admission.AdmittedRequest(
        metadata,
        route,
        '',
        customer,
        None,
        now,
        now,
        now + route.timeout,
        admission.count_units(metadata, customer),
        '',
        configuration,
    )
