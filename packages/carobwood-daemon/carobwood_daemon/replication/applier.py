"""The thread that applies committed entries and takes snapshots.

The snapshots bound the length of the replicated log: once one is on
disk, the entries that it covers are dropped from the log.
"""

import random
import threading

from carobwood import errors
from carobwood import events
from carobwood import threads

from . import commands
from . import log as logs
from . import state_machine as state_machines

# Payload bytes of the entries that are applied in one batch.
MAX_BATCH_BYTES = 1024 * 1024
# Default for the number of applied entries between two snapshots.
SNAPSHOT_ENTRIES = 20000
# Entries left in the log below a snapshot, as a share of the above.
KEPT_ENTRIES_SHARE = 0.1


class Applier(threading.Thread):
    """Applies committed entries to the state machine, in log order.

    A new state of the fleet is published only after the commit index
    that covers it is on disk, so that a restarted VM never publishes an
    older version than it did before the restart.
    """

    def __init__(
        self,
        replica,
        state_machine,
        publish,
        snapshot_entries=SNAPSHOT_ENTRIES,
    ):
        """Create the thread without starting it.

        Args:
            replica: the ``Replica`` whose committed entries are applied.
            state_machine: the ``StateMachine``.
            publish: called with each new ``FleetState`` and the (index,
                encoded command) pairs that led to it; the pairs are
                empty after a snapshot.
            snapshot_entries: applied entries between two snapshots, on
                average.
        """
        super().__init__(name='applier', daemon=True)
        self._replica = replica
        self._state_machine = state_machine
        self._publish = publish
        self._snapshot_entries = snapshot_entries
        # Lets members that are slightly behind catch up from the log
        # instead of from a snapshot.
        self._kept_entries = int(snapshot_entries * KEPT_ENTRIES_SHARE)
        self._snapshot_thread = None
        # Index of the stored snapshot.
        self._stored_index = 0
        # Index of the stored snapshot of applied entries, up to which the
        # log may be compacted. It stays behind that of a leader's snapshot
        # until that is installed.
        self._snapshot_index = 0
        # What is applied and not yet published or answered. It is kept if
        # a batch is interrupted by an exception.
        self._unpublished = []
        self._unanswered = []
        # Replicas apply the same entries at about the same time. The
        # random threshold keeps them from all writing snapshots at once.
        self._snapshot_threshold = _with_jitter(snapshot_entries)
        self._is_storing_stopped = False
        # Lock order: _snapshot_lock, _state_machine_lock, replica.changed.
        self._snapshot_lock = threading.Lock()
        self._state_machine_lock = threading.Lock()
        replica.on_snapshot = self._install_snapshot

    @property
    def claim_count(self):
        """Number of claims in the state machine."""
        return len(self._state_machine.claims.claims_by_request)

    def recover(self):
        """Restore the snapshot and apply the entries known as committed.

        Raises:
            LogDamaged: the log starts above the last snapshot, or the
                snapshot fails its checksum.
        """
        replica = self._replica
        data = replica.stable_store.load_snapshot()
        if data is not None:
            self._state_machine.restore(data)
        if self._state_machine.index < replica.log.base.index:
            raise errors.LogDamaged(
                'the log was compacted above the last snapshot'
            )
        index = self._state_machine.index
        self._stored_index = index
        self._snapshot_index = index
        if replica.log.term_at(index) != self._state_machine.term:
            # An earlier process ended between storing a snapshot of a
            # leader and the reset of the log.
            replica.log.reset(logs.Position(index, self._state_machine.term))
        replica.load_membership(index, self._state_machine.membership)
        replica.applied_index = index
        last = max(index, replica.log.last.index)
        committed = max(index, replica.log.commit_index)
        replica.commit_index = min(last, committed)
        while self._apply_batch():
            pass
        self._publish(self._state_machine.fleet, ())

    def run(self):
        """Apply committed entries until the replica stops."""
        threads.repeat(self._apply_next)

    def _apply_next(self):
        replica = self._replica
        with replica.changed:
            while not replica.stopped and (
                replica.applied_index >= replica.commit_index
            ):
                replica.committed.wait()
            if replica.stopped:
                return False
        self._apply_batch()
        self._snapshot_if_due()
        return True

    def snapshot(self):
        """Return the position of the last applied entry and a snapshot.

        Returns:
            A ``Position`` and the encoded state up to it.
        """
        with self._state_machine_lock:
            position = logs.Position(
                self._state_machine.index, self._state_machine.term
            )
            return position, self._state_machine.snapshot()

    def _apply_batch(self):
        with self._state_machine_lock:
            for entry in self._next_entries():
                command = commands.decode_command(entry.payload)
                result = self._state_machine.apply(entry, command)
                self._unanswered.append((entry, result))
                if state_machines.is_fleet_command(command):
                    self._unpublished.append((entry.index, entry.payload))
            if self._unpublished:
                self._store_commit()
                self._publish(self._state_machine.fleet, self._unpublished)
                self._unpublished = []
            answered, self._unanswered = self._unanswered, []
        if answered:
            self._replica.resolve_proposals(*zip(*answered))
        return bool(answered)

    def _next_entries(self):
        replica = self._replica
        with replica.changed:
            entries = replica.log.read(
                self._state_machine.index + 1, MAX_BATCH_BYTES
            )
            return [e for e in entries if e.index <= replica.commit_index]

    def _store_commit(self):
        try:
            self._replica.log.store_commit()
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)

    def _snapshot_if_due(self):
        log = self._replica.log
        if (
            self._state_machine.index - log.base.index
            < self._snapshot_threshold
        ):
            return
        thread = self._snapshot_thread
        if thread is not None and thread.is_alive():
            return
        self._snapshot_threshold = _with_jitter(self._snapshot_entries)
        position, data = self.snapshot()
        # Written by another thread: applying must not wait for the disk.
        self._start_snapshot_thread(self._store_snapshot, position, data)

    def free_storage_if_due(self):
        """Start a thread that finishes a compaction that the disk refused.

        A full disk takes no entries; none are then applied, and no new
        snapshot falls due that would compact the log.
        """
        thread = self._snapshot_thread
        if thread is not None and thread.is_alive():
            return
        if self._replica.stopped:
            return
        is_due = self._compactable_position() is not None
        if is_due or self._replica.log.has_leftovers:
            self._start_snapshot_thread(self._free_storage)

    def stop_storing(self):
        """Wait for what is being stored, and store nothing from now on.

        Another process may use the data folder after this.
        """
        with self._snapshot_lock:
            self._is_storing_stopped = True

    def _start_snapshot_thread(self, target, *args):
        self._snapshot_thread = threading.Thread(
            target=target, args=args, name='snapshot', daemon=True
        )
        self._snapshot_thread.start()

    def _store_snapshot(self, position, data):
        with self._snapshot_lock:
            if self._is_storing_stopped:
                return
            try:
                # The snapshot may not fit before a compaction that was
                # refused makes room for it.
                self._compact()
                # A start may read the base of a leader's snapshot, which an
                # older one does not reach.
                if position.index <= self._stored_index:
                    return
                self._replace_snapshot(position, data)
                self._snapshot_index = position.index
                self._compact()
            except errors.DiskWriteFailed as error:
                events.emit(events.DISK_FAILED, error=error.detail)
                return
        events.emit(
            events.SNAPSHOT_WRITTEN, index=position.index, bytes=len(data)
        )

    def _replace_snapshot(self, position, data):
        self._replica.stable_store.store_snapshot(data)
        self._stored_index = position.index

    def _free_storage(self):
        with self._snapshot_lock:
            if self._is_storing_stopped:
                return
            try:
                self._compact()
            except errors.DiskWriteFailed as error:
                events.emit(events.DISK_FAILED, error=error.detail)

    def _compact(self):
        log = self._replica.log
        position = self._compactable_position()
        if position is not None:
            log.compact(position)
        elif log.has_leftovers:
            log.remove_leftovers()

    def _compactable_position(self):
        """Return the ``Position`` up to which the log can be compacted now.

        Entries are dropped only if a stored snapshot covers them and they
        are stored themselves; the newest of them stay. Returns None if there
        is nothing to drop.
        """
        log = self._replica.log
        # To compact further, the log would first have to write entries, for
        # which the disk may have no room.
        index = min(
            self._snapshot_index - self._kept_entries, log.durable_index
        )
        term = log.term_at(index)
        if index <= log.base.index or term is None:
            return None
        return logs.Position(index, term)

    def _install_snapshot(self, position, data):
        with self._snapshot_lock, self._state_machine_lock:
            if self._is_storing_stopped:
                raise errors.LinkRefused('this replica has stopped')
            if position.index <= self._state_machine.index:
                return
            restored = state_machines.StateMachine()
            restored.restore(data)
            self._replace_snapshot(position, data)
            self._replica.install_snapshot(position, restored.membership)
            self._snapshot_index = position.index
            self._state_machine = restored
            self._publish(self._state_machine.fleet, ())
        events.emit(events.SNAPSHOT_INSTALLED, index=position.index)


def _with_jitter(entries):
    return int(entries * random.SystemRandom().uniform(0.75, 1.25))
