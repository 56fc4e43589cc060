"""Runs the programs of the deploy file as processes on loopback addresses.

Each machine has a loopback address of its own, so that all of them can use
the same ports, as the platform's machines do.
"""

import concurrent.futures
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

ROOT = pathlib.Path(__file__).resolve().parents[2]
# The program of both roles in deploy/system.toml.
COMMAND = ['python3', 'platform/serve.py']
TROUBLE = os.environ.get('TROUBLE', '1') != '0'

# Values of the sheet of tussock-camps.
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
    'retry_slack': 54,
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
ZONES = ('zone-waitaki', 'zone-buller', 'zone-otago')
REGION = 'te-waipounamu'


class CannotRun(Exception):
    """The case could not be set up."""


class Record:
    """Writes what happens, with the seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._lock = threading.Lock()
        self._started_at = time.monotonic()

    def __call__(self, text):
        """Write a line."""
        with self._lock:
            seconds = time.monotonic() - self._started_at
            line = f'{seconds:8.3f}  {text}'
            print(line, file=self._file, flush=True)
            print(line, flush=True)


class Machine:
    """A machine that runs one role as one process."""

    def __init__(self, fleet, name, is_core, number):
        self.fleet = fleet
        self.name = name
        self.is_core = is_core
        self.zone = ZONES[(number - 1) % len(ZONES)]
        self.ip = f'{fleet.network}.{number + (100 if is_core else 0)}'
        self.process = None
        self.is_first_start = True
        self._log_path = fleet.folder / f'{name}.log'
        self.data_folder = fleet.folder / f'{name}-data' if is_core else None

    def address(self, name):
        """Return ``host:port`` of what the machine listens for."""
        return f'{self.ip}:{self.fleet.ports[name]}'

    def start(self):
        """Start the process with its settings file."""
        listen = {'control': self.address('control')}
        if not self.is_core:
            listen = {
                name: self.address(name) for name in ('front', 'ready')
            }
        first = self.fleet.ports['range']
        settings = {
            'node_name': self.name,
            'role': 'control' if self.is_core else 'entry',
            'machine_class': 'core' if self.is_core else 'front',
            'serves': ['control'] if self.is_core else ['front'],
            'ip': self.ip,
            'zone': self.zone,
            'region': REGION,
            'zones': {zone: REGION for zone in ZONES},
            'listen': listen,
            'port_range': [first, first + 15],
            'seeds': [c.address('control') for c in self.fleet.cores[:3]],
            'first_start': self.is_first_start,
            'fault_counted': self.is_core,
            'limits': {
                'cpu_share': 0.645,
                'cores': 2,
                'memory_mb': 296,
                'max_fds': 4096,
                'bandwidth_mbps': 1000.0,
                'disk_mb': 128 if self.is_core else 0,
            },
            'data_dir': str(self.data_folder) if self.is_core else None,
            'discovery': 'register',
            'entry_mode': 'vip',
            'heartbeat_ms': 1200,
            'contracts': [
                'base',
                'drain',
                'config',
                'cost',
                'retry',
                'recover',
                'kvcache',
                'stream',
                'engine',
                'tenants',
                'quota',
            ],
            'fault_tolerance': {'machines': 1, 'zones': 1, 'regions': 0},
            'bounds': BOUNDS,
            'config_mode': 'highest',
        }
        path = self.fleet.folder / f'{self.name}.yaml'
        # JSON is valid YAML.
        path.write_text(json.dumps(settings, indent=1), encoding='utf-8')
        if self.is_core:
            self.data_folder.mkdir(exist_ok=True)
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment['CAROBWOOD_CONFIG'] = str(path)
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        with open(self._log_path, 'ab') as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
                stdin=subprocess.DEVNULL,
            )
        self.is_first_start = False
        self.fleet.record(f'{self.name} started, pid {self.process.pid}')

    def send_signal(self, number):
        """Send a signal to the process and record it."""
        self.fleet.record(f'{self.name} gets {signal.Signals(number).name}')
        self.process.send_signal(number)

    def kill(self):
        """Kill the process and wait for its end."""
        self.send_signal(signal.SIGKILL)
        self.process.wait()

    def events(self, name):
        """Return the log lines of an event, as dictionaries."""
        found = []
        text = self._log_path.read_text(encoding='utf-8', errors='replace')
        for line in text.splitlines():
            if f'"{name}"' in line:
                found.append(json.loads(line))
        return found


class Fleet:
    """The machines of a small deployment, in a temporary folder."""

    def __init__(self, record, cores=3, fronts=0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix='review-'))
        self.network, self.ports = _free_network(cores + fronts)
        self.cores = []
        for number in range(1, cores + 1):
            self.cores.append(Machine(self, f'core-{number}', True, number))
        self.fronts = [
            Machine(self, f'front-{number}', False, number)
            for number in range(1, fronts + 1)
        ]
        self._engines = []
        self.engine_record = self.folder / 'engines.txt'
        self.engine_record.touch()

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for machine in self.cores + self.fronts:
            if machine.process is not None and machine.process.poll() is None:
                machine.process.kill()
                machine.process.wait()
        for process in self._engines:
            process.kill()
            process.wait()
        if os.environ.get('KEEP'):
            print(f'kept {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def start(self):
        """Start all machines."""
        for machine in self.cores + self.fronts:
            machine.start()

    def start_engine(self, service, number, work_seconds=0.02):
        """Start a stand-in of an engine of a plain service."""
        return self._start_engine('engine.py', service, number, work_seconds)

    def start_model_engine(self, service, number, slots=64):
        """Start a stand-in of a model engine."""
        return self._start_engine('model_engine.py', service, number, slots)

    def engine_address(self, number):
        """Return the address of an engine."""
        return f'{self.network}.{200 + number}:{self.ports["engine"]}'

    def _start_engine(self, program, service, number, work):
        address = self.engine_address(number)
        command = [
            sys.executable,
            str(pathlib.Path(__file__).with_name(program)),
            address,
            service,
            ZONES[(number - 1) % len(ZONES)],
            f'i-{service}-{number}',
            '1.2',
            str(work),
            str(self.engine_record),
            *(core.address('control') for core in self.cores),
        ]
        process = subprocess.Popen(command, stdin=subprocess.DEVNULL)
        self._engines.append(process)
        self.record(f'engine {number} of {service} started at {address}')
        return process

    def runs(self):
        """Return the ids of the requests that the engines have run."""
        lines = self.engine_record.read_text().splitlines()
        return [line.split()[3] for line in lines]

    def run_times(self):
        """Return the monotonic time of the first run of each request."""
        times_by_id = {}
        for line in self.engine_record.read_text().splitlines():
            ran_at, _, _, request_id = line.split()[:4]
            times_by_id.setdefault(request_id, float(ran_at))
        return times_by_id

    def await_ready(self, front, timeout=15.0):
        """Wait until a front says that it is ready."""
        ends_at = time.monotonic() + timeout
        while time.monotonic() < ends_at:
            status, _ = call(front.address('ready'), 'GET', '/v1/ready')
            if status == 200:
                return
            time.sleep(0.1)
        raise CannotRun(f'{front.name} did not become ready')

    def leader(self, after_term=0):
        """Return the core that was elected last, and its term.

        The platform has this as 'the one that acted or acknowledged last'.
        """
        elected = [
            (event['term'], core)
            for core in self.cores
            for event in core.events('leader-elected')
        ]
        term, core = max(elected, key=lambda pair: pair[0], default=(0, None))
        return (core, term) if term > after_term else (None, 0)

    def await_leader(self, after_term=0, timeout=15.0):
        """Wait for a leader of a later term; return it and the term."""
        ends_at = time.monotonic() + timeout
        while time.monotonic() < ends_at:
            core, term = self.leader(after_term)
            if core is not None:
                self.record(f'{core.name} leads in term {term}')
                return core, term
            time.sleep(0.02)
        raise CannotRun('no leader was elected')


class Operator:
    """An operator that sends changes and reads of the configuration."""

    def __init__(self, record):
        self._record = record

    def put(self, core, configuration, timeout=1.0):
        """Send a configuration to a core; return whether it has acked."""
        return self.put_status(core, configuration, timeout) == 200

    def put_status(self, core, configuration, timeout=1.0):
        """Send a configuration to a core; return the status, or None."""
        version = configuration['version']
        status, _ = call(
            core.address('control'),
            'PUT',
            '/v1/config',
            json.dumps(configuration).encode(),
            timeout,
        )
        self._record(f'operator: PUT version {version} to {core.name}: {status}')
        return status

    def put_until_acked(self, cores, configuration, seconds=15.0):
        """Send a configuration to one core after the other until acked."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            for core in cores:
                if self.put(core, configuration):
                    return core
            time.sleep(0.1)
        raise CannotRun('a configuration was not acknowledged')

    def read(self, core, timeout=1.0):
        """Return the version that a core reads back, or None."""
        status, body = call(
            core.address('control'), 'GET', '/v1/config', None, timeout
        )
        version = json.loads(body)['version'] if status == 200 else None
        self._record(
            f'operator: GET from {core.name}: {status}, version {version}'
        )
        return version

    def read_together(self, core, count):
        """Read from one core several times at once."""
        with concurrent.futures.ThreadPoolExecutor(count) as executor:
            for _ in range(count):
                executor.submit(self.read, core)


def call(address, method, path, body=None, timeout=1.0, headers=None):
    """Return status and body of a call, or (None, b'') without an answer."""
    host, _, port = address.partition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        sent = {'Content-Type': 'application/json'} if body else {}
        sent.update(headers or {})
        connection.request(method, path, body, sent)
        response = connection.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return None, b''
    finally:
        connection.close()


def _free_network(count):
    """Return the first bytes of unused loopback addresses, and ports."""
    for _ in range(50):
        network = '127.{}.{}'.format(
            random.randrange(16, 250), random.randrange(1, 250)
        )
        first = random.randrange(11000, 28000)
        ports = {
            'range': first,
            'control': first + 20,
            'front': first + 21,
            'ready': first + 22,
            'engine': first + 23,
        }
        if all(
            _is_free(f'{network}.{host}', port)
            for host in (1, 101)
            for port in [*range(first, first + 16), *ports.values()]
        ):
            return network, ports
    raise CannotRun('no free loopback addresses')


def _is_free(host, port):
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
