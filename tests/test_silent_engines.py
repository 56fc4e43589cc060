"""Engines of carobwood's own interface that are silent for a while."""

import signal
import threading
import time

import builders
import fleet as fleets
import pytest
import yaml

WORDS = 20


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
    pending = world.pool.submit(world.chat, max_tokens=WORDS)
    _await_running(world, ['engine-1'])
    time.sleep(2.5)
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
