"""Estimate of the prompt blocks in the prefix cache of each endpoint.

A prompt is represented by the chained hashes of its blocks (see ``prefix``):
a block is usable only if all blocks before it are cached as well.
"""

import collections
import dataclasses
import itertools
import threading

from carobwood import clocks

from . import cache_update_log

MAX_BLOCKS_PER_ENDPOINT = 20000
MAX_EXPORTED_BLOCKS = 5000
# Estimated time for which an endpoint keeps an unused block.
INITIAL_LIFETIME_SECONDS = 30.0
MIN_LIFETIME_SECONDS = 1.0
MAX_LIFETIME_SECONDS = 300.0
# A block missing earlier than estimated sets the lifetime to this fraction
# of its age.
LIFETIME_DECREASE_FACTOR = 0.9
LIFETIME_INCREASE_FACTOR = 1.1
# Only cached blocks older than this fraction of the lifetime increase it.
MIN_AGE_FRACTION = 0.8
# A use of a block is logged again after this fraction of the lifetime, so
# that the block does not expire on other VMs while it stays in use.
RENEWAL_FRACTION = 1 / 3


class _Cache:
    """Estimated cache of one incarnation of an endpoint.

    Attributes:
        used_at_by_block: time of the last use by block hash, least recently
            used first.
        logged_at_by_block: time at which a use was last written to the
            cache update log, by block hash.
        lifetime: estimated seconds for which the endpoint keeps an unused
            block.
    """

    def __init__(self):
        self.used_at_by_block = collections.OrderedDict()
        self.logged_at_by_block = {}
        self.lifetime = INITIAL_LIFETIME_SECONDS

    def use(self, block, used_at):
        """Record a use of a block."""
        self.used_at_by_block[block] = used_at
        self.used_at_by_block.move_to_end(block)
        while len(self.used_at_by_block) > MAX_BLOCKS_PER_ENDPOINT:
            self._drop_oldest()

    def drop_expired(self, now):
        """Drop the blocks that were not used within the lifetime."""
        while self.used_at_by_block:
            oldest = next(iter(self.used_at_by_block.values()))
            if now - oldest <= self.lifetime:
                return
            self._drop_oldest()

    def take_unlogged(self, block_hashes, now):
        """Return the blocks to be logged and mark them as logged."""
        limit = now - RENEWAL_FRACTION * self.lifetime
        unlogged = tuple(
            block
            for block in block_hashes
            if self.logged_at_by_block.get(block, limit) <= limit
        )
        self.logged_at_by_block.update(dict.fromkeys(unlogged, now))
        return unlogged

    def drop(self, blocks, removed_at):
        """Drop removed blocks, except those used after the removal.

        Returns:
            The blocks that were dropped.
        """
        dropped = []
        for block in blocks:
            used_at = self.used_at_by_block.get(block)
            if used_at is not None and used_at <= removed_at:
                del self.used_at_by_block[block]
                self.logged_at_by_block.pop(block, None)
                dropped.append(block)
        return tuple(dropped)

    def _drop_oldest(self):
        block, _ = self.used_at_by_block.popitem(last=False)
        self.logged_at_by_block.pop(block, None)


@dataclasses.dataclass(frozen=True)
class CachedExtent:
    """Part of a prompt that was cached, according to the engine's response.

    Engines split prompts into blocks by tokens, and routers split texts by
    bytes. The boundary is therefore not exact: nothing is known about the
    blocks between ``cached_blocks`` and ``first_missing_block``.

    Attributes:
        cached_blocks: number of leading blocks that were certainly cached.
        first_missing_block: index of the first block that was certainly not
            cached.
    """

    cached_blocks: int
    first_missing_block: int


class PrefixCacheIndex:
    """Index of the blocks that each endpoint's prefix cache likely holds.

    Blocks are added when a request is assigned to an endpoint, and expire
    if they are not used within an estimated lifetime. The lifetime is
    estimated for each endpoint from the number of cached tokens that its
    responses report. Records of this VM are appended to ``log``, and records
    of other VMs are merged with ``merge``, so that the indexes of all
    VMs converge. Merged records are appended as well, so that this VM can
    pass them on, but only if they tell it something new.

    The cache of a new incarnation starts empty, because a restarted engine
    has lost its cache.

    Attributes:
        log: the ``CacheUpdateLog``.
    """

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._caches_by_incarnation = {}
        # Of the endpoints in ``_caches_by_incarnation``.
        self._newest_incarnation_by_endpoint = {}
        self._listeners = []
        self.log = cache_update_log.CacheUpdateLog()

    def on_new_prefix(self, listener):
        """Call ``listener()`` when an endpoint gets a prefix new to it."""
        self._listeners.append(listener)

    def record_use(self, endpoint, block_hashes):
        """Record that a prompt was assigned to an endpoint.

        Args:
            endpoint: the ``Endpoint``.
            block_hashes: hashes of the prompt's blocks.

        Returns:
            List with the seconds since the previous use of each block on the
            endpoint, or None for blocks not in the index.
        """
        now = self._clock()
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._get_or_create_cache(key)
            used_at = cache.used_at_by_block
            ages = [
                now - used_at[block] if block in used_at else None
                for block in block_hashes
            ]
            for block in block_hashes:
                cache.use(block, now)
            unlogged = cache.take_unlogged(block_hashes, now)
        if unlogged:
            self.log.append(cache_update_log.CacheUpdate(*key, unlogged, now))
        if ages[0] is None:
            for listener in self._listeners:
                listener()
        return ages

    def merge(self, placement, source=cache_update_log.OWN):
        """Merge a ``CacheUpdate`` of another VM or of the data folder.

        Records of incarnations older than the newest known one are ignored.

        Args:
            placement: the ``CacheUpdate``.
            source: source under which news is logged; see
                ``CacheUpdateLog.append``.
        """
        news = self._merge(placement)
        if news:
            self.log.append(
                dataclasses.replace(placement, block_hashes=news), source
            )

    def _merge(self, placement):
        """Merge a ``CacheUpdate`` and return the blocks that it is news of."""
        key = (placement.endpoint_id, placement.incarnation)
        recorded_at = placement.recorded_at
        with self._lock:
            if self._has_newer_incarnation(key):
                return ()
            cache = self._get_or_create_cache(key)
            if placement.is_removed:
                return cache.drop(placement.block_hashes, recorded_at)
            for block in placement.block_hashes:
                used_at = cache.used_at_by_block.get(block, float('-inf'))
                if used_at < recorded_at:
                    cache.use(block, recorded_at)
            return cache.take_unlogged(placement.block_hashes, recorded_at)

    def has_block(self, endpoint, block):
        """Return whether an endpoint likely has a block in its cache."""
        return self.count_cached_blocks(endpoint, (block,)) == 1

    def remove(self, endpoint, blocks, removed_at):
        """Record that an endpoint removed blocks from its cache.

        Args:
            endpoint: the ``Endpoint``.
            blocks: hashes of the blocks.
            removed_at: time of the removal on the monotonic clock; blocks
                used after this time stay in the index.
        """
        placement = cache_update_log.CacheUpdate(
            endpoint.id,
            endpoint.incarnation,
            tuple(blocks),
            removed_at,
            True,
        )
        self._merge(placement)
        self.log.append(placement)

    def halve_lifetime(self, endpoint):
        """Halve the estimated lifetime of an endpoint's blocks.

        Called when reports of removed blocks were lost. Later responses of
        the endpoint correct the lifetime again.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is not None:
                cache.lifetime = max(MIN_LIFETIME_SECONDS, cache.lifetime / 2)

    def export(self):
        """Return the most recently used blocks as placement records.

        Returns:
            List of ``CacheUpdate`` records, oldest first, with at most
            ``MAX_EXPORTED_BLOCKS`` blocks in total. Each record holds the
            blocks that an endpoint used in the same second.
        """
        uses = []
        with self._lock:
            for key, cache in self._caches_by_incarnation.items():
                cache.drop_expired(self._clock())
                uses += [
                    (used_at, key, block)
                    for block, used_at in cache.used_at_by_block.items()
                ]
        uses.sort()
        groups = itertools.groupby(
            uses[-MAX_EXPORTED_BLOCKS:], lambda use: (int(use[0]), use[1])
        )
        records = []
        for (second, key), group in groups:
            blocks = tuple(block for _, _, block in group)
            records.append(
                cache_update_log.CacheUpdate(*key, blocks, float(second))
            )
        return records

    def count_blocks(self, endpoint):
        """Return the number of blocks that an endpoint likely caches."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return 0
            cache.drop_expired(self._clock())
            return len(cache.used_at_by_block)

    def adjust_lifetime(self, endpoint, ages, extent):
        """Adjust the estimated block lifetime of an endpoint.

        A block that is missing although it is younger than the lifetime
        shortens the lifetime. A block that is still cached near or beyond
        the lifetime extends it.

        Args:
            endpoint: the ``Endpoint``.
            ages: the return value of ``record_use`` for the request.
            extent: the ``CachedExtent`` that the response reports.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return
            for position, age in enumerate(ages):
                if age is None:
                    return
                if position >= extent.first_missing_block:
                    if age < cache.lifetime:
                        shorter = max(
                            MIN_LIFETIME_SECONDS,
                            age * LIFETIME_DECREASE_FACTOR,
                        )
                        cache.lifetime = shorter
                    return
                is_cached = position < extent.cached_blocks
                if is_cached and age > cache.lifetime * MIN_AGE_FRACTION:
                    longer = (
                        max(cache.lifetime, age) * LIFETIME_INCREASE_FACTOR
                    )
                    cache.lifetime = min(MAX_LIFETIME_SECONDS, longer)

    def count_cached_blocks(self, endpoint, block_hashes):
        """Return the number of leading blocks that are likely cached.

        Args:
            endpoint: the ``Endpoint``.
            block_hashes: hashes of a prompt's blocks.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return 0
            expiry_limit = self._clock() - cache.lifetime
            count = 0
            for block in block_hashes:
                used_at = cache.used_at_by_block.get(block, expiry_limit)
                if used_at <= expiry_limit:
                    break
                count += 1
            return count

    def forget(self, endpoint):
        """Drop the estimated cache of an endpoint's incarnation."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            if self._caches_by_incarnation.pop(key, None) is not None:
                del self._newest_incarnation_by_endpoint[endpoint.id]

    def _get_or_create_cache(self, key):
        cache = self._caches_by_incarnation.get(key)
        if cache is None:
            for other in list(self._caches_by_incarnation):
                if other[0] == key[0]:
                    del self._caches_by_incarnation[other]
            cache = _Cache()
            self._caches_by_incarnation[key] = cache
            self._newest_incarnation_by_endpoint[key[0]] = key[1]
        return cache

    def _has_newer_incarnation(self, key):
        endpoint_id, incarnation = key
        newest = self._newest_incarnation_by_endpoint.get(endpoint_id, 0)
        return newest > incarnation
