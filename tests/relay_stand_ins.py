"""Stand-ins of the platform's engines, and small fleets of relay VMs."""

import dataclasses
import http.client
import http.server
import json
import pathlib
import socket
import threading

from carobwood import addresses
from carobwood_daemon.relay import quota
from carobwood_daemon import relay_settings
from carobwood_daemon import relay_vm
from carobwood_daemon.replication import timing
from carobwood_daemon import settings
from carobwood_platform import control_api
from carobwood_platform import dialect
import fleet as fleets
import relay_builders as build

SECRET = b'secret-of-the-tests'
WAIT_SECONDS = 60.0
EVENTS = 5


class StandInEngine:
    """An engine whose paths choose what it does.

    ``/…/reset-after-2`` breaks off after two events, ``/…/stall-after-2``
    falls silent until the connection ends, ``/…/full`` refuses,
    ``/…/unsigned`` bears no signature, ``/…/silent`` never answers.
    """

    def __init__(self, name, service):
        self.name = name
        self.service = service
        self.version = 1
        self.orders = []
        self.requests = []
        self.breaks_once = False
        self._server = http.server.ThreadingHTTPServer(
            ('127.0.0.1', 0), type('Handler', (_Handler,), {'engine': self})
        )
        self._server.daemon_threads = True
        self.address = '127.0.0.1:%d' % self._server.server_address[1]
        threading.Thread(
            target=self._server.serve_forever, daemon=True
        ).start()

    def heartbeat(self, sequence=1, state='ready'):
        """Return the engine's announcement of itself."""
        return {
            'service': self.service,
            'address': self.address,
            'zone': 'bole',
            'state': state,
            'models': [{'name': build.MODEL, 'version': self.version}],
            'seq_no': sequence,
            'born': 1_700_000_000_000,
        }

    def stop(self):
        """Stop serving."""
        self._server.shutdown()
        self._server.server_close()


class _Handler(http.server.BaseHTTPRequestHandler):
    """Serves one connection of a stand-in engine."""

    protocol_version = 'HTTP/1.1'
    engine = None

    def log_message(self, *arguments):
        """Log nothing."""

    def do_GET(self):  # noqa: N802 (named by http.server)
        """Serve a report, cache events or a request."""
        if self.path.startswith('/v1/kv-events?'):
            body = {'boot_epoch': 1, 'next': 1, 'lost': False, 'events': []}
            self._answer(200, json.dumps(body).encode())
            return
        if self.path == '/v1/report':
            body = {
                'models': [
                    {'name': build.MODEL, 'version': self.engine.version}
                ],
                'busy': False,
                'seq_no': len(self.engine.orders),
            }
            self._answer(200, json.dumps(body).encode())
            return
        self._serve()

    def do_POST(self):  # noqa: N802 (named by http.server)
        """Serve an order or a request."""
        length = int(self.headers.get('Content-Length', 0))
        body = self.rfile.read(length)
        if self.path == '/v1/order':
            order = json.loads(body)
            self.engine.orders.append(order)
            self.engine.version = order['version']
            self._answer(202, b'')
            return
        self._serve()

    def _serve(self):
        self.engine.requests.append(
            {name.lower(): value for name, value in self.headers.items()}
        )
        action = self.path.rpartition('/')[2]
        if action == 'full':
            self._answer(503, b'', {'X-Carobwood-Not-Run': '1'})
        elif action == 'silent':
            self.connection.recv(1)
            self.close_connection = True
        elif action == 'unsigned':
            self._answer(200, b'not an engine')
        elif action == 'whole':
            self._answer(200, b'whole', self._signature())
        else:
            self._stream(action)

    def _signature(self):
        return {
            'X-Carobwood-Request-Id': self.headers['X-Carobwood-Request-Id'],
            'X-Carobwood-Response-Stamp': self.engine.name,
            'X-Carobwood-Weight-Versions': str(self.engine.version),
        }

    def _answer(self, status, body, headers=None):
        self.send_response(status)
        for name, value in (headers or {}).items():
            self.send_header(name, value)
        self.send_header('Content-Length', str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _stream(self, action):
        self.send_response(200)
        for name, value in self._signature().items():
            self.send_header(name, value)
        self.send_header('Content-Type', 'text/event-stream')
        self.send_header('Transfer-Encoding', 'chunked')
        self.end_headers()
        first = int(self.headers.get('Last-Event-Id', 0)) + 1
        for number in range(first, EVENTS + 1):
            if action == 'reset-after-2' and number == 3 and first == 1:
                self._chunk(b'id: 3\ndata: par')
                self.connection.shutdown(socket.SHUT_RDWR)
                self.close_connection = True
                return
            if action == 'stall-after-2' and number == 3 and first == 1:
                self.connection.recv(1)
                self.close_connection = True
                return
            self._chunk(b'id: %d\ndata: %d\n\n' % (number, number))
        self.wfile.write(b'0\r\n\r\n')

    def _chunk(self, data):
        self.wfile.write(b'%x\r\n%s\r\n' % (len(data), data))


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got; status 0 if the connection broke."""

    status: int
    headers: dict
    body: bytes


class RelayFleet:
    """Control and entry VMs in this process, on loopback."""

    def __init__(
        self,
        folder,
        controls=3,
        entries=1,
        seconds=8.0,
        missing=(),
        trace=relay_settings.TraceSettings(),
    ):
        """Start the VMs.

        Args:
            folder: where their data folders are made.
            controls: number of control VMs, which are the seeds.
            entries: number of entry VMs.
            seconds: time for a stop.
            missing: numbers of control VMs that are not started.
            trace: where the VMs' spans go.
        """
        count = 2 * controls + 3 * entries
        ports = [fleets.free_port() for _ in range(count)]
        links = ports[: controls + entries]
        rest = ports[controls + entries :]
        seeds = tuple(f'127.0.0.1:{port}' for port in links[:controls])
        self._folder = pathlib.Path(folder)
        self._links = links
        self._seeds = seeds
        self._seconds = seconds
        self._trace = trace
        self.vms = []
        self.control_ports = rest[:controls]
        self.entry_ports = rest[controls : controls + entries]
        self.ready_ports = rest[controls + entries :]
        for number in range(controls):
            if number not in missing:
                self.vms.append(self._control_vm(number, 'disk', True))
        for number in range(entries):
            self.vms.append(self._entry_vm(controls, number))
        for vm in self.vms:
            vm.start()

    def restart_empty(self, number):
        """Start a control VM again with an empty disk."""
        self.vms[number].stop()
        self.vms[number] = self._control_vm(number, 'new-disk', False)
        self.vms[number].start()

    def _control_vm(self, number, disk, is_first_start):
        folder = self._folder / f'core-{number}' / disk
        return self._vm(
            f'core-{number}',
            self._links[number],
            is_first_start=is_first_start,
            data_folder=str(folder),
            control_listen=_address(self.control_ports[number]),
        )

    def _entry_vm(self, controls, number):
        return self._vm(
            f'front-{number}',
            self._links[controls + number],
            caller_listen=_address(self.entry_ports[number]),
            ready_listen=_address(self.ready_ports[number]),
        )

    def _vm(self, name, link_port, **changes):
        fields = {
            'vm_id': name,
            'data_centre': 'bole',
            'link_listen': _address(link_port),
            'seeds': self._seeds,
            'is_first_start': True,
            'data_folder': '',
            'caller_listen': None,
            'ready_listen': None,
            'control_listen': None,
            'metrics_listen': None,
            'link_secret': SECRET,
            'balancer_seconds': 0.0,
            'replica_options': settings.ReplicaOptions(
                timing.Timing(), 1000, 3, 4.0
            ),
            'bounds': relay_settings.Bounds(
                self._seconds,
                8.0,
                0.2,
                0.2,
                56.0,
                10.0,
                quota.Tolerance(8, 0, 0),
            ),
            'trace': self._trace,
        }
        return relay_vm.RelayVm(
            relay_settings.RelaySettings(**{**fields, **changes}),
            dialect.PlatformDialect(),
            lambda control: control_api.ControlApi(control).handle,
        )

    def stop(self):
        """Stop all VMs."""
        for vm in reversed(self.vms):
            vm.stop()

    def control(self, method, path, body=b'', number=0):
        """Call a control VM until it gives a clear answer."""
        if not isinstance(body, bytes):
            body = json.dumps(body).encode()
        port = self.control_ports[number]
        return await_reply(
            lambda: ask(port, method, path, body),
            lambda reply: reply.status not in (0, 503),
        )

    def ask(self, path, body=b'prompt', number=0, **headers):
        """Send a caller's request to an entry VM."""
        named = {
            'Host': build.HOST,
            'Authorization': f'Bearer {build.KEY}',
            'X-Carobwood-Request-Id': 'r-1',
            'X-Carobwood-Model': build.MODEL,
            'X-Carobwood-Token-Counts': '100,10',
            'X-Carobwood-Prompt-Prefix': 'aa:60,bb:40',
            'X-Carobwood-Deadline-Ms': '5000',
        }
        for name, value in headers.items():
            named[name.replace('_', '-')] = value
        return ask(self.entry_ports[number], 'POST', path, body, named)


class RelaySetting:
    """A small fleet with two engines and a plain endpoint."""

    def __init__(self, folder):
        self.fleet = RelayFleet(folder, controls=3, entries=2)
        self.engines = [
            StandInEngine(f'engine-{number}', 'engines') for number in range(2)
        ]
        self.orders = StandInEngine('orders-0', 'orders')
        self.configure(1)
        for endpoint in (*self.engines, self.orders):
            self.announce(endpoint)
        for number in range(2):
            await_reply(
                lambda: self.fleet.ask('/checks/x', number=number),
                lambda reply: reply.status == 200,
            )
            await_reply(
                lambda: self.fleet.ask('/orders/whole', number=number),
                lambda reply: reply.status == 200,
            )
        self.forget()

    def configure(self, version, **changes):
        """Put a configuration in force."""
        body = build.configuration_body(version, **changes)
        return self.fleet.control('PUT', '/v1/config', body)

    def announce(self, endpoint, sequence=1, state='ready'):
        """Announce an endpoint to a control VM."""
        path = f'/v1/instances/{endpoint.name}'
        beat = endpoint.heartbeat(sequence, state)
        return self.fleet.control('PUT', path, beat)

    def forget(self):
        """Forget the requests that endpoints got."""
        for endpoint in (*self.engines, self.orders):
            endpoint.requests.clear()

    @property
    def engine_requests(self):
        """All requests that engines got."""
        return [request for e in self.engines for request in e.requests]

    def stop(self):
        """Stop everything."""
        self.fleet.stop()
        for endpoint in (*self.engines, self.orders):
            endpoint.stop()


def ask(port, method, path, body=b'', headers=None):
    """Send a request on a connection of its own."""
    connection = http.client.HTTPConnection(
        '127.0.0.1', port, timeout=WAIT_SECONDS
    )
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, found, answer.read())
    except (OSError, http.client.HTTPException):
        return Reply(0, {}, b'')
    finally:
        connection.close()


def await_reply(ask_once, is_wanted):
    """Ask until the reply is as wanted, and return it."""
    pause = threading.Event()
    for _ in range(int(WAIT_SECONDS / 0.05)):
        reply = ask_once()
        if is_wanted(reply):
            return reply
        pause.wait(0.05)
    raise AssertionError(f'the last reply was {reply}')


def _address(port):
    return addresses.Address('127.0.0.1', port)
