"""Choice of where an engine fetches cached prompt segments and saves them.

A prefix that any engine or the KV cache store has is fetched rather than
prefilled again, and saved to the store once.
"""

import dataclasses

# Shorter shared prefixes are not saved to a store: their prefill takes less
# time than fetching them.
MIN_STORE_SAVE_TOKENS = 100


@dataclasses.dataclass(frozen=True)
class CacheTransfer:
    """From where an engine fetches a cached prefix and where it saves it.

    Attributes:
        fetch_from: address of an engine or store that has it, or empty.
        save_to: address of a store that lacks it, or empty.
    """

    fetch_from: str = ''
    save_to: str = ''


def choose(shared_segments, chosen, candidates, store, salt):
    """Return the ``CacheTransfer`` for what the chosen engine lacks.

    Args:
        shared_segments: the ``PromptSegment`` records that other prompts
            share.
        chosen: the chosen ``Candidate``.
        candidates: the ``Candidate`` records of all engines.
        store: the ``KvStore`` that is available, or None.
        salt: cache salt of the request.
    """
    if not shared_segments:
        return CacheTransfer()
    tokens = sum(segment.tokens for segment in shared_segments)
    peer = _best_peer(chosen, candidates)
    address_of_peer = peer.endpoint.address if peer else ''
    if store is None:
        return CacheTransfer(address_of_peer)
    tokens_in_store = _tokens_in_store(store, salt, shared_segments)
    save_to = ''
    is_incomplete = chosen.cached_tokens < tokens
    if is_incomplete and tokens_in_store < tokens >= MIN_STORE_SAVE_TOKENS:
        save_to = store.address
    tokens_at_peer = peer.cached_tokens if peer else 0
    if tokens_in_store > max(tokens_at_peer, chosen.cached_tokens):
        return CacheTransfer(store.address, save_to)
    if not peer and tokens_in_store:
        # The engine may have evicted segments that are recorded as
        # cached there. It fetches only segments that it lacks.
        return CacheTransfer(store.address, save_to)
    return CacheTransfer(address_of_peer, save_to)


def _tokens_in_store(store, salt, shared_segments):
    count = store.count_leading(
        salt, [segment.id for segment in shared_segments]
    )
    return sum(segment.tokens for segment in shared_segments[:count])


def _best_peer(chosen, candidates):
    """Return the candidate to fetch the cached prefix from, or None.

    It has more of the prefix than the chosen one, under the same weights.
    """
    peers = [
        candidate
        for candidate in candidates
        if candidate.cached_tokens > chosen.cached_tokens
        and candidate.weights_version == chosen.weights_version
    ]
    return max(
        peers,
        key=lambda candidate: (
            candidate.cached_tokens,
            candidate.endpoint.data_centre == chosen.endpoint.data_centre,
        ),
        default=None,
    )
