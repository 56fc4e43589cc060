"""Scenarios of orders to engines."""

import json
import signal
import uuid

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

scenarios('features/orders.feature')


def _place(world, engine, version, code):
    place = ('order', 'place', engine, 'load-weights', version)
    return world.client(*place, code=code)


@when(
    parsers.parse(
        '{engine} is ordered to load weights {version} while callers stream'
    )
)
def _order_in_use(world, engine, version):
    world.notes['streams'] = [
        world.pool.submit(world.chat, prompt=f'menu {n}', max_tokens=120)
        for n in range(8)
    ]
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == 8,
        'the streams to start',
    )
    world.notes['order'] = _place(world, engine, version, 0)


@when(
    parsers.re(r'(?P<engine>\S+) is ordered to load weights (?P<version>\S+)')
)
def _order(world, engine, version):
    world.notes['order'] = _place(world, engine, version, None)


@when(parsers.parse('{engine} has already followed a newer order'))
def _newer(world, engine):
    world.http.request(
        'POST',
        f'http://127.0.0.1:{world.ports_by_id[engine]}/v1/orders',
        body=json.dumps(
            {'fencing_number': 10**9, 'kind': 'set-role', 'argument': 'x'}
        ),
    )


@when(
    parsers.parse(
        '{engine} is ordered to load weights {version} and the leader is '
        'killed'
    )
)
def _order_and_kill(world, engine, version):
    leader = fleets.wait_until(world.leader, 'a leader')
    status, body = world.operate(
        leader,
        '/v1/orders/place',
        endpoint_id=engine,
        kind='load-weights',
        argument=version,
        operation_id=uuid.uuid4().hex,
    )
    assert status == 200
    world.notes['fencing'] = body['version']
    world.stop_vm(leader, signal.SIGKILL)
    world.notes['live'] = [v for v in world.vms_by_id if v != leader]


@when(parsers.parse('a document asks for weights {version}'))
def _ask(world, version):
    fields = yaml.safe_load(builders.document())
    fields['models'][0]['weights_version'] = version
    path = world.folder / 'document.yaml'
    path.write_text(yaml.safe_dump(fields))
    world.client('document', 'apply', str(path))


@then(parsers.parse('the order is {state}'))
def _state(world, state):
    assert world.notes['order']['state'] == state, world.notes['order']


@then('no stream was cut and no request ran during the load')
def _not_cut(world):
    for stream in world.notes['streams']:
        answer = stream.result()
        assert answer.events[-1].endswith('data: [DONE]')
        assert len(answer.words) == 120
    counters = world.stand_in_get('engine-1', '/counters')['counters']
    assert counters['running_at_order'] == 0
    assert '"stream-resumed"' not in world.vms_by_id['vm1'].log_text()


@then(parsers.parse('every answer comes from {engine}'))
def _comes_from(world, engine):
    fleets.wait_until(
        lambda: all(world.chat(v).status == 200 for v in world.vms_by_id),
        'answers of the new weights',
    )
    counters = world.stand_in_get(engine, '/counters')
    version = counters['headers'][-1]['X-Weights-Version']
    assert version == '2027-01'


@then(parsers.parse('{engine} still serves'))
def _still_serves(world, engine):
    assert world.chat().status == 200


@then(parsers.parse('the live VMs list the order as {state}'))
def _listed(world, state):
    def is_listed():
        for vm_id in world.notes['live']:
            orders = world.client('order', 'list', vm_id=vm_id)
            states = {o['fencing_number']: o['state'] for o in orders}
            if states.get(world.notes['fencing']) != state:
                return False
        return True

    fleets.wait_until(is_listed, 'the order to be carried out')
