"""What each endpoint's cache probably holds."""

import collections
import threading
import time

MAX_PIECES_PER_ENDPOINT = 20000
PIECE_LIFETIME = 30.0


class Placements:
    """Pieces that were sent to an endpoint lately, by incarnation.

    A new incarnation starts empty, so nothing relies on the cache of a
    dead engine. Entries age out, because engines evict within seconds.
    """

    def __init__(self, lifetime=PIECE_LIFETIME, clock=time.monotonic):
        self._lifetime = lifetime
        self._clock = clock
        self._lock = threading.Lock()
        self._pieces_by_incarnation = {}

    def note(self, endpoint, chain):
        """Record that an endpoint has computed the pieces of a chain."""
        now = self._clock()
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            pieces = self._pieces_by_incarnation.get(key)
            if pieces is None:
                self._forget_older(endpoint)
                pieces = collections.OrderedDict()
                self._pieces_by_incarnation[key] = pieces
            for piece in chain:
                pieces[piece] = now
                pieces.move_to_end(piece)
            while len(pieces) > MAX_PIECES_PER_ENDPOINT:
                pieces.popitem(last=False)

    def cached_pieces(self, endpoint, chain):
        """Return how many leading pieces the endpoint probably holds."""
        oldest = self._clock() - self._lifetime
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            pieces = self._pieces_by_incarnation.get(key)
            if pieces is None:
                return 0
            count = 0
            for piece in chain:
                if pieces.get(piece, oldest) <= oldest:
                    break
                count += 1
            return count

    def forget(self, endpoint):
        """Drop all that is known of an endpoint's cache."""
        key = (endpoint.id, endpoint.incarnation)
        with self._lock:
            self._pieces_by_incarnation.pop(key, None)

    def _forget_older(self, endpoint):
        for key in list(self._pieces_by_incarnation):
            if key[0] == endpoint.id:
                del self._pieces_by_incarnation[key]
