"""Tests of the HTTP listeners of callers' and operators' interfaces."""

import socket

from carobwood import addresses
from carobwood_daemon.entry import listener
import cherrypy
import pytest

TIMEOUT_SECONDS = 30.0


@pytest.fixture
def broken_listener():
    """Yield a listener whose streamed bodies break off."""

    def stream_then_fail():
        yield b'a part'
        raise RuntimeError('the body broke off')

    def handle():
        cherrypy.serving.response.stream = True
        return stream_then_fail()

    server = listener.Listener(
        addresses.Address('127.0.0.1', 0), handle, thread_count=2
    )
    server.start()
    yield server
    server.stop()


@pytest.mark.parametrize('version', ['1.0', '1.1'])
def test_a_streamed_body_that_breaks_off_does_not_look_complete(
    broken_listener, version
):
    address = ('127.0.0.1', broken_listener.port)
    received = b''
    was_reset = False
    with socket.create_connection(address, TIMEOUT_SECONDS) as caller:
        caller.sendall(f'GET / HTTP/{version}\r\nHost: x\r\n\r\n'.encode())
        try:
            while data := caller.recv(65536):
                received += data
        except ConnectionResetError:
            was_reset = True
    is_chunked = b'chunked' in received
    assert was_reset or is_chunked
    assert not received.endswith(b'0\r\n\r\n')
