"""Tests of the platform's configuration format."""

import json

from carobwood import errors
from carobwood_platform import configuration
import pytest
import relay_builders as builders

from carobwood_daemon.relay import configuration as configurations


def _parse(fields):
    return configuration.parse_configuration(json.dumps(fields).encode())


def _faults(fields):
    with pytest.raises(errors.ConfigurationInvalid) as caught:
        _parse(fields)
    return caught.value.faults


def test_a_complete_configuration_is_parsed():
    parsed = _parse(builders.configuration_fields(7))
    assert parsed.version == 7
    route = parsed.find_route(builders.HOST, '/checks/one')
    assert route.kind is configurations.RouteKind.STREAMING
    assert route.timeout == 6.0
    assert route.target_latency == 0.6
    assert not route.is_idempotent
    assert parsed.find_route(builders.HOST, '/captions/x').is_idempotent
    assert parsed.services_by_name['engines'].engine.kv_cache_tokens == 100_000
    customer = parsed.customers_by_key[builders.KEY]
    assert customer.limits_tokens and customer.rate == 100_000


def test_the_longest_matching_prefix_of_a_host_is_chosen():
    fields = builders.configuration_fields()
    fields['routes'].append(
        builders.route_fields('deep', path_prefix='/checks/deep/')
    )
    parsed = _parse(fields)
    assert parsed.find_route(builders.HOST, '/checks/deep/x').name == 'deep'
    assert parsed.find_route(builders.HOST, '/checks/dee').name == 'checks'
    assert parsed.find_route('other.example', '/checks/x') is None
    assert parsed.find_route(builders.HOST, '/nowhere/') is None


def test_a_traffic_split_gives_the_weights_of_services():
    fields = builders.configuration_fields()
    del fields['routes'][0]['service']
    fields['routes'][0]['traffic_split'] = [
        {'service': 'engines', 'weight': 90},
        {'service': 'orders', 'weight': 10},
    ]
    shares = _parse(fields).routes[0].weighted_services
    assert [(share.service, share.weight) for share in shares] == [
        ('engines', 90),
        ('orders', 10),
    ]


def _with_changed_route(**changes):
    fields = builders.configuration_fields()
    fields['routes'][0].update(changes)
    return fields


@pytest.mark.parametrize(
    'fields',
    [
        _with_changed_route(service='nobody'),
        _with_changed_route(timeout_ms=0),
        _with_changed_route(path_prefix='checks'),
        _with_changed_route(kind='sometimes'),
        _with_changed_route(
            traffic_split=[{'service': 'engines', 'weight': 0}], service=None
        ),
        _with_changed_route(path_prefix='/captions/'),
        builders.configuration_fields(0),
        builders.configuration_fields(routes='none'),
        {'version': '1'},
        [],
    ],
)
def test_an_invalid_configuration_is_refused(fields):
    assert _faults(fields)


def test_two_customers_must_not_share_a_key():
    fields = builders.configuration_fields()
    fields['tenants'].append({'name': 'yeka', 'api_keys': [builders.KEY]})
    assert _faults(fields) == [
        'customer yeka: an API key is also that of another customer'
    ]


def test_a_truncated_configuration_is_refused():
    content = builders.configuration_body()
    for end in range(0, len(content) - 1, 37):
        with pytest.raises(errors.ConfigurationInvalid):
            configuration.parse_configuration(content[:end])


def test_unknown_fields_are_ignored():
    assert _parse(builders.configuration_fields(3, colour='red')).version == 3


@pytest.mark.parametrize(
    'value, path',
    [
        ('/health', '/health'),
        (None, ''),
        (7, ''),
        ('health', ''),
        ('/a\r\nb', ''),
    ],
)
def test_a_health_path_that_cannot_be_used_refuses_nothing(value, path):
    fields = builders.configuration_fields()
    fields['services'][1]['health_path'] = value
    assert _parse(fields).services_by_name['orders'].health_path == path


@pytest.mark.parametrize(
    'value, pause',
    [
        (300, 0.3),
        (0.5, 0.0005),
        (None, None),
        (0, None),
        (-300, None),
        (True, None),
        ('300', None),
        ([300], None),
    ],
)
def test_a_pause_that_cannot_be_used_refuses_nothing(value, pause):
    fields = builders.configuration_fields()
    fields['routes'][0]['gap_aim_ms'] = value
    assert _parse(fields).routes[0].target_pause == pause
