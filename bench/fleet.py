"""Starts daemons and stand-ins as processes on loopback."""

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

BENCH = pathlib.Path(__file__).resolve().parent
START_TIMEOUT = 30.0
POLL_SECONDS = 0.05
PORTS = (10000, 30000)

_given_ports = set()


def free_port():
    """Return a port that no one listens on, and that was not given yet.

    It lies below the range of outgoing connections, so that none can
    take it before a process listens.
    """
    while True:
        port = random.SystemRandom().randrange(*PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(('', port))
            except OSError:
                continue
        _given_ports.add(port)
        return port


def wait_until(condition, what, timeout=START_TIMEOUT):
    """Poll until a condition holds and return its value.

    Raises:
        TimeoutError: it did not hold in time.
    """
    deadline = time.monotonic() + timeout
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f'waited {timeout} s for {what}')
        time.sleep(POLL_SECONDS)


@dataclasses.dataclass
class Vm:
    """A daemon's process and its addresses."""

    vm_id: str
    data_centre: str
    caller: str
    operator: str
    link: str
    link_advertise: str
    data_folder: str
    arguments: list
    log_path: pathlib.Path
    process: subprocess.Popen | None = None

    def log_text(self):
        """Return what the daemon logged."""
        return self.log_path.read_text() if self.log_path.exists() else ''


class Fleet:
    """Processes of a test, a demonstration or a measurement.

    Used as a context manager; the end kills whatever still runs.
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
        self.token_file = self._write('tokens', f'op:{self.operator_token}')
        self.link_secret_file = self._write('link', secrets.token_hex(16))
        self._announce_file = self._write('announce', self.announce_token)
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
        """Operator addresses of all VMs."""
        return [vm.operator for vm in self.vms_by_id.values()]

    def plan_vm(self, vm_id, data_centre, has_disk=True, **flags):
        """Choose a VM's addresses; its process starts later.

        Args:
            vm_id: name of the VM.
            data_centre: its data centre.
            has_disk: whether it gets a data folder.
            **flags: further flags of ``carobwoodd``.
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
        """Start a planned VM, or start a stopped one again."""
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
            f'--caller-listen={vm.caller}',
            f'--operator-listen={vm.operator}',
            f'--link-listen={vm.link}',
            f'--link-advertise={vm.link_advertise}',
            f'--data-folder={vm.data_folder}',
            f'--peers={",".join(peers)}',
            f'--link-secret-file={self.link_secret_file}',
            f'--operator-token-file={self.token_file}',
            f'--announce-token-file={self._announce_file}',
            '--balancer-delay=0.2',
        ] + vm.arguments
        with open(vm.log_path, 'ab') as log:
            vm.process = subprocess.Popen(
                command, stdout=log, stderr=subprocess.STDOUT
            )
        return vm

    def start_vms(self):
        """Start all planned VMs and wait until they answer."""
        for vm_id in self.vms_by_id:
            self.start_vm(vm_id)
        for vm_id in self.vms_by_id:
            self.await_answer(vm_id)

    def await_answer(self, vm_id):
        """Wait until a VM's operators' listener answers."""
        return wait_until(lambda: self.status(vm_id), f'{vm_id} to answer')

    def status(self, vm_id):
        """Return a VM's status, or None if it does not answer."""
        vm = self.vms_by_id[vm_id]
        try:
            answer = self.http.request(
                'GET',
                f'http://{vm.operator}/v1/status',
                headers=self.operator_headers(),
                timeout=3.0,
            )
        except urllib3.exceptions.HTTPError:
            return None
        return json.loads(answer.data) if answer.status == 200 else None

    def operator_headers(self):
        """Return the headers of an operator's request."""
        return {
            'Authorization': f'Bearer {self.operator_token}',
            'Content-Type': 'application/json',
        }

    def found(self, vm_id, voters):
        """Found the fleet on a VM and wait for its voters."""
        self.client('vm', 'found', vm_id=vm_id)
        wait_until(
            lambda: (
                len((self.status(vm_id) or {}).get('voters', ())) >= voters
            ),
            f'{voters} voters',
        )

    def client(self, *words, vm_id=None, code=0):
        """Run ``carobwood`` and return its decoded JSON output.

        Args:
            *words: noun, verb and arguments.
            vm_id: VM to ask first; all of them by default.
            code: expected exit code, or None for any.
        """
        operators = self.operators
        if vm_id is not None:
            operators = [self.vms_by_id[vm_id].operator]
        done = subprocess.run(
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
        if code is not None and done.returncode != code:
            raise RuntimeError(
                f'carobwood {words} exited with {done.returncode}: '
                f'{done.stdout}{done.stderr}'
            )
        return json.loads(done.stdout) if done.stdout.strip() else None

    def start_engine(self, engine_id, data_centre='bole', **flags):
        """Start a fake engine."""
        flags.setdefault('pool', 'engines')
        flags.setdefault('weights_version', '2026-11')
        return self._start_stand_in(
            'fake_engine.py', engine_id, data_centre, flags
        )

    def start_service(self, service_id, data_centre='bole', **flags):
        """Start a fake service."""
        flags.setdefault('pool', 'orders')
        return self._start_stand_in(
            'fake_service.py', service_id, data_centre, flags
        )

    def await_endpoints(self, endpoint_ids, vm_ids=None):
        """Wait until VMs know endpoints as serving."""
        for vm_id in vm_ids or self.vms_by_id:
            wait_until(
                lambda: set(endpoint_ids) <= self._serving(vm_id),
                f'{vm_id} to know {endpoint_ids}',
            )

    def await_ready(self, vm_ids=None):
        """Wait until VMs report ready to the balancer."""
        for vm_id in vm_ids or self.vms_by_id:
            wait_until(lambda: self.is_ready(vm_id), f'{vm_id} to be ready')

    def is_ready(self, vm_id):
        """Tell whether a VM reports ready."""
        url = f'http://{self.vms_by_id[vm_id].caller}/readyz'
        try:
            return self.http.request('GET', url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def stop_vm(self, vm_id, number=signal.SIGTERM, timeout=30):
        """Stop a VM and return its exit code."""
        process = self.vms_by_id[vm_id].process
        process.send_signal(number)
        return process.wait(timeout)

    def stop_stand_in(self, stand_in_id, number=signal.SIGTERM, timeout=30):
        """Stop a stand-in and return its exit code."""
        process = self.stand_ins_by_id[stand_in_id]
        process.send_signal(number)
        return process.wait(timeout)

    def stand_in_get(self, stand_in_id, path):
        """Return the decoded answer of a stand-in's control path."""
        port = self.ports_by_id[stand_in_id]
        answer = self.http.request('GET', f'http://127.0.0.1:{port}{path}')
        return json.loads(answer.data)

    def set_fault(self, stand_in_id, fault):
        """Arm a fault in a stand-in."""
        port = self.ports_by_id[stand_in_id]
        self.http.request(
            'POST',
            f'http://127.0.0.1:{port}/fault',
            body=json.dumps({'fault': fault}),
        )

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

    def _serving(self, vm_id):
        vm = self.vms_by_id[vm_id]
        try:
            answer = self.http.request(
                'GET',
                f'http://{vm.operator}/v1/endpoints',
                headers=self.operator_headers(),
            )
        except urllib3.exceptions.HTTPError:
            return set()
        return {
            info['endpoint_id']
            for info in json.loads(answer.data)
            if info['state'] == 'serving'
        }

    def _write(self, name, text):
        path = self.folder / name
        path.write_text(text)
        os.chmod(path, 0o600)
        return str(path)


def _kill(process):
    if process is not None and process.poll() is None:
        process.kill()
        process.wait()
