"""Property tests: what the parser accepts, every part can apply."""

import copy
import json
import threading

from carobwood import errors
from carobwood_platform import configuration
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import relay_builders as builders

from carobwood_daemon.relay import kv_stores
from carobwood_daemon.relay import quota

EXAMPLES = 400
JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(st.characters(), max_size=6)
    | st.sampled_from(['10.0.0.1:80', '\ud800', 'a\r\nb', '', ' ', 'ኢ']),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=4), children, max_size=3)
    ),
    max_leaves=4,
)


def _full_configuration():
    fields = builders.configuration_fields()
    fields['services'].append(
        {'name': 'store', 'kv_store_addr': '10.0.0.9:8000'}
    )
    fields['routes'][0]['traffic_split'] = [
        {'service': 'engines', 'weight': 9},
        {'service': 'orders', 'weight': 1},
    ]
    fields['tenants'][0]['priority'] = 1
    fields['tenants'][0]['isolated'] = True
    return fields


def _paths(value, path=()):
    """Yield the path of each value in a JSON document."""
    yield path
    if isinstance(value, dict):
        for key, child in value.items():
            yield from _paths(child, (*path, key))
    if isinstance(value, list):
        for position, child in enumerate(value):
            yield from _paths(child, (*path, position))


PATHS = list(_paths(_full_configuration()))[1:]


def _with_value(path, value):
    fields = copy.deepcopy(_full_configuration())
    parent = fields
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return json.dumps(fields).encode()


class _StoreDialect:
    """A dialect whose KV cache stores give no cache events."""

    def fetch_cache_events(self, address, position, wait, timeout):
        """Fail at once."""
        raise errors.EngineCallFailed('no store')


def _apply(parsed):
    """Do with a configuration what the parts of a VM do with it."""
    stores = kv_stores.KvStores(_StoreDialect())
    stores.apply_configuration(parsed)
    fleet_quota = quota.FleetQuota(builders.tolerance(), False)
    fleet_quota.set_limits(parsed.customers)
    for route in parsed.routes:
        assert sum(s.weight for s in route.weighted_services) > 0
        assert parsed.find_route(route.host, route.path_prefix)
        threading.Event().wait(min(route.timeout, 1e-9))
        assert 0 < route.timeout <= threading.TIMEOUT_MAX
    for customer in parsed.customers:
        customer.name.encode('latin-1')
        assert '\n' not in customer.name and '\r' not in customer.name
    assert '' not in parsed.customers_by_key
    for service in parsed.services:
        service.name.encode('utf-8')


# An invalid configuration was put in force, and could not be applied.
@settings(max_examples=EXAMPLES)
@given(st.sampled_from(PATHS), JSON_VALUES)
def test_a_configuration_is_refused_or_can_be_applied(path, value):
    content = _with_value(path, value)
    try:
        parsed = configuration.parse_configuration(content)
    except errors.ConfigurationInvalid as error:
        assert error.faults and all(error.faults)
        return
    _apply(parsed)


@settings(max_examples=EXAMPLES)
@given(st.sampled_from(PATHS), JSON_VALUES)
def test_a_committed_configuration_can_be_applied(path, value):
    content = _with_value(path, value)
    try:
        parsed, faults = configuration.parse_committed_configuration(content)
    except errors.ConfigurationInvalid:
        return
    _apply(parsed)


@pytest.mark.parametrize(
    'path, value',
    [
        (('services', 2, 'kv_store_addr'), ['10.0.0.9:8000']),
        (('services', 2, 'kv_store_addr'), '10.0.0.9'),
        (('services', 0, 'engine', 'slots'), 0),
        (('services', 0, 'max_conns'), -1),
        (('routes', 0, 'public'), 'no'),
        (('routes', 0, 'sticky'), 1),
        (('routes', 0, 'name'), '\ud800'),
        (('tenants', 0, 'api_keys'), ['']),
        (('tenants', 0, 'api_keys'), [7]),
        (('tenants', 0, 'isolated'), 'false'),
        (('tenants', 0, 'name'), 'a\r\nX-Carobwood-Cache-Salt: b'),
        (('tenants', 0, 'priority'), '1'),
        (('tenants', 0, 'burst'), -5),
        (('limits', 'max_header_bytes'), 0),
    ],
)
def test_a_field_that_older_builds_accept_is_refused_but_readable(path, value):
    content = _with_value(path, value)
    with pytest.raises(errors.ConfigurationInvalid) as caught:
        configuration.parse_configuration(content)
    assert len(caught.value.faults) == 1
    parsed, faults = configuration.parse_committed_configuration(content)
    assert faults == caught.value.faults
    assert len(parsed.routes) == 4
