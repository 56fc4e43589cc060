"""Scenarios of the authentication of callers by key."""

import http.client
import json

import builders
import fleet as fleets
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

from carobwood import keys

scenarios('features/keys.feature')

UNKNOWN_KEY = keys.issue_key().secret


def _list_models(world, vm, key=None):
    headers = builders.bearer(key or world.key)
    return world.request(vm, 'GET', '/v1/models', headers=headers)


@given(
    parsers.parse('a fleet whose customers have an offline grace of {s:d} s')
)
def _fleet_with_grace(world, s):
    fields = yaml.safe_load(builders.document_text())
    for customer in fields['customers']:
        customer['offline_grace_seconds'] = s
    world.start_fleet(('bole', 'kirkos', 'arada'))
    world.configure(yaml.safe_dump(fields))


@when('requests with every kind of credential are sent')
def _send_credentials(world):
    secret = world.key
    answers = {}
    for name, headers in {
        'bearer': {'Authorization': f'Bearer {secret}'},
        'api key': {'X-Api-Key': secret},
        'none': {},
        'both': {'Authorization': f'Bearer {secret}', 'X-Api-Key': secret},
        'malformed': {'Authorization': f'Basic {secret}'},
        'short': {'X-Api-Key': 'cbw-short'},
        'unknown': {'X-Api-Key': UNKNOWN_KEY},
    }.items():
        headers['Carobwood-Customer'] = builders.OTHER_CUSTOMER
        headers['Proxy-Authorization'] = 'Basic eDp5'
        headers['Idempotency-Key'] = name.replace(' ', '-')
        answers[name] = (
            world.request('vm2', 'POST', '/orders', b'{}', headers),
            world.request(
                'vm1',
                'POST',
                '/v1/chat/completions',
                builders.chat_body(),
                headers,
            ),
        )
    world.shared_values['answers'] = answers


@then('each response depends on the credential alone')
def _response_by_credential(world):
    expected = {
        'bearer': (201, ''),
        'api key': (201, ''),
        'none': (401, 'credential_missing'),
        'both': (400, 'conflicting_credentials'),
        'malformed': (401, 'credential_malformed'),
        'short': (401, 'credential_malformed'),
        'unknown': (401, 'key_refused'),
    }
    for name, (order, chat) in world.shared_values['answers'].items():
        status, code = expected[name]
        assert (order.status, order.code) == (status, code), name
        assert chat.code == code, name
        if code:
            assert order.outcome == chat.outcome == 'not-run'
    assert set(world.run_counts()) == {'bearer', 'api-key'}


@then('no endpoint and no log has seen a key')
def _key_is_not_seen(world):
    texts = [
        json.dumps(world.get_stand_in_json('engine-1', '/counters')),
        json.dumps(world.get_stand_in_json('booth-orders', '/runs')),
    ]
    texts += [vm.read_log() for vm in world.vms_by_id.values()]
    for order, chat in world.shared_values['answers'].values():
        texts += [order.body.decode(), chat.body.decode()]
    for text in texts:
        assert 'cbw-' not in text


@then("callers' customer and hop-by-hop headers were dropped")
def _headers_are_dropped(world):
    seen = world.get_stand_in_json('engine-1', '/counters')['headers']
    seen += world.get_stand_in_json('booth-orders', '/runs')['headers']
    assert seen
    for headers in seen:
        assert headers['Carobwood-Customer'] == builders.CUSTOMER
        assert 'Proxy-Authorization' not in headers
        assert 'Authorization' not in headers
        assert 'X-Api-Key' not in headers


@when(
    'a key is withdrawn while a caller streams and another keeps its '
    'connection'
)
def _withdraw_in_use(world):
    secret, key_id = world.issue_key()
    host, _, port = world.vms_by_id['vm2'].caller_address.partition(':')
    kept = http.client.HTTPConnection(host, int(port), timeout=20)
    kept.request('GET', '/v1/models', headers=builders.bearer(secret))
    assert kept.getresponse().read()
    stream = world.pool.submit(world.chat, 'vm3', key=secret, max_tokens=500)
    fleets.wait_until(
        lambda: world.status('vm3')['requests_in_flight'] == 1,
        'the stream to start',
    )
    world.shared_values['withdrawn'] = world.run_client(
        'key', 'withdraw', key_id, vm_id='vm1'
    )
    kept.request('GET', '/v1/models', headers=builders.bearer(secret))
    response = kept.getresponse()
    world.shared_values['kept'] = builders.Response(
        response.status, response.headers, response.read()
    )
    world.shared_values['answer'] = stream.result()


@then('the stream ends with an error event')
def _stream_ends(world):
    last = world.shared_values['answer'].events[-1]
    assert '\nevent: error\n' in last and 'key_refused' in last


@then('the request on the kept connection is refused')
def _kept_refused(world):
    assert world.shared_values['kept'].code == 'key_refused'


@then('every data centre has confirmed the withdrawal')
def _withdrawal_is_confirmed(world):
    withdrawn = world.shared_values['withdrawn']
    assert withdrawn['confirmed_by_data_centre'] == {
        'arada': ['vm3'],
        'bole': ['vm1'],
        'kirkos': ['vm2'],
    }
    assert not any(withdrawn['unconfirmed_by_data_centre'].values())


@when('the key is withdrawn through vm1')
def _withdraw(world):
    _, reply = world.call_operator_api(
        'vm1', '/v1/keys/withdraw', key=world.key_id
    )
    assert reply['committed'] is False


@then(parsers.re(r'(?P<vm>vm\d) refuses the key'))
def _refuses(world, vm):
    fleets.wait_until(
        lambda: _list_models(world, vm).code == 'key_refused',
        f'{vm} to refuse',
    )


@then(parsers.re(r'(?P<vm>vm\d) refuses the key with (?P<code>\w+)'))
def _refuses_with(world, vm, code):
    fleets.wait_until(
        lambda: _list_models(world, vm).code == code, f'{vm} to refuse'
    )
    assert _list_models(world, vm).outcome == 'not-run'


@then(parsers.re(r'(?P<vm>vm\d) accepts the key'))
def _accepts(world, vm):
    fleets.wait_until(
        lambda: _list_models(world, vm).status == 200, f'{vm} to accept'
    )


@then('the withdrawal is committed')
def _withdrawal_is_committed(world):
    def is_committed():
        _, reply = world.call_operator_api(
            'vm2', '/v1/keys/withdraw', key=world.key_id
        )
        return reply['committed']

    fleets.wait_until(is_committed, 'the commit')
