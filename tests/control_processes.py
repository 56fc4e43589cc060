"""Control VMs and an entry VM as processes whose disks can be full."""

import contextlib
import json
import os
import pathlib
import resource
import signal
import subprocess
import sys
import threading

import fleet as fleets
import relay_builders as builders
import relay_test_fleet
import yaml

from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log

PORTS_BETWEEN_VMS = 16
ROOT = pathlib.Path(__file__).resolve().parents[1]
DATA_CENTRES = ('bole', 'kirkos', 'arada', 'yeka')
# Starts the platform's program with another number of log entries between
# two snapshots.
LAUNCHER = """
import sys
sys.path.insert(0, 'platform')
import serve
serve.settings._SNAPSHOT_ENTRIES = int(sys.argv[1])
sys.exit(serve.main())
"""


class ProcessVm:
    """A VM of the relay in a process of its own.

    Its log goes through a pipe, which no limit of file sizes concerns.

    Attributes:
        name: id of the VM.
        fields: the settings.
        folder: path of its data folder, or None.
        process: the running process.
    """

    def __init__(self, folder, name, fields, snapshot_entries):
        self.name = name
        self.fields = fields
        self.folder = fields['data_dir'] and pathlib.Path(fields['data_dir'])
        self.process = None
        self._snapshot_entries = snapshot_entries
        self._settings_path = folder / f'{name}.yaml'
        self._log_path = folder / f'{name}.log'

    def start(self):
        """Start the process."""
        self._settings_path.write_text(yaml.safe_dump(self.fields))
        self.fields['first_start'] = False
        self.process = subprocess.Popen(
            [sys.executable, '-c', LAUNCHER, str(self._snapshot_entries)],
            cwd=ROOT,
            env={**os.environ, 'CAROBWOOD_CONFIG': str(self._settings_path)},
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        threading.Thread(
            target=self._copy_log, args=(self.process.stdout,), daemon=True
        ).start()

    def kill(self):
        """Kill the process at once."""
        if self.process is not None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    def read_log(self):
        """Return the events that it has logged."""
        if not self._log_path.exists():
            return []
        lines = self._log_path.read_text().splitlines(keepends=True)
        return [json.loads(line) for line in lines if line.endswith('}\n')]

    def describe(self):
        """Return the state of the process and the end of its log."""
        log = self._log_path.read_text() if self._log_path.exists() else ''
        return fleets.describe_process(self.name, self.process, log)

    def fill_disk(self, spare_bytes=None):
        """Refuse its writes to files.

        Args:
            spare_bytes: bytes that still fit into the log's segment, while
                small files can be written; None if nothing can be.
        """
        limit = 0
        if spare_bytes is not None:
            segments = sorted(self.folder.glob('log.*'))
            limit = segments[-1].stat().st_size + spare_bytes
        self._limit_file_size(limit)

    def make_room(self):
        """Let its writes succeed again."""
        self._limit_file_size(resource.RLIM_INFINITY)

    @contextlib.contextmanager
    def open_log(self):
        """Open the log in its files; the process must not run."""
        folder = data_folder.DataFolder(self.folder)
        with contextlib.closing(folder):
            with contextlib.closing(disk_log.DiskLog(folder)) as log:
                yield log

    def _limit_file_size(self, limit):
        resource.prlimit(
            self.process.pid,
            resource.RLIMIT_FSIZE,
            (limit, resource.RLIM_INFINITY),
        )

    def _copy_log(self, pipe):
        with open(self._log_path, 'ab') as log, pipe:
            for line in pipe:
                log.write(line)
                log.flush()


class ProcessFleet:
    """Control VMs and one entry VM; a context manager that kills them.

    An error that ends it, such as that of a wait, tells what they logged.

    Attributes:
        control_vms: the control VMs.
        entry_vm: the entry VM.
    """

    def __init__(self, folder, control_vm_count, snapshot_entries=2000):
        """Plan the VMs.

        Args:
            folder: folder of their files.
            control_vm_count: number of control VMs; the first three are the
                seeds.
            snapshot_entries: log entries between two snapshots.
        """
        self._snapshot_entries = snapshot_entries
        self._folder = pathlib.Path(folder)
        # All VMs have the same ports, as on the platform, at addresses of
        # their own.
        self._ports = [fleets.free_port() for _ in range(4)]
        link_ports = fleets.free_ports(PORTS_BETWEEN_VMS)
        self._port_range = [link_ports[0], link_ports[-1]]
        names = [f'core-{number}' for number in range(control_vm_count)]
        self.control_vms = [
            self._plan(name, number, str(self._folder / name))
            for number, name in enumerate(names)
        ]
        self.entry_vm = self._plan('front-0', control_vm_count, None)

    def __enter__(self):
        try:
            for vm in (*self.control_vms, self.entry_vm):
                vm.start()
        except BaseException:
            self.kill()
            raise
        return self

    def __exit__(self, error_type, error, traceback):
        if error is not None:
            for vm in (*self.control_vms, self.entry_vm):
                error.add_note(vm.describe())
        self.kill()

    def kill(self):
        """Kill all processes at once."""
        for vm in (*self.control_vms, self.entry_vm):
            vm.kill()

    def member_names(self):
        """Return the ids of the log's members, as its leaders named them."""
        changes = [
            event
            for vm in self.control_vms
            for event in vm.read_log()
            if event['name'] == 'voters-changed'
        ]
        if not changes:
            return set()
        last = max(changes, key=lambda event: event['time'])
        # A founder has its address for a name until it has told its own.
        names_by_address = {
            f'{vm.fields["ip"]}:{self._port_range[0]}': vm.name
            for vm in self.control_vms
        }
        return {
            names_by_address.get(name, name)
            for name in last['voters'] + last['learners']
        }

    def put_configuration(self, number, version):
        """Put a configuration in force through one control VM.

        Returns:
            The status, or 0 without an answer.
        """
        body = builders.configuration_body(version)
        return self._call(number, 'PUT', body).status

    def read_version(self, number):
        """Return the version of the configuration, or 0 if unknown."""
        reply = self._call(number, 'GET')
        return json.loads(reply.body)['version'] if reply.body else 0

    def _call(self, number, method, body=b''):
        address = self.control_vms[number].fields['listen']['control']
        host, _, port = address.partition(':')
        return relay_test_fleet.ask(
            int(port), method, '/v1/config', body, host=host
        )

    def _plan(self, name, number, data_dir):
        front, ready, control, _ = self._ports
        host = _host(number)
        listen = {'control': f'{host}:{control}'}
        if data_dir is None:
            listen = {'front': f'{host}:{front}', 'ready': f'{host}:{ready}'}
        fields = {
            'node_name': name,
            'ip': host,
            'zone': DATA_CENTRES[number % len(DATA_CENTRES)],
            'listen': listen,
            'port_range': self._port_range,
            'seeds': [f'{_host(seed)}:{control}' for seed in range(3)],
            'first_start': True,
            'data_dir': data_dir,
            'fault_tolerance': {'machines': 1},
            'bounds': {
                'grace_s': 8,
                'version_ms': 8000,
                'lease_ms': 3000,
                'retry_ratio': 0.2,
                'retry_slack': 56,
                'retry_window_s': 10,
                'quota_window_s': 8,
                'quota_overshoot': 0.1,
                'quota_slack': 110_000,
            },
        }
        return ProcessVm(self._folder, name, fields, self._snapshot_entries)


def _host(number):
    return f'127.0.0.{number + 1}'
