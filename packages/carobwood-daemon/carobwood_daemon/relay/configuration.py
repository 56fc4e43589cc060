"""Types of the operators' configuration: routes, services, customers."""

import dataclasses
import enum
import functools
import hashlib
import math

# Length of the key of customers that share cached prompts.
SHARING_GROUP_BYTES = 6
# Callers of a stream leave if its next event takes longer than the longest of
# these: a time, and multiples of what the operators count as on time.
MIN_PATIENCE_SECONDS = 2.0
PATIENCE_IN_TARGET_LATENCIES = 4.0
PATIENCE_IN_TARGET_PAUSES = 8.0


class RouteKind(enum.Enum):
    """Whether requests of a route may be retried once they may have run.

    Attributes:
        SAFE: they may be retried.
        UNSAFE: they must not run twice.
        STREAMING: they are responded to with an event stream, and may be
            retried if the route is resumable.
    """

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAMING = 'streaming'


@dataclasses.dataclass(frozen=True)
class WeightedService:
    """A service of a route and its share of the route's traffic.

    Attributes:
        service: name of the service.
        weight: its share, relative to the route's other services.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True)
class Route:
    """A route from a host and a path prefix to services.

    Attributes:
        name: name of the route.
        host: host in the ``Host`` header of requests, in lower case.
        path_prefix: prefix of their paths; begins and ends with a slash.
        kind: whether requests may be retried.
        timeout: seconds within which a request must be responded to.
        target_latency: seconds within which a response is on time.
        priority: priority of requests, 0 first.
        weighted_services: the services and their shares of the traffic.
        max_attempts: most attempts in which a request may run.
        is_public: whether requests need no API key.
        is_resumable: whether an interrupted stream may be resumed at
            another endpoint.
        has_prompts: whether requests carry prompts with shared parts.
        target_pause: seconds between two events of a stream within which
            the response is on time, or None if the operators name none.
    """

    name: str
    host: str
    path_prefix: str
    kind: RouteKind
    timeout: float
    target_latency: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_attempts: int
    is_public: bool
    is_resumable: bool
    has_prompts: bool
    target_pause: float | None = None

    @property
    def caller_patience(self):
        """Seconds for which callers wait for the next event of a stream.

        Infinite for other responses, and if it is not known.
        """
        if self.kind is not RouteKind.STREAMING or self.target_pause is None:
            return math.inf
        return max(
            MIN_PATIENCE_SECONDS,
            PATIENCE_IN_TARGET_LATENCIES * self.target_latency,
            PATIENCE_IN_TARGET_PAUSES * self.target_pause,
        )

    @property
    def is_idempotent(self):
        """Whether a request may be retried after it may have run."""
        match self.kind:
            case RouteKind.SAFE:
                return True
            case RouteKind.STREAMING:
                return self.is_resumable
        return False


@dataclasses.dataclass(frozen=True)
class EngineCapacity:
    """Capacity of each model engine of a service.

    Attributes:
        slots: requests that an engine runs concurrently.
        kv_cache_tokens: capacity of its KV cache in tokens.
        models: names of the models that it serves.
    """

    slots: int
    kv_cache_tokens: int
    models: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that requests are relayed to.

    Attributes:
        name: name of the service.
        max_connections: connections that an endpoint accepts.
        engine: the ``EngineCapacity`` if its endpoints are model engines,
            or None for a plain service.
        store_address: ``host:port`` if the service is a KV cache store,
            or empty.
        health_path: path of the health checks of its endpoints, or empty.
    """

    name: str
    max_connections: int
    engine: EngineCapacity | None
    store_address: str
    health_path: str = ''


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer and its limits.

    Attributes:
        name: name of the customer, which endpoints receive.
        api_keys: API keys of its callers.
        priority: priority of its requests, 0 first, which overrides that
            of the route; or None.
        limits_tokens: whether the units of the limits are tokens; they
            are requests otherwise.
        default_tokens: tokens that are counted for a request that does not
            state the length of its prompt.
        is_isolated: whether its cached prompts are not shared with other
            customers.
        rate: units per second by which its token bucket refills, 0 for no
            limit.
        burst: capacity of the token bucket in units.
    """

    name: str
    api_keys: tuple[str, ...] = dataclasses.field(repr=False)
    priority: int | None
    limits_tokens: bool
    default_tokens: int
    is_isolated: bool
    rate: float
    burst: float


@dataclasses.dataclass(frozen=True)
class RequestLimits:
    """Limits of callers' requests and connections.

    Attributes:
        header_bytes: largest head of a request.
        body_bytes: largest body of a request.
        head_seconds: time within which the head of a request must come, or
            0 for no such limit.
        idle_seconds: time for which a caller may use an idle connection
            again.
    """

    header_bytes: int
    body_bytes: int
    head_seconds: float
    idle_seconds: float


@dataclasses.dataclass(frozen=True, eq=False)
class Configuration:
    """A version of the operators' whole configuration.

    Attributes:
        version: the operators' own version number; the highest wins.
        routes: the routes.
        services: the services that routes lead to, and KV cache stores.
        customers: the customers; without any, no route needs a key.
        limits: the limits of callers' requests and connections.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[Service, ...]
    customers: tuple[Customer, ...]
    limits: RequestLimits

    @functools.cached_property
    def services_by_name(self):
        """The services by name."""
        return {service.name: service for service in self.services}

    @functools.cached_property
    def customers_by_key(self):
        """The customers by API key."""
        return {
            key: customer
            for customer in self.customers
            for key in customer.api_keys
        }

    @functools.cached_property
    def sharing_group(self):
        """Key of the customers that share cached prompts, or empty for all.

        It differs for each set of isolated customers: blocks that a
        customer made before it was isolated must not be found any more.
        """
        isolated = sorted(c.name for c in self.customers if c.is_isolated)
        if not isolated:
            return ''
        digest = hashlib.blake2b(digest_size=SHARING_GROUP_BYTES)
        for name in isolated:
            digest.update(name.encode('utf-8') + b'\0')
        return digest.hexdigest()

    @functools.cached_property
    def _routes_by_host(self):
        routes_by_host = {}
        for route in self.routes:
            routes_by_host.setdefault(route.host, []).append(route)
        for routes in routes_by_host.values():
            routes.sort(key=lambda route: -len(route.path_prefix))
        return routes_by_host

    @property
    def needs_keys(self):
        """Whether routes that are not public need an API key."""
        return bool(self.customers)

    def find_route(self, host, path):
        """Return the route with the longest matching prefix, or None.

        Args:
            host: host of the request in lower case, without a port.
            path: path of the request, without the query.
        """
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.path_prefix):
                return route
        return None
