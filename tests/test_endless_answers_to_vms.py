"""Tests of real VMs that call an engine whose answers have no end."""

import itertools
import json

import control_processes
import endless_endpoint
import fake_endpoint
import fleet as fleets
import relay_builders as builders
import relay_test_fleet

MEMORY_LIMIT_MB = 150
# Calls of a kind after which the VMs have shown that they go on.
CALL_COUNT = 3


class ProcessHarness:
    """Real VMs of little memory, an endless engine and a sound endpoint.

    Attributes:
        engine: the ``EndlessEndpoint``.
    """

    def __init__(self, folder, engine):
        self.engine = engine
        self._sound = fake_endpoint.FakeEngine('orders-0', 'orders')
        self._fleet = control_processes.ProcessFleet(folder, 3)
        self._sequences = itertools.count(1)
        self._vms = (*self._fleet.control_vms, self._fleet.entry_vm)
        for vm in self._vms:
            vm.fields['limits'] = {'memory_mb': MEMORY_LIMIT_MB}

    def __enter__(self):
        self._fleet.__enter__()
        fleets.wait_until(
            lambda: self._fleet.put_configuration(0, 1) == 200, 'the fleet'
        )
        fleets.wait_until(self._serves_caller, 'an answered request')
        return self

    def __exit__(self, *exception):
        self._fleet.kill()
        self._sound.stop()

    def call_control(self, method, path, fields):
        """Call the first control VM and return the status, 0 without one."""
        address = self._fleet.control_vms[0].fields['listen']['control']
        host, _, port = address.partition(':')
        body = json.dumps(fields).encode()
        return relay_test_fleet.ask(
            int(port), method, path, body, host=host
        ).status

    def set_weights_version(self, version):
        """Have the engines load a version of their weights."""
        fields = {'model': builders.MODEL, 'version': version}
        fleets.wait_until(
            lambda: (
                self.call_control('POST', '/v1/version-put', fields) == 200
            ),
            'the new version',
        )

    def await_calls(self, path):
        """Wait for calls to the engine, with answers to a caller meanwhile.

        Each VM must stay below its memory limit.
        """

        def step():
            assert self._serves_caller()
            self._check_memory()
            calls = [head for head in self.engine.requests if path in head]
            return len(calls) >= CALL_COUNT

        fleets.wait_until(step, 'the calls')

    def _serves_caller(self):
        self._announce()
        address = self._fleet.entry_vm.fields['listen']['front']
        host, _, port = address.partition(':')
        return (
            relay_test_fleet.ask(
                int(port),
                'POST',
                '/orders/whole',
                b'order',
                relay_test_fleet.caller_headers(),
                host=host,
            ).status
            == 200
        )

    def _announce(self):
        announcement = self._sound.announcement(next(self._sequences))
        for name, changes in (
            ('orders-0', {}),
            (
                'engine-0',
                {'service': 'engines', 'address': self.engine.address},
            ),
        ):
            self.call_control(
                'PUT', f'/v1/instances/{name}', announcement | changes
            )

    def _check_memory(self):
        for vm in self._vms:
            assert vm.process.poll() is None
            peak_bytes = endless_endpoint.peak_memory_bytes(vm.process.pid)
            peak_mb = peak_bytes / endless_endpoint.MEGABYTE
            assert peak_mb < MEMORY_LIMIT_MB, vm.name


def test_vms_of_little_memory_outlive_an_engine_that_sends_without_end(
    tmp_path,
):
    answer = endless_endpoint.ANSWERS_BY_KIND['chunks']
    with (
        endless_endpoint.EndlessEndpoint(answer) as engine,
        ProcessHarness(tmp_path, engine) as harness,
    ):
        harness.await_calls(b'/v1/kv-events')
        harness.set_weights_version(2)
        harness.await_calls(b'/v1/report')
