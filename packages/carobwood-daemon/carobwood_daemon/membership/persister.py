"""Base of the tasks that persist part of a VM's state."""

import abc
import threading
import time

from carobwood import errors
from carobwood import events

from ..replication import stored_values

from . import periodic_tasks

CHECK_PERIOD_SECONDS = 0.5
SAVE_PERIOD_SECONDS = 5.0
# Longest wait for another save to end, which a slow disk may hold up.
SAVE_WAIT_SECONDS = 0.5


class Persister(periodic_tasks.PeriodicTask):
    """Periodically saves part of the state to a file in the data folder.

    The first save does not wait for the period.

    Attributes:
        file: name of the file in the data folder.
        save_period: seconds between two saves.
    """

    period = CHECK_PERIOD_SECONDS
    file = ''
    save_period = SAVE_PERIOD_SECONDS

    def __init__(self, name, folder):
        super().__init__(name)
        self._folder = folder
        self._saved_at = float('-inf')
        self._lock = threading.Lock()

    def load(self):
        """Restore what an earlier process saved, if it did.

        Raises:
            LogDamaged: the file fails its checksum or cannot be decoded.
        """
        payload = self._folder.read(self.file)
        if payload is not None:
            with stored_values.decoding(self.file):
                self.restore(payload)

    def run_once(self):
        """Save if the period has passed since the last save."""
        if time.monotonic() - self._saved_at >= self.save_period:
            self.save()

    def save(self):
        """Write the file unless it holds the state already.

        If the write fails, as on a full disk, the error is logged and the
        older file stays.

        Returns:
            Whether the file holds the state.
        """
        if not self._lock.acquire(timeout=SAVE_WAIT_SECONDS):
            return False
        try:
            return self._write()
        finally:
            self._lock.release()

    def _write(self):
        payload = self.encode()
        if payload is None:
            return True
        self._saved_at = time.monotonic()
        try:
            self._folder.write(self.file, payload)
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)
            self.note_unsaved()
            return False
        return True

    def note_unsaved(self):
        """Learn that the state that ``encode`` returned was not written."""

    @abc.abstractmethod
    def encode(self):
        """Return the state to save as bytes, or None if there is none."""

    @abc.abstractmethod
    def restore(self, payload):
        """Restore the state from what ``encode`` returned."""
