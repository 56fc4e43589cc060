"""A small deployment on loopback addresses, with stand-ins around it.

Starts the program of the deploy file in its two roles as separate processes,
and plays what stands around them: engines, plain services, the operator and
clients. Only the standard library is used. All addresses are loopback ones.
"""

import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ('bole', 'kirkos', 'arada')
REGION = 'addis'
HEARTBEAT_MS = 1200
# The bounds of the sheet of Abyssinia Photo Services (SYSTEM.md).
BOUNDS = {
    'seed_staleness_s': 3,
    'addr_reuse_s': 2,
    'contact_ms': 3000,
    'ack_ms': 4000,
    'catch_up_s': 4,
    'drain_ms': 2000,
    'grace_s': 8,
    'loss_slack_ms': 200,
    'config_apply_ms': 2000,
    'back_ms': 250,
    'outer_ms': 5000,
    'strict_revoke': False,
    'revoke_ms': 5000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 56,
    'quota_window_s': 8,
    'quota_overshoot': 0.1,
    'quota_slack': 110000,
    'recovery_s': 12,
    'transit_ms': 120,
    'retry_after_s': 10,
    'fencing_required': True,
    'lease_ms': 3000,
    'freeze_slack_ms': 300,
    'version_ms': 8000,
    'version_all_ms': 11000,
}
CONTRACTS = [
    'base', 'drain', 'config', 'cost', 'retry', 'recover', 'kvcache',
    'stream', 'engine', 'tenants', 'quota',
]
LIMITS = {
    'max_header_bytes': 16384,
    'max_body_bytes': 4194304,
    'header_timeout_ms': 3000,
    'idle_timeout_ms': 15000,
}
ENGINE = {
    'slots': 64,
    'kv_capacity': 104296,
    'kv_token_bytes': 163840,
    'bandwidth_mbps': 180000.0,
    'moves': True,
    'backups': True,
    'stride': 4,
    'max_inflight': 12,
    'pin_ms': 4000.0,
    'hold_ms': 2000.0,
    'handle_s': 5.0,
}


class CaseCouldNotRun(Exception):
    """The deployment did not come up, so the rule was not tried."""


class Record:
    """The file that holds what was sent, answered and run."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self.begun_at = time.monotonic()

    def now(self):
        """Return the seconds since the record was begun."""
        return time.monotonic() - self.begun_at

    def note(self, kind, **fields):
        """Write a line."""
        words = ' '.join(f'{key}={value}' for key, value in fields.items())
        with self._lock:
            self._file.write(f'{self.now():9.3f} {kind} {words}\n')
            self._file.flush()


def free_ports(hosts, count):
    """Return the first of some ports that are free on some addresses."""
    while True:
        first = random.randint(20000, 30000)
        try:
            for host in hosts:
                for port in range(first, first + count):
                    with socket.socket() as probe:
                        probe.setsockopt(
                            socket.SOL_SOCKET, socket.SO_REUSEADDR, 1
                        )
                        probe.bind((host, port))
        except OSError:
            continue
        return first


class Vm:
    """One machine: its settings and its process."""

    def __init__(self, fleet, name, host, zone, is_core):
        self.fleet = fleet
        self.name = name
        self.host = host
        self.zone = zone
        self.is_core = is_core
        self.process = None
        self.folder = fleet.folder / name
        self.data = self.folder / 'data'
        self.folder.mkdir(parents=True)
        if is_core:
            self.data.mkdir()

    def start(self, is_first_start):
        """Start the process with the settings in effect."""
        path = self.folder / 'boot.yaml'
        path.write_text(json.dumps(self._settings(is_first_start), indent=1))
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CAROBWOOD_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        log = open(self.folder / 'log', 'ab')
        self.process = subprocess.Popen(
            ['python3', 'platform/serve.py'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()
        self.fleet.record.note('start', vm=self.name)

    def signal(self, number):
        """Send a signal to the process."""
        self.fleet.record.note(
            'signal', vm=self.name, signal=signal.Signals(number).name
        )
        self.process.send_signal(number)

    def end(self):
        """End the process and wait for that."""
        if self.process is None or self.process.poll() is not None:
            return
        self.process.send_signal(signal.SIGCONT)
        self.process.kill()
        self.process.wait()

    @property
    def is_ready(self):
        """Whether the readiness check of the platform gets a 200."""
        try:
            status, _, _ = call(
                self.host, self.fleet.ready_port, 'GET', '/v1/ready',
                timeout=0.5,
            )
        except OSError:
            return False
        return status == 200

    def _settings(self, is_first_start):
        fleet = self.fleet
        listen = {}
        if self.is_core:
            listen['control'] = f'{self.host}:{fleet.control_port}'
        else:
            listen['front'] = f'{self.host}:{fleet.front_port}'
            listen['ready'] = f'{self.host}:{fleet.ready_port}'
        return {
            'node_name': self.name,
            'role': 'control' if self.is_core else 'entry',
            'machine_class': 'core' if self.is_core else 'front',
            'serves': ['control'] if self.is_core else ['front'],
            'ip': self.host,
            'zone': self.zone,
            'region': REGION,
            'zones': {zone: REGION for zone in ZONES},
            'listen': listen,
            'port_range': [fleet.first_port, fleet.first_port + 15],
            'seeds': [
                f'{vm.host}:{fleet.control_port}' for vm in fleet.core[:3]
            ],
            'first_start': is_first_start,
            'fault_counted': self.is_core,
            'limits': {
                'cpu_share': 0.5,
                'cores': 2,
                'memory_mb': 296,
                'max_fds': 4096,
                'bandwidth_mbps': 1000.0,
                'disk_mb': 128 if self.is_core else 0,
            },
            'data_dir': str(self.data) if self.is_core else None,
            'discovery': 'register',
            'entry_mode': 'vip',
            'heartbeat_ms': HEARTBEAT_MS,
            'contracts': CONTRACTS,
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
        }


class Fleet:
    """The machines of the system."""

    def __init__(self, record, core_count=3, front_count=2):
        self.record = record
        # Machines that were removed or replaced.
        self.removed = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='case-'))
        net = f'127.{random.randint(10, 240)}.{random.randint(1, 250)}'
        core_hosts = [f'{net}.{10 + i}' for i in range(core_count)]
        front_hosts = [f'{net}.{50 + i}' for i in range(front_count)]
        self.engine_host = f'{net}.200'
        hosts = core_hosts + front_hosts
        self.front_port = free_ports(hosts, 26)
        self.ready_port = self.front_port + 1
        self.control_port = self.front_port + 2
        self.first_port = self.front_port + 10
        self.core = [
            Vm(self, f'core-{ZONES[i % 3]}-{i}', host, ZONES[i % 3], True)
            for i, host in enumerate(core_hosts)
        ]
        self.front = [
            Vm(self, f'front-{ZONES[i % 3]}-{i}', host, ZONES[i % 3], False)
            for i, host in enumerate(front_hosts)
        ]

    @property
    def vms(self):
        """All machines."""
        return self.core + self.front + self.removed

    def start(self):
        """Start the whole system for the first time."""
        for vm in self.vms:
            vm.start(is_first_start=True)

    def await_ready(self, seconds=30):
        """Wait until all entry machines are ready."""
        ends_at = time.monotonic() + seconds
        while not all(vm.is_ready for vm in self.front):
            if time.monotonic() > ends_at:
                raise CaseCouldNotRun('the entry machines are not ready')
            time.sleep(0.1)

    def order(self, method, path, body, seconds=20):
        """Send an order of the operator until it is acknowledged.

        Returns:
            The time of the acknowledgement.
        """
        ends_at = time.monotonic() + seconds
        content = json.dumps(body).encode()
        while time.monotonic() < ends_at:
            for vm in random.sample(self.core, len(self.core)):
                try:
                    status, _, _ = call(
                        vm.host, self.control_port, method, path, content,
                        timeout=1.0,
                    )
                except OSError:
                    continue
                if 200 <= status < 300:
                    self.record.note(
                        'acknowledged', order=f'{method} {path}', by=vm.name,
                        body=content.decode()[:200],
                    )
                    return time.monotonic()
            time.sleep(0.1)
        raise CaseCouldNotRun(f'{method} {path} was not acknowledged')

    def close(self):
        """End all processes and remove the folder."""
        for vm in self.vms:
            vm.end()
        keep = os.environ.get('CASE_KEEP')
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def call(host, port, method, path, body=None, headers=None, timeout=1.0):
    """Make one HTTP call on a new connection.

    Returns:
        Status, headers by name in lower case, body.
    """
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        found = {k.lower(): v for k, v in response.getheaders()}
        return response.status, found, content
    except http.client.HTTPException as error:
        raise ConnectionError(repr(error)) from error
    finally:
        connection.close()


class Engine:
    """A stand-in of an engine or of a plain service's server.

    It keeps to PROTOCOL.md: it rejects requests that are meant for another
    instance or for other weights, runs all others at once, and takes orders
    to load weights.
    """

    load_seconds = 0.6

    def __init__(self, fleet, service, zone, models=(), slots=64):
        self.fleet = fleet
        self.record = fleet.record
        self.service = service
        self.zone = zone
        self.slots = slots
        self.id = f'i-{random.getrandbits(32):08x}'
        self.born = int(time.time() * 1000)
        self.versions = {model: 1 for model in models}
        self.loading = set()
        self.accepted_orders = 0
        self.top_fence = 0
        self.state = 'ready'
        self.sequence = 0
        self.runs = []
        self.work_seconds = 0.02
        self.events = 3
        self.lock = threading.Lock()
        self.is_stopped = False
        self.listener = socket.create_server(
            (fleet.engine_host, 0), backlog=512
        )
        self.address = '{}:{}'.format(*self.listener.getsockname())

    def start(self):
        """Serve and announce."""
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._announce, daemon=True).start()

    def close(self):
        """Stop at once."""
        self.is_stopped = True
        self.listener.close()

    def describe(self):
        """Return the body of a heartbeat."""
        self.sequence += 1
        return {
            'service': self.service,
            'address': self.address,
            'zone': self.zone,
            'version': 'v1',
            'slots': self.slots,
            'state': self.state,
            'cold_left_ms': 0,
            'stage': 'unified',
            'models': self._models(),
            'seq_no': self.sequence,
            'born': self.born,
        }

    def _models(self):
        return [
            {'name': name, 'version': version, 'adapters': []}
            for name, version in self.versions.items()
        ]

    def _announce(self):
        preferred = None
        while not self.is_stopped:
            core = random.sample(self.fleet.core, len(self.fleet.core))
            hosts = [vm.host for vm in core]
            if preferred:
                hosts.insert(0, preferred)
            content = json.dumps(self.describe()).encode()
            for host in hosts:
                try:
                    status, _, _ = call(
                        host, self.fleet.control_port, 'PUT',
                        f'/v1/instances/{self.id}', content, timeout=1.0,
                    )
                except OSError:
                    preferred = None
                    continue
                if 200 <= status < 300:
                    preferred = host
                    break
            time.sleep(HEARTBEAT_MS / 1000)

    def _accept(self):
        while not self.is_stopped:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection):
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        reader = connection.makefile('rb')
        try:
            while True:
                line = reader.readline()
                if not line.strip():
                    return
                method, target, _ = line.decode('latin-1').split(' ', 2)
                headers = {}
                while (line := reader.readline()) not in (b'\r\n', b''):
                    name, _, value = line.decode('latin-1').partition(':')
                    headers[name.strip().lower()] = value.strip()
                body = reader.read(int(headers.get('content-length', 0)))
                self.handle(connection, method, target, headers, body)
        except OSError:
            pass
        finally:
            reader.close()
            connection.close()

    def handle(self, connection, method, target, headers, body):
        """Answer one request."""
        path = target.partition('?')[0]
        expected = headers.get('x-carobwood-expect-instance')
        if expected not in (None, self.id):
            self.answer(connection, 421, {'X-Carobwood-Not-Run': '1'}, b'')
        elif path == '/health':
            self.answer(
                connection, 200, {'X-Carobwood-Instance-Id': self.id}, b''
            )
        elif path == '/v1/report':
            self._report(connection)
        elif path == '/v1/order':
            self._order(connection, json.loads(body))
        elif path == '/v1/kv-events':
            time.sleep(min(1.0, int(headers.get('wait-ms', 0)) / 1000))
            self.answer_json(
                connection,
                {
                    'boot_epoch': self.born % 100000,
                    'next': 0,
                    'lost': False,
                    'events': [],
                },
            )
        else:
            self.run(connection, method, target, headers, body)

    def _report(self, connection):
        self.answer_json(
            connection,
            {
                'stage': 'unified',
                'models': self._models(),
                'busy': bool(self.loading),
                'seq_no': self.accepted_orders,
                'queued': 0,
                'running': 0,
                'kv_used': 0,
                'kv_total': ENGINE['kv_capacity'],
                'handles': 0,
            },
        )

    def _order(self, connection, order):
        with self.lock:
            status = self._accept_order(order)
        self.record.note(
            'order', engine=self.id, holder=order.get('holder'),
            fence=order.get('fence'), model=order.get('model'),
            version=order.get('version'), status=status,
        )
        self.answer(connection, status, {}, b'')

    def _accept_order(self, order):
        if order.get('model') not in self.versions or not order.get('holder'):
            return 400
        if order['fence'] < self.top_fence:
            return 412
        self.top_fence = order['fence']
        if self.versions[order['model']] == order['version']:
            return 200
        expected = order.get('expect', self.accepted_orders)
        if self.loading or expected != self.accepted_orders:
            return 409
        self.accepted_orders += 1
        self.loading.add(order['model'])
        threading.Timer(
            self.load_seconds, self._load, (order['model'], order['version'])
        ).start()
        return 202

    def _load(self, model, version):
        with self.lock:
            self.versions[model] = version
            self.loading.discard(model)
        self.record.note(
            'loaded', engine=self.id, model=model, version=version
        )

    def run(self, connection, method, target, headers, body):
        """Run a request, or reject it."""
        model = headers.get('x-carobwood-model')
        request_id = headers.get('x-carobwood-request-id', '')
        echo = {'X-Carobwood-Request-Id': request_id}
        if model is not None:
            wanted = headers.get('x-carobwood-expect-version')
            held = self.versions.get(model, 0)
            if wanted is not None and int(wanted) != held:
                self.record.note(
                    'rejected', engine=self.id, id=request_id, model=model,
                    expected=wanted, held=held, status=421,
                )
                self.answer(
                    connection, 421, {**echo, 'X-Carobwood-Not-Run': '1'}, b''
                )
                return
            if model in self.loading:
                self.answer(
                    connection, 503, {**echo, 'X-Carobwood-Not-Run': '1'}, b''
                )
                return
        self.note_run(request_id, method, target, headers, model)
        time.sleep(self.work_seconds)
        stamp = {**echo, 'X-Carobwood-Response-Stamp': f'{self.id}.{request_id}'}
        if model is None:
            self.answer(connection, 200, stamp, b'done ' + request_id.encode())
        else:
            stamp['X-Carobwood-Weight-Versions'] = str(self.versions[model])
            self._stream(connection, stamp)

    def note_run(self, request_id, method, target, headers, model):
        """Record that a request has begun to run."""
        with self.lock:
            self.runs.append((self.record.now(), request_id, dict(headers)))
        self.record.note(
            'run', engine=self.id, service=self.service, id=request_id,
            tenant=headers.get('x-carobwood-tenant'), model=model,
            version=self.versions.get(model),
        )

    def _stream(self, connection, headers):
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        connection.sendall('\r\n'.join(lines).encode('latin-1'))
        for number in range(1, self.events + 1):
            event = f'id: {number}\ndata: token {number}\n\n'.encode()
            connection.sendall(b'%x\r\n%s\r\n' % (len(event), event))
        connection.sendall(b'0\r\n\r\n')

    def answer(self, connection, status, headers, body):
        """Send a whole answer."""
        reason = http.client.responses.get(status, 'Unknown')
        lines = [f'HTTP/1.1 {status} {reason}']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += [f'Content-Length: {len(body)}', '', '']
        connection.sendall('\r\n'.join(lines).encode('latin-1') + body)

    def answer_json(self, connection, body):
        """Send a JSON body."""
        content = json.dumps(body).encode()
        self.answer(
            connection, 200, {'Content-Type': 'application/json'}, content
        )


def new_id():
    """Return a new id of a request."""
    return f'{random.getrandbits(64):016x}'


def exit_with(main):
    """Run a case; exit with 2 if it could not run."""
    record = Record(pathlib.Path(sys.argv[0]).resolve().parent / 'record.txt')
    try:
        code = main(record)
    except CaseCouldNotRun as error:
        record.note('could-not-run', reason=error)
        print(f'could not run: {error}')
        code = 2
    except Exception:
        # Not the rule's break, which is exit code 1.
        traceback.print_exc()
        code = 2
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)
