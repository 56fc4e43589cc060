"""An answer with a malformed field line in a head reaches no caller.

An engine in trouble sent a head in which the name of a field held a blank or
a control byte. The line was passed on, or it ended the head for its reader, so
that the framing was lost and callers got a body that was not the engine's.
"""

import dataclasses
import itertools

import broken_answers
from carobwood import errors
import pytest

LINES = list(broken_answers.MALFORMED_FIELD_LINES.values())
LINE_IDS = list(broken_answers.MALFORMED_FIELD_LINES)
FRAMINGS = list(broken_answers.Framing)
FRAMING_IDS = [framing.value for framing in FRAMINGS]
SOUND_LINES = [
    b'X-Name:',
    b'X-Name:value',
    b'X-Name: \t value \t ',
    b'X-Name: one\ttwo  three',
    b'X-Name: caf\xe9',
    b"!#$%&'*+.^_`|~-9: value",
]
# RFC 9112, 5: blanks around a value are none of it.
BLANKS = (b' ', b'\t', b' \t ')
INTERIM_STATUSES = (b'100 Continue', b'103 Early Hints')


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('framing', FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_an_answer_with_a_malformed_field_line_is_no_answer(
    relay_caller, line, framing, is_stream, number
):
    sound = broken_answers.Answer(framing, is_stream)
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    for position, path in itertools.product(sound.positions(), paths):
        answer = dataclasses.replace(sound, extra_line=line, position=position)
        data = relay_caller.ask_for(answer, path, number)
        assert broken_answers.is_refusal(data), (position, path, data)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('status', INTERIM_STATUSES)
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_a_malformed_field_line_of_an_interim_head_is_no_answer(
    relay_caller, line, status, number
):
    for is_last in (False, True):
        lines = (b'X-Sound: value', line) if is_last else (line, b'X-Sound: v')
        interim = b'\r\n'.join((b'HTTP/1.1 ' + status, *lines, b'', b''))
        answer = broken_answers.Answer(
            broken_answers.Framing.LENGTH, interim=interim
        )
        data = relay_caller.ask_for(answer, broken_answers.PATHS[0], number)
        assert broken_answers.is_refusal(data), (is_last, data)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('framing', FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize('line', SOUND_LINES)
def test_an_answer_with_an_odd_but_sound_field_line_is_delivered(
    relay_caller, line, framing, is_stream, number
):
    sound = broken_answers.Answer(framing, is_stream)
    path = (
        broken_answers.STREAM_PATHS[0]
        if is_stream
        else broken_answers.PATHS[0]
    )
    for position in sound.positions():
        answer = dataclasses.replace(sound, extra_line=line, position=position)
        data = relay_caller.ask_for(answer, path, number)
        assert broken_answers.parse(data) == (200, sound.body), position


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('blanks', BLANKS)
@pytest.mark.parametrize('framing', FRAMINGS[:2], ids=FRAMING_IDS[:2])
def test_blanks_behind_the_framing_of_an_answer_do_not_change_its_body(
    relay_caller, framing, blanks, is_stream, number
):
    answer = broken_answers.Answer(framing, is_stream, framing_blanks=blanks)
    path = (
        broken_answers.STREAM_PATHS[0]
        if is_stream
        else broken_answers.PATHS[0]
    )
    data = relay_caller.ask_for(answer, path, number)
    assert broken_answers.parse(data) == (200, answer.body)


@pytest.mark.parametrize('blanks', BLANKS)
@pytest.mark.parametrize('framing', FRAMINGS[:2], ids=FRAMING_IDS[:2])
def test_blanks_behind_the_framing_of_a_call_do_not_change_its_body(
    framing, blanks
):
    answer = broken_answers.Answer(framing, framing_blanks=blanks)
    assert broken_answers.read_by_call(answer) == (200, answer.body)


@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('framing', FRAMINGS[:2], ids=FRAMING_IDS[:2])
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_a_malformed_field_line_of_another_vm_is_no_answer(
    relay_caller, stand_in_vm, line, framing, is_stream
):
    sound = broken_answers.Answer(framing, is_stream)
    for position in sound.positions():
        stand_in_vm.chosen = dataclasses.replace(
            sound, extra_line=line, position=position
        )
        data = relay_caller.ask(broken_answers.PATHS[0], 0)
        assert broken_answers.is_refusal(data), (position, data)


@pytest.mark.parametrize('framing', FRAMINGS, ids=FRAMING_IDS)
@pytest.mark.parametrize('line', LINES, ids=LINE_IDS)
def test_a_malformed_field_line_ends_a_call_of_a_vm(line, framing):
    sound = broken_answers.Answer(framing)
    for position in sound.positions():
        answer = dataclasses.replace(sound, extra_line=line, position=position)
        with pytest.raises(errors.EngineCallFailed):
            broken_answers.read_by_call(answer)
