"""Requests that come in one TLS record with the one before."""

import io
import socket
import ssl

from carobwood import addresses
from carobwood_daemon.entry import listener
from carobwood_daemon import settings
import certificates
import cherrypy
import pytest
import relay_test_fleet

MAX_THREADS = 2
LAST_REQUEST = b'GET /x HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n'
ANSWER = b'answer'
# What a connection reads at once, less than a TLS record holds.
READ_BYTES = io.DEFAULT_BUFFER_SIZE


def _pad_head():
    head = b'GET /x HTTP/1.1\r\nHost: x\r\nX-Pad: '
    end = b'\r\n\r\n'
    return head + b'a' * (READ_BYTES - len(head) - len(end)) + end


def _add_body(size):
    head = 'POST /x HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n' % size
    return head.encode() + bytes(size)


REQUESTS_BY_CASE = {
    'head that fills a read': _pad_head(),
    'body that is longer': _add_body(READ_BYTES + 1000),
    'short': _add_body(10),
}


def _answer():
    cherrypy.serving.response.headers['Content-Type'] = 'text/plain'
    return [ANSWER]


@pytest.fixture
def context(tmp_path):
    """Return the ``ssl.SSLContext`` of callers."""
    certificates.create(tmp_path)
    return ssl.create_default_context(cafile=tmp_path / 'vm.pem')


@pytest.fixture
def server(context, tmp_path):
    """Yield a TLS listener."""
    files = settings.TlsFiles(
        str(tmp_path / 'vm.pem'), str(tmp_path / 'vm.key')
    )
    serving = listener.Listener(
        addresses.Address('127.0.0.1', 0), _answer, MAX_THREADS, files
    )
    serving.start()
    yield serving
    serving.stop()


# Bytes that OpenSSL had decrypted were not seen: the request waited for more
# of them, and its connection did not expire either.
@pytest.mark.parametrize('case', REQUESTS_BY_CASE)
def test_a_request_in_the_record_of_the_one_before_is_answered(
    server, context, case
):
    with context.wrap_socket(
        socket.create_connection(
            ('127.0.0.1', server.port), relay_test_fleet.WAIT_SECONDS
        ),
        server_hostname='127.0.0.1',
    ) as client:
        client.sendall(REQUESTS_BY_CASE[case] + LAST_REQUEST)
        with client.makefile('rb') as answers:
            received = answers.read()
    assert received.count(b'HTTP/1.1 200 ') == 2
