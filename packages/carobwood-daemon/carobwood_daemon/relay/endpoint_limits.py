"""Limits of the connections of endpoints, from the configuration."""

from . import connection_shares

ENGINE_KIND = 'engine'
PLAIN_KIND = 'plain'


def find_limits(configuration, endpoints):
    """Return the ``EndpointLimit`` of each endpoint, by address.

    Args:
        configuration: the ``Configuration`` in force, or None.
        endpoints: the endpoints that serve.
    """
    if configuration is None:
        return {}
    limits_by_service = {
        service.name: connection_shares.EndpointLimit(
            service.max_connections,
            PLAIN_KIND if service.engine is None else ENGINE_KIND,
        )
        for service in configuration.services
    }
    return {
        endpoint.address: limits_by_service[endpoint.pool]
        for endpoint in endpoints
        if endpoint.pool in limits_by_service
    }
