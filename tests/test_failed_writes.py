"""Tests of a data folder whose disk refuses writes, or parts of them."""

import errno
import os
import pathlib

import msgspec
import pytest
import replication_builders as builders

from carobwood import errors
from carobwood_daemon.membership import directory as directories
from carobwood_daemon.membership import periodic_tasks
from carobwood_daemon.membership import withdrawals
from carobwood_daemon.relay import past_usage
from carobwood_daemon.relay import usage_persister
from carobwood_daemon.replication import applier
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import replica_runner
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
from carobwood_daemon.replication import timing
from carobwood_daemon import settings

WRITTEN_BYTES = (1, 5, 20, 60)


@pytest.fixture
def folder(tmp_path):
    """Return an empty data folder."""
    opened = data_folder.DataFolder(tmp_path)
    yield opened
    opened.close()


class FullDisk:
    """Makes the disk full for what the replicated log writes to it.

    Attributes:
        room_bytes: bytes that the next write still stores.
    """

    def __init__(self, monkeypatch, room_bytes=0):
        self.room_bytes = room_bytes
        self._monkeypatch = monkeypatch

    def fill(self, log):
        """Refuse writes of the log's segment, and all truncations."""
        segment = log._segment
        segment._file = _FullFile(segment._file, self)
        self._monkeypatch.setattr(os, 'ftruncate', _refuse)

    def make_room(self, log):
        """End it."""
        log._segment._file = log._segment._file.file
        self._monkeypatch.undo()


class _FullFile:
    """A file on a full disk."""

    def __init__(self, file, disk):
        self.file = file
        self._disk = disk

    def write(self, content):
        """Write as much as there is room for."""
        size, self._disk.room_bytes = self._disk.room_bytes, 0
        if not size:
            _refuse()
        return self.file.write(content[:size])

    def fileno(self):
        """See ``io.FileIO``."""
        return self.file.fileno()

    def close(self):
        """See ``io.FileIO``."""
        self.file.close()


def _refuse(*_):
    raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


# A control VM did not start any more after its disk had been full: frames
# were appended behind a part of one that could not be truncated.
@pytest.mark.parametrize('written_bytes', WRITTEN_BYTES)
@pytest.mark.parametrize('later_flushes', (1, 3))
def test_entries_after_a_partial_frame_are_read_back(
    folder, monkeypatch, written_bytes, later_flushes
):
    log = disk_log.DiskLog(folder)
    log.append(builders.no_operations(1, 2, 1))
    log.flush()
    disk = FullDisk(monkeypatch, written_bytes)
    disk.fill(log)
    log.append(builders.no_operations(3, 2, 1))
    with pytest.raises(errors.DiskWriteFailed):
        log.flush()
    disk.make_room(log)
    for number in range(later_flushes):
        log.append(builders.no_operations(5 + number, 1, 1))
        log.flush()
    log.close()
    reopened = disk_log.DiskLog(folder)
    assert [e.index for e in reopened.entries()] == list(
        range(1, 5 + later_flushes)
    )
    reopened.close()


def test_nothing_is_appended_while_a_partial_frame_remains(
    folder, monkeypatch
):
    log = disk_log.DiskLog(folder)
    log.append(builders.no_operations(1, 1, 1))
    log.flush()
    disk = FullDisk(monkeypatch, 20)
    disk.fill(log)
    log.append(builders.no_operations(2, 1, 1))
    for _ in range(2):
        with pytest.raises(errors.DiskWriteFailed):
            log.flush()
        disk.room_bytes = 10_000
    assert log.durable_index == 1
    log.close()
    reopened = disk_log.DiskLog(folder)
    assert reopened.last.index == 1
    reopened.close()


# Nothing told that the disk of a follower was full: its leader was refused,
# but the follower itself logged nothing.
def test_a_follower_logs_once_that_its_disk_is_full(
    folder, monkeypatch, caplog
):
    log = disk_log.DiskLog(folder)
    replica = builders.build_replica(log)
    request = builders.append_request(
        1,
        builders.MEMBERS[1],
        logs.Position(1, 0),
        builders.no_operations(2, 1, 1),
    )
    monkeypatch.setattr(os, 'fdatasync', _refuse)
    for _ in range(3):
        with pytest.raises(errors.DiskWriteFailed):
            replica.requests.handle_append(request)
    assert caplog.text.count('"disk-failed"') == 1
    monkeypatch.undo()
    assert replica.requests.handle_append(request).success
    log.close()


def test_a_segment_that_ends_in_a_partial_frame_is_not_followed_by_another(
    folder, monkeypatch
):
    log = disk_log.DiskLog(folder, segment_bytes=1)
    log.append(builders.no_operations(1, 4, 1))
    log.flush()
    disk = FullDisk(monkeypatch, 20)
    disk.fill(log)
    log.append(builders.no_operations(5, 1, 1))
    with pytest.raises(errors.DiskWriteFailed):
        log.flush()
    with pytest.raises(errors.DiskWriteFailed):
        log.reset(logs.Position(9, 2))
    log.close()
    reopened = disk_log.DiskLog(folder)
    assert reopened.last.index == 4
    reopened.close()


class RefusingFolder(data_folder.DataFolder):
    """A data folder that refuses to replace files while ``is_full``."""

    is_full = False

    def write(self, name, payload):
        """See ``DataFolder.write``."""
        if self.is_full:
            raise errors.DiskWriteFailed('no space')
        super().write(name, payload)


@pytest.fixture
def refusing_folder(tmp_path):
    """Return an empty ``RefusingFolder``."""
    opened = RefusingFolder(tmp_path)
    yield opened
    opened.close()


def _snapshot(position):
    machine = state_machine.StateMachine()
    machine.index = position.index
    machine.term = position.term
    return machine.snapshot()


# A control VM did not start any more after it had got a snapshot while its
# disk was full: the log had been emptied in memory but not on disk.
def test_entries_after_a_snapshot_that_was_refused_are_read_back(
    refusing_folder,
):
    log = disk_log.DiskLog(refusing_folder)
    log.append(builders.no_operations(1, 2, 1))
    log.flush()
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        log.reset(logs.Position(9, 2))
    assert log.last == logs.Position(2, 1)
    refusing_folder.is_full = False
    log.append(builders.no_operations(3, 2, 2))
    log.flush()
    log.close()
    reopened = disk_log.DiskLog(refusing_folder)
    assert [e.index for e in reopened.entries()] == [1, 2, 3, 4]
    reopened.close()


def test_a_compaction_that_was_refused_keeps_the_entries(refusing_folder):
    log = disk_log.DiskLog(refusing_folder)
    log.append(builders.no_operations(1, 4, 1))
    log.flush()
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        log.compact(logs.Position(2, 1))
    assert log.base.index == 0
    refusing_folder.is_full = False
    log.compact(logs.Position(2, 1))
    assert [e.index for e in log.entries()] == [3, 4]
    log.close()


def test_a_snapshot_that_was_refused_is_installed_when_it_is_sent_again(
    refusing_folder,
):
    log = disk_log.DiskLog(refusing_folder)
    replica = builders.build_replica(log)
    published = []
    applier.Applier(
        replica,
        state_machine.StateMachine(),
        lambda fleet, deltas: published.append(fleet),
    )
    position = logs.Position(9, 2)
    request = builders.snapshot_request(
        2, builders.MEMBERS[1], position, _snapshot(position)
    )
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        replica.requests.handle_snapshot(request)
    refusing_folder.is_full = False
    replica.requests.handle_snapshot(request)
    assert replica.applied_index == position.index
    assert len(published) == 1
    log.close()


# A VM never started its replica: it took itself for a member of the fleet
# that it had failed to record.
def test_a_vm_joins_after_its_disk_has_refused_the_identity(refusing_folder):
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        refusing_folder.join_fleet('fleet')
    assert not refusing_folder.identity.fleet_id
    refusing_folder.is_full = False
    refusing_folder.join_fleet('fleet')
    assert refusing_folder.identity.fleet_id == 'fleet'


def test_a_replica_whose_start_was_refused_is_started_later(
    folder, monkeypatch
):
    options = settings.ReplicaOptions(timing.Timing(), 1000, 3)
    runner = replica_runner.ReplicaRunner(
        folder, 'vm1', '10.0.0.1:1', None, state_store.StateStore(), options
    )
    runner._run_threads = lambda replica: None
    monkeypatch.setattr(pathlib.Path, 'touch', _refuse)
    with pytest.raises(errors.DiskWriteFailed):
        runner.join('fleet')
    monkeypatch.undo()
    own_vm = directories.Vm('vm1', 'bole', '10.0.0.1:1', '', 1, True)
    periodic_tasks.Joiner(
        runner, directories.Directory(own_vm, ()), None
    ).run_once()
    assert runner.is_running
    runner.replica.log.close()


@pytest.fixture
def running(folder):
    """Return a runner whose replica has no threads."""
    options = settings.ReplicaOptions(timing.Timing(), 1000, 3)
    runner = replica_runner.ReplicaRunner(
        folder, 'vm1', '10.0.0.1:1', None, state_store.StateStore(), options
    )
    runner._run_threads = lambda replica: None
    runner.join('fleet')
    yield runner
    runner.replica.log.close()


def test_a_disk_without_room_for_entries_is_told(running, monkeypatch):
    log = running.replica.log
    disk = FullDisk(monkeypatch)
    disk.fill(log)
    log.append([logs.Entry(1, 1, b'')])
    with pytest.raises(errors.DiskWriteFailed):
        running.check_disk()
    disk.make_room(log)
    running.check_disk()
    assert log.durable_index == 1


def test_a_disk_without_room_for_the_hard_state_is_told(running, monkeypatch):
    monkeypatch.setattr(os, 'replace', _refuse)
    with pytest.raises(errors.DiskWriteFailed):
        running.check_disk()
    monkeypatch.undo()
    running.check_disk()


def test_a_founding_that_was_refused_is_repeated(refusing_folder):
    runner = replica_runner.ReplicaRunner(
        refusing_folder, 'vm1', '10.0.0.1:1', None, None, None
    )
    runner._start_replica = lambda: None
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        runner.found()
    assert not runner.fleet_id
    refusing_folder.is_full = False
    runner.found()
    log = disk_log.DiskLog(refusing_folder)
    assert [entry.index for entry in log.entries()] == [1]
    log.close()


def test_usage_that_was_refused_is_saved_later(refusing_folder):
    table = past_usage.PastUsageTable(8)
    table.add_report('vm1', 1, {'bole': (100, 0, 200)})
    task = usage_persister.UsagePersister(refusing_folder, table)
    refusing_folder.is_full = True
    assert not task.save()
    refusing_folder.is_full = False
    assert task.save()
    restored = past_usage.PastUsageTable(8)
    usage_persister.UsagePersister(refusing_folder, restored).load()
    assert len(restored.records()) == 1


def test_a_withdrawal_that_was_refused_is_saved_later(refusing_folder):
    known = withdrawals.Withdrawals(refusing_folder)
    refusing_folder.is_full = True
    known.add({'digest'})
    refusing_folder.is_full = False
    store = state_store.StateStore()
    committed = frozenset({'digest'})
    store._fleet = msgspec.structs.replace(
        store.fleet, withdrawn_digests=committed
    )
    periodic_tasks.WithdrawalProposer(known, store, None).run_once()
    restored = withdrawals.Withdrawals(refusing_folder)
    assert restored.digests == {'digest'}


# An entry that was acknowledged after a restart could be lost with the
# power: the process before had ended between its write and its sync.
def test_what_an_earlier_process_has_written_is_synced_at_the_start(
    folder, monkeypatch
):
    log = disk_log.DiskLog(folder)
    log.append(builders.no_operations(1, 2, 1))
    log.flush()
    log.close()
    synced = []
    monkeypatch.setattr(
        os,
        'fdatasync',
        lambda descriptor: synced.append(os.fstat(descriptor)),
    )
    disk_log.DiskLog(folder).close()
    segment = os.stat(folder.path / 'log.00000001')
    assert [found.st_ino for found in synced] == [segment.st_ino]


def test_names_of_an_earlier_process_are_synced_at_the_start(
    tmp_path, monkeypatch
):
    synced = []
    monkeypatch.setattr(
        os, 'fsync', lambda descriptor: synced.append(os.fstat(descriptor))
    )
    data_folder.DataFolder(tmp_path).close()
    assert synced[0].st_ino == os.stat(tmp_path).st_ino


def test_a_start_is_refused_while_an_incomplete_frame_cannot_be_truncated(
    folder, monkeypatch
):
    log = disk_log.DiskLog(folder)
    log.append(builders.no_operations(1, 2, 1))
    log.flush()
    log.close()
    path = folder.path / 'log.00000001'
    path.write_bytes(path.read_bytes() + b'cbwF')
    monkeypatch.setattr(os, 'truncate', _refuse)
    with pytest.raises(errors.DiskWriteFailed):
        disk_log.DiskLog(folder)
    monkeypatch.undo()
    reopened = disk_log.DiskLog(folder)
    assert reopened.last.index == 2
    reopened.close()


# The thread that stores snapshots ended, and the following reset of a log
# was taken for failed: a full disk may refuse to remove files as well.
def test_segments_that_could_not_be_deleted_are_deleted_by_a_later_compaction(
    folder, monkeypatch
):
    log = disk_log.DiskLog(folder, segment_bytes=1)
    log.append(builders.no_operations(1, 4, 1))
    log.flush()
    monkeypatch.setattr(pathlib.Path, 'unlink', _refuse)
    log.compact(logs.Position(4, 1))
    monkeypatch.undo()
    assert (folder.path / 'log.00000001').exists()
    log.append(builders.no_operations(5, 1, 1))
    log.compact(logs.Position(5, 1))
    assert not (folder.path / 'log.00000001').exists()
    log.close()


def test_a_file_that_could_not_be_replaced_leaves_no_temporary_one(
    folder, monkeypatch
):
    monkeypatch.setattr(os, 'fsync', _refuse)
    with pytest.raises(errors.DiskWriteFailed):
        folder.write('snapshot', b'state')
    monkeypatch.undo()
    assert folder.read('snapshot') is None
    assert not list(folder.path.glob('*.tmp'))


# Entries that contradict a stored snapshot counted as committed after a
# restart: the process had ended before it reset its log.
def test_a_restart_drops_the_entries_that_contradict_its_snapshot(folder):
    log = disk_log.DiskLog(folder)
    replica = builders.build_replica(log)
    log.append(builders.no_operations(2, 8, 1))
    log.flush()
    position = logs.Position(4, 2)
    replica.stable_store.store_snapshot(_snapshot(position))
    applier.Applier(
        replica, state_machine.StateMachine(), lambda *_: None
    ).recover()
    assert log.last == position
    assert replica.commit_index == position.index
    log.close()


# A replica led the fleet that it had joined: the entry of a founding that its
# disk had refused named it as the only voter.
def test_a_refused_founding_leaves_no_voter_to_the_fleet_that_is_joined(
    refusing_folder,
):
    runner = replica_runner.ReplicaRunner(
        refusing_folder, 'vm1', '10.0.0.1:1', None, None, None
    )
    runner._start_replica = lambda: None
    refusing_folder.is_full = True
    with pytest.raises(errors.DiskWriteFailed):
        runner.found()
    refusing_folder.is_full = False
    runner.join('other-fleet')
    log = disk_log.DiskLog(refusing_folder)
    assert log.entries() == []
    log.close()


# After a restart a replica took itself for the only voter: the entry that
# named it so had been dropped with the log that contradicted its snapshot.
def test_a_restart_takes_no_voters_from_entries_that_it_drops(folder):
    founding = builders.founding_entry()
    machine = state_machine.StateMachine()
    for entry in [founding, *builders.no_operations(2, 2, 2)]:
        machine.apply(entry, commands.decode_command(entry.payload))
    log = disk_log.DiskLog(folder)
    only_voter = commands.ChangeVoters(builders.MEMBERS[:1], ())
    log.append([founding, *builders.no_operations(2, 3, 1)])
    log.append([logs.Entry(5, 1, commands.encode(only_voter))])
    log.flush()
    replica = builders.build_replica(log)
    replica.stable_store.store_snapshot(machine.snapshot())
    applier.Applier(
        replica, state_machine.StateMachine(), lambda *_: None
    ).recover()
    assert log.entries() == []
    assert replica.membership.voters == builders.MEMBERS
    log.close()
