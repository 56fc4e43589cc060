"""The callers' own interface takes no head with a malformed field line.

Callers of a service and of a model got an answer whose body was not that of
the endpoint, as the fields behind the malformed line were forgotten.
"""

import dataclasses
import json
import secrets

import broken_answers
import builders
from carobwood import errors
import fleet as fleets
import pytest

LINES = list(broken_answers.MALFORMED_FIELD_LINES.values())
LINE_IDS = list(broken_answers.MALFORMED_FIELD_LINES)
FRAMINGS = list(broken_answers.Framing)
FRAMING_IDS = [framing.value for framing in FRAMINGS]
# Behind the ids and the version, before the framing.
POSITION = 4
# Requests by name: method, path, and body.
REQUESTS_BY_NAME = {
    'service': ('GET', '/records/1', None),
    'order': ('POST', '/orders', b'{"prints": 6}'),
    'model': (
        'POST',
        '/v1/chat/completions',
        builders.chat_body(stream=False),
    ),
    'stream': ('POST', '/v1/chat/completions', builders.chat_body()),
}


@pytest.mark.parametrize('framing', FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_an_upstream_answer_with_a_malformed_field_line_is_no_answer(
    line, framing
):
    sound = broken_answers.Answer(framing)
    assert broken_answers.read_by_upstream(sound) == (200, sound.body)
    for position in sound.positions():
        answer = dataclasses.replace(sound, extra_line=line, position=position)
        with pytest.raises(errors.EndpointFailed):
            broken_answers.read_by_upstream(answer)


@pytest.mark.parametrize('framing', FRAMINGS[:2], ids=FRAMING_IDS[:2])
def test_blanks_behind_the_framing_do_not_change_the_body(framing):
    answer = broken_answers.Answer(framing, framing_blanks=b' \t ')
    assert broken_answers.read_by_upstream(answer) == (200, answer.body)


@pytest.fixture(scope='module')
def endpoints():
    """Yield the endpoints that all services and models have."""
    with (
        broken_answers.AnsweringEndpoint('booth-orders', 'orders') as service,
        broken_answers.AnsweringEndpoint('engine-1', 'engines') as engine,
    ):
        yield service, engine


@pytest.fixture(scope='module')
def world(tmp_path_factory, endpoints):
    """Yield a VM of ``carobwoodd`` that has these endpoints only."""
    service, engine = endpoints
    folder = tmp_path_factory.mktemp('world')
    with builders.World(folder) as new_world:
        new_world.start_fleet(('bole',))
        new_world.configure()
        new_world.start_service('booth-orders', advertise=service.address)
        new_world.start_engine('engine-1', advertise=engine.address)
        new_world.await_endpoints(['booth-orders', 'engine-1'])
        yield new_world


def _ask(world, name):
    """Return all bytes of the answer once a request was sent on."""
    method, path, body = REQUESTS_BY_NAME[name]
    if isinstance(body, dict):
        body = json.dumps(body).encode()
    headers = builders.bearer(world.key)
    if name == 'order':
        # Each one is another order.
        headers['Idempotency-Key'] = secrets.token_hex(8)
    port = int(world.vms_by_id['vm1'].caller_address.rpartition(':')[2])
    return broken_answers.ask(
        port, path, f'r-{name}', headers, body or b'', method
    )


def _await_sound(world, endpoints, name):
    """Wait until the circuit breaker of an endpoint has closed."""
    for endpoint in endpoints:
        endpoint.chosen = broken_answers.Answer(broken_answers.Framing.LENGTH)
    fleets.wait_until(
        lambda: broken_answers.BODY in _ask(world, name), 'a sound answer'
    )


@pytest.mark.parametrize('line', LINES[:1] + LINES[6:7], ids=('blank', 'byte'))
@pytest.mark.parametrize('name', REQUESTS_BY_NAME)
def test_a_caller_gets_no_answer_with_a_malformed_field_line(
    world, endpoints, name, line
):
    _await_sound(world, endpoints, 'model' if name == 'stream' else name)
    for endpoint in endpoints:
        endpoint.chosen = broken_answers.Answer(
            broken_answers.Framing.LENGTH,
            is_stream=name == 'stream',
            extra_line=line,
            position=POSITION,
        )
    data = _ask(world, name)
    # A model's engines have all been tried; the outcome is named as unknown.
    statuses = (502,) if name in ('service', 'order') else (503,)
    assert broken_answers.is_refusal(data, statuses), data
    assert b'Carobwood-Outcome: unknown' in data


@pytest.mark.parametrize('length', [5, 1000])
@pytest.mark.parametrize('name', ['service', 'order', 'model'])
def test_a_caller_gets_no_answer_with_two_framings(
    world, endpoints, name, length
):
    _await_sound(world, endpoints, name)
    for endpoint in endpoints:
        endpoint.chosen = broken_answers.Answer(
            broken_answers.Framing.CHUNKED,
            extra_line=b'Content-Length: %d' % length,
            position=POSITION,
        )
    data = _ask(world, name)
    statuses = (503,) if name == 'model' else (502,)
    assert broken_answers.is_refusal(data, statuses), data
