"""Base of the tasks that persist part of a VM's state."""

import abc
import time

from carobwood import errors
from carobwood import events

from . import periodic_tasks

CHECK_PERIOD_SECONDS = 0.5
SAVE_PERIOD_SECONDS = 5.0


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

    def load(self):
        """Restore what an earlier process saved, if it did.

        Raises:
            LogDamaged: the file fails its checksum.
        """
        payload = self._folder.read(self.file)
        if payload is not None:
            self.restore(payload)

    def run_once(self):
        """Save if the period has passed since the last save."""
        if time.monotonic() - self._saved_at >= self.save_period:
            self.save()

    def save(self):
        """Write the file.

        If the write fails, as on a full disk, the error is logged and the
        older file stays.
        """
        payload = self.encode()
        if payload is None:
            return
        try:
            self._folder.write(self.file, payload)
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)
        self._saved_at = time.monotonic()

    @abc.abstractmethod
    def encode(self):
        """Return the state to save as bytes, or None if there is none."""

    @abc.abstractmethod
    def restore(self, payload):
        """Restore the state from what ``encode`` returned."""
