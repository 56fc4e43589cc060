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


def model_service(name, model):
    """Return a service of model engines, as on the sheet of tussock-camps."""
    return {
        **plain_service(name, 360),
        'engine': {
            'slots': 64,
            'kv_capacity': 114649,
            'kv_token_bytes': 163840,
            'bandwidth_mbps': 180000.0,
            'moves': True,
            'backups': True,
            'stride': 4,
            'max_inflight': 12,
            'pin_ms': 4000.0,
            'hold_ms': 2000.0,
            'handle_s': 5.0,
            'models': [{'name': model}],
        },
    }


def stream_route(name, service, prefix, timeout_ms=15000):
    """Return a route of streams to a service of model engines."""
    return {
        **route(name, service, 'streaming', prefix, timeout_ms),
        'host': 'galley.example',
        'priority': 1,
        'sticky': True,
        'gap_aim_ms': 300,
    }


def tenant(name, key, is_isolated=False):
    """Return a tenant without a limit."""
    return {
        'name': name,
        'api_keys': [key],
        'priority': 1,
        'unit': 'tokens',
        'plain_tokens': 200,
        'isolated': is_isolated,
        'rate_per_s': 0,
        'burst': 0,
    }
