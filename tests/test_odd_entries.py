"""Odd values from other writers, which must not hold up the other records.

One that no message between VMs can carry would make each exchange of the VM
that has accepted it fail.
"""

import dataclasses
import json
import types

from carobwood import errors
from carobwood_platform import configuration
from carobwood_platform import control_api
from carobwood_platform import dialect
import gossip_fleet
import pytest
import relay_builders as builders

HEARTBEAT = {
    'service': 'engines',
    'address': '10.128.0.9:8080',
    'zone': 'bole',
    'version': 'v1',
    'state': 'ready',
    'models': [{'name': 'ruling', 'version': 3}],
    'seq_no': 4,
    'born': 1_700_000_000_000,
}
NESTED = b'[' * 200_000 + b']' * 200_000
HUGE = 2**70
HALF_PAIR = '\ud800'
LONG = 'x' * 1_000_000
ODD_CHANGES = [
    {'born': HUGE},
    {'born': -1},
    {'seq_no': 2**64},
    {'seq_no': 2**62},
    {'seq_no': 1e3},
    {'seq_no': True},
    {'address': '10.128.0.9:0'},
    {'address': '10.128.0.9:65536'},
    {'address': '10.128.0.9:8080' + '0' * 5000},
    {'zone': HALF_PAIR},
    {'zone': LONG},
    {'service': LONG},
    {'version': HALF_PAIR},
    {'models': [{'name': 'ruling', 'version': HUGE}]},
    {'models': {'name': 'ruling'}},
    {'models': [[]]},
    {'state': []},
    {'state': 'lost'},
]


def _announce(control, body, name='odd'):
    """Return the status of an announcement."""
    content = body if isinstance(body, bytes) else json.dumps(body).encode()
    api = control_api.ControlApi(control)
    request = control_api.gateway.ApiRequest(
        'PUT', f'/v1/instances/{name}', {}, content
    )
    return api.handle(request).status


def _fleet(monkeypatch):
    fleet = gossip_fleet.GossipFleet(monkeypatch, 4, 8)
    fleet.run(4.0)
    return fleet


@pytest.mark.parametrize('changes', ODD_CHANGES, ids=lambda c: str(c)[:40])
def test_an_odd_announcement_is_rejected_and_holds_up_no_other(
    monkeypatch, changes
):
    fleet = _fleet(monkeypatch)
    control = fleet.vms_by_id['core-0'].control
    assert _announce(control, HEARTBEAT | changes) == 400
    assert _announce(control, HEARTBEAT, 'sound') == 200
    fleet.run(2.0)
    for vm in fleet.vms_by_id.values():
        assert [e.id for e in vm.directory.endpoints()] == ['sound']


@pytest.mark.parametrize(
    'content', [NESTED, b'\xff', b'', b'9' * 5000, b'{"born": 1e999}']
)
def test_an_announcement_that_cannot_be_decoded_is_rejected(
    monkeypatch, content
):
    control = _fleet(monkeypatch).vms_by_id['core-0'].control
    assert _announce(control, content) == 400


@pytest.mark.parametrize('name', [LONG, '', 'a\ud800'])
def test_an_announcement_under_an_odd_id_is_rejected(monkeypatch, name):
    control = _fleet(monkeypatch).vms_by_id['core-0'].control
    assert _announce(control, HEARTBEAT, name) == 400


@pytest.mark.parametrize(
    ('name', 'value'),
    [
        ('x-carobwood-token-counts', f'{HUGE},1'),
        ('x-carobwood-token-counts', '-100,1'),
        ('x-carobwood-token-counts', '1_000,1'),
        ('x-carobwood-token-counts', '9' * 4000 + ',1'),
        ('x-carobwood-prompt-prefix', f'aa:{HUGE}'),
        ('x-carobwood-prompt-prefix', 'aa:-5,bb:5'),
        ('x-carobwood-deadline-ms', '9' * 400),
        ('x-carobwood-deadline-ms', '-1'),
        ('x-carobwood-deadline-ms', '²'),
    ],
)
def test_an_odd_number_in_a_caller_header_is_refused(name, value):
    with pytest.raises(errors.MalformedRequest):
        dialect.PlatformDialect().parse_request_headers({name: value})


@pytest.mark.parametrize('text', ['²', '9' * 400, str(HUGE), '-1', '1e3'])
def test_an_odd_number_in_an_answer_counts_as_none(text):
    head = dialect.PlatformDialect().parse_response_head(
        200,
        {
            'x-carobwood-weight-versions': text,
            'keep-alive': f'timeout={text}',
        },
    )
    assert head.weights_version == 0
    assert head.idle_timeout is None


@pytest.mark.parametrize(
    'body',
    [
        NESTED,
        b'[]',
        json.dumps(
            {
                'models': [{'name': 'ruling', 'version': HUGE}],
                'busy': False,
                'seq_no': 1,
            }
        ).encode(),
        json.dumps({'models': [], 'busy': False, 'seq_no': 1e400}).encode(),
    ],
    ids=['nested', 'list', 'version', 'infinity'],
)
def test_an_odd_report_of_an_engine_fails_the_call(monkeypatch, body):
    platform = dialect.PlatformDialect()
    monkeypatch.setattr(platform, '_call', lambda *a, **k: _Response(body))
    with pytest.raises(errors.EngineCallFailed):
        platform.read_engine_report('10.0.0.1:1', 1.0)


@pytest.mark.parametrize(
    'changes',
    [
        {'next': HUGE},
        {'boot_epoch': 1e400},
        {'events': [[1, '+', 's', 5, 6]]},
        {'events': [[1, '+', None, 'aa', 6]]},
        {'events': [[1]]},
        {'events': 5},
    ],
    ids=str,
)
def test_odd_cache_events_of_an_engine_fail_the_call(monkeypatch, changes):
    body = {'boot_epoch': 1, 'next': 1, 'lost': False, 'events': []} | changes
    platform = dialect.PlatformDialect()
    content = json.dumps(body).encode()
    monkeypatch.setattr(platform, '_call', lambda *a, **k: _Response(content))
    with pytest.raises(errors.EngineCallFailed):
        platform.fetch_cache_events('10.0.0.1:1', 0, 0.5, 1.0)


@pytest.mark.parametrize(
    'content',
    [
        NESTED,
        json.dumps(builders.configuration_fields(HUGE)).encode(),
        b'{"version": 1e400}',
    ],
    ids=['nested', 'version', 'infinity'],
)
def test_an_odd_configuration_is_invalid(content):
    with pytest.raises(errors.ConfigurationInvalid):
        configuration.parse_configuration(content)


@pytest.mark.parametrize('version', [HUGE, -1])
def test_an_odd_version_of_weights_is_rejected(version):
    set_versions = []
    api = control_api.ControlApi(
        types.SimpleNamespace(
            set_weights_version=lambda *version: set_versions.append(version)
        )
    )
    body = json.dumps({'model': 'ruling', 'version': version}).encode()
    request = control_api.gateway.ApiRequest(
        'POST', '/v1/version-put', {}, body
    )
    assert api.handle(request).status == 400
    assert set_versions == []


@dataclasses.dataclass(frozen=True)
class _Response:
    """A response of an engine to a call."""

    data: bytes
    status: int = 200
