"""A body with a malformed chunk is not taken for the body of an endpoint."""

import broken_answers
from carobwood import errors
import pytest

CHUNKED = broken_answers.Framing.CHUNKED
EVENT = b'id: 1\ndata: one\n\n'
# Bodies by their fault, each with a chunk that should hold ``EVENT``.
MALFORMED_BODIES = {
    'other bytes behind a chunk': b'%x\r\n%sXX0\r\n\r\n',
    'CR behind a chunk': b'%x\r\n%s\rX0\r\n\r\n',
    'LF behind a chunk': b'%x\r\n%s\n\n0\r\n\r\n',
    'prefix of the size': b'0x%x\r\n%s\r\n0\r\n\r\n',
    'sign of the size': b'+%x\r\n%s\r\n0\r\n\r\n',
    'underscore in the size': b'0_%x\r\n%s\r\n0\r\n\r\n',
    'blank before the size': b' %x\r\n%s\r\n0\r\n\r\n',
    'line feed before the size': b'\n%x\r\n%s\r\n0\r\n\r\n',
    'control byte in an extension': b'%x;a=\x00\r\n%s\r\n0\r\n\r\n',
}
SOUND_BODIES = [
    b'%x\r\n%s\r\n0\r\n\r\n',
    b'00%X\r\n%s\r\n000\r\n\r\n',
    b'%x  \r\n%s\r\n0\r\n\r\n',
    b'%x;name=value\r\n%s\r\n0;name="one two"\r\n\r\n',
]


def _fill(body):
    return body % (len(EVENT), EVENT)


MALFORMED = [_fill(body) for body in MALFORMED_BODIES.values()]
SOUND = [_fill(body) for body in SOUND_BODIES]


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('body', MALFORMED, ids=list(MALFORMED_BODIES))
def test_an_answer_with_a_malformed_chunk_is_no_answer(
    relay_caller, body, is_stream, number
):
    answer = broken_answers.Answer(CHUNKED, is_stream, framed_body=body)
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    for path in paths:
        data = relay_caller.ask_for(answer, path, number)
        assert broken_answers.is_refusal(data), (path, data)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('body', SOUND)
def test_an_answer_with_an_odd_but_sound_chunk_is_delivered(
    relay_caller, body, is_stream, number
):
    answer = broken_answers.Answer(CHUNKED, is_stream, framed_body=body)
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    data = relay_caller.ask_for(answer, paths[0], number)
    assert broken_answers.parse(data) == (200, EVENT)


@pytest.mark.parametrize('read', broken_answers.READERS)
@pytest.mark.parametrize('body', MALFORMED, ids=list(MALFORMED_BODIES))
def test_a_malformed_chunk_is_no_part_of_a_body(read, body):
    with pytest.raises(errors.CarobwoodError):
        read(broken_answers.Answer(CHUNKED, framed_body=body))


@pytest.mark.parametrize('read', broken_answers.READERS)
@pytest.mark.parametrize('body', SOUND)
def test_an_odd_but_sound_chunk_is_read(read, body):
    answer = broken_answers.Answer(CHUNKED, framed_body=body)
    assert read(answer) == (200, EVENT)
