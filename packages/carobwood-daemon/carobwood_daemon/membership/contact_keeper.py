"""How long a VM has been without a leader, over its restarts."""

import math
import time

import msgspec

from carobwood import errors
from carobwood import events

from . import keepers

PERIOD = 0.5
SAVE_PERIOD = 5.0

_FILE = 'contact'


class ContactRecord(msgspec.Struct, frozen=True):
    """What is kept on the disk.

    Attributes:
        age_seconds: seconds since a leader was heard of, while the VM
            ran. Time on a stopped VM does not count, because no clock
            that could be stepped is read.
    """

    age_seconds: float


class ContactKeeper(keepers.Keeper):
    """Keeps the age of the last contact in the data folder.

    Without it, a VM that restarts would refuse all keyed requests until a
    leader is heard of, and a cut-off data centre would never serve again.
    """

    period = PERIOD

    def __init__(self, folder, store):
        super().__init__('contact')
        self._folder = folder
        self._store = store
        self._saved_at = float('-inf')

    def load(self):
        """Take over the age that was kept, with the time between
        two saves as a margin.

        Raises:
            LogDamaged: the file fails its checksum.
        """
        payload = self._folder.read(_FILE)
        if payload is not None:
            record = msgspec.json.decode(payload, type=ContactRecord)
            self._store.note_contact(record.age_seconds + SAVE_PERIOD)

    def step(self):
        """Keep the age as of now: the first one at once."""
        if time.monotonic() - self._saved_at >= SAVE_PERIOD:
            self.save()

    def save(self):
        """Write the age; a full disk leaves the older one."""
        age = self._store.contact_age()
        if math.isinf(age):
            return
        try:
            self._folder.write(_FILE, msgspec.json.encode(ContactRecord(age)))
        except errors.DiskWriteFailed as error:
            events.emit(events.DISK_FAILED, error=error.detail)
        self._saved_at = time.monotonic()
