"""Bytes that are no status line of HTTP/1 are never taken for an answer."""

import dataclasses
import socket

import broken_answers
from carobwood import addresses
from carobwood import errors
from carobwood_daemon.entry import bounded_call
from carobwood_daemon.relay import endpoint_connections
import pytest
import raw_answers

READ_SECONDS = 5.0
MAX_BYTES = 1000
VALID_LINES = [
    b'HTTP/1.1 200 OK',
    b'HTTP/1.1 200 ',
    b'HTTP/1.1 200',
    b'HTTP/1.0 200 OK',
    b'HTTP/1.1 599 Odd',
    b'HTTP/1.1 200 caf\xe9\tau lait',
]
BODY = b'whole'


def _answer(line):
    return line + b'\r\nContent-Length: %d\r\n\r\n%s' % (len(BODY), BODY)


def _read_by_relay(line):
    """Return the status and the body that the relay reads."""
    own, peer = socket.socketpair()
    peer.sendall(_answer(line))
    peer.close()
    connection = endpoint_connections.EndpointConnection(
        addresses.Address('127.0.0.1', 1), own
    )
    try:
        status, _ = connection.read_head('POST', READ_SECONDS)
        return status, connection.read_available(READ_SECONDS)
    finally:
        connection.close()


def _read_by_entry(line):
    """Return the status and the body that the callers' interface reads."""
    return raw_answers.read_by_entry(_answer(line), READ_SECONDS)


def _read_by_call(line):
    """Return the status and the body that a call of the VM itself reads."""
    with raw_answers.RawEndpoint(_answer(line)) as endpoint:
        caller = bounded_call.HttpCaller()
        answer = caller.call(
            bounded_call.Call('GET', endpoint.address, '/'),
            bounded_call.CallBounds(READ_SECONDS, MAX_BYTES),
        )
        caller.close()
        return answer.status, answer.data


READERS = [_read_by_relay, _read_by_entry, _read_by_call]


# An engine in trouble sent an answer whose status was 000, and others with
# statuses beyond 599; their callers got them as answers.
@pytest.mark.parametrize('read', READERS)
@pytest.mark.parametrize('line', broken_answers.MALFORMED_STATUS_LINES)
def test_a_malformed_status_line_is_no_answer(read, line):
    with pytest.raises(errors.CarobwoodError):
        read(line)


@pytest.mark.parametrize('read', READERS)
@pytest.mark.parametrize('line', VALID_LINES)
def test_a_status_line_may_lack_its_reason(read, line):
    status, body = read(line)
    assert status == int(line.split()[1])
    assert body == BODY


@pytest.mark.parametrize('read', [_read_by_relay, _read_by_entry])
def test_an_interim_answer_with_a_malformed_status_line_is_no_answer(read):
    with pytest.raises(errors.CarobwoodError):
        read(b'HTTP/1.1 0100 Continue\r\n\r\nHTTP/1.1 200 OK')
    status, body = read(b'HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK')
    assert (status, body) == (200, BODY)


@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('framing', list(broken_answers.Framing))
@pytest.mark.parametrize('line', broken_answers.MALFORMED_STATUS_LINES)
def test_an_answer_with_a_malformed_status_line_reaches_no_caller(
    relay_caller, line, framing, is_stream, number
):
    sound = broken_answers.Answer(framing, is_stream)
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n'
    paths = broken_answers.STREAM_PATHS if is_stream else broken_answers.PATHS
    for changes in (
        {'status_line': line},
        {'status_line': line, 'interim': interim},
        {'interim': line + b'\r\n\r\n'},
    ):
        answer = dataclasses.replace(sound, **changes)
        data = relay_caller.ask_for(answer, paths[0], number)
        assert broken_answers.is_refusal(data), (changes, data)


@pytest.mark.parametrize('is_stream', [False, True], ids=['whole', 'stream'])
@pytest.mark.parametrize('line', broken_answers.MALFORMED_STATUS_LINES)
def test_a_malformed_status_line_of_another_vm_reaches_no_caller(
    relay_caller, stand_in_vm, line, is_stream
):
    for framing in (
        broken_answers.Framing.LENGTH,
        broken_answers.Framing.CHUNKED,
    ):
        stand_in_vm.chosen = broken_answers.Answer(
            framing, is_stream, status_line=line
        )
        data = relay_caller.ask(broken_answers.PATHS[0], 0)
        assert broken_answers.is_refusal(data), (framing, data)
