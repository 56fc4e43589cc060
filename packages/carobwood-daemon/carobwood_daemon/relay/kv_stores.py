"""Contents of the KV cache stores, tracked through cache events.

Load pattern: engines with little memory evict prefixes that are requested
again within seconds, and all engines start with empty caches after a
weights change.

A prompt segment that one engine has prefilled is saved to a store, from
which any other engine fetches it. Cache events arrive late and with gaps. A
segment that the store has evicted unnoticed costs a fetch about a
millisecond; a segment whose addition is unnoticed is prefilled again. An
unreachable store is not named to engines, because waiting for it costs them
some hundred milliseconds.
"""

import threading

from carobwood import events

from . import cache_event_poller


class KvStore:
    """Contents and availability of one store.

    Attributes:
        address: ``host:port`` of the store.
        poller: the ``CacheEventPoller`` that polls its cache events.
    """

    def __init__(self, address, dialect):
        self.address = address
        self.poller = cache_event_poller.CacheEventPoller(
            address, dialect, self
        )
        self._lock = threading.Lock()
        self._segments = set()
        self._boot_epoch = None
        self._is_up = False

    @property
    def is_up(self):
        """Whether the store answered the last poll."""
        return self._is_up

    def count_leading(self, salt, segment_ids):
        """Return how many leading segments of a prompt the store has.

        Args:
            salt: cache salt of the segments.
            segment_ids: ids of the prompt's segments, in prompt order.
        """
        if not self._is_up:
            return 0
        with self._lock:
            count = 0
            for segment_id in segment_ids:
                if (salt, segment_id) not in self._segments:
                    break
                count += 1
            return count

    def apply(self, batch):
        """Apply a ``CacheEventBatch`` of the store's cache events.

        A new boot epoch means that the store has restarted and is empty.
        """
        with self._lock:
            if batch.boot_epoch != self._boot_epoch:
                self._boot_epoch = batch.boot_epoch
                self._segments.clear()
            for event in batch.events:
                key = (event.cache_salt, event.segment_id)
                if event.is_added:
                    self._segments.add(key)
                else:
                    self._segments.discard(key)

    def set_availability(self, is_up, reason):
        """Record and log whether the store answers polls."""
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.STORE_REGAINED if is_up else events.STORE_LOST
        events.emit(event, address=self.address, reason=reason)


class KvStores:
    """The KV cache stores that the configuration names."""

    def __init__(self, dialect):
        self._dialect = dialect
        self._stores_by_address = {}

    def apply_configuration(self, configuration):
        """Start and stop polling to match a configuration's stores."""
        configured = {
            service.store_address
            for service in configuration.services
            if service.store_address
        }
        for address in set(self._stores_by_address) - configured:
            self._stores_by_address.pop(address).poller.stop()
        for address in configured - set(self._stores_by_address):
            store = KvStore(address, self._dialect)
            self._stores_by_address[address] = store
            store.poller.start()

    def find_available(self):
        """Return the first ``KvStore`` that answers polls, or None."""
        for store in list(self._stores_by_address.values()):
            if store.is_up:
                return store
        return None
