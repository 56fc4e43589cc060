"""Persists the known endpoints over a restart of all VMs at once."""

import msgspec

from carobwood import clocks

from . import endpoint_table
from . import persister


class EndpointRecord(msgspec.Struct, frozen=True, array_like=True):
    """A stored announcement.

    Attributes:
        age_seconds: seconds since the announcement when it was stored.

    The other attributes are those of ``endpoint_table.Endpoint``.
    """

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
    software_version: str = ''


_decoder = msgspec.msgpack.Decoder(list[EndpointRecord])


class EndpointPersister(persister.Persister):
    """Persists the known endpoints in the data folder.

    When all VMs restart at once, those with a data folder restore the
    endpoints and gossip them to the others before the endpoints have
    announced themselves again. If an endpoint has ended meanwhile, a probe
    of its address fails, or another endpoint announces itself there.
    """

    file = 'endpoints'
    save_period = 1.0

    def __init__(self, folder, fleet_directory):
        super().__init__('endpoints', folder)
        self._directory = fleet_directory
        self._saved_summary = None

    def encode(self):
        """Return the endpoints with their ages, or None if unchanged."""
        endpoints = self._directory.endpoints()
        summary = {
            (e.id, e.incarnation, e.address, e.weights_version, e.leaving)
            for e in endpoints
        }
        if summary == self._saved_summary:
            return None
        self._saved_summary = summary
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
                    now - endpoint.last_seen_at,
                    endpoint.software_version,
                )
                for endpoint in endpoints
            ]
        )

    def note_unsaved(self):
        """See ``Persister``."""
        self._saved_summary = None

    def restore(self, payload):
        """Add the stored endpoints to the directory."""
        now = clocks.now()
        for record in _decoder.decode(payload):
            self._directory.merge_endpoint(
                endpoint_table.Endpoint(
                    record.id,
                    record.incarnation,
                    record.sequence,
                    record.address,
                    record.data_centre,
                    record.pool,
                    record.environment,
                    record.weights_version,
                    record.leaving,
                    last_seen_at=now - record.age_seconds,
                    software_version=record.software_version,
                )
            )
