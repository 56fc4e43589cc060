"""Tests of a stop, and of a kill, while a snapshot is stored."""

import random
import threading

import pytest
import replication_builders as builders
import simulated_disk
import simulated_files
import simulated_node

from carobwood import errors
from carobwood_daemon.replication import applier
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replica_runner
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store

WAIT_SECONDS = 20.0
# Longest time for which a write is held.
HOLD_SECONDS = 1.0
# Entries after which a snapshot is due, whatever its jitter.
ENTRIES = 2 * simulated_node.SNAPSHOT_ENTRIES
CALLS_OF_A_SNAPSHOT = 20


class HeldFolder(data_folder.DataFolder):
    """A data folder in which the writes of one file are held.

    Attributes:
        held_file: name of that file, or None.
        is_held: set while a write is held.
        released: lets the writes go on.
        is_written: set once a write that was held has ended.
    """

    held_file = None

    def __init__(self, path):
        super().__init__(path)
        self.is_held = threading.Event()
        self.released = threading.Event()
        self.is_written = threading.Event()

    def write(self, name, payload):
        """See ``DataFolder``."""
        if name != self.held_file:
            super().write(name, payload)
            return
        self.is_held.set()
        self.released.wait(HOLD_SECONDS)
        try:
            super().write(name, payload)
        finally:
            self.is_written.set()


def _register_vms(count):
    return [
        commands.encode(commands.RegisterVm(f'vm{number}', 'bole'))
        for number in range(count)
    ]


def _contents(path):
    return {file.name: file.read_bytes() for file in path.iterdir()}


@pytest.fixture
def folder(tmp_path):
    """Return a data folder."""
    opened = HeldFolder(tmp_path)
    yield opened
    opened.close()


@pytest.fixture
def runner(folder):
    """Return the runner of a VM that leads the fleet it has founded."""
    started = replica_runner.ReplicaRunner(
        folder,
        'vm1',
        '10.0.0.1:1',
        None,
        state_store.StateStore(),
        simulated_node.OPTIONS,
    )
    started.found()
    replica = started.replica
    with replica.changed:
        assert replica.changed.wait_for(
            lambda: replica.is_leader, WAIT_SECONDS
        )
    return started


# A VM had its files replaced by the one before it, which had unlocked them.
@pytest.mark.parametrize('file', ['snapshot', 'base'])
def test_a_stop_waits_for_the_snapshot_that_is_stored(runner, folder, file):
    folder.held_file = file
    runner.replica.propose(_register_vms(ENTRIES), WAIT_SECONDS)
    assert folder.is_held.wait(WAIT_SECONDS)
    runner.stop()
    stopped = _contents(folder.path)
    folder.released.set()
    assert folder.is_written.wait(WAIT_SECONDS)
    assert _contents(folder.path) == stopped


def test_a_snapshot_that_a_leader_sends_is_not_installed_after_a_stop(
    runner, folder
):
    machine = state_machine.StateMachine()
    machine.index, machine.term = 100, 2
    runner.stop()
    stopped = _contents(folder.path)
    with pytest.raises(errors.LinkRefused):
        runner.replica.on_snapshot(logs.Position(100, 2), machine.snapshot())
    assert _contents(folder.path) == stopped


def test_a_compaction_that_was_refused_is_not_finished_after_a_stop(
    runner, folder, monkeypatch
):
    refused = threading.Event()

    def refuse(position):
        refused.set()
        raise errors.DiskWriteFailed('no space')

    with monkeypatch.context() as patch:
        patch.setattr(runner.replica.log, 'compact', refuse)
        runner.replica.propose(_register_vms(ENTRIES), WAIT_SECONDS)
        assert refused.wait(WAIT_SECONDS)
        runner.stop()
    stopped = _contents(folder.path)
    runner._applier._free_storage()
    assert _contents(folder.path) == stopped


def _start(disk):
    """Return the replica, the thread and the state read from a disk."""
    folder = data_folder.DataFolder(simulated_files.SimulatedPath(disk))
    replica = builders.build_replica(
        disk_log.DiskLog(folder, segment_bytes=1),
        builders.MEMBERS[:1],
        stable_store.DiskStableStore(folder),
    )
    store = state_store.StateStore()
    thread = applier.Applier(
        replica, state_machine.StateMachine(), store.update, 1
    )
    thread.recover()
    return replica, thread, store


@pytest.mark.parametrize('calls', range(1, CALLS_OF_A_SNAPSHOT))
def test_a_kill_at_any_call_of_a_snapshot_loses_no_entry(monkeypatch, calls):
    simulated_files.install(monkeypatch)
    disk = simulated_disk.SimulatedDisk(random.Random(calls))
    replica, thread, _ = _start(disk)
    entries = [
        logs.Entry(index, 1, payload)
        for index, payload in enumerate(_register_vms(ENTRIES), start=2)
    ]
    replica.log.append(entries)
    replica.log.flush()
    with replica.changed:
        replica.set_commit_index(entries[-1].index)
    thread._apply_batch()
    disk.kill_after = calls
    try:
        thread._store_snapshot(*thread.snapshot())
    except simulated_disk.ProcessKilled:
        pass
    for image in (disk.image_after_kill(), disk.image_after_power_loss()):
        restarted, _, store = _start(image)
        assert restarted.log.last.index == entries[-1].index
        assert len(store.fleet.vms_by_id) == ENTRIES
