"""Requests of all kinds that are under way while a configuration changes.

A round sends one request of each kind, brings a change into force and reads
all answers. An endpoint holds what reaches it until the change is in force.
"""

import dataclasses
import itertools
import json
import socket
import threading

import fleet as fleets
import relay_builders as builders
import relay_test_fleet

BODY = b'abcdefghi'
# Time within which a request is to be answered.
TIMEOUT_SECONDS = 20.0
# Requests that an endpoint of either service runs at once.
SLOTS = 6
# Answer to a stream: its events in order.
STREAM = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
PATHS_BY_ROUTE = {
    'orders': '/orders/named',
    'lookups': '/lookups/named',
    'checks': '/checks/pause-0-after-2',
    'captions': '/captions/pause-0-after-2',
}
STREAM_ROUTES = ('checks', 'captions')
FRAMINGS = ('length', 'chunks', 'pipelined')
# Where a request is as the configuration changes: at its endpoint, at its
# endpoint with a part of the answer sent, in the wait queue, read in part, not
# sent yet on a connection that has had an answer.
PHASES = ('running', 'streaming', 'waiting', 'half-body', 'half-head', 'idle')
# Those whose requests are read to their end after the change.
LATER_PHASES = ('half-body', 'half-head', 'idle')


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        route: name of its route.
        framing: one of ``FRAMINGS``.
        phase: one of ``PHASES``.
    """

    route: str
    framing: str
    phase: str

    def __str__(self):
        """Return its name."""
        return f'{self.phase}-{self.route}-{self.framing}'

    @property
    def service(self):
        """Name of the service that its route leads to at first."""
        return 'engines' if self.route in STREAM_ROUTES else 'orders'


@dataclasses.dataclass(frozen=True)
class Outcome:
    """How a request ended.

    Attributes:
        status: status of its answer, or 0 without a whole one.
        body: body of the answer.
        is_not_run: whether the answer says that it has not run.
        run_count: number of times that an endpoint ran it.
        error: what was wrong with the connection, or empty.
    """

    status: int
    body: bytes
    is_not_run: bool
    run_count: int
    error: str


def _is_sent(kind):
    """Tell whether requests of a kind exist, and are worth their time."""
    if kind.phase == 'streaming':
        return kind.route in STREAM_ROUTES
    return kind.framing != 'pipelined' or not kind.phase.startswith('half')


# Another request on the connection of one that is judged.
_PLAIN = Kind('orders', 'length', 'idle')
KINDS = tuple(
    filter(
        _is_sent,
        itertools.starmap(
            Kind, itertools.product(PATHS_BY_ROUTE, FRAMINGS, PHASES)
        ),
    )
)
FIRST_KINDS = tuple(
    itertools.starmap(
        Kind, itertools.product(PATHS_BY_ROUTE, FRAMINGS, ('idle',))
    )
)


def routes(**changes):
    """Return the routes, each with some fields changed.

    Time and attempts suffice for a request that is held for some seconds.
    """
    fields = {
        'timeout_ms': int(TIMEOUT_SECONDS * 1000),
        'target_latency_ms': 2000,
        **changes,
    }
    return [r | fields for r in builders.configuration_fields()['routes']]


def configuration(version, **changes):
    """Return a configuration with other services beside the usual ones."""
    engine = {
        'slots': SLOTS,
        'kv_capacity': 100_000,
        'models': [{'name': builders.MODEL}],
    }
    fields = builders.configuration_fields(version, routes=routes())
    fields['services'] = [
        {'name': 'engines', 'max_conns': 100, 'engine': engine},
        {'name': 'other-engines', 'max_conns': 100, 'engine': engine},
        {'name': 'orders', 'max_conns': 100},
        {'name': 'other-orders', 'max_conns': 100},
    ]
    fields['tenants'][0] |= {'rate_per_s': 1_000_000, 'burst': 1_000_000}
    return {**fields, **changes}


class Holder:
    """Holds requests at endpoints until they are released."""

    def __init__(self):
        self._released = threading.Event()
        self._changed = threading.Condition()
        self._ids = []
        self._paused_count = 0

    def follow(self, endpoint):
        """Hold requests at a ``FakeEngine``."""
        endpoint.on_run = self._run
        endpoint.on_pause = self._pause

    def _run(self, headers, path, body):
        request_id = headers['x-carobwood-request-id']
        with self._changed:
            self._ids.append(request_id)
            self._changed.notify_all()
        if '-streaming-' in request_id or request_id.endswith('-first'):
            return
        self._released.wait(relay_test_fleet.WAIT_SECONDS)

    def _pause(self):
        with self._changed:
            self._paused_count += 1
            self._changed.notify_all()
        self._released.wait(relay_test_fleet.WAIT_SECONDS)

    def hold(self):
        """Hold what comes from now on."""
        self._released.clear()
        with self._changed:
            self._paused_count = 0

    def release(self):
        """Let all requests end."""
        self._released.set()

    def count_runs(self, request_id):
        """Return how often a request ran."""
        with self._changed:
            return self._ids.count(request_id)

    def await_run(self, request_id):
        """Wait until a request runs."""
        self._await(lambda: request_id in self._ids, request_id)

    def await_pauses(self, count):
        """Wait until streams are held after their first events.

        Args:
            count: their number since ``hold``.
        """
        self._await(lambda: self._paused_count >= count, f'{count} streams')

    def _await(self, condition, what):
        with self._changed:
            assert self._changed.wait_for(
                condition, relay_test_fleet.WAIT_SECONDS
            ), what


class Exchange:
    """A request of a kind on a connection of its own."""

    def __init__(self, port, kind, name):
        """Connect.

        Args:
            port: port of the VM.
            kind: the ``Kind``.
            name: id of the request.
        """
        self.kind = kind
        self.request_id = name
        self._socket = socket.create_connection(
            ('127.0.0.1', port), relay_test_fleet.WAIT_SECONDS
        )
        self._reader = self._socket.makefile('rb')
        self._is_kept = True
        self._error = ''
        self._parts = _encode(kind, name)
        self._answer = (0, b'', False)

    def send_first(self):
        """Send another request on the connection before."""
        self._write(b''.join(_encode(_PLAIN, f'{self.request_id}-first')))

    def read_first(self):
        """Read the answer to it."""
        status, body, _ = self._read()
        assert (status, body) == (200, f'{self.request_id}-first'.encode())

    def send(self):
        """Send the request, or a part of it."""
        match self.kind.phase:
            case 'half-head':
                self._write(self._parts.pop(0))
            case 'half-body':
                self._write(self._parts.pop(0) + self._parts.pop(0))
            case _:
                self.send_rest()

    def send_rest(self):
        """Send what is left of it."""
        parts, self._parts = self._parts, []
        self._write(b''.join(parts))

    def read_answer(self):
        """Read the answer, and send another request on a kept connection."""
        self._answer = self._read()
        if self.kind.framing == 'pipelined' and self._is_kept:
            self._check_next(f'{self.request_id}-behind')
        if self._is_kept:
            self._write(b''.join(_encode(_PLAIN, f'{self.request_id}-last')))

    def end(self, holder):
        """Read the answer to that one as well; return the ``Outcome``."""
        if self._is_kept:
            self._check_next(f'{self.request_id}-last')
        self._reader.close()
        self._socket.close()
        status, body, is_not_run = self._answer
        count = holder.count_runs(self.request_id)
        return Outcome(status, body, is_not_run, count, self._error)

    def _check_next(self, name):
        """Read an answer to a request behind the one that is judged."""
        status, body, is_not_run = self._read()
        is_whole = status == 200 and body in (name.encode(), STREAM)
        if not is_whole and not is_not_run:
            self._error = self._error or f'{name}: {status} {body}'

    def _write(self, data):
        try:
            self._socket.sendall(data)
        except OSError:
            # An answer may have come before.
            pass

    def _read(self):
        """Return status and body of an answer, and whether it is unrun."""
        try:
            status, headers = self._read_head()
            body = self._read_body(headers)
        except (OSError, ValueError, KeyError, IndexError) as error:
            self._is_kept = False
            self._error = repr(error)
            return 0, b'', False
        if headers.get('connection', '').lower() == 'close':
            self._is_kept = False
        is_not_run = status != 200 and b'"outcome": "not-run"' in body
        return status, body, is_not_run

    def _read_head(self):
        line = self._reader.readline()
        if not line:
            raise ValueError('the connection ended')
        headers = {}
        while (field := self._reader.readline()) not in (b'\r\n', b''):
            name, _, value = field.decode('latin-1').partition(':')
            headers[name.strip().lower()] = value.strip()
        return int(line.split()[1]), headers

    def _read_body(self, headers):
        if headers.get('transfer-encoding') != 'chunked':
            return self._read_exactly(int(headers['content-length']))
        body = b''
        while size := int(self._reader.readline(), 16):
            body += self._read_exactly(size)
            self._read_exactly(2)
        self._read_exactly(2)
        return body

    def _read_exactly(self, count):
        data = self._reader.read(count)
        if len(data) < count:
            raise ValueError(f'the answer ended after {data}')
        return data


def _encode(kind, name):
    """Return the bytes of a request: two parts of head and two of body."""
    fields = relay_test_fleet.caller_headers(
        X_Carobwood_Request_Id=name,
        X_Carobwood_Deadline_Ms=str(int(TIMEOUT_SECONDS * 1000)),
    )
    head = f'POST {PATHS_BY_ROUTE[kind.route]} HTTP/1.1\r\n'
    rest = ''.join(f'{key}: {value}\r\n' for key, value in fields.items())
    if kind.framing == 'chunks':
        rest += 'Transfer-Encoding: chunked\r\n\r\n'
        body = [b'4\r\nabcd\r\n', b'5\r\nefghi\r\n0\r\n\r\n']
    else:
        rest += f'Content-Length: {len(BODY)}\r\n\r\n'
        body = [BODY[:4], BODY[4:]]
    if kind.framing == 'pipelined':
        behind = dataclasses.replace(kind, framing='length')
        body[1] += b''.join(_encode(behind, f'{name}-behind'))
    return [head.encode(), rest.encode(), *body]


class Round:
    """The requests of all kinds beside one change.

    Attributes:
        outcomes_by_kind: the ``Outcome`` of each kind once it is over.
    """

    def __init__(self, fleet, holder, name):
        """Create the round.

        Args:
            fleet: the ``RelayTestFleet``; its first entry VM is used.
            holder: the ``Holder`` of its endpoints.
            name: beginning of the ids of the requests.
        """
        self.outcomes_by_kind = {}
        self._holder = holder
        self._fleet = fleet
        self._port = fleet.fleet.entry_ports[0]
        self._vm = fleet.fleet.vms[len(fleet.fleet.control_ports)]
        self._exchanges = [
            Exchange(self._port, kind, f'{name}-{kind}') for kind in KINDS
        ]

    def send(self):
        """Bring each request into its phase."""
        idle = self._of_phase('idle')
        for exchange in idle:
            exchange.send_first()
        for exchange in idle:
            exchange.read_first()
        self._holder.hold()
        for exchange in self._send('running'):
            self._holder.await_run(exchange.request_id)
        self._holder.await_pauses(len(self._send('streaming')))
        waiting = self._send('waiting')
        for service in ('orders', 'engines'):
            count = sum(e.kind.service == service for e in waiting)
            self._await_count(
                lambda: self._vm._shared.wait_queue.count(service), count
            )
        read = self._vm.gate.in_flight + len(self._send('half-body'))
        self._await_count(lambda: self._vm.gate.in_flight, read)
        self._send('half-head')

    def end(self):
        """Send what is left, let all end, and read the answers."""
        for phase in LATER_PHASES:
            for exchange in self._of_phase(phase):
                exchange.send_rest()
        self._holder.release()
        for exchange in self._exchanges:
            exchange.read_answer()
        self.outcomes_by_kind = {
            exchange.kind: exchange.end(self._holder)
            for exchange in self._exchanges
        }

    def _of_phase(self, phase):
        return [e for e in self._exchanges if e.kind.phase == phase]

    def _send(self, phase):
        exchanges = self._of_phase(phase)
        for exchange in exchanges:
            exchange.send()
        return exchanges

    def _await_count(self, read_count, count):
        fleets.wait_until(lambda: read_count() == count, f'{count} requests')


class FirstRound:
    """Requests to a VM that has no configuration, and may get one."""

    def __init__(self, fleet, holder):
        """Connect.

        Args:
            fleet: the ``RelayFleet``.
            holder: the ``Holder`` of its endpoints.
        """
        self._fleet = fleet
        self._holder = holder
        self._exchanges = [
            Exchange(fleet.entry_ports[0], kind, f'first-{kind}')
            for kind in FIRST_KINDS
        ]

    def run(self, endpoints, is_configured):
        """Send the requests and return their ``Outcome`` by ``Kind``.

        Args:
            endpoints: endpoints that are announced meanwhile.
            is_configured: whether the first configuration is sent meanwhile.
        """
        for exchange in self._exchanges:
            exchange.send()
        if is_configured:
            body = json.dumps(configuration(1)).encode()
            self._fleet.control('PUT', '/v1/config', body)
            for endpoint in endpoints:
                path = f'/v1/instances/{endpoint.name}'
                self._fleet.control('PUT', path, endpoint.announcement())
        for exchange in self._exchanges:
            exchange.read_answer()
        return {
            exchange.kind: exchange.end(self._holder)
            for exchange in self._exchanges
        }


def put(fleet, version, **changes):
    """Put a configuration in force, and await it at the first entry VM.

    Returns:
        The status of the answer.
    """
    status = send(fleet, configuration(version, **changes))
    if status == 200:
        await_version(fleet, version)
    return status


def send(fleet, fields):
    """Send a configuration and return the status of the answer."""
    body = json.dumps(fields).encode()
    return fleet.fleet.control('PUT', '/v1/config', body).status


def await_version(fleet, version, number=0):
    """Wait until an entry VM has a version of the configuration."""
    store = configuration_store(fleet, number)
    fleets.wait_until(
        lambda: store.configuration.version == version, f'version {version}'
    )


def configuration_store(fleet, number=0):
    """Return the ``ConfigurationStore`` of an entry VM."""
    vm = fleet.fleet.vms[len(fleet.fleet.control_ports) + number]
    return vm._shared.configuration_store
