"""Stops, reloads, freezes and changes of a VM that runs as a process."""

import contextlib
import json
import random
import signal
import threading

import control_processes
import fake_endpoint
import fleet as fleets
import keeping_callers
import pytest
import relay_builders as builders
import relay_test_fleet

CALLERS = 12
SEED = 44
SECOND_KEY = 'key-of-bole-0002'
SLOW_KEY = 'key-of-a-low-rate'
PATHS = ('/orders/named', '/orders/whole', '/lookups/named', '/nowhere/x')
KEYS = (builders.KEY, builders.KEY, SECOND_KEY, SLOW_KEY, 'unknown')
SMALL_BODY_BYTES = 8
# Longest time in seconds that the endpoint is silent before an answer.
SILENCE_SECONDS = 1.0
PERIOD_SECONDS = 0.3
FREEZE_SECONDS = 0.7
# Requests that end before each stop of the VM.
EXCHANGES_BETWEEN = 300
FREEZES = ('none', 'before', 'during')
# Id of the requests that ask whether the VM serves.
FIRST_ID = 'r-first'
# Events that tell how a request has ended.
ENDS = frozenset(
    (
        'request-refused',
        'request-failed',
        'request-crashed',
        'caller-left',
        'request-answered',
    )
)


class _Endpoint:
    """An endpoint that is silent now and then, and what was passed on to it.

    Attributes:
        passed_on: ids of the requests that have reached it.
    """

    def __init__(self):
        self.passed_on = set()
        self.engine = fake_endpoint.FakeEngine('orders-0', 'orders')
        self.engine.on_run = self._run
        self._source = random.Random(SEED)
        self._never_set = threading.Event()

    def _run(self, headers, path, body):
        self.passed_on.add(headers['x-carobwood-request-id'])
        is_silent = self._source.random() < 0.05
        self._never_set.wait(SILENCE_SECONDS if is_silent else 0.02)


@pytest.fixture
def endpoint():
    """Yield an ``_Endpoint`` that is stopped at the end."""
    started = _Endpoint()
    yield started
    started.engine.stop()


def _configuration(version):
    """Return a configuration that differs from the one before it.

    Versions drop a route, a key, or bodies beyond some bytes.
    """
    fields = builders.configuration_fields(version)
    customer = fields['tenants'][0]
    customer |= {'rate_per_s': 10_000_000, 'burst': 10_000_000}
    slow = {'name': 'slow', 'api_keys': [SLOW_KEY]}
    # A few requests are more than the tolerance of the limit.
    slow |= {'rate_per_s': 1000, 'burst': 1000, 'plain_tokens': 60_000}
    fields['tenants'] = [customer, customer | slow]
    if version % 2:
        customer['api_keys'] = [builders.KEY, SECOND_KEY]
    if version % 3 == 0:
        fields['routes'] = [
            route for route in fields['routes'] if route['name'] != 'lookups'
        ]
    if version % 4 == 0:
        fields['limits'] |= {'max_body_bytes': SMALL_BODY_BYTES}
    return json.dumps(fields).encode()


def _control(fleet, path, body):
    """Send a change to the first control VM that acknowledges it."""
    for vm in fleet.control_vms:
        host, _, port = vm.fields['listen']['control'].partition(':')
        status = relay_test_fleet.ask(
            int(port), 'PUT', path, body, host=host
        ).status
        if status == 200:
            return True
    return False


class _Operator:
    """Announces the endpoint and changes the configuration periodically."""

    def __init__(self, fleet, engine):
        self._fleet = fleet
        self._engine = engine
        self._number = 1
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run)

    def __enter__(self):
        fleets.wait_until(self._change, 'the first configuration')
        self._thread.start()
        return self

    def __exit__(self, *exception):
        self._stopped.set()
        self._thread.join()

    def _run(self):
        while not self._stopped.wait(PERIOD_SECONDS):
            self._change()

    def _change(self):
        self._number += 1
        announcement = self._engine.announcement(self._number)
        path = f'/v1/instances/{self._engine.name}'
        _control(self._fleet, path, json.dumps(announcement).encode())
        return _control(
            self._fleet, '/v1/config', _configuration(self._number)
        )


@contextlib.contextmanager
def _frozen(process):
    process.send_signal(signal.SIGSTOP)
    threading.Event().wait(FREEZE_SECONDS)
    try:
        yield
    finally:
        process.send_signal(signal.SIGCONT)


def _stop(vm, freeze):
    """Stop a VM beside reloads and a freeze, and wait for its end."""
    process = vm.process
    process.send_signal(signal.SIGHUP)
    with contextlib.ExitStack() as stack:
        if freeze == 'before':
            stack.enter_context(_frozen(process))
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
    if freeze == 'during':
        with _frozen(process):
            pass
    assert process.wait(relay_test_fleet.WAIT_SECONDS) in (0, 1)


def _serves(fleet):
    host, _, port = fleet.entry_vm.fields['listen']['front'].partition(':')
    headers = relay_test_fleet.caller_headers(X_Carobwood_Request_Id=FIRST_ID)
    reply = relay_test_fleet.ask(
        int(port), 'POST', '/orders/whole', b'x', headers, host=host
    )
    return reply.status == 200


def _await_exchanges(callers):
    count = len(callers.exchanges) + EXCHANGES_BETWEEN
    fleets.wait_until(
        lambda: len(callers.exchanges) >= count, f'{count} requests'
    )


# Not tried before: beside a SIGHUP, a freeze or a change, a stop must answer
# what it has passed on, and refuse as not run only what it has not.
def test_what_is_passed_on_beside_changes_reloads_and_freezes_is_answered(
    tmp_path, endpoint
):
    with control_processes.ProcessFleet(tmp_path, 3) as fleet:
        vm = fleet.entry_vm
        host, _, port = vm.fields['listen']['front'].partition(':')
        callers = keeping_callers.KeepingCallers(
            (host, int(port)), CALLERS, SEED, PATHS, KEYS
        )
        with _Operator(fleet, endpoint.engine):
            fleets.wait_until(lambda: _serves(fleet), 'the first answer')
            with callers:
                for freeze in FREEZES:
                    _await_exchanges(callers)
                    _stop(vm, freeze)
                    vm.start()
                    fleets.wait_until(lambda: _serves(fleet), 'an answer')
            # The line of an answer is written behind the answer.
            _stop(vm, 'none')
            fleets.wait_until(
                lambda: vm.read_log()[-1]['name'] == 'daemon-stopped',
                'the end of the log',
            )
        log = vm.read_log()
    ends = {event.get('request_id') for event in log if event['name'] in ENDS}
    exchanges = callers.exchanges
    passed_on = endpoint.passed_on
    assert {200, 401, 404, 413, 429, 503} <= {x.status for x in exchanges}
    assert [x for x in exchanges if x.status in (400, 500)] == []
    assert [x for x in exchanges if x.status and x.error] == []
    answered = {x.request_id for x in exchanges if x.status}
    assert passed_on - answered - {FIRST_ID} == set()
    # One that is refused was not run; the route of orders is not repeated.
    assert [
        x
        for x in exchanges
        if x.status in (429, 503)
        and x.request_id in passed_on
        and x.path.startswith('/orders')
    ] == []
    # Each has a line that tells how it ended.
    assert passed_on - ends == set()
