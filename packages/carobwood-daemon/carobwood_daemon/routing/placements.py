"""What each endpoint's cache probably holds."""

import collections
import dataclasses
import itertools
import threading
import time

from . import placement_log

MAX_PIECES_PER_ENDPOINT = 20000
MAX_EXPORTED = 5000
INITIAL_LIFETIME = 30.0
MIN_LIFETIME = 1.0
MAX_LIFETIME = 300.0
SHRINK = 0.9
GROW = 1.1
NEAR_END = 0.8
# Uses of a piece that other VMs know of are told again after this time.
RENEWAL_SECONDS = 2.0


class _Cache:
    """Pieces of one incarnation by the time they were last used there.

    Attributes:
        used_at_by_piece: times, least recently used first.
        told_at_by_piece: when other VMs were told of a use.
        lifetime: age up to which a piece is believed to be there.
    """

    def __init__(self):
        self.used_at_by_piece = collections.OrderedDict()
        self.told_at_by_piece = {}
        self.lifetime = INITIAL_LIFETIME

    def use(self, piece, used_at):
        """Note a use of a piece."""
        self.used_at_by_piece[piece] = used_at
        self.used_at_by_piece.move_to_end(piece)
        while len(self.used_at_by_piece) > MAX_PIECES_PER_ENDPOINT:
            self._drop_oldest()

    def drop_expired(self, now):
        """Drop the pieces that are older than the lifetime."""
        while self.used_at_by_piece:
            oldest = next(iter(self.used_at_by_piece.values()))
            if now - oldest <= self.lifetime:
                return
            self._drop_oldest()

    def take_untold(self, chain, now):
        """Return pieces whose use other VMs have to be told of."""
        limit = now - RENEWAL_SECONDS
        untold = tuple(
            piece
            for piece in chain
            if self.told_at_by_piece.get(piece, limit) <= limit
        )
        self.told_at_by_piece.update(dict.fromkeys(untold, now))
        return untold

    def drop(self, pieces, removed_at):
        """Drop pieces that were not used since they were removed."""
        for piece in pieces:
            used_at = self.used_at_by_piece.get(piece)
            if used_at is not None and used_at <= removed_at:
                del self.used_at_by_piece[piece]
                self.told_at_by_piece.pop(piece, None)

    def _drop_oldest(self):
        piece, _ = self.used_at_by_piece.popitem(last=False)
        self.told_at_by_piece.pop(piece, None)


@dataclasses.dataclass(frozen=True)
class CachedExtent:
    """What an answer tells of the pieces that were cached.

    Engines cut prompts into pieces by tokens and routers cut texts by
    bytes, so between the two numbers nothing is known.

    Attributes:
        cached_pieces: leading pieces that were cached for sure.
        missing_from: first piece that was not cached for sure.
    """

    cached_pieces: int
    missing_from: int


class Placements:
    """Pieces that were sent to an endpoint lately, by incarnation.

    Own placements go into ``log``, and those of other VMs come in by
    ``take_over``, so that all VMs know about the same.

    A new incarnation starts empty, so nothing relies on the cache of a
    dead engine. How long pieces stay is learnt for each endpoint from
    what its answers say was cached.

    Attributes:
        log: the ``PlacementLog`` of own placements.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._caches_by_incarnation = {}
        self._listeners = []
        self.log = placement_log.PlacementLog()

    def on_new_prefix(self, listener):
        """Call ``listener()`` after a placement of an unknown prefix."""
        self._listeners.append(listener)

    def note(self, endpoint, chain):
        """Record that an endpoint computes the pieces of a chain.

        Returns:
            Ages of the pieces before, in seconds, None where unknown.
        """
        now = self._clock()
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._cache_of(key)
            used_at = cache.used_at_by_piece
            ages = [
                now - used_at[piece] if piece in used_at else None
                for piece in chain
            ]
            for piece in chain:
                cache.use(piece, now)
            untold = cache.take_untold(chain, now)
        if untold:
            self.log.append(placement_log.Placement(*key, untold, now))
        if ages[0] is None:
            for listener in self._listeners:
                listener()
        return ages

    def take_over(self, placement):
        """Merge a ``Placement`` of another VM."""
        key = (placement.endpoint_id, placement.incarnation)
        with self._lock:
            if self._knows_newer(key):
                return
            cache = self._cache_of(key)
            if placement.is_removed:
                cache.drop(placement.pieces, placement.placed_at)
                return
            for piece in placement.pieces:
                known = cache.used_at_by_piece.get(piece, float('-inf'))
                if known < placement.placed_at:
                    cache.use(piece, placement.placed_at)

    def holds(self, endpoint, piece):
        """Tell whether an endpoint is believed to hold a piece."""
        return self.cached_pieces(endpoint, (piece,)) == 1

    def remove(self, endpoint, pieces, removed_at):
        """Note that an endpoint has removed pieces from its cache.

        Args:
            endpoint: the ``Endpoint``.
            pieces: hashes of the pieces.
            removed_at: when, on the monotonic clock; what was used later
                stays.
        """
        placement = placement_log.Placement(
            endpoint.id,
            endpoint.incarnation,
            tuple(pieces),
            removed_at,
            True,
        )
        self.take_over(placement)
        self.log.append(placement)

    def doubt(self, endpoint):
        """Believe in the endpoint's pieces for half as long.

        Called when news of removals was lost; answers teach the life of
        pieces again.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is not None:
                cache.lifetime = max(MIN_LIFETIME, cache.lifetime / 2)

    def export(self):
        """Return the latest placements, oldest first.

        Returns:
            ``Placement`` records of pieces used in the same second, at
            most ``MAX_EXPORTED`` pieces together.
        """
        found = []
        with self._lock:
            for key, cache in self._caches_by_incarnation.items():
                cache.drop_expired(self._clock())
                found += [
                    (used_at, key, piece)
                    for piece, used_at in cache.used_at_by_piece.items()
                ]
        found.sort()
        groups = itertools.groupby(
            found[-MAX_EXPORTED:], lambda item: (int(item[0]), item[1])
        )
        records = []
        for (second, key), items in groups:
            pieces = tuple(piece for _, _, piece in items)
            records.append(
                placement_log.Placement(*key, pieces, float(second))
            )
        return records

    def resident_pieces(self, endpoint):
        """Return how many pieces the endpoint probably holds in all."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return 0
            cache.drop_expired(self._clock())
            return len(cache.used_at_by_piece)

    def learn(self, endpoint, ages, extent):
        """Learn how long the endpoint keeps pieces.

        Args:
            endpoint: the ``Endpoint``.
            ages: what ``note`` returned for the request.
            extent: the ``CachedExtent`` that the answer tells.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return
            for position, age in enumerate(ages):
                if age is None:
                    return
                if position >= extent.missing_from:
                    if age < cache.lifetime:
                        shorter = max(MIN_LIFETIME, age * SHRINK)
                        cache.lifetime = shorter
                    return
                is_sure = position < extent.cached_pieces
                if is_sure and age > cache.lifetime * NEAR_END:
                    longer = max(cache.lifetime, age) * GROW
                    cache.lifetime = min(MAX_LIFETIME, longer)

    def cached_pieces(self, endpoint, chain):
        """Return how many leading pieces the endpoint probably holds."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return 0
            oldest = self._clock() - cache.lifetime
            count = 0
            for piece in chain:
                used_at = cache.used_at_by_piece.get(piece, oldest)
                if used_at <= oldest:
                    break
                count += 1
            return count

    def forget(self, endpoint):
        """Drop all that is known of an endpoint's cache."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            self._caches_by_incarnation.pop(key, None)

    def _cache_of(self, key):
        cache = self._caches_by_incarnation.get(key)
        if cache is None:
            for other in list(self._caches_by_incarnation):
                if other[0] == key[0]:
                    del self._caches_by_incarnation[other]
            cache = _Cache()
            self._caches_by_incarnation[key] = cache
        return cache

    def _knows_newer(self, key):
        return any(
            endpoint_id == key[0] and incarnation > key[1]
            for endpoint_id, incarnation in self._caches_by_incarnation
        )
