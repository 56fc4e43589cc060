"""The thread that syncs the leader's log entries to disk.

All entries appended during one sync are written by the next (group
commit).
"""

import threading

from carobwood import errors
from carobwood import events
from carobwood import threads

# Pause after a failed write to the disk.
RETRY_PERIOD_SECONDS = 1.0


class Flusher(threading.Thread):
    """Flushes the log while the leader has entries that are not durable.

    A replica whose disk fails steps down and does not campaign until a
    flush succeeds again.
    """

    def __init__(self, replica):
        super().__init__(name='flusher', daemon=True)
        self._replica = replica

    def run(self):
        """Flush until the replica stops."""
        threads.repeat(self._flush_next)

    def _flush_next(self):
        replica = self._replica
        with replica.changed:
            while not replica.stopped and not self._needs_flush():
                replica.appended.wait()
            if replica.stopped:
                return False
        try:
            replica.log.flush()
        except errors.DiskWriteFailed as error:
            self._handle_failed_flush(error)
            return True
        with replica.changed:
            replica.disk_failed = False
            if replica.is_leader:
                replica.advance_commit_index()
        return True

    def _needs_flush(self):
        replica = self._replica
        if replica.disk_failed:
            return True
        if not replica.is_leader:
            return False
        return replica.log.last.index > replica.log.durable_index

    def _handle_failed_flush(self, error):
        replica = self._replica
        with replica.changed:
            if not replica.disk_failed:
                events.emit(events.DISK_FAILED, error=error.detail)
            replica.disk_failed = True
            if replica.is_leader:
                replica.become_follower(replica.term)
            if not replica.stopped:
                replica.changed.wait(RETRY_PERIOD_SECONDS)
