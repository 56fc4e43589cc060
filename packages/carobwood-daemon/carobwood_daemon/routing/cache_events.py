"""Mapping of engines' cache removal events to prompt blocks.

An engine reports tokens that it removed from its prefix cache, with the id
of the request that stored them. Each VM keeps the block hashes of its own
recent requests and removes the affected blocks from its ``PrefixCacheIndex``,
whose log passes the removal on to other VMs. Events about the requests of
other VMs are ignored. Events never add blocks: if an event is late or lost,
the removed blocks stay in the estimate until their lifetime ends.
"""

import collections
import dataclasses
import threading

from carobwood import clocks
from carobwood import events

from . import prefix

MAX_STORED_PROMPTS = 8192


@dataclasses.dataclass(frozen=True)
class CacheRemoval:
    """Tokens of a prompt that an engine removed from its cache.

    Attributes:
        sequence: sequence number of the event, starting at 1 without gaps.
        request_id: id of the request that stored the tokens.
        from_token: index of the first removed token in that request's
            prompt.
        age_seconds: seconds since the removal.
    """

    sequence: int
    request_id: str
    from_token: int
    age_seconds: float


@dataclasses.dataclass(frozen=True)
class StoredPrompt:
    """Prompt blocks that a request stored in an engine's cache.

    Attributes:
        block_hashes: hashes of the blocks.
        block_tokens: tokens per block as the engine counts them.
    """

    block_hashes: tuple[bytes, ...]
    block_tokens: float

    def blocks_from(self, token):
        """Return the blocks that contain or follow a token index."""
        return self.block_hashes[int(token / max(1.0, self.block_tokens)) :]


class CacheEvents:
    """Applies engines' cache removal events to the ``PrefixCacheIndex``."""

    def __init__(self, prefix_cache_index, clock=clocks.now):
        self._prefix_cache_index = prefix_cache_index
        self._clock = clock
        self._lock = threading.Lock()
        self._prompts_by_request = collections.OrderedDict()
        self._last_sequence_by_incarnation = {}

    def record_prompt(self, request_id, prompt, engine_tokens):
        """Store the block hashes of a request of this VM.

        Args:
            request_id: request id that was sent to the engine.
            prompt: the ``Prompt``.
            engine_tokens: number of prompt tokens that the engine reported.
        """
        scale = engine_tokens / max(1, prompt.tokens)
        stored = StoredPrompt(prompt.block_hashes, prefix.BLOCK_TOKENS * scale)
        with self._lock:
            self._prompts_by_request[request_id] = stored
            while len(self._prompts_by_request) > MAX_STORED_PROMPTS:
                self._prompts_by_request.popitem(last=False)

    def last_sequence(self, endpoint):
        """Return the last sequence number received from an engine."""
        key = (endpoint.id, endpoint.incarnation)
        return self._last_sequence_by_incarnation.get(key, 0)

    def apply(self, endpoint, removals):
        """Apply events of an engine, ignoring those already applied.

        Args:
            endpoint: the ``Endpoint`` of the engine.
            removals: ``CacheRemoval`` events in the order of their sequence
                numbers.
        """
        for removal in removals:
            last = self.last_sequence(endpoint)
            if removal.sequence <= last:
                continue
            if removal.sequence > last + 1:
                self._handle_gap(endpoint, removal.sequence - last - 1)
            self._set_last_sequence(endpoint, removal.sequence)
            self._remove_blocks(endpoint, removal)

    def forget(self, endpoint):
        """Drop the last sequence number of an engine."""
        key = (endpoint.id, endpoint.incarnation)
        self._last_sequence_by_incarnation.pop(key, None)

    def _set_last_sequence(self, endpoint, sequence):
        key = (endpoint.id, endpoint.incarnation)
        self._last_sequence_by_incarnation[key] = sequence

    def _remove_blocks(self, endpoint, removal):
        with self._lock:
            stored = self._prompts_by_request.get(removal.request_id)
        if stored is None:
            return
        blocks = stored.blocks_from(removal.from_token)
        removed_at = self._clock() - removal.age_seconds
        if blocks:
            self._prefix_cache_index.remove(endpoint, blocks, removed_at)

    def _handle_gap(self, endpoint, lost):
        self._prefix_cache_index.halve_lifetime(endpoint)
        events.emit(events.CACHE_EVENTS_LOST, endpoint=endpoint.id, lost=lost)
