"""Order of urgency among the requests for a service.

Load pattern: customers of one priority send requests of two kinds, and a
surge of the less urgent kind takes the places of the other. A request beyond
its customer's rate comes after all others.

The priority of the customer goes before that of the route, which decides
among requests of equally ranked customers.
"""

import dataclasses

# Lowest rank of a request within its customer's rate.
LOWEST_RANK_WITHIN_RATE = 8


@dataclasses.dataclass(frozen=True, order=True)
class Urgency:
    """Urgency of a request; the lowest sorts first.

    Attributes:
        priority: priority of the request by its customer, 0 first.
        route_priority: priority of its route, 0 first.
    """

    priority: int
    route_priority: int


def of(request):
    """Return the ``Urgency`` of an ``AdmittedRequest``."""
    return Urgency(request.priority, request.route.priority)


def engine_rank(request):
    """Return the rank of a request among all that may come, 0 first.

    Engines know one number only. Requests beyond their customer's rate keep
    the lowest.

    Args:
        request: the ``AdmittedRequest``.
    """
    if not request.is_within_rate:
        return request.priority
    own = of(request)
    above = {
        urgency
        for urgency in _possible(request.configuration)
        if urgency < own
    }
    return min(len(above), LOWEST_RANK_WITHIN_RATE)


def _possible(configuration):
    """Return the urgencies that requests within their rate may have."""
    route_priorities = {route.priority for route in configuration.routes}
    customer_priorities = {
        customer.priority for customer in configuration.customers
    }
    if not customer_priorities:
        customer_priorities = {None}
    return {
        Urgency(
            route_priority if priority is None else priority, route_priority
        )
        for route_priority in route_priorities
        for priority in customer_priorities
    }
