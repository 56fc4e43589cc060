"""The callers' own interface takes no part of an early answer for a whole one.

An endpoint answers a long upload at once, sends a part of its body and resets
the connection while the upload is still being written.
"""

import broken_answers
import builders
import fleet as fleets
import pytest
import raw_answers
import yaml

LONG_BYTES = 4 * 1024 * 1024
PART = b'x' * 20_000
PAUSES_SECONDS = (0.0, 0.05)
SOUND = broken_answers.Answer(broken_answers.Framing.LENGTH)
# The start of a body by its framing, with the end of the head.
PARTS_BY_FRAMING = {
    broken_answers.Framing.CHUNKED: b'%x\r\n%s\r\n' % (len(PART), PART),
    broken_answers.Framing.UNTIL_CLOSE: PART,
}


def _document():
    fields = yaml.safe_load(builders.document_text())
    fields['routes'].append(
        {
            'prefix': '/uploads',
            'access': 'keyed',
            'pool': 'orders',
            'methods': ['POST'],
            'deadline_seconds': 30,
        }
    )
    return yaml.safe_dump(fields)


@pytest.fixture(scope='module')
def endpoint():
    """Yield the endpoint of the uploads."""
    with broken_answers.AnsweringEndpoint('booth-orders', 'orders') as service:
        yield service


@pytest.fixture(scope='module')
def world(tmp_path_factory, endpoint):
    """Yield a VM of ``carobwoodd`` that has this endpoint only."""
    with builders.World(tmp_path_factory.mktemp('world')) as new_world:
        new_world.start_fleet(('bole',))
        new_world.configure(_document())
        new_world.start_service('booth-orders', advertise=endpoint.address)
        new_world.await_endpoints(['booth-orders'])
        yield new_world


def _upload(world, size):
    return world.request('vm1', 'POST', '/uploads/1', b'x' * size)


@pytest.mark.parametrize('pause', PAUSES_SECONDS)
@pytest.mark.parametrize('framing', PARTS_BY_FRAMING)
def test_a_caller_gets_no_part_of_an_early_answer_as_a_whole_one(
    world, endpoint, framing, pause
):
    endpoint.chosen = SOUND
    endpoint.manner = raw_answers.Manner(reads_all=True)
    fleets.wait_until(
        lambda: _upload(world, 1).body == broken_answers.BODY, 'a sound answer'
    )
    endpoint.chosen = broken_answers.Answer(
        framing, framed_body=PARTS_BY_FRAMING[framing]
    )
    endpoint.manner = raw_answers.Manner(resets=True, pause_seconds=pause)
    # 0 stands for an answer that was cut.
    assert _upload(world, LONG_BYTES).status in (0, 502)
