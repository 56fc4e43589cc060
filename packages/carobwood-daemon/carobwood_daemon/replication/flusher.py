"""The thread that makes a leader's entries durable in groups."""

import threading

from carobwood import errors
from carobwood import events

RETRY_PERIOD = 1.0


class Flusher(threading.Thread):
    """Flushes the log whenever a leader has appended to it."""

    def __init__(self, replica):
        super().__init__(name='flusher', daemon=True)
        self._replica = replica

    def run(self):
        """Flush until the replica stops."""
        replica = self._replica
        while True:
            with replica.changed:
                while not replica.stopped and not self._is_due():
                    replica.appended.wait()
                if replica.stopped:
                    return
            try:
                position = replica.log.flush()
            except errors.DiskWriteFailed as error:
                self._fail(error)
                continue
            with replica.changed:
                replica.disk_failed = False
                if replica.is_leader:
                    replica.durable_index = position.index
                    replica.advance_commit()

    def _is_due(self):
        replica = self._replica
        if replica.disk_failed:
            return True
        if not replica.is_leader:
            return False
        return replica.log.last.index > replica.durable_index

    def _fail(self, error):
        replica = self._replica
        with replica.changed:
            if not replica.disk_failed:
                events.emit(events.DISK_FAILED, error=error.detail)
            replica.disk_failed = True
            if replica.is_leader:
                replica.follow_term(replica.term)
            if not replica.stopped:
                replica.changed.wait(RETRY_PERIOD)
