"""Builders of test data for relayed requests."""

import json
import zlib

from carobwood import clocks
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.relay import admission
from carobwood_daemon.relay import configuration
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import placement
from carobwood_daemon.relay import quota_tolerance
from carobwood_daemon.replication import commands
from carobwood_platform import dialect

HOST = 'booths.example'
KEY = 'key-of-bole-0001'
MODEL = 'ruling'
HEALTH_PATH = '/health'


class Clock:
    """A clock that a test advances.

    Attributes:
        now: the current time in seconds.
    """

    def __init__(self, now=1000.0):
        self.now = now

    def __call__(self):
        """Return the current time in seconds."""
        return self.now

    def advance(self, seconds):
        """Advance the clock."""
        self.now += seconds


def customer(name='bole', **changes):
    """Return a customer whose limit counts tokens."""
    fields = {
        'name': name,
        'api_keys': (KEY,),
        'priority': None,
        'limits_tokens': True,
        'default_tokens': 200,
        'is_isolated': False,
        'rate': 1000.0,
        'burst': 1000.0,
    }
    return configuration.Customer(**{**fields, **changes})


def tolerance(**changes):
    """Return a tolerance with a window of 8 s."""
    fields = {'window': 8.0, 'overshoot': 0.1, 'slack': 1000.0}
    return quota_tolerance.QuotaTolerance(**{**fields, **changes})


def admitted_request(metadata, route, seconds_left=10.0, **changes):
    """Return an admitted request of the customer ``bole``."""
    now = clocks.now()
    fields = {
        'metadata': metadata,
        'route': route,
        'service': 'engines',
        'customer': customer(),
        'body': None,
        'arrived_at': now,
        'first_arrived_at': now,
        'deadline_at': now + seconds_left,
        'units': 1,
        'fingerprint': '',
        'configuration': dialect.PlatformDialect().parse_configuration(
            configuration_body()
        ),
    }
    return admission.AdmittedRequest(**{**fields, **changes})


def response_head(status=200, **changes):
    """Return the head of a signed answer of an engine."""
    fields = {
        'status': status,
        'endpoint_id': '',
        'request_id': 'r-1',
        'has_not_run': False,
        'is_signed': True,
        'weights_version': 0,
        'idle_timeout': None,
        'closes_connection': False,
        'is_event_stream': False,
    }
    return messages.ResponseHead(**{**fields, **changes})


def endpoint(name='engine-1', **changes):
    """Return an endpoint as its announcement describes it."""
    fields = {
        'id': name,
        'incarnation': 1,
        'sequence': 1,
        'address': f'10.0.0.{abs(hash(name)) % 250}:8000',
        'data_centre': 'bole',
        'pool': 'engines',
        'environment': '',
    }
    return endpoint_table.Endpoint(**{**fields, **changes})


def candidate(name='engine-1', **changes):
    """Return an idle engine whose KV cache holds 100,000 tokens."""
    fields = {
        'endpoint': endpoint(name),
        'load': fleet_loads.Load(),
        'slots': 64,
        'kv_cache_tokens': 100_000,
    }
    return placement.Candidate(**{**fields, **changes})


def route_fields(name='checks', **changes):
    """Return a route as a JSON object of the operators' format."""
    fields = {
        'name': name,
        'host': HOST,
        'path_prefix': f'/{name}/',
        'kind': 'streaming',
        'timeout_ms': 6000,
        'target_latency_ms': 600,
        'priority': 1,
        'service': 'engines',
        'max_attempts': 1,
        'public': False,
        'sticky': True,
        'resumable': False,
    }
    return {**fields, **changes}


def configuration_fields(version=1, **changes):
    """Return a configuration as a JSON object of the operators' format."""
    engine = {
        'slots': 64,
        'kv_capacity': 100_000,
        'models': [{'name': MODEL}],
    }
    fields = {
        'version': version,
        'routes': [
            route_fields('checks'),
            route_fields(
                'captions', resumable=True, max_attempts=2, priority=0
            ),
            route_fields(
                'orders', kind='unsafe', service='orders', sticky=False
            ),
            route_fields(
                'lookups',
                kind='safe',
                service='orders',
                sticky=False,
                max_attempts=2,
                timeout_ms=1500,
                target_latency_ms=300,
            ),
        ],
        'services': [
            {'name': 'engines', 'max_conns': 100, 'engine': engine},
            {'name': 'orders', 'max_conns': 100},
        ],
        'limits': {'max_header_bytes': 16384, 'max_body_bytes': 4194304},
        'tenants': [
            {
                'name': 'bole',
                'api_keys': [KEY],
                'unit': 'tokens',
                'plain_tokens': 200,
                'rate_per_s': 100_000,
                'burst': 100_000,
            }
        ],
    }
    return {**fields, **changes}


def configuration_body(version=1, **changes):
    """Return an encoded configuration, as operators send it."""
    return json.dumps(configuration_fields(version, **changes)).encode()


def put_configuration(version=1, content=None):
    """Return the command that puts a configuration in force."""
    content = configuration_body(version) if content is None else content
    return commands.PutConfiguration(version, zlib.compress(content))
