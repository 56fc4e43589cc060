"""Configurations in the platform's format, as the operator sends them."""


def configuration(version, routes, services, tenants=()):
    """Return a configuration; see PROTOCOL.md for its fields."""
    return {
        'version': version,
        'routes': list(routes),
        'services': list(services),
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 4194304,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
        },
        'tenants': list(tenants),
    }


def plain_service(name, max_conns=100):
    """Return a service whose engines are no model engines."""
    return {
        'name': name,
        'health_path': '/health',
        'max_conns': max_conns,
        'protocol': 'h1',
        'tls': False,
    }


def route(name, service, kind, prefix, timeout_ms=3000, **fields):
    """Return a route to a plain service."""
    return {
        'name': name,
        'host': 'stores.example',
        'path_prefix': prefix,
        'kind': kind,
        'timeout_ms': timeout_ms,
        'target_latency_ms': 400,
        'priority': 2,
        'service': service,
        'max_attempts': 2 if kind == 'safe' else 1,
        'public': False,
        'sticky': False,
        'resumable': False,
        **fields,
    }
