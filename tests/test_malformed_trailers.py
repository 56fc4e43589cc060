"""An answer whose trailer has a malformed line is not taken for a whole one.

What follows the last chunk may be another answer, whose head was skipped as a
trailer; the connection was then used again.
"""

import broken_answers
from carobwood import errors
import pytest

CHUNKED = broken_answers.Framing.CHUNKED
MALFORMED_LINES = {
    **broken_answers.MALFORMED_FIELD_LINES,
    'another answer': b'HTTP/1.1 200 OK\r\nContent-Length: 0',
}
LINES = list(MALFORMED_LINES.values())
LINE_IDS = list(MALFORMED_LINES)
SOUND_LINE = b'X-Name: value\r\n'
SOUND_TRAILERS = [b'', SOUND_LINE, b'Digest: abc=\r\n' + SOUND_LINE]


def _trailers(line):
    """Return the trailers in which a line is the first or the last one."""
    return line + b'\r\n' + SOUND_LINE, SOUND_LINE + line + b'\r\n'


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_an_answer_with_a_malformed_trailer_is_no_answer(
    relay_caller, line, is_stream, number
):
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    for trailer in _trailers(line):
        answer = broken_answers.Answer(CHUNKED, is_stream, trailer=trailer)
        data = relay_caller.ask_for(answer, paths[0], number)
        assert broken_answers.is_refusal(data), (trailer, data)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('trailer', SOUND_TRAILERS)
def test_an_answer_with_a_sound_trailer_is_delivered_without_it(
    relay_caller, trailer, is_stream, number
):
    answer = broken_answers.Answer(CHUNKED, is_stream, trailer=trailer)
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    data = relay_caller.ask_for(answer, paths[0], number)
    assert broken_answers.parse(data) == (200, answer.body)
    assert b'X-Name' not in data


@pytest.mark.parametrize('read', broken_answers.READERS)
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_a_malformed_trailer_ends_no_body(read, line):
    for trailer in _trailers(line):
        with pytest.raises(errors.CarobwoodError):
            read(broken_answers.Answer(CHUNKED, trailer=trailer))


@pytest.mark.parametrize('read', broken_answers.READERS)
@pytest.mark.parametrize('trailer', SOUND_TRAILERS)
def test_a_sound_trailer_ends_a_body(read, trailer):
    answer = broken_answers.Answer(CHUNKED, trailer=trailer)
    assert read(answer) == (200, broken_answers.BODY)
