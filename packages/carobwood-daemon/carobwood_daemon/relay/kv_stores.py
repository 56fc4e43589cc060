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

A store answers few polls at a time, so only aggregators poll it. They pass on
what they learn to their members by gossip.
"""

import dataclasses
import threading

from carobwood import events
from carobwood.gen.links import ttypes

from ..membership import gossip_records

from . import block_digests
from . import cache_event_poller

# Pause between two polls of a store, so that one poll returns several events.
POLL_PAUSE_SECONDS = 0.1
# Blocks of a store that are kept, the latest: a VM may not learn of each
# eviction.
MAX_BLOCKS = 65_536


@dataclasses.dataclass(frozen=True)
class BlockId:
    """Identifies a block in a store.

    Attributes:
        address: ``host:port`` of the store.
        digest: digest of the block; empty for the store itself.
    """

    address: str
    digest: bytes = b''


class KvStore:
    """Contents and availability of one store.

    Attributes:
        address: ``host:port`` of the store.
        poller: the ``CacheEventPoller`` that polls its cache events.
    """

    def __init__(self, address, dialect, on_change):
        """Create the record of a store that is not known to answer yet.

        Args:
            address: ``host:port`` of the store.
            dialect: the ``Dialect``.
            on_change: called with the ``BlockId`` of each change.
        """
        self.address = address
        self.poller = cache_event_poller.CacheEventPoller(
            address, dialect, self, POLL_PAUSE_SECONDS
        )
        self._on_change = on_change
        self._lock = threading.Lock()
        # As an ordered set, the oldest addition first.
        self._digests = {}
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
                digest = block_digests.block_digest(salt, segment_id)
                if digest not in self._digests:
                    break
                count += 1
            return count

    def has_block(self, digest):
        """Return whether the store is known to hold a block."""
        with self._lock:
            return digest in self._digests

    def apply(self, batch):
        """Apply a ``CacheEventBatch`` of the store's cache events.

        A new boot epoch means that the store has restarted and is empty.
        """
        if batch.boot_epoch != self._boot_epoch:
            self._boot_epoch = batch.boot_epoch
            self.clear()
        for event in batch.events:
            digest = block_digests.block_digest(
                event.cache_salt, event.segment_id
            )
            self.set_block(digest, event.is_added)

    def set_block(self, digest, is_present):
        """Record whether the store holds a block."""
        changed = [digest]
        with self._lock:
            if (digest in self._digests) == is_present:
                return
            if is_present:
                self._digests[digest] = None
            else:
                del self._digests[digest]
            if len(self._digests) > MAX_BLOCKS:
                oldest = next(iter(self._digests))
                del self._digests[oldest]
                changed.append(oldest)
        for changed_digest in changed:
            self._on_change(BlockId(self.address, changed_digest))

    def set_availability(self, is_up, reason):
        """Record and log whether the store answers polls."""
        if is_up == self._is_up:
            return
        self._is_up = is_up
        event = events.STORE_REGAINED if is_up else events.STORE_LOST
        events.emit(event, address=self.address, reason=reason)
        self._on_change(BlockId(self.address))

    def clear(self):
        """Record that the store holds no block."""
        for digest in list(self._digests):
            self.set_block(digest, False)


class KvStores(gossip_records.RecordSource):
    """The KV cache stores that the configuration names.

    As a record source, it holds a record for each block of a store.
    """

    field = 'stores'
    # After a change of weights, prefixes are prefilled again until the VMs
    # know that a store has them.
    is_urgent = True
    is_for_members_only = True

    def __init__(self, dialect):
        self._dialect = dialect
        self._stores_by_address = {}
        # Those of the configuration in force; others may be known as well.
        self._named_addresses = frozenset()
        self._is_polling = False
        self._listeners = []

    def apply_configuration(self, configuration):
        """Start and stop polling to match a configuration's stores."""
        configured = {
            service.store_address
            for service in configuration.services
            if service.store_address
        }
        self._named_addresses = frozenset(configured)
        for address in set(self._stores_by_address) - configured:
            self._stores_by_address[address].poller.stop()
            self._stores_by_address[address].clear()
            del self._stores_by_address[address]
        for address in configured:
            store = self._get_or_create(address)
            if self._is_polling:
                store.poller.start()

    def review(self, is_aggregator):
        """Poll the stores while this VM is an aggregator."""
        if is_aggregator == self._is_polling:
            return
        self._is_polling = is_aggregator
        for store in list(self._stores_by_address.values()):
            if is_aggregator:
                store.poller.start()
            else:
                store.poller.stop()

    def find_available(self):
        """Return the first ``KvStore`` that answers polls, or None.

        An aggregator may tell of one that the configuration names no more.
        """
        for store in list(self._stores_by_address.values()):
            if store.is_up and store.address in self._named_addresses:
                return store
        return None

    def on_change(self, listener):
        """Call ``listener(block_id)`` after each change of a block."""
        self._listeners.append(listener)

    def is_deleted(self, record_id):
        """See ``RecordSource``."""
        if not record_id.digest:
            return False
        store = self._stores_by_address.get(record_id.address)
        return store is None or not store.has_block(record_id.digest)

    def to_thrift(self, record_id):
        """Return the thrift record of a block, or None without its store."""
        store = self._stores_by_address.get(record_id.address)
        if store is None:
            return None
        is_present = store.is_up
        if record_id.digest:
            is_present = store.has_block(record_id.digest)
        return ttypes.StoreNews(
            record_id.address, record_id.digest, is_present
        )

    def merge(self, records):
        """Merge the records of an aggregator, unless this VM is one."""
        if self._is_polling:
            return
        for record in records:
            store = self._get_or_create(record.address)
            if record.digest:
                store.set_block(record.digest, record.present)
            else:
                store.set_availability(record.present, 'aggregator')

    def _get_or_create(self, address):
        store = self._stores_by_address.get(address)
        if store is None:
            store = KvStore(address, self._dialect, self._notify)
            self._stores_by_address[address] = store
        return store

    def _notify(self, block_id):
        for listener in self._listeners:
            listener(block_id)
