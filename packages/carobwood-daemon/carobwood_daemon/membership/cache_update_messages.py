"""Converts placements to and from thrift messages.

See ``placement_log.Placement``.
"""

import time

from carobwood.gen.links import ttypes

from ..routing import placement_log
from ..routing import prefix


def to_thrift(records):
    """Convert ``Placement`` records to thrift messages."""
    now = time.monotonic()
    return [
        ttypes.PlacementNews(
            record.endpoint_id,
            record.incarnation,
            b''.join(record.pieces),
            int((now - record.placed_at) * 1000),
            record.is_removed,
        )
        for record in records
    ]


def merge_thrift(placements, messages):
    """Merge placements that another VM sent.

    Args:
        placements: the ``Placements``.
        messages: thrift ``PlacementNews`` messages, or None.
    """
    now = time.monotonic()
    for message in messages or ():
        placements.take_over(
            placement_log.Placement(
                message.endpoint_id,
                message.incarnation,
                _split_digests(message.pieces),
                now - message.age_ms / 1000,
                bool(message.removed),
            )
        )


def _split_digests(data):
    size = prefix.DIGEST_BYTES
    return tuple(
        data[start : start + size] for start in range(0, len(data), size)
    )
