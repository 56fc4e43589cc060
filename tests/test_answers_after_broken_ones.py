"""A broken answer takes nothing from the sound one that follows it.

The bytes of a broken answer stay in its connection; if that were used again,
the next request would get them, or a part of them, as its answer.
"""

import contextlib
import dataclasses
import json
import subprocess
import sys

import broken_answers
from carobwood import errors
from carobwood_daemon.entry import bounded_call
import pytest
import raw_answers

CHUNKED = broken_answers.Framing.CHUNKED
LENGTH = broken_answers.Framing.LENGTH
SECONDS = 5.0
MAX_BYTES = 1000
BROKEN_ANSWERS = {
    'field line': broken_answers.Answer(
        LENGTH, extra_line=b'X Name: value', position=4
    ),
    'field line in an interim head': broken_answers.Answer(
        LENGTH, interim=b'HTTP/1.1 103 Early Hints\r\nX\x01: v\r\n\r\n'
    ),
    'status line': broken_answers.Answer(
        LENGTH, status_line=b'HTTP/1.1 000 OK'
    ),
    'chunk': broken_answers.Answer(
        CHUNKED, framed_body=b'3\r\nabcXX0\r\n\r\n'
    ),
    'trailer': broken_answers.Answer(CHUNKED, trailer=b'X Name: value\r\n'),
    'another answer in the trailer': broken_answers.Answer(
        CHUNKED, trailer=b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
    ),
    'two framings': broken_answers.Answer(
        CHUNKED, extra_line=b'Content-Length: 5', position=4
    ),
}
SOUND_ANSWERS = [broken_answers.Answer(LENGTH), broken_answers.Answer(CHUNKED)]
# Connections to endpoints are used again for such requests only.
REPEATABLE_PATHS = (broken_answers.PATHS[1], broken_answers.STREAM_PATHS[1])


@pytest.fixture(scope='module')
def keeping_caller(tmp_path_factory):
    """Yield a ``RelayCaller`` of endpoints that keep their connections."""
    folder = tmp_path_factory.mktemp('fleet')
    with broken_answers.relay_caller(
        folder, broken_answers.KeepingEndpoint
    ) as caller:
        yield caller


def _ask_soundly(caller, path, number):
    for sound in SOUND_ANSWERS:
        answer = dataclasses.replace(
            sound, is_stream=path in broken_answers.STREAM_PATHS
        )
        data = caller.ask_for(answer, path, number)
        assert broken_answers.parse(data) == (200, answer.body)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('path', REPEATABLE_PATHS)
def test_sound_answers_share_a_connection(keeping_caller, path, number):
    _ask_soundly(keeping_caller, path, number)
    before = keeping_caller.connection_count
    _ask_soundly(keeping_caller, path, number)
    assert keeping_caller.connection_count == before


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize(
    'path', broken_answers.PATHS + broken_answers.STREAM_PATHS
)
@pytest.mark.parametrize('kind', BROKEN_ANSWERS)
def test_a_sound_answer_after_a_broken_one_is_delivered(
    keeping_caller, kind, path, number
):
    _ask_soundly(keeping_caller, path, number)
    broken = dataclasses.replace(
        BROKEN_ANSWERS[kind], is_stream=path in broken_answers.STREAM_PATHS
    )
    data = keeping_caller.ask_for(broken, path, number)
    assert broken_answers.is_refusal(data), data
    _ask_soundly(keeping_caller, path, number)


@pytest.mark.parametrize('kind', BROKEN_ANSWERS)
def test_a_call_after_one_with_a_broken_answer_gets_its_own(kind):
    with (
        broken_answers.KeepingEndpoint('engine-0', 'engines') as endpoint,
        contextlib.closing(bounded_call.HttpCaller()) as caller,
    ):
        call = bounded_call.Call('GET', endpoint.address, '/')
        bounds = bounded_call.CallBounds(SECONDS, MAX_BYTES)
        for _ in range(2):
            endpoint.chosen = SOUND_ANSWERS[0]
            assert caller.call(call, bounds).data == broken_answers.BODY
            endpoint.chosen = BROKEN_ANSWERS[kind]
            with pytest.raises(errors.EngineCallFailed):
                caller.call(call, bounds)
        # The first call after a broken answer opens another connection.
        assert endpoint.connection_count == 2


# Calls one VM three times through one connection of the client.
CLIENT = """
import json
import sys
from carobwood_client import connection as connections
connection = connections.Connection([sys.argv[1]], 'token')
results = []
for _ in range(3):
    try:
        results.append(connection.post('/'))
    except connections.Unreachable:
        results.append('unreachable')
print(json.dumps(results))
"""


@pytest.mark.parametrize('kind', BROKEN_ANSWERS)
def test_an_operator_gets_a_sound_answer_after_a_broken_one(kind):
    sound = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}'
    answers = iter([sound, BROKEN_ANSWERS[kind].encode(b'r-1'), sound])
    with raw_answers.RawEndpoint(
        lambda head: next(answers), raw_answers.Manner(reads_all=True)
    ) as endpoint:
        client = subprocess.run(
            [sys.executable, '-c', CLIENT, endpoint.address],
            stdout=subprocess.PIPE,
            timeout=broken_answers.TIMEOUT_SECONDS,
            check=True,
        )
    assert json.loads(client.stdout) == [{}, 'unreachable', {}]
