"""Many large answers of endpoints at once, each of which arrives whole."""

import concurrent.futures
import contextlib
import functools
import hashlib
import http.client
import http.server
import threading

import cut_off_vm
import endless_endpoint
import pytest
import relay_test_fleet
import small_vm

MEGABYTE = 1024 * 1024
# As large as an answer may be.
LARGE_BYTES = 30 * MEGABYTE
CALLERS = 8
BLOCK = bytes(range(256)) * 256
FRAMINGS = ('length', 'chunked')
DEADLINE_MS = '60000'


class LargeEndpoint:
    """An endpoint whose answers have a size that the path names.

    ``/orders/FRAMING/SIZE`` is answered with that many bytes, and with ``cut``
    behind it the connection ends in their middle.

    Attributes:
        name: id of the endpoint.
    """

    name = 'orders-0'

    def __init__(self):
        self._server = _Server(('127.0.0.1', 0), _Handler)
        self._server.daemon_threads = True
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def announcement(self, sequence=1, state='ready'):
        """Return its announcement to control VMs."""
        return {
            'service': 'orders',
            'address': '127.0.0.1:%d' % self._server.server_address[1],
            'zone': 'bole',
            'state': state,
            'seq_no': sequence,
            'born': 1_700_000_000_000,
            'version': 'v1',
        }

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class _Server(http.server.ThreadingHTTPServer):
    """A server that accepts many connections at the same moment."""

    request_queue_size = 128

    def handle_error(self, request, client_address):
        """Print nothing: the VM may have closed its connection."""


class _Handler(http.server.BaseHTTPRequestHandler):
    """Handles one connection to the endpoint."""

    protocol_version = 'HTTP/1.1'

    def log_message(self, *arguments):
        """Log nothing."""

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Send an answer of the framing and the size that are asked for."""
        self.rfile.read(int(self.headers.get('Content-Length', 0)))
        framing, size, *cut = self.path.split('/')[2:]
        size = int(size)
        self.send_response(200)
        self.send_header(
            'X-Carobwood-Request-Id', self.headers['X-Carobwood-Request-Id']
        )
        self.send_header('X-Carobwood-Response-Stamp', 'orders-0')
        if framing == 'length':
            self.send_header('Content-Length', str(size))
        else:
            self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        for part in _parts(size // 2 if cut else size):
            if framing == 'chunked':
                part = b'%x\r\n%s\r\n' % (len(part), part)
            self.wfile.write(part)
        if cut:
            self.close_connection = True
        elif framing == 'chunked':
            self.wfile.write(b'0\r\n\r\n')


def _parts(size):
    while size > 0:
        yield BLOCK[:size]
        size -= len(BLOCK)


@functools.cache
def _digest(size):
    digest = hashlib.sha256()
    for part in _parts(size):
        digest.update(part)
    return digest.hexdigest()


def _read_digest(host, port, path, number=0):
    """Return status and digest of an answer, which is not kept.

    Raises:
        OSError: the answer is not whole.
        http.client.HTTPException: it is not whole.
    """
    headers = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=f'r-{number}',
        X_Carobwood_Deadline_Ms=DEADLINE_MS,
    )
    connection = http.client.HTTPConnection(
        host, port, timeout=relay_test_fleet.WAIT_SECONDS
    )
    with contextlib.closing(connection):
        connection.request('POST', path, b'prompt', headers)
        response = connection.getresponse()
        digest = hashlib.sha256()
        while True:
            data = response.read(256 * 1024)
            if not data:
                break
            digest.update(data)
        if response.length:
            raise http.client.IncompleteRead(b'', response.length)
        return response.status, digest.hexdigest()


def _read_until_sent(host, port, path, number):
    """Ask again while the request is refused as not run."""
    return relay_test_fleet.await_reply(
        lambda: _read_digest(host, port, path, number),
        lambda result: result[0] != 503,
    )


@pytest.fixture(scope='module')
def endpoint():
    """Yield an endpoint with large answers."""
    large_endpoint = LargeEndpoint()
    yield large_endpoint
    large_endpoint.stop()


# Each of several large answers was within its bound, and the VM that kept
# them all ran out of memory.
@pytest.mark.parametrize('framing', FRAMINGS)
def test_large_answers_at_once_fit_into_the_memory_of_a_vm(
    tmp_path, endpoint, framing
):
    announcements = {endpoint.name: endpoint.announcement()}
    path = f'/orders/{framing}/{LARGE_BYTES}'
    with small_vm.run(tmp_path, announcements) as fleet:
        host, port = small_vm.entry_address(fleet)
        _await_service(host, port)
        pid = fleet.entry_vm.process.pid
        endless_endpoint.reset_peak_memory(pid)
        with concurrent.futures.ThreadPoolExecutor(CALLERS) as threads:
            results = threads.map(
                lambda number: _read_until_sent(host, port, path, number),
                range(CALLERS),
            )
            results = list(results)
        peak = endless_endpoint.peak_memory_bytes(pid) // MEGABYTE
        assert peak < small_vm.MEMORY_MEGABYTES
    assert set(results) == {(200, _digest(LARGE_BYTES))}


def _await_service(host, port):
    def is_served():
        try:
            return _read_digest(host, port, '/orders/length/5')
        except (OSError, http.client.HTTPException):
            return None

    wanted = (200, _digest(5))
    relay_test_fleet.await_reply(is_served, lambda result: result == wanted)


@pytest.fixture(scope='module')
def full_fleet(tmp_path_factory, endpoint):
    """Yield a fleet whose entry VMs have nothing left of their budgets.

    Its entry VM 1 takes requests of callers, and passes those of VM 0 on.
    """
    folder = tmp_path_factory.mktemp('fleet')
    with relay_test_fleet.RelayTestFleet(folder) as test_fleet:
        test_fleet.announce(endpoint, 1000)
        for port in test_fleet.fleet.entry_ports:
            _await_service('127.0.0.1', port)
        with cut_off_vm.cut_off(test_fleet, 0):
            _await_service('127.0.0.1', test_fleet.fleet.entry_ports[0])
            yield from _fill_budgets(test_fleet)


def _fill_budgets(test_fleet):
    budgets_by_vm = test_fleet.fleet.budgets_by_vm
    budgets = [budgets_by_vm['front-0'], budgets_by_vm['front-1']]
    for budget in budgets:
        assert budget.take(budget.total_bytes)
    yield test_fleet
    for budget in budgets:
        budget.give_back(budget.total_bytes)
        assert budget.used_bytes == 0


# What can't be kept is passed on before its end is known.
@pytest.mark.parametrize('number', [1, 0], ids=['direct', 'forwarded'])
def test_an_answer_that_is_passed_on_is_whole_or_looks_cut(full_fleet, number):
    port = full_fleet.fleet.entry_ports[number]
    for framing in FRAMINGS:
        path = f'/orders/{framing}/{MEGABYTE}'
        whole = _read_digest('127.0.0.1', port, path)
        assert whole == (200, _digest(MEGABYTE))
        with pytest.raises((OSError, http.client.HTTPException)):
            _read_digest('127.0.0.1', port, f'{path}/cut')
        small = _read_digest('127.0.0.1', port, f'/orders/{framing}/100')
        assert small == (200, _digest(100))
