"""Persists the time since a VM last had contact with a leader.

Contact means that the VM received log entries or heartbeats from a leader,
or polled them from a VM that did.
"""

import math

import msgspec

from . import persister


class ContactRecord(msgspec.Struct, frozen=True):
    """Content of the file.

    Attributes:
        age_seconds: seconds since the last contact with a leader, as far
            as the process was running. Downtime does not count: it could
            only be derived from the wall clock, which may be stepped.
    """

    age_seconds: float


class ContactPersister(persister.Persister):
    """Persists the age of the last contact in the data folder.

    Without it, a restarted VM would refuse all requests with an API key
    until it has contact with a leader, and a data centre that is cut off
    from the others would serve nothing after a restart.
    """

    file = 'contact'

    def __init__(self, folder, store):
        super().__init__('contact', folder)
        self._store = store

    def encode(self):
        """Return the encoded age, or None if there was no contact."""
        age = self._store.contact_age()
        if math.isinf(age):
            return None
        return msgspec.json.encode(ContactRecord(age))

    def restore(self, payload):
        """Restore the age, increased by the period between two saves.

        The last save may be that old when the process ends.
        """
        record = msgspec.json.decode(payload, type=ContactRecord)
        age = record.age_seconds + persister.SAVE_PERIOD_SECONDS
        self._store.record_contact(age)
