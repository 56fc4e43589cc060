"""Converts placements to and from thrift messages.

See ``cache_update_log.CacheUpdate``.
"""

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..routing import cache_update_log
from ..routing import prefix


def to_thrift(records):
    """Convert ``CacheUpdate`` records to thrift messages."""
    now = clocks.now()
    return [
        ttypes.PlacementNews(
            record.endpoint_id,
            record.incarnation,
            b''.join(record.block_hashes),
            int((now - record.recorded_at) * 1000),
            record.is_removed,
        )
        for record in records
    ]


def merge_thrift(prefix_cache_index, messages, source):
    """Merge placements that another VM sent.

    Args:
        prefix_cache_index: the ``PrefixCacheIndex``.
        messages: thrift ``PlacementNews`` messages, or None.
        source: source under which they are logged.
    """
    now = clocks.now()
    for message in messages or ():
        prefix_cache_index.merge(
            cache_update_log.CacheUpdate(
                message.endpoint_id,
                message.incarnation,
                _split_digests(message.pieces),
                now - message.age_ms / 1000,
                bool(message.removed),
            ),
            source,
        )


def _split_digests(data):
    size = prefix.DIGEST_BYTES
    return tuple(
        data[start : start + size] for start in range(0, len(data), size)
    )
