"""What engines tell of removals from their caches, mapped to pieces.

An event names the request that stored the tokens. A VM knows the pieces
of its own requests, takes removals from those and tells the other VMs.
Events only ever take knowledge away, so that a lost or late one leaves a
belief that ends by its age, and never makes one.
"""

import collections
import dataclasses
import threading
import time

from carobwood import events

from . import prefix

MAX_REQUESTS = 8192


@dataclasses.dataclass(frozen=True)
class Removal:
    """A prompt's tokens that an engine no longer has.

    Attributes:
        sequence: number of the event, without gaps from 1.
        request_id: request that stored them.
        from_token: first token of that request's prompt that is gone.
        age_seconds: how long ago.
    """

    sequence: int
    request_id: str
    from_token: int
    age_seconds: float


@dataclasses.dataclass(frozen=True)
class StoredPrompt:
    """Pieces that a request stored.

    Attributes:
        chain: hashes of the pieces.
        piece_tokens: tokens of the engine in a piece.
    """

    chain: tuple[bytes, ...]
    piece_tokens: float

    def pieces_from(self, token):
        """Return the pieces that need a token or one after it."""
        return self.chain[int(token / max(1.0, self.piece_tokens)) :]


class CacheEvents:
    """Applies engines' removals to the placements."""

    def __init__(self, placements, clock=time.monotonic):
        self._placements = placements
        self._clock = clock
        self._lock = threading.Lock()
        self._prompts_by_request = collections.OrderedDict()
        self._last_by_incarnation = {}

    def note_request(self, request_id, prompt, engine_tokens):
        """Remember the pieces of an own request.

        Args:
            request_id: id that the engine was sent.
            prompt: the ``Prompt``.
            engine_tokens: tokens of the prompt as the engine counts.
        """
        scale = engine_tokens / max(1, prompt.tokens)
        stored = StoredPrompt(prompt.chain, prefix.PIECE_TOKENS * scale)
        with self._lock:
            self._prompts_by_request[request_id] = stored
            while len(self._prompts_by_request) > MAX_REQUESTS:
                self._prompts_by_request.popitem(last=False)

    def last_sequence(self, endpoint):
        """Return the number of the last event heard of an engine."""
        key = (endpoint.id, endpoint.incarnation)
        return self._last_by_incarnation.get(key, 0)

    def apply(self, endpoint, removals):
        """Take removals over, in the order of their numbers."""
        for removal in removals:
            last = self.last_sequence(endpoint)
            if removal.sequence <= last:
                continue
            if removal.sequence > last + 1:
                self._note_gap(endpoint, removal.sequence - last - 1)
            self._remember(endpoint, removal.sequence)
            self._take_over(endpoint, removal)

    def forget(self, endpoint):
        """Drop the position in an engine's events."""
        key = (endpoint.id, endpoint.incarnation)
        self._last_by_incarnation.pop(key, None)

    def _remember(self, endpoint, sequence):
        key = (endpoint.id, endpoint.incarnation)
        self._last_by_incarnation[key] = sequence

    def _take_over(self, endpoint, removal):
        with self._lock:
            stored = self._prompts_by_request.get(removal.request_id)
        if stored is None:
            return
        pieces = stored.pieces_from(removal.from_token)
        removed_at = self._clock() - removal.age_seconds
        if pieces:
            self._placements.remove(endpoint, pieces, removed_at)

    def _note_gap(self, endpoint, lost):
        self._placements.doubt(endpoint)
        events.emit(events.CACHE_EVENTS_LOST, endpoint=endpoint.id, lost=lost)
