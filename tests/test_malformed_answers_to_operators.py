"""The operators' client takes no malformed answer of a VM for one."""

import contextlib
import dataclasses
import itertools
import json
import subprocess
import sys

import broken_answers
import pytest
import raw_answers

WAIT_SECONDS = 60.0
JSON_BODY = b'{"done": true}'
CHUNKS = b'%x\r\n%s\r\n' % (len(JSON_BODY), JSON_BODY)
# Calls each of the given VMs and prints the results by address. It is a
# process, as an operator starts one.
CLIENT = """
import json
import sys
from carobwood_client import connection as connections
results = {}
for address in sys.argv[1:]:
    try:
        results[address] = connections.Connection([address], 'token').post('/')
    except connections.Unreachable:
        results[address] = 'unreachable'
    except connections.ErrorResponse as error:
        results[address] = error.status
print(json.dumps(results))
"""


def _call(answers):
    """Return the client's results of calls that get given answers.

    Args:
        answers: the answers as bytes.
    """
    manner = raw_answers.Manner(reads_all=True)
    with contextlib.ExitStack() as stack:
        addresses = [
            stack.enter_context(
                raw_answers.RawEndpoint(answer, manner)
            ).address
            for answer in answers
        ]
        client = subprocess.run(
            [sys.executable, '-c', CLIENT, *addresses],
            stdout=subprocess.PIPE,
            timeout=WAIT_SECONDS,
            check=True,
        )
    results_by_address = json.loads(client.stdout)
    return [results_by_address[address] for address in addresses]


def _answer(framing, **changes):
    """Return an answer with a JSON body."""
    framed = JSON_BODY
    if framing is broken_answers.Framing.CHUNKED:
        framed = CHUNKS + b'0\r\n' + changes.pop('trailer', b'') + b'\r\n'
    return broken_answers.Answer(
        framing, framed_body=framed, length=len(JSON_BODY), **changes
    )


def _unreachable(answers):
    """Return which answers the client takes for none."""
    results = _call([answer.encode(b'r-1') for answer in answers])
    return [result == 'unreachable' for result in results]


@pytest.mark.parametrize('framing', list(broken_answers.Framing))
def test_an_operator_gets_a_sound_answer(framing):
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
    sound = _answer(framing)
    answers = [sound, dataclasses.replace(sound, interim=interim)]
    results = _call([answer.encode(b'r-1') for answer in answers])
    assert results == [{'done': True}] * 2


@pytest.mark.parametrize('framing', list(broken_answers.Framing))
def test_an_operator_gets_no_answer_with_a_malformed_field_line(framing):
    sound = _answer(framing)
    answers = [
        dataclasses.replace(sound, extra_line=line, position=position)
        for line, position in itertools.product(
            broken_answers.MALFORMED_FIELD_LINES.values(), sound.positions()
        )
    ]
    assert all(_unreachable(answers))


@pytest.mark.parametrize('framing', list(broken_answers.Framing))
def test_an_operator_gets_no_answer_with_a_malformed_status_line(framing):
    answers = [
        _answer(framing, status_line=line)
        for line in broken_answers.MALFORMED_STATUS_LINES
    ]
    assert all(_unreachable(answers))


def test_an_operator_gets_no_answer_with_a_malformed_trailer():
    answers = [
        _answer(broken_answers.Framing.CHUNKED, trailer=line + b'\r\n')
        for line in broken_answers.MALFORMED_FIELD_LINES.values()
    ]
    assert all(_unreachable(answers))


@pytest.mark.parametrize(
    'body',
    [
        CHUNKS[:-2] + b'XX0\r\n\r\n',
        CHUNKS,
        CHUNKS + b'0\r\n',
        b'0x' + CHUNKS + b'0\r\n\r\n',
    ],
    ids=['other end of a chunk', 'no last chunk', 'no trailer', 'odd size'],
)
def test_an_operator_gets_no_answer_with_malformed_chunks(body):
    answer = broken_answers.Answer(
        broken_answers.Framing.CHUNKED, framed_body=body
    )
    assert _unreachable([answer]) == [True]


@pytest.mark.parametrize(
    'body',
    [b'[]', b'"error"', b'null', b'{"error": "text"}', b'{"error": []}'],
)
def test_an_error_that_is_no_object_is_no_answer(body):
    answer = broken_answers.Answer(
        broken_answers.Framing.LENGTH,
        status_line=b'HTTP/1.1 500 Internal Server Error',
        framed_body=body,
        length=len(body),
    )
    assert _unreachable([answer]) == [True]
