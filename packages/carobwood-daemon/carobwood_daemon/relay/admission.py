"""What a caller's request may do, before anything is sent."""

import dataclasses
import hashlib

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import configuration as configurations
from . import messages
from . import placement
from . import quota

# Behind all that routes and customers are given.
LAST_PRIORITY = 9
# A VM that starts hears the configuration in less time, if any VM has it.
CONFIGURATION_SECONDS = 0.5
# Part of a request's time that it may wait for this.
CONFIGURATION_SHARE = 0.4


@dataclasses.dataclass(frozen=True, eq=False)
class RelayRequest:
    """An admitted request.

    Attributes:
        hints: the caller's ``RoutingHints``.
        route: its ``Route``.
        service: name of the service that it goes to.
        customer: its ``Customer``, or None on an open route.
        body: its body, or None.
        arrived_at: when it was read.
        due_at: when its final answer is due.
        units: what it takes of the customer's limit.
        fingerprint: digest of path, customer and body.
        is_within_rate: whether its customer's rate covers it.
    """

    hints: messages.RoutingHints
    route: configurations.Route
    service: str
    customer: configurations.Customer | None
    body: bytes | None = dataclasses.field(repr=False)
    arrived_at: float
    due_at: float
    units: int
    fingerprint: str
    is_within_rate: bool = True

    @property
    def priority(self):
        """Rank of the request, 0 first; what exceeds a rate goes last."""
        if not self.is_within_rate:
            return LAST_PRIORITY
        if self.customer is not None and self.customer.priority is not None:
            return self.customer.priority
        return self.route.priority

    @property
    def on_time_until(self):
        """When its answer is no longer on time."""
        return self.arrived_at + self.route.target_latency

    @property
    def seconds_left(self):
        """Seconds until its final answer is due."""
        return self.due_at - clocks.now()

    @property
    def customer_name(self):
        """Name of the customer, or empty."""
        return self.customer.name if self.customer else ''

    @property
    def demand(self):
        """The ``Demand`` on an engine."""
        parts = self.hints.parts
        shared = sum(part.tokens for part in parts[:-1])
        total = self.hints.prompt_tokens
        if total is None:
            total = sum(part.tokens for part in parts)
        return placement.Demand(
            shared, max(0, total - shared), self.hints.output_tokens
        )


class Admission:
    """Finds route, customer and limits of each request."""

    def __init__(self, state, dialect, limits, suspects, draw):
        """Create the admission.

        Args:
            state: has the ``configuration`` in force, or None.
            dialect: the ``Dialect``.
            limits: the ``FleetQuota``.
            suspects: the ``Suspects``.
            draw: returns one of a route's ``ServiceShare`` records.
        """
        self._state = state
        self._dialect = dialect
        self._quota = limits
        self._suspects = suspects
        self._draw = draw

    def admit(self, caller, arrived_at):
        """Return the ``RelayRequest`` of a caller's request.

        Raises:
            RequestRefused: it is not to run.
        """
        configuration = self._state.configuration
        if configuration is None:
            configuration = self._await_configuration(caller)
        route = configuration.find_route(caller.host, caller.path)
        if route is None:
            raise errors.RouteNotFound('no route for the host and path')
        hints = self._dialect.parse_hints(caller.headers)
        customer = _identify(configuration, route, hints)
        body = caller.read_body()
        if len(body or b'') > configuration.limits.body_bytes:
            raise errors.BodyTooLarge('the body exceeds the limit')
        request = RelayRequest(
            hints,
            route,
            self._draw(route).service,
            customer,
            body,
            arrived_at,
            arrived_at + _time_allowed(hints, route),
            _units(hints, customer),
            _fingerprint(caller, customer, body),
        )
        self._suspects.check(request.fingerprint)
        return self._spend(request)

    def _await_configuration(self, caller):
        hints = self._dialect.parse_hints(caller.headers)
        seconds = CONFIGURATION_SECONDS
        if hints.deadline is not None:
            seconds = min(seconds, CONFIGURATION_SHARE * hints.deadline)
        began_at = clocks.now()
        configuration = self._state.await_configuration(seconds)
        events.emit(
            events.CONFIGURATION_AWAITED,
            request_id=hints.request_id,
            seconds=round(clocks.now() - began_at, 4),
            version=configuration.version if configuration else 0,
        )
        if configuration is None:
            raise errors.ConfigurationMissing('no configuration yet')
        return configuration

    def give_back(self, request):
        """Return the units of a request that has not run."""
        if request.customer is not None:
            self._quota.give_back(request.customer.name, request.units)

    def _spend(self, request):
        if request.customer is None:
            return request
        ruling = self._quota.admit(request.customer.name, request.units)
        if ruling.verdict is quota.Verdict.WITHIN_RATE:
            return request
        events.emit(
            events.RATE_PASSED,
            request_id=request.hints.request_id,
            customer=request.customer.name,
            verdict=ruling.verdict.value,
            units=request.units,
            bucket=round(ruling.level),
            recent=round(ruling.recent),
            bound=round(ruling.bound),
        )
        if ruling.verdict is quota.Verdict.REFUSED:
            raise errors.RateExceeded(
                'the rate and the burst are used up', ruling.wait
            )
        return dataclasses.replace(request, is_within_rate=False)


def _identify(configuration, route, hints):
    if not configuration.needs_keys:
        return None
    customer = configuration.customers_by_key.get(hints.key)
    if customer is None and not route.is_public:
        raise errors.KeyRefused('the key is unknown or missing')
    return customer


def _time_allowed(hints, route):
    if hints.deadline is None:
        return route.timeout
    return min(hints.deadline, route.timeout)


def _units(hints, customer):
    if customer is None or not customer.counts_tokens:
        return 1
    if hints.prompt_tokens is None:
        return customer.plain_tokens
    return hints.prompt_tokens + hints.output_tokens


def _fingerprint(caller, customer, body):
    name = customer.name if customer else ''
    head = f'{caller.method} {caller.target} {name}\n'
    digest = hashlib.blake2b(head.encode('latin-1'), digest_size=16)
    digest.update(body or b'')
    return digest.hexdigest()
