"""Control and entry VMs of the platform as separate processes."""

import collections
import dataclasses
import os
import pathlib
import signal
import subprocess
import sys

import yaml

import fleet as fleets
import relay_test_fleet

DATA_CENTRES = ('bole', 'kirkos', 'arada')
CONTROL_VM_COUNT = 3
ENTRY_VM_COUNT = 4
# Time in seconds that a VM has for a planned stop.
GRACE_SECONDS = 8
# Time in seconds after which a stopping VM is killed.
STOP_TIMEOUT_SECONDS = 30.0
CALL_TIMEOUT_SECONDS = 3.0
PORTS_BETWEEN_VMS = 3
BOUNDS = {
    'grace_s': GRACE_SECONDS,
    'version_ms': 8000,
    'lease_ms': 3000,
    'retry_ratio': 0.2,
    'retry_slack': 56,
    'retry_window_s': 10,
    'quota_window_s': 8,
    'quota_overshoot': 0.1,
    'quota_slack': 20,
    'canary_share': 0.1,
    'canary_slack': 50,
    'rollback_ms': 5000,
}


@dataclasses.dataclass(frozen=True)
class Ports:
    """Ports, which are the same on all VMs.

    Attributes:
        callers: port for callers.
        ready: port of the readiness check.
        control: port of the control API.
        first: first of the ports between VMs.
    """

    callers: int
    ready: int
    control: int
    first: int


@dataclasses.dataclass
class VmProcess:
    """A VM, its process and its build.

    Attributes:
        id: ID of the VM.
        host: its IP address.
        is_control: whether it is a control VM.
        folder: path of the folder for its settings, data and log.
        build: the ``Build`` of the last start, or None.
        process: the process, or None before the first start.
        is_expected_to_run: whether nobody has stopped it.
    """

    id: str
    host: str
    is_control: bool
    folder: pathlib.Path
    build: object = None
    process: subprocess.Popen | None = None
    is_expected_to_run: bool = False

    @property
    def log_path(self):
        """Path of the log of all its starts."""
        return self.folder / 'log'

    def stop(self, number):
        """Send a signal that ends the process, and wait for its end."""
        self.is_expected_to_run = False
        self.process.send_signal(number)
        try:
            self.process.wait(STOP_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()

    @property
    def has_ended_by_itself(self):
        """Whether the process has ended though nobody stopped it."""
        return self.is_expected_to_run and self.process.poll() is not None


class RelayProcesses:
    """The VMs of a fleet in three data centres.

    Used as a context manager; leaving it kills the processes.

    Attributes:
        folder: path of the folder of all VMs.
        vms_by_id: the ``VmProcess`` objects, control VMs first.
        ports: the ``Ports``.
    """

    def __init__(self, folder, entry_vm_count=ENTRY_VM_COUNT, contracts=()):
        """Plan the VMs.

        Args:
            folder: path of the folder of all VMs.
            entry_vm_count: number of entry VMs.
            contracts: parts of the product that the settings switch on.
        """
        self._contracts = list(contracts)
        self.folder = pathlib.Path(folder)
        self.ports = Ports(
            fleets.free_port(),
            fleets.free_port(),
            fleets.free_port(),
            fleets.free_ports(PORTS_BETWEEN_VMS).start,
        )
        # A subnet of its own for each run: the ports are the same on all VMs.
        subnet = f'127.{10 + os.getpid() % 200}.{os.getpid() // 200 % 250}'
        names = [f'core-{n}' for n in range(CONTROL_VM_COUNT)]
        names += [f'front-{n}' for n in range(entry_vm_count)]
        self.vms_by_id = {
            name: VmProcess(
                name,
                f'{subnet}.{number + 1}',
                name.startswith('core'),
                self.folder / name,
            )
            for number, name in enumerate(names)
        }
        secret = self.folder / 'deploy' / 'link-secret'
        secret.parent.mkdir(parents=True, exist_ok=True)
        secret.write_text('secret-of-the-bench')

    def __enter__(self):
        return self

    def __exit__(self, *exception):
        for vm in self.vms_by_id.values():
            if vm.process is not None and vm.process.poll() is None:
                vm.stop(signal.SIGKILL)

    @property
    def control_vms(self):
        """The control VMs."""
        return [vm for vm in self.vms_by_id.values() if vm.is_control]

    @property
    def entry_vms(self):
        """The entry VMs."""
        return [vm for vm in self.vms_by_id.values() if not vm.is_control]

    def start(self, vm_id, build):
        """Start a VM with a ``Build``."""
        vm = self.vms_by_id[vm_id]
        is_first_start = vm.process is None
        vm.folder.mkdir(exist_ok=True)
        settings_path = vm.folder / 'settings.yaml'
        settings_path.write_text(
            yaml.safe_dump(self._settings(vm, is_first_start))
        )
        environment = build.environment()
        environment['CAROBWOOD_CONFIG'] = str(settings_path)
        with open(vm.log_path, 'ab') as log:
            log.write(b'# build %s\n' % build.name.encode())
            log.flush()
            vm.process = subprocess.Popen(
                [sys.executable, str(build.folder / 'platform' / 'serve.py')],
                cwd=self.folder,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        vm.build = build
        vm.is_expected_to_run = True

    def await_ready(self, vm_id):
        """Wait until a VM serves callers, or knows the configuration."""
        vm = self.vms_by_id[vm_id]
        fleets.wait_until(lambda: self.is_ready(vm), f'{vm_id} to be ready')

    def is_ready(self, vm):
        """Return whether a VM says that it is ready."""
        if vm.is_control:
            return self.call_control(vm, 'GET', '/v1/config').status == 200
        reply = relay_test_fleet.ask(
            self.ports.ready,
            'GET',
            '/',
            host=vm.host,
            timeout=CALL_TIMEOUT_SECONDS,
        )
        return reply.status == 200

    def call_control(
        self, vm, method, path, body=b'', timeout=CALL_TIMEOUT_SECONDS
    ):
        """Call the control API of a VM once and return the ``Reply``."""
        return relay_test_fleet.ask(
            self.ports.control,
            method,
            path,
            body,
            host=vm.host,
            timeout=timeout,
        )

    def count_log_lines(self, names):
        """Return how many log lines of all VMs bear an event's name."""
        counts = collections.Counter()
        for vm in self.vms_by_id.values():
            text = vm.log_path.read_text(errors='replace')
            for name in names:
                counts[name] += text.count(f'"name": "{name}"')
        return +counts

    def _settings(self, vm, is_first_start):
        number = int(vm.id.rpartition('-')[2])
        ports = self.ports
        listen = {'control': f'{vm.host}:{ports.control}'}
        if not vm.is_control:
            listen = {
                'front': f'{vm.host}:{ports.callers}',
                'ready': f'{vm.host}:{ports.ready}',
            }
        seeds = [f'{seed.host}:{ports.control}' for seed in self.control_vms]
        return {
            'node_name': vm.id,
            'ip': vm.host,
            'zone': DATA_CENTRES[number % len(DATA_CENTRES)],
            'listen': listen,
            'port_range': [ports.first, ports.first + PORTS_BETWEEN_VMS - 1],
            'seeds': seeds,
            'first_start': is_first_start,
            'data_dir': str(vm.folder / 'data') if vm.is_control else None,
            'fault_tolerance': {'machines': 1},
            'bounds': BOUNDS,
            'contracts': self._contracts,
        }


class Balancer:
    """Takes VMs out that are not ready, as the platform's balancer does.

    Attributes:
        ready_ids: IDs of the entry VMs that take new requests.
    """

    _PERIOD_SECONDS = 0.5
    _FAILURES = 2

    def __init__(self, processes, stopped):
        self._processes = processes
        self._stopped = stopped
        self._failures_by_id = {}
        self.ready_ids = tuple(vm.id for vm in processes.entry_vms)

    def run(self):
        """Check all entry VMs until the end of the run."""
        while not self._stopped.wait(self._PERIOD_SECONDS):
            for vm in self._processes.entry_vms:
                failures = self._failures_by_id.get(vm.id, 0) + 1
                if self._processes.is_ready(vm):
                    failures = 0
                self._failures_by_id[vm.id] = failures
            self.ready_ids = tuple(
                vm_id
                for vm_id, failures in self._failures_by_id.items()
                if failures < self._FAILURES
            )
