"""Placements as messages between VMs."""

import time

from carobwood.gen.links import ttypes

from ..routing import placement_log
from ..routing import prefix


def describe(records):
    """Return thrift messages of ``Placement`` records."""
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


def take_over(placements, messages):
    """Merge placements that another VM described.

    Args:
        placements: the ``Placements``.
        messages: thrift placements, or None.
    """
    now = time.monotonic()
    for message in messages or ():
        placements.take_over(
            placement_log.Placement(
                message.endpoint_id,
                message.incarnation,
                _split(message.pieces),
                now - message.age_ms / 1000,
                bool(message.removed),
            )
        )


def _split(data):
    size = prefix.DIGEST_BYTES
    return tuple(data[at : at + size] for at in range(0, len(data), size))
