"""Starts carobwoodd daemons and stand-ins as processes on loopback.

Used by the tests, the demonstration and the benchmarks.
"""

import contextlib
import dataclasses
import json
import os
import pathlib
import random
import secrets
import signal
import socket
import subprocess
import sys
import tempfile
import time

import urllib3

import port_claims

BENCH = pathlib.Path(__file__).resolve().parent
START_TIMEOUT_SECONDS = 30.0
POLL_SECONDS = 0.05
# Characters of a VM's log that the error of a wait shows.
SHOWN_LOG_CHARACTERS = 8000
PORT_RANGE = (10000, 30000)

_allocated_ports = set()
# Where the next search begins. Test tools seed the default random source.
_next_port = random.SystemRandom().randrange(*PORT_RANGE)


class NoPortsLeft(Exception):
    """This process may use no further ports."""


def free_port():
    """Return an unused port that was not returned before; see below."""
    return free_ports(1)[0]


def free_ports(count):
    """Return successive unused ports, none of which was returned before.

    They lie below the range that the kernel uses for outgoing connections, so
    that no connection can take them before the process that they are meant
    for listens on them. Other test processes leave them alone while this one
    runs, unless they have claimed all. Ports are drawn in order, since
    scattered ones would leave no range between them.

    Args:
        count: number of ports.

    Raises:
        NoPortsLeft: there are none.
    """
    global _next_port
    claimed_elsewhere = None
    for first in _first_ports(count):
        ports = range(first, first + count)
        if not all(map(_is_free, ports)):
            continue
        if _claim_all(ports):
            break
        claimed_elsewhere = ports
    else:
        if claimed_elsewhere is None:
            raise NoPortsLeft(f'no {count} successive ports are unused')
        ports = claimed_elsewhere
    _allocated_ports.update(ports)
    _next_port = ports.stop
    return ports


def _first_ports(count):
    """Yield the first port of each range, from the next port on."""
    start, end = PORT_RANGE
    firsts = range(start, end - count + 1)
    if not firsts:
        return
    offset = (_next_port - start) % len(firsts)
    yield from firsts[offset:]
    yield from firsts[:offset]


def _claim_all(ports):
    """Claim all of some ports or none; return whether they are claimed."""
    claimed = []
    for port in ports:
        if not port_claims.claim(port):
            break
        claimed.append(port)
    else:
        return True
    for port in claimed:
        port_claims.release(port)
    return False


def _is_free(port):
    return port not in _allocated_ports and _is_unused(port)


def _is_unused(port):
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind(('', port))
        except OSError:
            return False
    return True


def wait_until(condition, what, timeout=START_TIMEOUT_SECONDS):
    """Poll until a condition holds and return its value.

    Args:
        condition: function that returns a true value once it holds.
        what: the awaited event, for the error message.
        timeout: seconds until the wait fails.

    Raises:
        TimeoutError: the condition did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(
                f'timed out after {timeout} s waiting for {what}'
            )
        time.sleep(POLL_SECONDS)


def describe_process(name, process, log):
    """Return the state of a VM's process and the end of its log.

    Args:
        name: id of the VM.
        process: the process, or None before its start.
        log: all of its log.
    """
    state = 'not started'
    if process is not None:
        code = process.poll()
        state = 'running' if code is None else f'exited with {code}'
    return f'{name} is {state}; its log ends:\n{log[-SHOWN_LOG_CHARACTERS:]}'


@dataclasses.dataclass
class Vm:
    """A daemon's process and its addresses.

    Attributes:
        vm_id: ID of the VM.
        data_centre: data centre of the VM.
        caller_address: ``host:port`` that callers connect to.
        operator_address: ``host:port`` of the operators' API.
        link_address: ``host:port`` that the daemon listens on for other VMs.
        link_advertise: ``host:port`` that other VMs connect to.
        data_folder: path of the data folder, or '' without a disk.
        arguments: further command-line arguments of the daemon.
        log_path: file that receives the daemon's output.
        process: the running process, or None before the first start.
    """

    vm_id: str
    data_centre: str
    caller_address: str
    operator_address: str
    link_address: str
    link_advertise: str
    data_folder: str
    arguments: list
    log_path: pathlib.Path
    process: subprocess.Popen | None = None

    def read_log(self):
        """Return the daemon's log, or '' if it has not started yet."""
        return self.log_path.read_text() if self.log_path.exists() else ''

    def describe(self):
        """Return the state of the process and the end of its log."""
        return describe_process(self.vm_id, self.process, self.read_log())


class Fleet:
    """The daemons and stand-ins of a test, demonstration or benchmark.

    Used as a context manager; leaving it kills the processes that still
    run.

    Attributes:
        folder: folder of the fleet's files, temporary by default.
        vms_by_id: ``Vm`` of each planned VM.
        stand_ins_by_id: process of each stand-in.
        ports_by_id: listening port of each stand-in.
        operator_token: bearer token for the operators' API.
        announce_token: bearer token for endpoint announcements.
        token_file: path of the file that holds the operator token.
        link_secret_file: path of the file that holds the link secret.
        http: connection pool for requests to daemons and stand-ins.
    """

    def __init__(self, folder=None):
        self._stack = contextlib.ExitStack()
        if folder is None:
            folder = self._stack.enter_context(
                tempfile.TemporaryDirectory(prefix='carobwood-')
            )
        self.folder = pathlib.Path(folder)
        self.vms_by_id = {}
        self.stand_ins_by_id = {}
        self.ports_by_id = {}
        self.operator_token = secrets.token_hex(16)
        self.announce_token = secrets.token_hex(16)
        self.token_file = self._write_secret(
            'tokens', f'op:{self.operator_token}'
        )
        self.link_secret_file = self._write_secret(
            'link', secrets.token_hex(16)
        )
        self._announce_token_file = self._write_secret(
            'announce', self.announce_token
        )
        self.http = urllib3.PoolManager(
            timeout=urllib3.Timeout(connect=5.0, read=30.0),
            retries=False,
            maxsize=64,
        )

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for vm in self.vms_by_id.values():
            _kill(vm.process)
        for process in self.stand_ins_by_id.values():
            _kill(process)
        self._stack.close()

    @property
    def operators(self):
        """Addresses of the operators' API of all VMs."""
        return [vm.operator_address for vm in self.vms_by_id.values()]

    def plan_vm(self, vm_id, data_centre, has_disk=True, **flags):
        """Allocate a VM's addresses; ``start_vm`` starts its process.

        Args:
            vm_id: ID of the VM.
            data_centre: data centre of the VM.
            has_disk: whether the VM gets a data folder.
            **flags: further flags of ``carobwoodd``, with underscores.

        Returns:
            The ``Vm``.
        """
        ports = [free_port() for _ in range(3)]
        caller, operator, link = (f'127.0.0.1:{port}' for port in ports)
        data_folder = str(self.folder / vm_id) if has_disk else ''
        vm = Vm(
            vm_id,
            data_centre,
            caller,
            operator,
            link,
            flags.pop('link_advertise', link),
            data_folder,
            [
                f'--{name.replace("_", "-")}={value}'
                for name, value in flags.items()
            ],
            self.folder / f'{vm_id}.log',
        )
        self.vms_by_id[vm_id] = vm
        return vm

    def start_vm(self, vm_id, peers=None):
        """Start a planned VM, or restart a stopped one.

        Args:
            vm_id: ID of the VM.
            peers: link addresses for ``--peers``; those of all other
                planned VMs by default.

        Returns:
            The ``Vm``.
        """
        vm = self.vms_by_id[vm_id]
        if peers is None:
            peers = [
                other.link_advertise
                for other in self.vms_by_id.values()
                if other.vm_id != vm_id
            ]
        command = [
            sys.executable,
            '-m',
            'carobwood_daemon',
            f'--vm-id={vm.vm_id}',
            f'--data-centre={vm.data_centre}',
            f'--caller-listen={vm.caller_address}',
            f'--operator-listen={vm.operator_address}',
            f'--link-listen={vm.link_address}',
            f'--link-advertise={vm.link_advertise}',
            f'--data-folder={vm.data_folder}',
            f'--peers={",".join(peers)}',
            f'--link-secret-file={self.link_secret_file}',
            f'--operator-token-file={self.token_file}',
            f'--announce-token-file={self._announce_token_file}',
            '--balancer-delay=0.2',
        ] + vm.arguments
        with open(vm.log_path, 'ab') as log:
            vm.process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )
        return vm

    def start_vms(self):
        """Start all planned VMs and wait until they answer operators."""
        for vm_id in self.vms_by_id:
            self.start_vm(vm_id)
        for vm_id in self.vms_by_id:
            self.await_operator_api(vm_id)

    def await_operator_api(self, vm_id):
        """Wait until a VM's operators' API answers; return its status."""
        return self._await_vm(vm_id, lambda: self.status(vm_id), 'to answer')

    def status(self, vm_id):
        """Return a VM's decoded status, or None if it is unavailable."""
        vm = self.vms_by_id[vm_id]
        try:
            answer = self.http.request(
                'GET',
                f'http://{vm.operator_address}/v1/status',
                headers=self.operator_headers(),
                timeout=3.0,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(answer.data) if answer.status == 200 else None

    def operator_headers(self):
        """Return the headers of a request to the operators' API."""
        return {
            'Authorization': f'Bearer {self.operator_token}',
            'Content-Type': 'application/json',
        }

    def found_fleet(self, vm_id, voters):
        """Found the fleet on a VM and wait until it has enough voters."""
        self.run_client('vm', 'found', vm_id=vm_id)
        wait_until(
            lambda: (
                len((self.status(vm_id) or {}).get('voters', ())) >= voters
            ),
            f'{voters} voters',
        )

    def run_client(self, *words, vm_id=None, code=0):
        """Run the ``carobwood`` client and return its decoded JSON output.

        Args:
            *words: noun, verb and arguments of the command line.
            vm_id: VM whose operators' API the client is given; all
                VMs by default.
            code: expected exit code, or None for any.

        Returns:
            The decoded output, or None if there is none.

        Raises:
            RuntimeError: the client exited with another code.
        """
        operators = self.operators
        if vm_id is not None:
            operators = [self.vms_by_id[vm_id].operator_address]
        completed = subprocess.run(
            [
                sys.executable,
                '-m',
                'carobwood_client',
                f'--operators={",".join(operators)}',
                f'--token-file={self.token_file}',
                *words,
                '--json',
            ],
            capture_output=True,
            text=True,
            timeout=90,
        )
        if code is not None and completed.returncode != code:
            raise RuntimeError(
                f'carobwood {words} exited with {completed.returncode}: '
                f'{completed.stdout}{completed.stderr}'
            )
        return (
            json.loads(completed.stdout) if completed.stdout.strip() else None
        )

    def start_engine(self, engine_id, data_centre='bole', **flags):
        """Start a fake engine and return its port.

        Args:
            engine_id: endpoint ID of the engine.
            data_centre: data centre that the engine announces.
            **flags: further flags of ``fake_engine.py``, with
                underscores.
        """
        flags.setdefault('pool', 'engines')
        flags.setdefault('weights_version', '2026-11')
        return self._start_stand_in(
            'fake_engine.py', engine_id, data_centre, flags
        )

    def start_service(self, service_id, data_centre='bole', **flags):
        """Start a fake service and return its port.

        Args:
            service_id: endpoint ID of the service.
            data_centre: data centre that the service announces.
            **flags: further flags of ``fake_service.py``, with
                underscores.
        """
        flags.setdefault('pool', 'orders')
        return self._start_stand_in(
            'fake_service.py', service_id, data_centre, flags
        )

    def await_endpoints(self, endpoint_ids, vm_ids=None):
        """Wait until VMs list endpoints in state ``serving``.

        Args:
            endpoint_ids: IDs of the endpoints.
            vm_ids: IDs of the VMs; all VMs by default.
        """
        for vm_id in vm_ids or self.vms_by_id:
            self._await_vm(
                vm_id,
                lambda: set(endpoint_ids) <= self._serving_endpoint_ids(vm_id),
                f'to list {endpoint_ids} as serving',
            )

    def await_ready(self, vm_ids=None):
        """Wait until VMs (all by default) report ready to load balancers."""
        for vm_id in vm_ids or self.vms_by_id:
            self._await_vm(vm_id, lambda: self.is_ready(vm_id), 'to be ready')

    def is_ready(self, vm_id):
        """Return whether a VM's readiness probe succeeds."""
        url = f'http://{self.vms_by_id[vm_id].caller_address}/readyz'
        try:
            return self.http.request('GET', url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def stop_vm(self, vm_id, signal_number=signal.SIGTERM, timeout=30):
        """Send a signal to a VM, wait for its end and return its exit code."""
        process = self.vms_by_id[vm_id].process
        process.send_signal(signal_number)
        return process.wait(timeout)

    def stop_stand_in(
        self, stand_in_id, signal_number=signal.SIGTERM, timeout=30
    ):
        """Send a signal to a stand-in, wait, and return its exit code."""
        process = self.stand_ins_by_id[stand_in_id]
        process.send_signal(signal_number)
        return process.wait(timeout)

    def get_stand_in_json(self, stand_in_id, path):
        """Return the decoded JSON response of a stand-in's control path."""
        port = self.ports_by_id[stand_in_id]
        answer = self.http.request('GET', f'http://127.0.0.1:{port}{path}')
        return json.loads(answer.data)

    def set_fault(self, stand_in_id, fault):
        """Inject a fault into a stand-in."""
        port = self.ports_by_id[stand_in_id]
        self.http.request(
            'POST',
            f'http://127.0.0.1:{port}/fault',
            body=json.dumps({'fault': fault}),
        )

    def _await_vm(self, vm_id, condition, what):
        # The log of a VM is gone once the fleet's folder is removed.
        try:
            return wait_until(condition, f'{vm_id} {what}')
        except TimeoutError as error:
            description = self.vms_by_id[vm_id].describe()
            raise TimeoutError(f'{error}; {description}') from error

    def _start_stand_in(self, script, stand_in_id, data_centre, flags):
        operators = flags.pop('operators', self.operators)
        command = [
            sys.executable,
            str(BENCH / script),
            f'--id={stand_in_id}',
            f'--data-centre={data_centre}',
            f'--operators={",".join(operators)}',
            f'--announce-token={self.announce_token}',
        ] + [
            f'--{name.replace("_", "-")}={value}'
            for name, value in flags.items()
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        self.stand_ins_by_id[stand_in_id] = process
        port = json.loads(process.stdout.readline())['port']
        self.ports_by_id[stand_in_id] = port
        return port

    def _serving_endpoint_ids(self, vm_id):
        vm = self.vms_by_id[vm_id]
        try:
            answer = self.http.request(
                'GET',
                f'http://{vm.operator_address}/v1/endpoints',
                headers=self.operator_headers(),
            )
        except urllib3.exceptions.HTTPError:
            return set()
        return {
            entry['endpoint_id']
            for entry in json.loads(answer.data)
            if entry['state'] == 'serving'
        }

    def _write_secret(self, name, text):
        path = self.folder / name
        path.write_text(text)
        os.chmod(path, 0o600)
        return str(path)


def _kill(process):
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()
