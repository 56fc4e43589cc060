"""Faults of VMs near their limits, and large requests beside them."""

import collections
import http.client
import pathlib
import random
import resource
import signal
import socket
import threading

import relay_processes
import relay_test_fleet

JOIN_SECONDS = 60.0
# Bytes of large requests and answers.
LARGE_BYTES = (300_000, 4_000_000)
LARGE_TIMEOUT_SECONDS = 20.0
# Callers that connect at once, and the pause before they do so again.
BURST_CONNECTIONS = 400
BURST_PERIOD_SECONDS = 1.5
# Bounds of the length of each fault, and of the pause before the next one.
ENTRY_PAUSE_SECONDS = (0.5, 1.5)
CONTROL_PAUSE_SECONDS = (0.2, 1.5)
SQUEEZE_SECONDS = (0.3, 1.5)
FULL_DISK_SECONDS = (0.3, 1.5)
SILENCE_SECONDS = (0.8, 1.3)
PAUSE_PERIOD_SECONDS = (0.3, 1.5)
STOP_PERIOD_SECONDS = (1.0, 3.0)
# Address space that is left while it is used up.
SPARE_MEGABYTES = 0
KIBIBYTE = 1024


class Faults:
    """What goes on beside the streams, each in a thread of its own.

    Attributes:
        counts: number of times by name, and of answers to large requests.
    """

    def __init__(self, site, seed):
        """Create the faults of a ``Site``."""
        self.counts = collections.Counter()
        self._site = site
        self._processes = site.processes
        self._rng = random.Random(seed)
        self._ending = threading.Event()
        self._lock = threading.Lock()
        self._threads = []

    def start(self, names):
        """Start the methods of these names."""
        for name in names:
            self._start_thread(self._repeat, name)

    def start_large(self, count):
        """Start callers with large requests and answers."""
        for number in range(count):
            self._start_thread(self._send_large, number)

    def end(self):
        """End all, and wait for that."""
        self._ending.set()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)

    def _start_thread(self, target, *arguments):
        thread = threading.Thread(target=target, args=arguments, daemon=True)
        self._threads.append(thread)
        thread.start()

    def _repeat(self, name):
        while not self._wait(PAUSE_PERIOD_SECONDS):
            self.counts[name] += 1
            try:
                getattr(self, name)()
            except (TimeoutError, ProcessLookupError) as error:
                self._site.records.timeouts.append(str(error))

    def _wait(self, bounds):
        return self._ending.wait(self._rng.uniform(*bounds))

    def pause_entry(self):
        """Pause an entry VM."""
        vm = self._rng.choice(self._processes.entry_vms)
        self._pause([vm], ENTRY_PAUSE_SECONDS)

    def pause_control(self):
        """Pause a control VM, as one whose disk is slow."""
        vm = self._rng.choice(self._processes.control_vms)
        self._pause([vm], CONTROL_PAUSE_SECONDS)

    def pause_two(self):
        """Pause two of the control VMs."""
        vms = self._rng.sample(self._processes.control_vms, 2)
        self._pause(vms, CONTROL_PAUSE_SECONDS)

    def pause_leader(self):
        """Pause the control VM that was last elected."""
        self._pause([self._find_leader()], CONTROL_PAUSE_SECONDS)

    def _find_leader(self):
        def count(vm):
            lines = vm.log_path.read_text(errors='replace').splitlines()
            times = [x for x in lines if '"leader-elected"' in x]
            return times[-1:] or ['']

        return max(self._processes.control_vms, key=count)

    def _pause(self, vms, bounds):
        with self._lock:
            processes = [vm.process for vm in vms]
            for process in processes:
                process.send_signal(signal.SIGSTOP)
            self._wait(bounds)
            for process in processes:
                process.send_signal(signal.SIGCONT)

    def fill_disk(self):
        """Fill the disks of two control VMs for a while."""
        vms = self._rng.sample(self._processes.control_vms, 2)
        for vm in vms:
            self._limit_files(vm, 0)
        self._wait(FULL_DISK_SECONDS)
        for vm in vms:
            self._limit_files(vm, resource.RLIM_INFINITY)

    @staticmethod
    def _limit_files(vm, limit):
        limits = (limit, resource.RLIM_INFINITY)
        resource.prlimit(vm.process.pid, resource.RLIMIT_FSIZE, limits)

    def squeeze(self):
        """Leave an entry VM hardly any more address space for a while."""
        vm = self._rng.choice(self._processes.entry_vms)
        limit = read_status(vm, 'VmSize') + SPARE_MEGABYTES
        self._limit_address_space(vm, limit * KIBIBYTE * KIBIBYTE)
        self._wait(SQUEEZE_SECONDS)
        self._limit_address_space(vm, resource.RLIM_INFINITY)

    @staticmethod
    def _limit_address_space(vm, limit):
        limits = (limit, resource.RLIM_INFINITY)
        resource.prlimit(vm.process.pid, resource.RLIMIT_AS, limits)

    def reload(self):
        """Send SIGHUP to an entry VM that is ready."""
        vm = self._rng.choice(self._processes.entry_vms)
        if self._processes.is_ready(vm):
            vm.process.send_signal(signal.SIGHUP)

    def stop(self):
        """Send SIGTERM to an entry VM, and start it again."""
        self._wait(STOP_PERIOD_SECONDS)
        vm = self._rng.choice(self._processes.entry_vms)
        with self._lock:
            process = vm.process
            disruption = self._site.records.begin_disruption(
                vm.id, 'SIGTERM', True
            )
            process.send_signal(signal.SIGTERM)
            vm.is_expected_to_run = False
        process.wait(relay_processes.STOP_TIMEOUT_SECONDS)
        with self._lock:
            self._processes.start(vm.id, self._site.build_of(vm))
        self._processes.await_ready(vm.id)
        disruption.end()

    def silence(self):
        """Silence one endpoint."""
        self._silence([self._rng.choice(self._site.engines)])

    def silence_all(self):
        """Silence all endpoints at once."""
        self._silence(self._site.engines)

    def _silence(self, engines):
        self._site.silence(engines, self._rng.uniform(*SILENCE_SECONDS))

    def burst(self):
        """Connect from many callers at once, each of which asks once."""
        vm = self._rng.choice(self._processes.entry_vms)
        connections = []
        for _ in range(BURST_CONNECTIONS):
            connection = socket.socket()
            connection.setblocking(False)
            connection.connect_ex((vm.host, self._processes.ports.callers))
            connections.append(connection)
        self._ending.wait(BURST_PERIOD_SECONDS)
        for connection in connections:
            connection.close()

    def _send_large(self, number):
        rng = random.Random(number)
        while not self._ending.wait(rng.expovariate(20.0)):
            vm = rng.choice(self._processes.entry_vms)
            size = rng.randrange(*LARGE_BYTES)
            body = bytes(size) if number % 2 else b'check'
            action = 'named' if number % 2 else f'large-{size}'
            headers = relay_test_fleet.caller_headers(
                X_Carobwood_Request_Id=f'large-{number}-{rng.random()}',
                X_Carobwood_Deadline_Ms='15000',
            )
            try:
                reply = relay_test_fleet.ask(
                    self._processes.ports.callers,
                    'POST',
                    f'/orders/{action}',
                    body,
                    headers,
                    vm.host,
                    LARGE_TIMEOUT_SECONDS,
                )
            except (OSError, http.client.HTTPException):
                self.counts['large without an answer'] += 1
                continue
            self.counts[f'large {reply.status}'] += 1


def read_status(vm, name):
    """Return a size of a process that runs, in megabytes."""
    status = pathlib.Path(f'/proc/{vm.process.pid}/status').read_text()
    line = next(x for x in status.splitlines() if x.startswith(name))
    return int(line.split()[1]) // KIBIBYTE
