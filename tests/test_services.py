"""Tests of forwarding to plain services, and of response bodies."""

import hashlib
import http.client
import http.server
import pathlib
import threading

import builders
import fleet as fleets
import pytest
import yaml

from carobwood import response_body

BODY_MIB = 64
MAX_MEMORY_GROWTH_MIB = 32
BLOCK = bytes(range(256)) * 4096


def _document():
    fields = yaml.safe_load(builders.document_text())
    fields['routes'].append(
        {
            'prefix': '/echo',
            'access': 'keyed',
            'pool': 'orders',
            'methods': ['POST', 'PUT'],
            'deadline_seconds': 30,
        }
    )
    return yaml.safe_dump(fields)


@pytest.fixture
def echo_world(world):
    """Return a world with a configured VM and a service that echoes bodies."""
    world.start_fleet(('bole',))
    world.configure(_document())
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])
    return world


def _peak_memory_mib(world):
    pid = world.vms_by_id['vm1'].process.pid
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        if line.startswith('VmHWM'):
            return int(line.split()[1]) / 1024
    raise AssertionError('/proc has no peak memory of the VM')


def _echo(world, method, is_chunked):
    host, _, port = world.vms_by_id['vm1'].caller_address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    headers = dict(builders.bearer(world.key))
    if not is_chunked:
        headers['Content-Length'] = str(BODY_MIB * len(BLOCK))
    blocks = (BLOCK for _ in range(BODY_MIB))
    connection.request(
        method, '/echo/a?b=c', blocks, headers, encode_chunked=is_chunked
    )
    response = connection.getresponse()
    digest = hashlib.sha256()
    size = 0
    while part := response.read(1 << 20):
        digest.update(part)
        size += len(part)
    connection.close()
    return response, digest.hexdigest(), size


@pytest.mark.parametrize(
    ('method', 'is_chunked'), [('POST', False), ('PUT', True)]
)
def test_large_bodies_are_forwarded_without_being_buffered(
    echo_world, method, is_chunked
):
    before = _peak_memory_mib(echo_world)
    response, digest, size = _echo(echo_world, method, is_chunked)
    expected = hashlib.sha256()
    for _ in range(BODY_MIB):
        expected.update(BLOCK)
    assert response.status == 200
    assert response.headers['Carobwood-Outcome'] == 'complete'
    assert size == BODY_MIB * len(BLOCK)
    assert digest == expected.hexdigest()
    assert _peak_memory_mib(echo_world) - before < MAX_MEMORY_GROWTH_MIB


def test_routes_decide_method_and_access(echo_world):
    lookup = echo_world.request('vm1', 'GET', '/records/session-9')
    assert (lookup.status, lookup.outcome) == (200, 'complete')
    assert echo_world.request('vm1', 'PUT', '/records/9').code == (
        'method_not_allowed'
    )
    opened = echo_world.request('vm1', 'GET', '/opening-hours', headers={})
    assert opened.status == 200
    closed = echo_world.request('vm1', 'GET', '/records/9', headers={})
    assert closed.code == 'credential_missing'
    assert (
        echo_world.request('vm1', 'GET', '/nowhere').code == 'route_not_found'
    )


def test_prompts_of_token_ids_and_the_list_of_models(echo_world):
    echo_world.start_engine('engine-1')
    echo_world.await_endpoints(['engine-1'])
    body = {'model': builders.MODEL, 'prompt': [7] * 5000, 'max_tokens': 3}
    response = echo_world.request('vm1', 'POST', '/v1/completions', body)
    assert (response.status, response.outcome) == (200, 'complete')
    body['prompt'] = [-1]
    wrong = echo_world.request('vm1', 'POST', '/v1/completions', body)
    assert (wrong.code, wrong.outcome) == ('malformed_request', 'not-run')
    listed = echo_world.request('vm1', 'GET', '/v1/models')
    assert builders.MODEL.encode() in listed.body


class _Reader:
    """Returns bytes in blocks of a given size, like a buffered socket."""

    def __init__(self, data, block_size):
        self._data = data
        self._block_size = block_size

    def read1(self, size):
        """Return the next block."""
        part = self._data[: min(size, self._block_size)]
        self._data = self._data[len(part) :]
        return part


@pytest.mark.parametrize('block_size', [1, 2, 3, 5, 7, 64, 10000])
def test_chunks_are_decoded_for_any_block_size(block_size):
    content = bytes(range(256)) * 3
    raw = b''
    for start in range(0, len(content), 50):
        chunk = content[start : start + 50]
        raw += b'%x;ext=1\r\n%s\r\n' % (len(chunk), chunk)
    body = response_body.ChunkedBody(_Reader(raw + b'0\r\n\r\n', block_size))
    parts = []
    while not body.has_ended:
        parts.append(body.read_available())
    assert b''.join(parts) == content
    assert body.is_complete


@pytest.mark.parametrize(
    'raw', [b'5\r\nabc', b'zz\r\nabc\r\n', b'-1\r\n', b'', b'3\r\nabc\r\n']
)
def test_malformed_chunks_are_no_complete_body(raw):
    body = response_body.ChunkedBody(_Reader(raw, 100))
    with pytest.raises((http.client.HTTPException, ValueError)):
        while not body.has_ended:
            body.read_available()


def test_spans_are_exported_to_a_collector(world):
    received = threading.Event()

    class Collector(http.server.BaseHTTPRequestHandler):
        """An OTLP collector that records whether spans arrived."""

        def do_POST(self):  # noqa: N802 (named by http.server)
            """Accept an export of spans."""
            self.rfile.read(int(self.headers['Content-Length']))
            if self.path == '/v1/traces':
                received.set()
            self.send_response(200)
            self.send_header('Content-Length', '0')
            self.end_headers()

        def log_message(self, format, *args):
            """Write no access log."""

    with http.server.HTTPServer(('127.0.0.1', 0), Collector) as server:
        thread = threading.Thread(target=server.serve_forever, daemon=True)
        thread.start()
        port = server.server_address[1]
        world.start_fleet(
            ('bole',),
            trace_export='otlp',
            trace_target=f'http://127.0.0.1:{port}/v1/traces',
        )
        world.configure()
        assert world.chat().code == 'no_endpoint'
        assert received.wait(fleets.START_TIMEOUT_SECONDS)
        server.shutdown()


def _send_malformed_chunks(world):
    """Send a body whose second chunk is malformed; return the response."""
    host, _, port = world.vms_by_id['vm1'].caller_address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=60)
    connection.putrequest('POST', '/echo/a')
    for name, value in builders.bearer(world.key).items():
        connection.putheader(name, value)
    connection.putheader('Transfer-Encoding', 'chunked')
    connection.endheaders(b'5\r\nfirst\r\nno-size\r\n')
    response = connection.getresponse()
    response.read()
    connection.close()
    return response


def test_malformed_bodies_do_not_count_against_the_endpoint(echo_world):
    for _ in range(3):
        response = _send_malformed_chunks(echo_world)
        assert response.status == 400
        # The endpoint has received the head and the first chunk.
        assert response.headers['Carobwood-Outcome'] == 'unknown'
    response, _, size = _echo(echo_world, 'POST', True)
    assert response.status == 200
    assert size == BODY_MIB * len(BLOCK)
