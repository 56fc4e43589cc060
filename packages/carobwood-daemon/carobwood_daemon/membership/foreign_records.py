"""Records in envelopes, also of kinds that this build does not know.

Each new kind of record, and each new field of a known one, is sent in an
envelope that says all that is needed to pass it on: what it is a record of,
which of two is newer, and how long it counts. Of a kind that it does not know,
a build reads the envelope only. The envelope itself never changes.
"""

import dataclasses
import threading

import msgspec

from carobwood import events

from . import gossip_records

# Bounds of what a VM holds; a record beyond them is refused.
MAX_RECORDS = 4096
MAX_BYTES = 1024 * 1024
MAX_RECORD_BYTES = 16 * 1024
# Longest time for which a record is held unless a newer one replaces it.
MAX_LIFETIME_SECONDS = 3600.0
# A record with less time left is not sent: a VM that has just dropped it would
# take it for a new one.
MIN_SENT_SECONDS = 1.0
# Kinds that are remembered as logged.
MAX_LOGGED_KINDS = 64


class ForeignRecord(
    msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True
):
    """The envelope of a record.

    Attributes:
        kind: what it is a record of.
        key: what identifies it among those of its kind.
        incarnation: incarnation of the VM that has written it.
        number: grows with each change in an incarnation.
        lifetime_ms: time for which it still counts.
        body: the record, for those who know the kind.
    """

    kind: str
    key: str
    incarnation: int
    number: int
    lifetime_ms: int
    body: bytes

    @property
    def id(self):
        """What a newer record of the same thing has, too."""
        return self.kind, self.key

    @property
    def order(self):
        """Compares two records with one id; the newer one is greater."""
        return self.incarnation, self.number


@dataclasses.dataclass(frozen=True)
class _Held:
    record: ForeignRecord
    size: int
    expires_at: float


_decoder = msgspec.msgpack.Decoder(ForeignRecord)


class ForeignRecords(gossip_records.RecordSource):
    """Record source for records in envelopes, by (kind, key)."""

    field = 'foreign'

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._held_by_id = {}
        self._size = 0
        self._listeners = []
        self._readers_by_kind = {}
        self._logged_kinds = set()
        self._logged_reasons = set()

    def on_change(self, listener):
        """See ``RecordSource``."""
        self._listeners.append(listener)

    def read_kind(self, kind, reader):
        """Call ``reader(record)`` with each newer record of a kind.

        The reader raises ``msgspec.DecodeError`` if it can't read the body.
        """
        self._readers_by_kind[kind] = reader

    def find(self, kind, key):
        """Return the ``ForeignRecord`` with the time it has left, or None."""
        with self._lock:
            held = self._held_by_id.get((kind, key))
        if held is None:
            return None
        left = max(0.0, held.expires_at - self._clock())
        return msgspec.structs.replace(
            held.record, lifetime_ms=int(1000 * left)
        )

    def write(self, record):
        """Hold a record of this VM and pass it on, if it is newer."""
        if self._hold(record, len(msgspec.msgpack.encode(record))):
            self._tell_listeners([record.id])

    def review(self, is_aggregator):
        """Drop the records whose time has ended."""
        now = self._clock()
        with self._lock:
            ended = [
                record_id
                for record_id, held in self._held_by_id.items()
                if held.expires_at <= now
            ]
            for record_id in ended:
                self._size -= self._held_by_id.pop(record_id).size
        self._tell_listeners(ended)

    def records(self):
        """Return the ``ForeignRecord`` objects that this VM holds."""
        with self._lock:
            return [held.record for held in self._held_by_id.values()]

    def to_thrift(self, record_id):
        """Return a record in its envelope, as bytes.

        Returns None if it has less than ``MIN_SENT_SECONDS`` left.
        """
        with self._lock:
            held = self._held_by_id.get(record_id)
        left = held.expires_at - self._clock() if held else 0.0
        if left < MIN_SENT_SECONDS:
            return None
        return msgspec.msgpack.encode(
            msgspec.structs.replace(held.record, lifetime_ms=int(1000 * left))
        )

    def merge(self, records):
        """Hold the records that another VM sent, as far as they are newer."""
        changed = []
        for data in records:
            record = self._decode(data)
            if record is not None and self._hold(record, len(data)):
                changed.append(record.id)
                self._read(record)
        self._tell_listeners(changed)

    def _read(self, record):
        reader = self._readers_by_kind.get(record.kind)
        if reader is None:
            self._log_kind(record.kind)
            return
        try:
            reader(record)
        except (msgspec.DecodeError, UnicodeDecodeError):
            # It is passed on: another build may read it.
            self._log_refusal(f'unreadable body of {record.kind}')

    def _decode(self, data):
        if len(data) > MAX_RECORD_BYTES:
            self._log_refusal('too large')
            return None
        try:
            return _decoder.decode(data)
        except (msgspec.DecodeError, UnicodeDecodeError):
            self._log_refusal('unreadable')
            return None

    def _hold(self, record, size):
        """Hold a record if it is newer; return whether it is held now."""
        lifetime = min(record.lifetime_ms / 1000, MAX_LIFETIME_SECONDS)
        if lifetime <= 0:
            return False
        with self._lock:
            known = self._held_by_id.get(record.id)
            if known and known.record.order >= record.order:
                return False
            total = self._size + size - (known.size if known else 0)
            count = len(self._held_by_id) + (known is None)
            has_room = total <= MAX_BYTES and count <= MAX_RECORDS
            if has_room:
                self._held_by_id[record.id] = _Held(
                    record, size, self._clock() + lifetime
                )
                self._size = total
        if not has_room:
            self._log_refusal('too many')
        return has_room

    def _tell_listeners(self, record_ids):
        for record_id in record_ids:
            for listener in self._listeners:
                listener(record_id)

    def _log_kind(self, kind):
        if kind in self._logged_kinds:
            return
        if len(self._logged_kinds) < MAX_LOGGED_KINDS:
            self._logged_kinds.add(kind)
            events.emit(events.RECORD_UNKNOWN, kind=kind)

    def _log_refusal(self, reason):
        if reason not in self._logged_reasons:
            self._logged_reasons.add(reason)
            events.emit(events.RECORD_REFUSED, reason=reason)
