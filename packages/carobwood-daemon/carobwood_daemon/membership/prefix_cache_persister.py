"""Persists placements over a restart of all VMs at once.

A placement is the estimate that an engine's prefix cache holds certain
blocks of prompts, because a request with them was sent there.
"""

import msgspec

from carobwood import clocks

from ..routing import cache_update_log

from . import persister


class CacheUpdateRecord(msgspec.Struct, frozen=True, array_like=True):
    """Stored blocks of one endpoint that were used in the same second.

    Attributes:
        endpoint_id: id of the endpoint.
        incarnation: its incarnation.
        pieces: hashes of the blocks of prompts.
        age_seconds: time since their use when the record was stored.
    """

    endpoint_id: str
    incarnation: int
    pieces: tuple[bytes, ...]
    age_seconds: float


_decoder = msgspec.msgpack.Decoder(list[CacheUpdateRecord])


class PrefixCachePersister(persister.Persister):
    """Persists the known placements in the data folder.

    A VM that restarts alone gets them from its peers. When all VMs restart
    at once, those with a data folder restore them and gossip them to the
    others. An engine that restarted meanwhile has a new incarnation, so
    its stored placements have no effect.
    """

    file = 'placements'

    def __init__(self, folder, prefix_cache_index):
        super().__init__('placements', folder)
        self._prefix_cache_index = prefix_cache_index

    def encode(self):
        """Return the encoded placements with their ages."""
        now = clocks.now()
        records = [
            CacheUpdateRecord(
                placement.endpoint_id,
                placement.incarnation,
                placement.block_hashes,
                now - placement.recorded_at,
            )
            for placement in self._prefix_cache_index.export()
        ]
        return msgspec.msgpack.encode(records)

    def restore(self, payload):
        """Add the stored placements and queue them for gossip."""
        now = clocks.now()
        for record in _decoder.decode(payload):
            placement = cache_update_log.CacheUpdate(
                record.endpoint_id,
                record.incarnation,
                record.pieces,
                now - record.age_seconds,
            )
            self._prefix_cache_index.merge(placement, cache_update_log.OWN)
