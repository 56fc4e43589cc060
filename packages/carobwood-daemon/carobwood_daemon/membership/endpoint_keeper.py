"""Endpoints that were known, over restarts of all VMs at once."""

import msgspec

from carobwood import clocks

from . import directory
from . import saving_keeper


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """An announcement with its age; see ``directory.Endpoint``."""

    id: str
    incarnation: int
    sequence: int
    address: str
    data_centre: str
    pool: str
    environment: str
    weights_version: str
    leaving: bool
    age_seconds: float


_decoder = msgspec.msgpack.Decoder(list[EndpointRecord])


class EndpointKeeper(saving_keeper.SavingKeeper):
    """Keeps the known endpoints in the data folder.

    When all VMs restart at once, those with a disk bring them back and
    tell the rest, before the endpoints have announced themselves again.
    One that has ended meanwhile is found out by its address.
    """

    file = 'endpoints'
    save_period = 1.0

    def __init__(self, folder, known):
        super().__init__('endpoints', folder)
        self._directory = known
        self._saved = None

    def encode(self):
        """Return the endpoints with their ages, or None if unchanged."""
        endpoints = self._directory.endpoints()
        told = {
            (e.id, e.incarnation, e.address, e.weights_version, e.leaving)
            for e in endpoints
        }
        if told == self._saved:
            return None
        self._saved = told
        now = clocks.now()
        return msgspec.msgpack.encode(
            [
                EndpointRecord(
                    endpoint.id,
                    endpoint.incarnation,
                    endpoint.sequence,
                    endpoint.address,
                    endpoint.data_centre,
                    endpoint.pool,
                    endpoint.environment,
                    endpoint.weights_version,
                    endpoint.leaving,
                    now - endpoint.heard_at,
                )
                for endpoint in endpoints
            ]
        )

    def restore(self, payload):
        """Take the endpoints over."""
        now = clocks.now()
        for record in _decoder.decode(payload):
            self._directory.note_endpoint(
                directory.Endpoint(
                    record.id,
                    record.incarnation,
                    record.sequence,
                    record.address,
                    record.data_centre,
                    record.pool,
                    record.environment,
                    record.weights_version,
                    record.leaving,
                    heard_at=now - record.age_seconds,
                )
            )
