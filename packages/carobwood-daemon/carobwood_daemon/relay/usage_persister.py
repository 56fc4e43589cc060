"""Persistence of customers' usage, for restarts of all VMs at once."""

import msgspec

from carobwood import clocks

from ..membership import persister

from . import past_usage


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored form of a ``past_usage.PastUsage``.

    Attributes:
        vm_id: the entry VM.
        incarnation: its incarnation.
        age_seconds: age of the report when the file was written.
        seconds_by_customer: by customer name, the units admitted in each
            second before the report, the latest second first.
    """

    vm_id: str
    incarnation: int
    age_seconds: float
    seconds_by_customer: dict[str, tuple[int, ...]]


_decoder = msgspec.msgpack.Decoder(list[UsageRecord])


class UsagePersister(persister.Persister):
    """Saves the last usage reports of entry VMs in the data folder.

    The age of a report does not grow while this process is down. After a
    restart, reports therefore count for too long rather than too short.
    """

    file = 'spending'
    save_period = 1.0

    def __init__(self, folder, past_usage_table):
        """Create the keeper.

        Args:
            folder: the ``DataFolder``.
            past_usage_table: the ``PastUsageTable`` to save and restore.
        """
        super().__init__('spending', folder)
        self._past_usage_table = past_usage_table
        self._saved = None

    def encode(self):
        """Return the encoded records, or None if they are unchanged."""
        records = self._past_usage_table.records()
        if records == self._saved:
            return None
        self._saved = records
        now = clocks.now()
        return msgspec.msgpack.encode(
            [
                UsageRecord(
                    record.vm_id,
                    record.incarnation,
                    now - record.reported_at,
                    record.units_by_customer,
                )
                for record in records
            ]
        )

    def note_unsaved(self):
        """See ``Persister``."""
        self._saved = None

    def restore(self, payload):
        """Add the saved records to the table."""
        now = clocks.now()
        for record in _decoder.decode(payload):
            self._past_usage_table.add(
                past_usage.PastUsage(
                    record.vm_id,
                    record.incarnation,
                    now - record.age_seconds,
                    record.seconds_by_customer,
                )
            )
