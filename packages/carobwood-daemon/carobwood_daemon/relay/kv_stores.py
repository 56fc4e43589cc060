"""What the stores of KV cache hold, heard from their events.

Load pattern: engines with little memory evict prefixes that are asked
for again within seconds, and all of them start cold after new weights.

What is read once is saved to a store and fetched from there by whichever
engine needs it next. Events come late and with gaps: a part that was
dropped costs a fetch about a millisecond, and one that was not heard of
is read again. A store that does not answer is not named to engines,
since a dead source costs them some hundred milliseconds.
"""

import threading

from carobwood import events

from . import cache_reader


class KvStore:
    """What one store holds.

    Attributes:
        address: ``host:port`` of the store.
        reader: the ``CacheReader`` that watches it.
    """

    def __init__(self, address, dialect):
        self.address = address
        self.reader = cache_reader.CacheReader(address, dialect, self)
        self._lock = threading.Lock()
        self._held = set()
        self._boot = None
        self._is_up = False

    @property
    def is_up(self):
        """Whether the store answered its last call."""
        return self._is_up

    def count_held(self, salt, part_ids):
        """Return how many leading parts the store holds."""
        if not self._is_up:
            return 0
        with self._lock:
            count = 0
            for part_id in part_ids:
                if (salt, part_id) not in self._held:
                    break
                count += 1
            return count

    def take(self, news):
        """Take over ``CacheNews`` of the store."""
        with self._lock:
            if news.boot != self._boot:
                self._boot = news.boot
                self._held.clear()
            for change in news.changes:
                key = (change.salt, change.part_id)
                if change.is_added:
                    self._held.add(key)
                else:
                    self._held.discard(key)

    def note_up(self, is_up, reason):
        """Note whether the store answers."""
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.STORE_REGAINED if is_up else events.STORE_LOST
        events.emit(event, address=self.address, reason=reason)


class KvStores:
    """The stores that the configuration names."""

    def __init__(self, dialect):
        self._dialect = dialect
        self._stores_by_address = {}

    def adopt(self, configuration):
        """Watch the stores of a configuration and no others."""
        wanted = {
            service.store_address
            for service in configuration.services
            if service.store_address
        }
        for address in set(self._stores_by_address) - wanted:
            self._stores_by_address.pop(address).reader.stop()
        for address in wanted - set(self._stores_by_address):
            store = KvStore(address, self._dialect)
            self._stores_by_address[address] = store
            store.reader.start()

    def find(self):
        """Return a store that answers, or None."""
        for store in list(self._stores_by_address.values()):
            if store.is_up:
                return store
        return None
