"""How long a VM has been without a leader, over its restarts."""

import math

import msgspec

from . import saving_keeper


class ContactRecord(msgspec.Struct, frozen=True):
    """What is kept on the disk.

    Attributes:
        age_seconds: seconds since a leader was heard of, while the VM
            ran. Time on a stopped VM does not count, because no clock
            that could be stepped is read.
    """

    age_seconds: float


class ContactKeeper(saving_keeper.SavingKeeper):
    """Keeps the age of the last contact in the data folder.

    Without it, a VM that restarts would refuse all keyed requests until a
    leader is heard of, and a cut-off data centre would never serve again.
    """

    file = 'contact'

    def __init__(self, folder, store):
        super().__init__('contact', folder)
        self._store = store

    def encode(self):
        """Return the age of the contact, if there was one."""
        age = self._store.contact_age()
        if math.isinf(age):
            return None
        return msgspec.json.encode(ContactRecord(age))

    def restore(self, payload):
        """Go on with the age, plus the time between two saves."""
        record = msgspec.json.decode(payload, type=ContactRecord)
        age = record.age_seconds + saving_keeper.SAVE_PERIOD
        self._store.note_contact(age)
