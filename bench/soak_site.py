"""The VMs and endpoints of a soak, each in a process of its own."""

import dataclasses
import json
import pathlib
import random
import signal
import subprocess
import sys
import threading
import time

import builds
import fleet as fleets
import relay_builders
import relay_processes
import relay_test_fleet
import upgrade_operator
import upgrade_records

_BENCH = pathlib.Path(__file__).resolve().parent
# Streams and their callers wait for so long.
STREAM_SECONDS = 15.0
# Time between two events of a stream.
EVENT_SECONDS = 0.1


@dataclasses.dataclass(frozen=True)
class Layout:
    """The parts of a site.

    Attributes:
        entry_vm_count: number of entry VMs.
        engine_count: number of model endpoints.
        control_build: the ``Build`` of the control VMs.
        entry_build: the ``Build`` of the entry VMs.
        max_attempts: attempts of a stream that can be resumed.
        plain_endpoint_count: number of plain endpoints.
    """

    entry_vm_count: int
    engine_count: int
    control_build: builds.Build
    entry_build: builds.Build
    max_attempts: int = 2
    plain_endpoint_count: int = 1


@dataclasses.dataclass(frozen=True)
class Work:
    """The work of an endpoint on a request.

    Attributes:
        run: the ``Run``.
        ended_at: time of its end; infinite if it has not ended.
    """

    run: upgrade_records.Run
    ended_at: float


@dataclasses.dataclass(frozen=True)
class EndpointProcess:
    """An endpoint.

    Attributes:
        name: its name.
        process: its process.
        record_path: path of its record.
        lock: held while it is silent.
    """

    name: str
    process: subprocess.Popen
    record_path: pathlib.Path
    lock: threading.Lock

    def read_pauses(self):
        """Return begin and end of each time in which it did not run."""
        return [
            fields['pause'] for fields in self._read() if 'pause' in fields
        ]

    def _read(self):
        return map(json.loads, self.record_path.read_text().splitlines())

    def read_works(self):
        """Return its ``Work`` objects."""
        works = []
        begun_by_thread = {}
        for fields in self._read():
            if 'pause' in fields:
                continue
            thread = fields['thread']
            if 'path' in fields:
                begun_by_thread[thread] = self._make_run(fields)
            else:
                run = begun_by_thread.pop(thread)
                works.append(Work(run, fields['at']))
        left = begun_by_thread.values()
        return works + [Work(run, float('inf')) for run in left]

    def _make_run(self, fields):
        return upgrade_records.Run(
            self.name,
            'v1',
            fields['request_id'],
            fields['customer'],
            fields['path'],
            fields['body'].encode(),
            fields['at'],
        )


class Site:
    """A running site; a context manager that kills its processes.

    Attributes:
        processes: the ``RelayProcesses``.
        engines: the ``EndpointProcess`` of each model endpoint.
        endpoints: these and the plain ones.
        operator: the ``Operator``.
        records: the ``Records``.
        stopped: event that ends the run.
        layout: the ``Layout``.
    """

    def __init__(self, layout, folder, seed, processes=None):
        """Plan the site.

        Args:
            layout: the ``Layout``.
            folder: path of an empty folder.
            seed: seed of the operator.
            processes: the ``RelayProcesses`` in the folder, or None.
        """
        self.layout = layout
        self.records = upgrade_records.Records()
        self.stopped = threading.Event()
        self.endpoints = []
        self.processes = processes or relay_processes.RelayProcesses(
            folder, layout.entry_vm_count
        )
        self.operator = upgrade_operator.Operator(
            self.processes,
            self.records,
            random.Random(seed),
            self.stopped,
            _route_changes(layout),
        )

    @property
    def engines(self):
        """The model endpoints."""
        return self.endpoints[: self.layout.engine_count]

    @property
    def plain_endpoints(self):
        """The plain endpoints."""
        return self.endpoints[self.layout.engine_count :]

    def __enter__(self):
        try:
            self._start()
        except BaseException:
            self._kill()
            raise
        return self

    def __exit__(self, *exception):
        self._kill()

    def _start(self):
        for vm in self.processes.vms_by_id.values():
            self.processes.start(vm.id, self.build_of(vm))
        self.operator.put_first()
        for number in range(self.layout.engine_count):
            self._start_endpoint(f'engines-{number}', 'engines')
        for number in range(self.layout.plain_endpoint_count):
            self._start_endpoint(f'orders-{number}', 'orders')
        for vm_id in self.processes.vms_by_id:
            self.processes.await_ready(vm_id)
        self.await_service()

    def build_of(self, vm):
        """Return the ``Build`` of a VM."""
        if vm.is_control:
            return self.layout.control_build
        return self.layout.entry_build

    def await_service(self):
        """Wait until each entry VM serves both services."""
        for vm in self.processes.entry_vms:
            for path in ('/checks/named', '/orders/named'):
                fleets.wait_until(
                    lambda: self._try(vm, path) == 200, f'{vm.id}: {path}'
                )

    def _try(self, vm, path):
        request_id = self.records.new_request_id()
        headers = relay_test_fleet.caller_headers(
            X_Carobwood_Request_Id=request_id
        )
        return relay_test_fleet.ask(
            self.processes.ports.callers,
            'POST',
            path,
            b'check',
            headers,
            vm.host,
        ).status

    def silence(self, endpoints, seconds):
        """Stop endpoints at once, and continue them together.

        Those that are silent already are left out.
        """
        held = [e for e in endpoints if e.lock.acquire(blocking=False)]
        noted = [
            upgrade_records.Disruption(e.name, 'silence', True, 0.0)
            for e in held
        ]
        for endpoint, disruption in zip(held, noted, strict=True):
            disruption.began_at = time.monotonic()
            endpoint.process.send_signal(signal.SIGSTOP)
        self.records.silences += noted
        try:
            threading.Event().wait(seconds)
        finally:
            for endpoint, disruption in zip(held, noted, strict=True):
                endpoint.process.send_signal(signal.SIGCONT)
                disruption.end()
                endpoint.lock.release()

    def read_works(self):
        """Return the ``Work`` of all endpoints on requests of callers."""
        return [
            work
            for endpoint in self.endpoints
            for work in endpoint.read_works()
            if work.run.body not in (b'check', b'large')
        ]

    def _start_endpoint(self, name, service):
        record_path = self.processes.folder / f'{name}.jsonl'
        record_path.touch()
        port = self.processes.ports.control
        controls = [f'{vm.host}:{port}' for vm in self.processes.control_vms]
        process = subprocess.Popen(
            [
                sys.executable,
                str(_BENCH / 'soak_endpoint.py'),
                *('--name', name, '--service', service),
                *('--pause-seconds', str(EVENT_SECONDS)),
                *('--record', str(record_path)),
                *('--controls', *controls),
            ],
        )
        self.endpoints.append(
            EndpointProcess(name, process, record_path, threading.Lock())
        )

    def _kill(self):
        self.stopped.set()
        for endpoint in self.endpoints:
            endpoint.process.kill()
            endpoint.process.wait()
        self.processes.__exit__()


def _route_changes(layout):
    stream = {'timeout_ms': int(STREAM_SECONDS * 1000)}
    return {
        'checks': stream,
        'captions': {**stream, 'max_attempts': layout.max_attempts},
        'orders': stream,
    }


def route_seconds(route):
    """Return the time that a request of a route has."""
    for fields in relay_builders.configuration_fields()['routes']:
        if fields['name'] == 'lookups' == route:
            return fields['timeout_ms'] / 1000
    return STREAM_SECONDS
