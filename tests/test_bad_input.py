"""Sends at least 200 malformed requests and documents; no VM may crash."""

import errno
import json
import pathlib
import random
import socket

import builders
import pytest

SEED = 20261204
RANDOM_REQUESTS = 120
RANDOM_DOCUMENTS = 60
BODY = b'{"prints": 6}'

REQUEST_HEAD = b'POST /orders HTTP/1.1\r\nHost: x\r\n'
MALFORMED_REQUESTS = {
    'no method': b'\r\n\r\n\r\n',
    'garbage': b'\x16\x03\x01\x02\x00\x01\x00\x01\xfc\r\n\r\n',
    'bad version': b'GET / HTTP/9.9\r\n\r\n',
    'bad protocol': b'GET / SPDY/1\r\n\r\n',
    'space in target': b'GET /a b HTTP/1.1\r\nHost: x\r\n\r\n',
    'bare line feeds': b'GET / HTTP/1.1\nHost: x\n\n',
    'folded header': REQUEST_HEAD + b'A: b\r\n c\r\n\r\n',
    'empty header name': REQUEST_HEAD + b': b\r\n\r\n',
    'space before colon': REQUEST_HEAD + b'Content-Length : 3\r\n\r\nabc',
    'control in header': REQUEST_HEAD + b'A: b\x00c\r\n\r\n',
    'two lengths': REQUEST_HEAD
    + b'Content-Length: 3\r\nContent-Length: 4\r\n\r\n',
    'equal lengths': REQUEST_HEAD
    + b'Content-Length: 3\r\nContent-Length: 3\r\n\r\n',
    'length list': REQUEST_HEAD + b'Content-Length: 3, 3\r\n\r\nabc',
    'signed length': REQUEST_HEAD + b'Content-Length: +3\r\n\r\nabc',
    'negative length': REQUEST_HEAD + b'Content-Length: -3\r\n\r\nabc',
    'underscored length': REQUEST_HEAD
    + b'Content-Length: 1_0\r\n\r\n0123456789',
    'length and chunks': REQUEST_HEAD
    + b'Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n',
    'underscore alias': REQUEST_HEAD
    + b'Content_Length: 3\r\nContent-Length: 4\r\n\r\nabcd',
    'unknown coding': REQUEST_HEAD + b'Transfer-Encoding: gzip\r\n\r\n',
    'two codings': REQUEST_HEAD
    + b'Transfer-Encoding: chunked, chunked\r\n\r\n',
    'two hosts': b'GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n',
    'two keys': REQUEST_HEAD + b'X-Api-Key: a\r\nX-Api-Key: b\r\n\r\n',
    'alias key': REQUEST_HEAD + b'X-Api-Key: a\r\nX_Api_Key: b\r\n\r\n',
    'long target': b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\n\r\n',
    'long header': REQUEST_HEAD + b'A: ' + b'b' * 70000 + b'\r\n\r\n',
    'many headers': REQUEST_HEAD + b'A: b\r\n' * 9000 + b'\r\n',
    'dot segment': b'GET /orders/../records HTTP/1.1\r\nHost: x\r\n\r\n',
    'encoded dots': b'GET /orders/%2e%2e/x HTTP/1.1\r\nHost: x\r\n\r\n',
    'encoded slash': b'GET /orders%2Fx HTTP/1.1\r\nHost: x\r\n\r\n',
    'encoded twice': b'GET /orders/%252e HTTP/1.1\r\nHost: x\r\n\r\n',
    'doubled slash': b'GET //orders HTTP/1.1\r\nHost: x\r\n\r\n',
    'backslash': b'GET /orders%5cx HTTP/1.1\r\nHost: x\r\n\r\n',
    'null in path': b'GET /orders%00 HTTP/1.1\r\nHost: x\r\n\r\n',
    'parameters': b'GET /orders;a=b HTTP/1.1\r\nHost: x\r\n\r\n',
    'absolute target': b'GET http://y/orders HTTP/1.1\r\nHost: x\r\n\r\n',
    'no path': b'OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n',
    'connect': b'CONNECT x:1 HTTP/1.1\r\nHost: x\r\n\r\n',
    'latin path': b'GET /\xe9 HTTP/1.1\r\nHost: x\r\n\r\n',
}
MALFORMED_MODEL_BODIES = [
    b'',
    b'[]',
    b'{',
    b'{"model": 1}',
    b'{"model": "ruling-8b"}',
    b'{"model": "ruling-8b", "messages": []}',
    b'{"model": "ruling-8b", "messages": [1]}',
    b'{"model": "ruling-8b", "messages": [{"role": 1}]}',
    b'{"model": "ruling-8b", "messages": "x"}',
    b'{"model": "ruling-8b", "prompt": "x", "messages": []}',
    b'{"model": "ruling-8b", "prompt": "x", "n": 2}',
    b'{"model": "ruling-8b", "prompt": "x", "max_tokens": 0}',
    b'{"model": "ruling-8b", "prompt": "x", "max_tokens": -1}',
    b'{"model": "ruling-8b", "prompt": "x", "max_tokens": 1e9}',
    b'{"model": "ruling-8b", "prompt": "x", "stream": "yes"}',
    b'{"model": "other", "prompt": "x"}',
    b'{"model": "\\ud800", "prompt": "x"}',
    b'\xff\xfe',
    b'[' * 100000,
    b'{"a":' * 5000,
]


def _end_sending(connection):
    try:
        connection.shutdown(socket.SHUT_WR)
    except OSError as error:
        # A reset that has come before the call leaves the socket not
        # connected.
        if error.errno != errno.ENOTCONN:
            raise
        raise ConnectionResetError('the VM closed the connection') from error


def _send_raw(address, data):
    host, _, port = address.partition(':')
    with socket.create_connection((host, int(port)), 10) as connection:
        try:
            connection.sendall(data)
            _end_sending(connection)
            response = b''
            while True:
                part = connection.recv(65536)
                if not part:
                    return response
                response += part
        except ConnectionError:
            return b''


def _assert_refused(response, name):
    # The connection may end without a response if the data does not start a
    # request, or if the request is refused while it is still being sent.
    if not response:
        return
    status = int(response.split(b' ', 2)[1])
    assert 400 <= status < 500, (name, response[:300])
    assert b'carobwood-outcome: not-run' in response.lower(), name
    assert b'"code"' in response, name


def _mutate(random_source, data):
    mutated = bytearray(data)
    for _ in range(random_source.randint(1, 12)):
        position = random_source.randrange(len(mutated))
        mutated[position] = random_source.randrange(256)
    return bytes(mutated)


@pytest.fixture
def configured(world):
    """Return a world with a configured VM, a service and no engine."""
    world.start_fleet(('bole',))
    world.configure()
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])
    return world


def test_malformed_requests_are_refused_without_a_crash(configured):
    world = configured
    vm = world.vms_by_id['vm1']
    for name, data in MALFORMED_REQUESTS.items():
        _assert_refused(_send_raw(vm.caller_address, data), name)
    for body in MALFORMED_MODEL_BODIES:
        response = world.request('vm1', 'POST', '/v1/completions', body)
        assert 400 <= response.status < 500, body[:50]
        assert response.outcome == 'not-run'
    random_source = random.Random(SEED)
    valid = (
        REQUEST_HEAD + b'X-Api-Key: none\r\nContent-Length: 13\r\n\r\n' + BODY
    )
    for address in (vm.caller_address, vm.operator_address, vm.link_address):
        for _ in range(RANDOM_REQUESTS // 3):
            _send_raw(address, _mutate(random_source, valid))
    assert world.place_order('vm1', 'still-alive').status == 201
    assert set(world.run_counts()) == {'still-alive'}
    _assert_no_crash(vm)


def test_malformed_documents_are_refused_and_nothing_changes(configured):
    world = configured
    random_source = random.Random(SEED)
    text = pathlib.Path(builders.EXAMPLE).read_bytes()
    before = world.status('vm1')['documents']
    refused = 0
    for _ in range(RANDOM_DOCUMENTS):
        mutated = _mutate(random_source, text).decode('latin-1')
        status, body = world.call_operator_api(
            'vm1',
            '/v1/documents/check',
            environment='production',
            text=mutated,
        )
        assert status in (200, 422)
        refused += status == 422
        if status == 422:
            assert body['error']['code'] == 'document_invalid'
    assert refused > RANDOM_DOCUMENTS // 2
    for fields in ({}, {'text': 1}, {'environment': None}):
        status, _ = world.call_operator_api(
            'vm1', '/v1/documents/apply', **fields
        )
        assert status == 400
    assert world.status('vm1')['documents'] == before
    _assert_no_crash(world.vms_by_id['vm1'])


def test_bodies_that_are_too_large_are_refused(configured):
    world = configured
    response = world.request(
        'vm1', 'POST', '/v1/completions', b'x' * (17 * 1024 * 1024)
    )
    # The VM may refuse the request and close the connection before the
    # client has sent the whole body.
    assert response.status in (0, 413)
    order = world.place_order('vm1', 'too-large', b'x' * (2 * 1024 * 1024))
    assert order.status in (0, 413)
    assert world.run_counts() == {}
    _assert_no_crash(world.vms_by_id['vm1'])


def _assert_no_crash(vm):
    assert vm.process.poll() is None
    names = {json.loads(line)['name'] for line in _json_lines(vm)}
    assert not names & {'request-crashed', 'thread-failed', 'text'}


def _json_lines(vm):
    return [
        line for line in vm.read_log().splitlines() if line.startswith('{')
    ]
