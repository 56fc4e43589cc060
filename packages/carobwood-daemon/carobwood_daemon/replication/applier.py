"""The thread that applies committed entries and takes snapshots."""

import threading

from carobwood import errors
from carobwood import events

from . import commands
from . import log as logs
from . import machine as machines

MAX_BATCH_BYTES = 1024 * 1024
SNAPSHOT_ENTRIES = 20000
KEPT_ENTRIES = 2000


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
        # Taken before the replica's lock.
        self._machine_lock = threading.Lock()
        replica.on_snapshot = self._install

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
        committed = getattr(replica.log, 'committed_index', 0)
        replica.commit_index = min(last, max(index, committed))
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
                    replica.changed.wait()
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
            self._finish(entries, results)
        return bool(entries)

    def _next_entries(self):
        replica = self._replica
        with replica.changed:
            entries = replica.log.read(
                replica.applied_index + 1, MAX_BATCH_BYTES
            )
            return [e for e in entries if e.index <= replica.commit_index]

    def _store_commit(self):
        store = getattr(self._replica.log, 'store_commit', None)
        if store is None:
            return
        try:
            store()
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)

    def _finish(self, entries, results):
        replica = self._replica
        with replica.changed:
            replica.applied_index = entries[-1].index
            replica.changed.notify_all()
        for entry, result in zip(entries, results):
            replica.resolve(entry.index, entry.term, result)

    def _snapshot_if_due(self):
        log = self._replica.log
        if self._machine.index - log.base.index < self._snapshot_entries:
            return
        position, data = self.snapshot()
        try:
            self._replica.stable.store_snapshot(data)
            kept_index = max(log.base.index, position.index - KEPT_ENTRIES)
            term = log.term_at(kept_index)
            log.compact(logs.Position(kept_index, term))
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)
            return
        events.emit(
            events.SNAPSHOT_WRITTEN, index=position.index, bytes=len(data)
        )

    def _install(self, position, data):
        with self._machine_lock:
            if position.index <= self._machine.index:
                return
            self._replica.stable.store_snapshot(data)
            self._machine.restore(data)
            self._replica.install(position, self._machine.voters)
            self._publish(self._machine.fleet, ())
        events.emit(events.SNAPSHOT_INSTALLED, index=position.index)
