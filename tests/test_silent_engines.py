"""Engines of carobwood's own interface that are silent for a while."""

import signal
import socket
import threading

import builders
from carobwood import clocks
import fault_proxy
import fleet as fleets
import pytest
import yaml

WORDS = 20
# Share of a deadline past its half, which was kept for another attempt.
LATE_SHARE = 0.62


def _document(**route_changes):
    fields = yaml.safe_load(builders.document_text())
    fields['routes'][0].update(route_changes)
    return yaml.safe_dump(fields)


@pytest.fixture
def start_world(world):
    """Return a function that starts a VM with engines."""

    def start(engine_ids, token_seconds=0.01, **route_changes):
        world.start_fleet(('bole',))
        world.configure(_document(**route_changes))
        for engine_id in engine_ids:
            world.start_proxied_engine(engine_id, token_seconds=token_seconds)
        world.await_endpoints(list(engine_ids))
        return world

    return start


def _await_running(world, engine_ids):
    def is_running():
        return any(
            world.get_stand_in_json(engine_id, '/counters')['counters'].get(
                'requests'
            )
            for engine_id in engine_ids
        )

    fleets.wait_until(is_running, 'the request to run')


def _signal(world, engine_ids, signal_number):
    for engine_id in engine_ids:
        world.stand_ins_by_id[engine_id].send_signal(signal_number)


def _pause_later(world, engine_ids, seconds):
    """Stop engines at once, and continue them after a time."""
    _signal(world, engine_ids, signal.SIGSTOP)
    threading.Timer(
        seconds, _signal, (world, engine_ids, signal.SIGCONT)
    ).start()


def _await_late_share(sent_at, deadline_seconds):
    """Wait until most of a request's time is over, since it was sent."""
    ends_at = sent_at + LATE_SHARE * deadline_seconds
    fleets.wait_until(
        lambda: clocks.now() >= ends_at, 'most of the time to be over'
    )


def _await_unreachable(world, endpoint_id):
    """Wait until a connection to an endpoint has not been made in time."""
    vm = world.vms_by_id['vm1']
    line = (
        f'"name": "endpoint-suspected", "endpoint": "{endpoint_id}", '
        '"reason": "endpoint_unreachable"'
    )
    fleets.wait_until(lambda: line in vm.read_log(), 'a failed connection')


def _check_whole(world, reply):
    assert reply.status == 200, reply.body
    assert reply.events[-1].endswith('data: [DONE]'), reply.events[-1]
    assert len(reply.words) == WORDS


# Two failed health checks shut the connection down, whether or not another
# engine was left.
def test_a_silent_health_check_ends_no_answer_of_the_only_engine(start_world):
    engine_ids = ['engine-1']
    world = start_world(engine_ids)
    world.set_fault('engine-1', 'hold')
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, engine_ids)
    _signal(world, engine_ids, signal.SIGSTOP)
    vm = world.vms_by_id['vm1']
    fleets.wait_until(
        lambda: '"name": "endpoint-overdue"' in vm.read_log(),
        'the engine to fail its health checks',
    )
    _signal(world, engine_ids, signal.SIGCONT)
    world.set_fault('engine-1', '')
    _check_whole(world, pending.result())


# Half of the time was kept for another attempt, even without another engine.
def test_half_the_deadline_ends_no_answer_of_the_only_engine(start_world):
    world = start_world(['engine-1'], deadline_seconds=4)
    world.set_fault('engine-1', 'hold')
    sent_at = clocks.now()
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, ['engine-1'])
    _await_late_share(sent_at, deadline_seconds=4)
    world.set_fault('engine-1', '')
    _check_whole(world, pending.result())


# The stream was closed before it was known that an engine could resume it.
@pytest.mark.parametrize(
    'engine_ids', [['engine-1'], ['engine-1', 'engine-2']]
)
def test_a_stall_cuts_no_stream_of_silent_engines(start_world, engine_ids):
    world = start_world(engine_ids, token_seconds=0.05, stall_seconds=1)
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, engine_ids)
    _pause_later(world, engine_ids, 2.5)
    _check_whole(world, pending.result())


# A stop of the VM must not shorten the time that a stalled stream has.
def test_a_stall_beside_a_stop_of_the_vm_cuts_no_stream(start_world):
    world = start_world(['engine-1'], token_seconds=0.05, stall_seconds=1)
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, ['engine-1'])
    _pause_later(world, ['engine-1'], 2.0)
    world.vms_by_id['vm1'].process.send_signal(signal.SIGTERM)
    _check_whole(world, pending.result())


# A request that moves between silent engines must not run out of them.
def test_a_silence_of_all_engines_ends_no_answer(start_world):
    engine_ids = ['engine-1', 'engine-2']
    world = start_world(engine_ids, deadline_seconds=4)
    for engine_id in engine_ids:
        world.set_fault(engine_id, 'hold')
    sent_at = clocks.now()
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, engine_ids)
    _signal(world, engine_ids, signal.SIGSTOP)
    _await_late_share(sent_at, deadline_seconds=4)
    _signal(world, engine_ids, signal.SIGCONT)
    for engine_id in engine_ids:
        world.set_fault(engine_id, '')
    _check_whole(world, pending.result())


def _running_engine(world, engine_ids):
    """Return the id of the engine that has got the request."""
    _await_running(world, engine_ids)
    return next(
        engine_id
        for engine_id in engine_ids
        if world.get_stand_in_json(engine_id, '/counters')['counters'].get(
            'requests'
        )
    )


def _kill_noticed(world, engine_id):
    """Kill an engine and wait until the VM has noticed it."""
    vm = world.vms_by_id['vm1']
    named = f'"endpoint": "{engine_id}"'
    before = vm.read_log().count(named)
    _signal(world, [engine_id], signal.SIGKILL)
    fleets.wait_until(
        lambda: vm.read_log().count(named) > before,
        'the VM to notice the death',
    )


# The attempt was given up for an engine that was silent too and then failed.
def test_an_answer_outlives_a_silence_beside_an_engine_that_fails(start_world):
    engine_ids = ['engine-1', 'engine-2']
    world = start_world(engine_ids, deadline_seconds=6)
    for engine_id in engine_ids:
        world.set_fault(engine_id, 'hold')
    sent_at = clocks.now()
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    first = _running_engine(world, engine_ids)
    other = next(e for e in engine_ids if e != first)
    _signal(world, engine_ids, signal.SIGSTOP)
    _await_late_share(sent_at, deadline_seconds=6)
    _kill_noticed(world, other)
    _signal(world, [first], signal.SIGCONT)
    world.set_fault(first, '')
    _check_whole(world, pending.result())


class _FullListener:
    """A listener that accepts no connection until it is opened."""

    def __init__(self, target):
        self._target = target
        self._listener = socket.create_server(('127.0.0.1', 0), backlog=0)
        self.address = f'127.0.0.1:{self._listener.getsockname()[1]}'
        self._fillers = []
        is_full = False
        while not is_full:
            filler = socket.socket()
            filler.settimeout(0.2)
            self._fillers.append(filler)
            try:
                filler.connect(self._listener.getsockname())
            except TimeoutError:
                is_full = True

    def open(self):
        """Accept connections from now on, and forward them."""
        for filler in self._fillers:
            filler.close()
        self._listener.listen(256)
        threading.Thread(target=self._forward, daemon=True).start()

    def _forward(self):
        proxy = fault_proxy.FaultProxy(self._target)
        while True:
            client_socket, _ = self._listener.accept()
            threading.Thread(
                target=proxy._connect, args=(client_socket, ''), daemon=True
            ).start()


# The request was refused, as no connection was made within 1 s.
def test_a_silent_listener_of_the_only_engine_refuses_no_request(start_world):
    world = start_world([])
    port = fleets.free_port()
    listener = _FullListener(f'127.0.0.1:{port}')
    world.start_engine('engine-1', port=port, advertise=listener.address)
    world.await_endpoints(['engine-1'])
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_unreachable(world, 'engine-1')
    listener.open()
    _check_whole(world, pending.result())


# The service counted as failed, as no connection was made within 1 s.
@pytest.mark.parametrize(
    ('method', 'path', 'status'),
    [('GET', '/records/1', 200), ('POST', '/orders', 201)],
)
def test_a_silent_listener_of_the_only_service_refuses_no_request(
    start_world, method, path, status
):
    world = start_world([])
    port = fleets.free_port()
    listener = _FullListener(f'127.0.0.1:{port}')
    world.start_service('booth-orders', port=port, advertise=listener.address)
    world.await_endpoints(['booth-orders'])
    headers = {**builders.bearer(world.key), 'Idempotency-Key': 'key-1'}
    pending = world.pool.submit(
        world.request, 'vm1', method, path, headers=headers
    )
    _await_unreachable(world, 'booth-orders')
    listener.open()
    reply = pending.result()
    assert (reply.status, reply.outcome) == (status, 'complete'), reply.body
    assert set(world.run_counts().values()) <= {1}
