"""Admission of callers' requests, before anything is sent upstream."""

import dataclasses
import functools
import hashlib

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import configuration as configurations
from . import messages
from . import placement
from . import quota
from ..routing import segment_suspects

# Priority behind all that the configuration gives to routes and customers.
LOWEST_PRIORITY = 9
# Longest wait for the first configuration and for the usage of the other VMs,
# in seconds. A starting VM receives them within this time if any other VM has
# them.
CONFIGURATION_WAIT_SECONDS = 0.5
# Part of the time to a request's deadline that this wait may take. The rest
# lets the caller try another VM.
CONFIGURATION_WAIT_SHARE = 0.4


@dataclasses.dataclass(frozen=True, eq=False)
class AdmittedRequest:
    """An admitted request.

    Attributes:
        metadata: the caller's ``RequestMetadata``.
        route: the ``Route`` that matches its host and path.
        service: name of the service that it goes to.
        customer: the ``Customer`` of its key, or None. None is admitted
            only on public routes or if the configuration needs no keys.
        body: its body, or None.
        arrived_at: when it was read.
        first_arrived_at: when its body had come too, at the first VM if that
            has forwarded it.
        deadline_at: when its final answer is due.
        units: units that it takes from the customer's limit.
        fingerprint: digest of method, target, customer and body.
        configuration: the ``Configuration`` that the route, the service and
            the customer are of.
        is_within_rate: whether its customer's rate limit covers it.
        software_version: the only software version of an endpoint that may
            run it, or None for any.
    """

    metadata: messages.RequestMetadata
    route: configurations.Route
    service: str
    customer: configurations.Customer | None
    body: bytes | None = dataclasses.field(repr=False)
    arrived_at: float
    first_arrived_at: float
    deadline_at: float
    units: int
    fingerprint: str
    configuration: configurations.Configuration = dataclasses.field(repr=False)
    is_within_rate: bool = True
    software_version: str | None = None

    @property
    def priority(self):
        """Rank of the request, 0 first.

        Requests beyond the customer's rate get the lowest priority.
        """
        if not self.is_within_rate:
            return LOWEST_PRIORITY
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def soft_deadline_at(self):
        """Time after which the answer exceeds the target latency."""
        return self.arrived_at + self.route.target_latency

    @property
    def caller_leaves_at(self):
        """Time at which the caller leaves if no event has come; or inf."""
        return self.first_arrived_at + self.route.caller_patience

    @property
    def seconds_left(self):
        """Seconds until its final answer is due."""
        return self.deadline_at - clocks.now()

    @property
    def customer_name(self):
        """Name of the customer, or an empty string."""
        return self.customer.name if self.customer else ''

    @functools.cached_property
    def segment_keys(self):
        """Keys of the shared segments of the prompt."""
        return frozenset(
            segment_suspects.segment_key(self.metadata.model, segment.id)
            for segment in self.metadata.prompt_segments[:-1]
        )

    @property
    def demand(self):
        """The ``Demand`` that the request puts on an engine."""
        segments = self.metadata.prompt_segments
        shared = sum(segment.tokens for segment in segments[:-1])
        total = self.metadata.prompt_tokens
        if total is None:
            total = sum(segment.tokens for segment in segments)
        return placement.Demand(
            shared, max(0, total - shared), self.metadata.output_tokens
        )


class Admission:
    """Finds the route and the customer of requests and applies limits."""

    def __init__(
        self,
        configuration_store,
        dialect,
        fleet_quota,
        crash_suspects,
        prompt_segment_suspects,
        choose_service,
    ):
        """Create the admission.

        Args:
            configuration_store: the ``ConfigurationStore``, whose
                ``configuration`` is None until the VM has received one.
            dialect: the ``Dialect``.
            fleet_quota: the ``FleetQuota``.
            crash_suspects: the ``CrashSuspects``.
            prompt_segment_suspects: the ``SegmentSuspects``.
            choose_service: called with a ``Route``; returns one of its
                ``WeightedService`` records.
        """
        self._configuration_store = configuration_store
        self._dialect = dialect
        self._fleet_quota = fleet_quota
        self._crash_suspects = crash_suspects
        self._segment_suspects = prompt_segment_suspects
        self._choose_service = choose_service

    def admit(self, caller, arrived_at, forwarded=None):
        """Check a caller's request and consume its customer's quota.

        Args:
            caller: the request as it was read.
            arrived_at: when it was read.
            forwarded: the ``ForwardedRequest`` if another VM has admitted the
                request; it has consumed the quota then.

        Returns:
            The ``AdmittedRequest``.

        Raises:
            RequestRefused: the request must not run.
        """
        configuration = self._configuration_store.configuration
        if configuration is None:
            configuration = self._await_configuration(caller)
        route = configuration.find_route(caller.host, caller.path)
        if route is None:
            raise errors.RouteNotFound('no route matches the host and path')
        metadata = self._dialect.parse_request_headers(caller.headers)
        customer = find_customer(configuration, route, metadata)
        deadline_at = arrived_at + _time_allowed(metadata, route, forwarded)
        body_began_at = clocks.now()
        body = caller.read_body(deadline_at - body_began_at)
        whole_at = arrived_at + clocks.now() - body_began_at
        if len(body or b'') > configuration.limits.body_bytes:
            raise errors.BodyTooLarge('the body exceeds the size limit')
        request = AdmittedRequest(
            metadata,
            route,
            self._choose_service(route).service,
            customer,
            body,
            arrived_at,
            _first_arrival(metadata, route, whole_at, forwarded),
            deadline_at,
            count_units(metadata, customer),
            _fingerprint(caller, customer, body),
            configuration,
        )
        self._crash_suspects.refuse_if_crashing(request.fingerprint)
        self._segment_suspects.check(request.segment_keys)
        if forwarded is not None:
            return dataclasses.replace(
                request, is_within_rate=forwarded.is_within_rate
            )
        return self._consume_quota(request)

    def readmit(self, caller, request, is_bound):
        """Check a request again that was admitted before a change.

        All that its safety rests on is taken from the configuration in
        force: route, service, customer and the customer's isolation.

        Args:
            caller: the request as it was read.
            request: the ``AdmittedRequest``.
            is_bound: whether it must stay with its service, as it may have
                run there or goes on with a stream.

        Returns:
            The ``AdmittedRequest`` under the configuration in force.

        Raises:
            RequestRefused: the configuration in force does not allow it.
        """
        configuration = self._configuration_store.configuration
        route = request.route
        service = request.service
        if not is_bound:
            route = configuration.find_route(caller.host, caller.path)
            if route is None:
                raise errors.RouteNotFound(
                    'no route matches the host and path any more'
                )
            names = {share.service for share in route.weighted_services}
            if service not in names:
                service = self._choose_service(route).service
        events.emit(
            events.REQUEST_READMITTED,
            request_id=request.metadata.request_id,
            version=configuration.version,
            before=request.configuration.version,
            service=service,
            bound=is_bound,
        )
        return dataclasses.replace(
            request,
            configuration=configuration,
            route=route,
            service=service,
            customer=find_customer(configuration, route, request.metadata),
            deadline_at=min(
                request.deadline_at, request.arrived_at + route.timeout
            ),
        )

    def _await_configuration(self, caller):
        metadata = self._dialect.parse_request_headers(caller.headers)
        seconds = _wait_seconds(metadata)
        started_at = clocks.now()
        configuration = self._configuration_store.await_configuration(seconds)
        events.emit(
            events.CONFIGURATION_AWAITED,
            request_id=metadata.request_id,
            seconds=round(clocks.now() - started_at, 4),
            version=configuration.version if configuration else 0,
        )
        if configuration is None:
            raise errors.ConfigurationMissing(
                'this VM has no configuration yet'
            )
        return configuration

    def refund(self, request):
        """Refund the units of a request that has not run."""
        if request.customer is not None:
            self._fleet_quota.refund(request.customer.name, request.units)

    def _consume_quota(self, request):
        if request.customer is None:
            return request
        decision = self._fleet_quota.admit(
            request.customer.name, request.units
        )
        if decision.awaits_usage:
            decision = self._await_usage(request)
        if decision.verdict is quota.Verdict.WITHIN_RATE:
            return request
        events.emit(
            events.RATE_PASSED,
            request_id=request.metadata.request_id,
            customer=request.customer.name,
            verdict=decision.verdict.value,
            units=request.units,
            bucket=round(decision.level),
            recent=round(decision.recent),
            bound=round(decision.bound),
        )
        if decision.verdict is quota.Verdict.REFUSED:
            raise errors.RateExceeded(
                'the rate and the burst are exhausted', decision.retry_after
            )
        return dataclasses.replace(request, is_within_rate=False)

    def _await_usage(self, request):
        """Wait until this VM knows the usage of the others.

        Returns:
            The ``QuotaDecision`` on the request after that.
        """
        started_at = clocks.now()
        waited = started_at - request.arrived_at
        self._fleet_quota.await_usage(_wait_seconds(request.metadata) - waited)
        decision = self._fleet_quota.admit(
            request.customer.name, request.units
        )
        events.emit(
            events.USAGE_AWAITED,
            request_id=request.metadata.request_id,
            seconds=round(clocks.now() - started_at, 4),
            known=not decision.awaits_usage,
        )
        return decision


def _wait_seconds(metadata):
    """Return how long a request may wait at a VM that has just started."""
    if metadata.deadline is None:
        return CONFIGURATION_WAIT_SECONDS
    return min(
        CONFIGURATION_WAIT_SECONDS,
        CONFIGURATION_WAIT_SHARE * metadata.deadline,
    )


def find_customer(configuration, route, metadata):
    """Return the ``Customer`` of a request, or None.

    Args:
        configuration: the ``Configuration``.
        route: the ``Route`` of the request.
        metadata: its ``RequestMetadata``.

    Raises:
        KeyRefused: the route needs a key, and the request's is unknown.
    """
    if not configuration.needs_keys:
        return None
    customer = configuration.customers_by_key.get(metadata.api_key)
    if customer is None and not route.is_public:
        raise errors.KeyRefused('the API key is unknown or missing')
    return customer


def _time_allowed(metadata, route, forwarded):
    if forwarded is not None:
        return forwarded.time_left
    if metadata.deadline is None:
        return route.timeout
    return min(metadata.deadline, route.timeout)


def _first_arrival(metadata, route, whole_at, forwarded):
    """Return when the first VM of a request had read it to its end."""
    if forwarded is None:
        return whole_at
    if forwarded.time_used is not None:
        return whole_at - forwarded.time_used
    # Right if both VMs know the same timeout of the route.
    seconds_used = _time_allowed(metadata, route, None) - forwarded.time_left
    return whole_at - max(0.0, seconds_used)


def count_units(metadata, customer):
    """Return the units that a request takes from its customer's limit."""
    if customer is None or not customer.limits_tokens:
        return 1
    if metadata.prompt_tokens is None:
        return customer.default_tokens
    return metadata.prompt_tokens + metadata.output_tokens


def _fingerprint(caller, customer, body):
    name = customer.name if customer else ''
    head = f'{caller.method} {caller.target} {name}\n'
    digest = hashlib.blake2b(head.encode('latin-1'), digest_size=16)
    digest.update(body or b'')
    return digest.hexdigest()
