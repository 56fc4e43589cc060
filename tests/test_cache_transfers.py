"""Tests of where engines fetch cached prompt segments and save them."""

import types

import relay_builders as builders

from carobwood_daemon.relay import cache_transfers
from carobwood_daemon.relay import messages


def _candidate(name, cached):
    return builders.candidate(name, cached_tokens=cached, weights_version=1)


def _transfer(
    chosen, others, stored_ids, segments=((2500, 'aa'), (3700, 'bb'))
):
    """Return the cache transfer for a prompt.

    Args:
        chosen: the chosen ``Candidate``.
        others: the other candidates.
        stored_ids: ids of the segments that the store has.
        segments: (tokens, id) of the prompt's shared segments.
    """
    store = types.SimpleNamespace(
        address='store:1',
        count_leading=lambda salt, ids: len(
            [segment_id for segment_id in ids if segment_id in stored_ids]
        ),
    )
    shared_segments = tuple(
        messages.PromptSegment(segment_id, tokens)
        for tokens, segment_id in segments
    )
    return cache_transfers.choose(
        shared_segments, chosen, [chosen, *others], store, 'v1'
    )


def test_a_prefix_in_the_store_is_fetched():
    transfer = _transfer(_candidate('engine-1', 0), [], {'aa'})
    assert transfer == cache_transfers.CacheTransfer('store:1', 'store:1')


def test_the_longest_cached_prefix_is_fetched():
    peer = _candidate('engine-2', 6200)
    transfer = _transfer(_candidate('engine-1', 0), [peer], {'aa'})
    assert transfer == cache_transfers.CacheTransfer(
        peer.endpoint.address, 'store:1'
    )
    peer = _candidate('engine-2', 2500)
    transfer = _transfer(_candidate('engine-1', 0), [peer], {'aa', 'bb'})
    assert transfer == cache_transfers.CacheTransfer('store:1', '')


def test_a_prefix_that_the_engine_has_cached_is_not_fetched():
    peer = _candidate('engine-2', 6200)
    transfer = _transfer(_candidate('engine-1', 6200), [peer], set())
    assert transfer == cache_transfers.CacheTransfer('', '')
    transfer = _transfer(_candidate('engine-1', 2500), [], set())
    assert transfer == cache_transfers.CacheTransfer('', 'store:1')


def test_short_segments_are_saved_if_the_prefix_is_long_enough():
    segments = ((120, 'aa'), (80, 'bb'))
    transfer = _transfer(_candidate('engine-1', 0), [], set(), segments)
    assert transfer == cache_transfers.CacheTransfer('', 'store:1')


def test_a_store_is_named_in_case_the_engine_has_evicted_the_prefix():
    transfer = _transfer(_candidate('engine-1', 6200), [], {'aa', 'bb'})
    assert transfer == cache_transfers.CacheTransfer('store:1', '')
