"""VMs in processes of their own, and endpoints of two software versions.

Callers send requests all the time, while an operator orders a rollout.
"""

import contextlib
import itertools
import json
import pathlib
import random
import signal
import sys
import threading
import time

_ROOT = pathlib.Path(__file__).resolve().parents[1]
for _folder in ('tests', 'platform'):
    sys.path.insert(0, str(_ROOT / _folder))

import builds  # noqa: E402 (needs the paths above)
import fake_endpoint  # noqa: E402 (needs the paths above)
import fleet as fleets  # noqa: E402 (needs the paths above)
import relay_builders  # noqa: E402 (needs the paths above)
import relay_processes  # noqa: E402 (needs the paths above)
import relay_test_fleet  # noqa: E402 (needs the paths above)

SERVICE = 'orders'
FORMER = 'v1'
TARGET = 'v2'
# Endpoints of each version.
ENDPOINT_COUNT = 3
HEARTBEAT_SECONDS = 0.3
# Callers, and the time between two requests of each.
CALLER_COUNT = 12
PACE_SECONDS = 0.08
# Time of an answer of a sound endpoint.
WORK_SECONDS = 0.01
RETRY_SECONDS = 0.1
PATHS = ('/lookups/whole', '/orders/whole')


class VersionedEndpoint(fake_endpoint.FakeEngine):
    """A plain endpoint of a software version."""

    def __init__(self, name, version, failure_share):
        """Serve at once.

        Args:
            name: id of the endpoint.
            version: its software version.
            failure_share: share of its answers that are failures.
        """
        super().__init__(name, SERVICE)
        self.software_version = version
        self.failure_share = failure_share
        if failure_share:
            self.failure_status = 500
        self.on_run = lambda *request: time.sleep(WORK_SECONDS)


class RolloutSite:
    """A running site; a context manager that ends its processes.

    Attributes:
        processes: the ``RelayProcesses``.
        statuses: statuses that callers got, with the times of the answers.
        endpoints: the endpoints that serve or have served.
    """

    def __init__(self, folder, entry_vm_count=3):
        """Plan the site in an empty folder."""
        self.processes = relay_processes.RelayProcesses(
            folder, entry_vm_count, ('rollout',)
        )
        self.statuses = []
        self.endpoints = []
        self._stopped = threading.Event()
        self._numbers = itertools.count(1)
        self._build = builds.Build(builds.WORKING_TREE, builds.ROOT)

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
        for vm_id in self.processes.vms_by_id:
            self.processes.start(vm_id, self._build)
        self.put_configuration()
        self.add_endpoints(FORMER)
        self._start_thread(self._announce)
        for vm_id in self.processes.vms_by_id:
            self.processes.await_ready(vm_id)
        for number in range(CALLER_COUNT):
            self._start_thread(self._call, number)
        self.await_answers(50)

    def _kill(self):
        self._stopped.set()
        self.processes.__exit__()
        for endpoint in self.endpoints:
            if endpoint.is_serving:
                endpoint.stop()

    def _start_thread(self, target, *arguments):
        threading.Thread(target=target, args=arguments, daemon=True).start()

    def await_answers(self, count):
        """Wait until callers have got some more answers."""
        since = time.monotonic()
        fleets.wait_until(
            lambda: self._count_answered(since) >= count, 'answers'
        )

    def await_followed(self, phase):
        """Wait until all entry VMs know of a phase and act on it."""
        for vm in self.processes.entry_vms:
            fleets.wait_until(
                lambda: f'"phase": "{phase}"' in vm.log_path.read_text(),
                f'{vm.id} to follow',
            )
        # Those that were being sent have arrived by then.
        self.await_answers(CALLER_COUNT)

    def await_exposed(self, version):
        """Wait until a version gets requests."""
        fleets.wait_until(lambda: self.count_requests(version), 'requests')

    def _count_answered(self, since):
        return sum(
            status == 200 and at >= since for status, at in self.statuses
        )

    def put_configuration(self):
        """Send the configuration until it is acknowledged."""
        body = relay_builders.configuration_body()
        self.call_until(
            'PUT', '/v1/config', body, lambda reply: reply.status == 200
        )

    def add_endpoints(self, version, failure_share=0.0):
        """Start the endpoints of a version."""
        self.endpoints = self.endpoints + [
            VersionedEndpoint(
                f'{SERVICE}-{version}-{number}', version, failure_share
            )
            for number in range(ENDPOINT_COUNT)
        ]

    def stop_endpoints(self, version):
        """Stop the endpoints of a version without draining them."""
        for endpoint in self.endpoints:
            if endpoint.software_version == version:
                endpoint.stop()

    def order(self, version, ramp_seconds):
        """Order a rollout until it is acknowledged; return the reply."""
        body = json.dumps(
            {'service': SERVICE, 'to': version, 'ramp_s': ramp_seconds}
        ).encode()
        return self.call_until(
            'POST',
            '/v1/rollouts',
            body,
            lambda reply: reply.status not in (0, 503),
        )

    def read_state(self):
        """Return the state of the rollout as operators are told it."""
        reply = self.call_until(
            'GET',
            f'/v1/rollouts/{SERVICE}',
            b'',
            lambda reply: reply.status in (200, 404),
        )
        if reply.status == 404:
            return ''
        return json.loads(reply.body)['state']

    def await_end(self):
        """Wait for the end of the rollout and return its state."""
        return fleets.wait_until(
            lambda: self._read_end(), 'the end of the rollout'
        )

    def _read_end(self):
        state = self.read_state()
        return state if state in ('succeeded', 'rolled_back') else None

    def call_until(self, method, path, body, is_wanted):
        """Call control VMs in turn until a reply is the wanted one."""
        vms = itertools.cycle(self.processes.control_vms)
        return fleets.wait_until(
            lambda: self._call_once(next(vms), method, path, body, is_wanted),
            f'{method} {path}',
        )

    def _call_once(self, vm, method, path, body, is_wanted):
        reply = self.processes.call_control(vm, method, path, body)
        return reply if is_wanted(reply) else None

    def find_leader(self):
        """Return the control VM that has last taken the lead."""
        elected_at_by_id = {}
        for vm in self.processes.control_vms:
            for line in vm.log_path.read_text(errors='replace').splitlines():
                if '"name": "leader-elected"' in line:
                    elected_at_by_id[vm.id] = json.loads(line)['time']
        latest = max(elected_at_by_id, key=elected_at_by_id.get)
        return self.processes.vms_by_id[latest]

    def kill(self, vms):
        """Kill VMs at once and start them again."""
        for vm in vms:
            vm.is_expected_to_run = False
            vm.process.send_signal(signal.SIGKILL)
        for vm in vms:
            vm.process.wait()
        for vm in vms:
            self.processes.start(vm.id, self._build)

    @contextlib.contextmanager
    def frozen(self, vms):
        """Let VMs stand still for the time of a ``with`` block."""
        for vm in vms:
            vm.process.send_signal(signal.SIGSTOP)
        try:
            yield
        finally:
            for vm in vms:
                vm.process.send_signal(signal.SIGCONT)

    def count_requests(self, version, since=0.0):
        """Return how many requests endpoints of a version have received."""
        return sum(
            received_at >= since
            for endpoint in self.endpoints
            if endpoint.software_version == version
            for received_at in list(endpoint.received_at)
        )

    def count_failed(self, since=0.0):
        """Return how many callers got an error of any kind."""
        return sum(
            status != 200 and at >= since for status, at in self.statuses
        )

    def _announce(self):
        numbers = itertools.count(1)
        vms = itertools.cycle(self.processes.control_vms)
        while not self._stopped.wait(HEARTBEAT_SECONDS):
            number = next(numbers)
            for endpoint in self.endpoints:
                if endpoint.is_serving:
                    self.processes.call_control(
                        next(vms),
                        'PUT',
                        f'/v1/instances/{endpoint.name}',
                        json.dumps(endpoint.announcement(number)).encode(),
                        timeout=1.0,
                    )

    def _call(self, number):
        rng = random.Random(number)
        vms = self.processes.entry_vms
        while not self._stopped.wait(PACE_SECONDS):
            headers = relay_test_fleet.caller_headers(
                X_Carobwood_Request_Id=f'r-{number}-{next(self._numbers)}'
            )
            reply = relay_test_fleet.ask(
                self.processes.ports.callers,
                'POST',
                rng.choice(PATHS),
                b'order',
                headers,
                rng.choice(vms).host,
            )
            self.statuses.append((reply.status, time.monotonic()))
