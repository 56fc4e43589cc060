"""Step functions for the scenarios of orders to engines."""

import json
import signal
import time
import uuid

import builders
import fleet as fleets
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when
import yaml

scenarios('features/orders.feature')

WEIGHTS_VERSION = 'X-Weights-Version'
# Time in which all engines have other weights, also beside load.
ROLL_OUT_SECONDS = 120.0


def _place(world, engine, version, code):
    place = ('order', 'place', engine, 'load-weights', version)
    return world.run_client(*place, code=code)


@when(
    parsers.parse(
        '{engine} is ordered to load weights {version} while callers stream'
    )
)
def _order_while_streaming(world, engine, version):
    world.shared_values['streams'] = [
        world.pool.submit(world.chat, prompt=f'menu {n}', max_tokens=120)
        for n in range(8)
    ]
    fleets.wait_until(
        lambda: world.status('vm1')['requests_in_flight'] == 8,
        'the streams to start',
    )
    world.shared_values['order'] = _place(world, engine, version, 0)


@when(
    parsers.re(r'(?P<engine>\S+) is ordered to load weights (?P<version>\S+)')
)
def _order(world, engine, version):
    world.shared_values['order'] = _place(world, engine, version, None)


@when(parsers.parse('{engine} has already followed a newer order'))
def _follow_newer_order(world, engine):
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
    status, body = world.call_operator_api(
        leader,
        '/v1/orders/place',
        endpoint_id=engine,
        kind='load-weights',
        argument=version,
        operation_id=uuid.uuid4().hex,
    )
    assert status == 200
    world.shared_values['fencing'] = body['version']
    world.stop_vm(leader, signal.SIGKILL)
    world.shared_values['live'] = [v for v in world.vms_by_id if v != leader]


@when(parsers.parse('a document asks for weights {version}'))
def _apply_document(world, version):
    fields = yaml.safe_load(builders.document_text())
    fields['models'][0]['weights_version'] = version
    path = world.folder / 'document.yaml'
    path.write_text(yaml.safe_dump(fields))
    world.run_client('document', 'apply', str(path))


@then(parsers.parse('the order is {state}'))
def _check_state(world, state):
    assert world.shared_values['order']['state'] == state, world.shared_values[
        'order'
    ]


@then('no stream was aborted and no request ran during the load')
def _check_no_stream_aborted(world):
    for stream in world.shared_values['streams']:
        answer = stream.result()
        assert answer.events[-1].endswith('data: [DONE]')
        assert len(answer.words) == 120
    counters = world.get_stand_in_json('engine-1', '/counters')['counters']
    assert counters['running_at_order'] == 0
    assert '"stream-resumed"' not in world.vms_by_id['vm1'].read_log()


@then(parsers.parse('every response is from weights {version} from then on'))
def _check_responses_from(world, version):
    def answered_versions():
        answers = [world.chat(vm_id) for vm_id in world.vms_by_id]
        for answer in answers:
            assert answer.status == 200, answer.body
        return {answer.headers[WEIGHTS_VERSION] for answer in answers}

    fleets.wait_until(
        lambda: answered_versions() == {version}, 'the new weights'
    )
    for _ in range(5):
        assert answered_versions() == {version}


@then(parsers.parse('{engine} still serves'))
def _check_serving(world, engine):
    assert world.chat().status == 200


@then(parsers.parse('the live VMs list the order as {state}'))
def _check_listed(world, state):
    def is_listed():
        for vm_id in world.shared_values['live']:
            orders = world.run_client('order', 'list', vm_id=vm_id)
            states = {o['fencing_number']: o['state'] for o in orders}
            if states.get(world.shared_values['fencing']) != state:
                return False
        return True

    fleets.wait_until(is_listed, 'the order to be executed')


def _send_requests(world, count):
    return [
        world.pool.submit(
            world.chat,
            f'vm{n % 3 + 1}',
            prompt=f'{builders.LONG_TEXT} menu {n % 7}',
            max_tokens=40,
        )
        for n in range(count)
    ]


def _weights_of_engines(world):
    listed = world.run_client('endpoint', 'list', code=None) or []
    return [info['weights_version'] for info in listed]


@when(
    parsers.parse(
        'a document asks for weights {version} while callers keep streaming'
    )
)
def _roll_out(world, version):
    answers = _send_requests(world, 12)
    _apply_document(world, version)
    ends_at = time.monotonic() + ROLL_OUT_SECONDS
    while set(_weights_of_engines(world)) != {version}:
        assert time.monotonic() < ends_at, _weights_of_engines(world)
        answers += _send_requests(world, 6)
        answers[-1].result()
    answers += _send_requests(world, 6)
    world.shared_values['answers'] = [answer.result() for answer in answers]


@when('the leader is killed once an engine is ordered')
def _kill_leader(world):
    leader = fleets.wait_until(world.leader, 'a leader')
    fleets.wait_until(
        lambda: world.run_client('order', 'list'), 'an order of the rollout'
    )
    world.stop_vm(leader, signal.SIGKILL)


@then(parsers.parse('every engine holds weights {version} in the end'))
def _check_all_hold(world, version):
    fleets.wait_until(
        lambda: set(_weights_of_engines(world)) == {version}, 'the rollout'
    )


@then('no request was refused and no stream was aborted or resumed')
def _check_none_refused(world):
    for answer in world.shared_values['answers']:
        assert answer.status == 200, answer.body
        assert answer.events[-1].endswith('data: [DONE]')
        assert len(answer.words) == 40
    for vm in world.vms_by_id.values():
        assert '"stream-resumed"' not in vm.read_log()


@then('no request ran on an engine while it loaded')
def _check_idle_while_loading(world):
    for engine in world.stand_ins_by_id:
        counters = world.get_stand_in_json(engine, '/counters')['counters']
        assert counters['running_at_order'] == 0


@then('engines with both weights served during the rollout')
def _check_both_served(world):
    answers = world.shared_values['answers']
    versions = {answer.headers[WEIGHTS_VERSION] for answer in answers}
    assert versions == {'2026-11', '2027-01'}
