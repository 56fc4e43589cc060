"""Streams that break off and are answered oddly when they are resumed."""

import socket

import pytest
import relay_builders as builders

ODD_ANSWERS = [
    'error',
    'plain',
    'unsigned-stream',
    'from-the-beginning',
    'head-inside',
]


def _read_stream(port, path):
    """Return all bytes of a response, read until its connection ends."""
    lines = [
        f'POST {path} HTTP/1.1',
        f'Host: {builders.HOST}',
        f'Authorization: Bearer {builders.KEY}',
        'X-Carobwood-Request-Id: r-1',
        f'X-Carobwood-Model: {builders.MODEL}',
        'X-Carobwood-Token-Counts: 100,10',
        'X-Carobwood-Prompt-Prefix: aa:60,bb:40',
        'X-Carobwood-Deadline-Ms: 5000',
        'Content-Length: 0',
        'Connection: close',
    ]
    received = b''
    with socket.create_connection(('127.0.0.1', port), 30.0) as connection:
        connection.sendall('\r\n'.join([*lines, '', '']).encode())
        try:
            while data := connection.recv(65536):
                received += data
        except ConnectionResetError:
            pass
    return received


@pytest.mark.parametrize('answer', ODD_ANSWERS)
def test_nothing_of_an_odd_answer_to_a_resumption_reaches_the_caller(
    shared_fleet, answer
):
    port = shared_fleet.fleet.entry_ports[0]
    received = _read_stream(port, f'/captions/odd-resume-{answer}')
    assert len(shared_fleet.engine_requests) > 1, received
    head, _, body = received.partition(b'\r\n\r\n')
    assert b' 200 ' in head.splitlines()[0]
    assert body.count(b'data: 1') == body.count(b'data: 2') == 1
    assert b'data: 3' not in body
    assert b'HTTP/1.1' not in body
    assert b'odd answer' not in body
    # The last chunk is missing, so the stream does not look complete.
    assert not body.endswith(b'0\r\n\r\n')


def test_a_stream_that_a_caller_resumes_does_not_begin_anew(shared_fleet):
    shared_fleet.fleet.ask('/captions/x', X_Carobwood_Request_Id='r-first')
    shared_fleet.clear_requests()
    reply = shared_fleet.fleet.ask(
        '/captions/odd-resume-from-the-beginning',
        Last_Event_Id='2',
        Resumes='r-first',
    )
    assert shared_fleet.engine_requests[0]['last-event-id'] == '2'
    assert reply.status == 502
    assert b'data:' not in reply.body
