"""What each endpoint's cache probably holds."""

import collections
import threading
import time

MAX_PIECES_PER_ENDPOINT = 20000
INITIAL_LIFETIME = 30.0
MIN_LIFETIME = 1.0
MAX_LIFETIME = 300.0
SHRINK = 0.9
GROW = 1.1
NEAR_END = 0.8


class _Cache:
    """Pieces of one incarnation by the time they were last used there.

    Attributes:
        used_at_by_piece: times, least recently used first.
        lifetime: age up to which a piece is believed to be there.
    """

    def __init__(self):
        self.used_at_by_piece = collections.OrderedDict()
        self.lifetime = INITIAL_LIFETIME


class Placements:
    """Pieces that were sent to an endpoint lately, by incarnation.

    A new incarnation starts empty, so nothing relies on the cache of a
    dead engine. How long pieces stay is learnt for each endpoint from
    what its answers say was cached.
    """

    def __init__(self, clock=time.monotonic):
        self._clock = clock
        self._lock = threading.Lock()
        self._caches_by_incarnation = {}

    def note(self, endpoint, chain):
        """Record that an endpoint computes the pieces of a chain.

        Returns:
            Ages of the pieces before, in seconds, None where unknown.
        """
        now = self._clock()
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                self._forget_older(endpoint)
                cache = _Cache()
                self._caches_by_incarnation[key] = cache
            used_at = cache.used_at_by_piece
            ages = [
                now - used_at[piece] if piece in used_at else None
                for piece in chain
            ]
            for piece in chain:
                used_at[piece] = now
                used_at.move_to_end(piece)
            while len(used_at) > MAX_PIECES_PER_ENDPOINT:
                used_at.popitem(last=False)
            return ages

    def learn(self, endpoint, ages, cached_pieces):
        """Learn how long the endpoint keeps pieces.

        Args:
            endpoint: the ``Endpoint``.
            ages: what ``note`` returned for the request.
            cached_pieces: leading pieces that the answer says were
                cached.
        """
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            cache = self._caches_by_incarnation.get(key)
            if cache is None:
                return
            for position, age in enumerate(ages):
                if age is None:
                    return
                if position >= cached_pieces:
                    if age < cache.lifetime:
                        shorter = max(MIN_LIFETIME, age * SHRINK)
                        cache.lifetime = shorter
                    return
                if age > cache.lifetime * NEAR_END:
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

    def _forget_older(self, endpoint):
        for key in list(self._caches_by_incarnation):
            if key[0] == endpoint.id:
                del self._caches_by_incarnation[key]
