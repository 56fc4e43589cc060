"""The thread that applies committed entries and takes snapshots."""

import random
import threading

from carobwood import errors
from carobwood import events

from . import commands
from . import log as logs
from . import machine as machines

MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_ENTRIES = 20000
KEPT_SHARE = 0.1


class Applier(threading.Thread):
    """Feeds committed entries to the machine.

    Fleet commands become visible only after the commit index that
    covers them is durable, so that a restart never shows an older
    version than was shown before.
    """

    def __init__(
        self, replica, machine, publish, snapshot_entries=SNAPSHOT_ENTRIES
    ):
        super().__init__(name='applier', daemon=True)
        self._replica = replica
        self._machine = machine
        self._publish = publish
        self._snapshot_entries = snapshot_entries
        # Kept for members that are only a little behind.
        self._kept = int(snapshot_entries * KEPT_SHARE)
        self._snapshot_thread = None
        # Replicas apply in step; their snapshots must not coincide.
        self._snapshot_due = _spread(snapshot_entries)
        # Taken in this order, and before the replica's lock.
        self._store_lock = threading.Lock()
        self._machine_lock = threading.Lock()
        replica.on_snapshot = self._install

    @property
    def claim_count(self):
        """Number of claims in the state applied so far."""
        return len(self._machine.claims.claims_by_request)

    def recover(self):
        """Load the snapshot and the entries known to be committed."""
        replica = self._replica
        data = replica.stable.load_snapshot()
        if data is not None:
            self._machine.restore(data)
        if self._machine.index < replica.log.base.index:
            raise errors.LogDamaged('the snapshot below the log is missing')
        index = self._machine.index
        replica.load_voters(index, self._machine.voters)
        replica.applied_index = index
        last = max(index, replica.log.last.index)
        committed = max(index, replica.log.committed_index)
        replica.commit_index = min(last, committed)
        if replica.log.last.index < index:
            replica.log.reset(logs.Position(index, self._machine.term))
        while self._apply_batch():
            pass
        self._publish(self._machine.fleet, ())

    def run(self):
        """Apply until the replica stops."""
        replica = self._replica
        while True:
            with replica.changed:
                while not replica.stopped and (
                    replica.applied_index >= replica.commit_index
                ):
                    replica.committed.wait()
                if replica.stopped:
                    return
            self._apply_batch()
            self._snapshot_if_due()

    def snapshot(self):
        """Return position and bytes of a snapshot as of now."""
        with self._machine_lock:
            position = logs.Position(self._machine.index, self._machine.term)
            return position, self._machine.snapshot()

    def _apply_batch(self):
        with self._machine_lock:
            entries = self._next_entries()
            results = []
            published = []
            for entry in entries:
                command = commands.decode_command(entry.payload)
                results.append(self._machine.apply(entry, command))
                if machines.is_fleet_command(command):
                    published.append((entry.index, entry.payload))
            if published:
                self._store_commit()
                self._publish(self._machine.fleet, published)
        if entries:
            self._replica.resolve(entries, results)
        return bool(entries)

    def _next_entries(self):
        replica = self._replica
        with replica.changed:
            entries = replica.log.read(
                replica.applied_index + 1, MAX_BATCH_BYTES
            )
            return [e for e in entries if e.index <= replica.commit_index]

    def _store_commit(self):
        try:
            self._replica.log.store_commit()
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)

    def _snapshot_if_due(self):
        log = self._replica.log
        if self._machine.index - log.base.index < self._snapshot_due:
            return
        thread = self._snapshot_thread
        if thread is not None and thread.is_alive():
            return
        self._snapshot_due = _spread(self._snapshot_entries)
        position, data = self.snapshot()
        # Written apart, so that applying does not wait for the disk.
        self._snapshot_thread = threading.Thread(
            target=self._store_snapshot,
            args=(position, data),
            name='snapshot',
            daemon=True,
        )
        self._snapshot_thread.start()

    def _store_snapshot(self, position, data):
        with self._store_lock:
            log = self._replica.log
            if position.index <= log.base.index:
                return
            try:
                self._replica.stable.store_snapshot(data)
                kept = max(log.base.index, position.index - self._kept)
                term = log.term_at(kept)
                if term is not None:
                    log.compact(logs.Position(kept, term))
            except errors.DiskWriteFailed as error:
                events.emit(events.DISK_FAILED, error=error.detail)
                return
        events.emit(
            events.SNAPSHOT_WRITTEN, index=position.index, bytes=len(data)
        )

    def _install(self, position, data):
        with self._store_lock, self._machine_lock:
            if position.index <= self._machine.index:
                return
            self._replica.stable.store_snapshot(data)
            self._machine.restore(data)
            self._replica.install(position, self._machine.voters)
            self._publish(self._machine.fleet, ())
        events.emit(events.SNAPSHOT_INSTALLED, index=position.index)


def _spread(entries):
    return int(entries * random.SystemRandom().uniform(0.75, 1.25))
