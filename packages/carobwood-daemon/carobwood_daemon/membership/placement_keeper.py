"""What engines' caches held, over restarts of all VMs at once."""

import time

import msgspec

from ..routing import placement_log

from . import saving_keeper


class PlacementRecord(msgspec.Struct, frozen=True, array_like=True):
    """Pieces of an endpoint that were used in the same second."""

    endpoint_id: str
    incarnation: int
    pieces: tuple[bytes, ...]
    age_seconds: float


_decoder = msgspec.msgpack.Decoder(list[PlacementRecord])


class PlacementKeeper(saving_keeper.SavingKeeper):
    """Keeps the known placements in the data folder.

    A VM that restarts alone hears them from its peers. When all VMs
    restart at once, those with a disk bring them back and tell the rest.
    An engine that restarted meanwhile has another incarnation, so what is
    kept of it counts for nothing.
    """

    file = 'placements'

    def __init__(self, folder, placements):
        super().__init__('placements', folder)
        self._placements = placements

    def encode(self):
        """Return the placements with their ages."""
        now = time.monotonic()
        records = [
            PlacementRecord(
                placement.endpoint_id,
                placement.incarnation,
                placement.pieces,
                now - placement.placed_at,
            )
            for placement in self._placements.export()
        ]
        return msgspec.msgpack.encode(records)

    def restore(self, payload):
        """Take the placements over and tell the peers."""
        now = time.monotonic()
        for record in _decoder.decode(payload):
            placement = placement_log.Placement(
                record.endpoint_id,
                record.incarnation,
                record.pieces,
                now - record.age_seconds,
            )
            self._placements.take_over(placement)
            self._placements.log.append(placement)
