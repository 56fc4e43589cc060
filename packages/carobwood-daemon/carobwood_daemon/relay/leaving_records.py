"""Converts what endpoints say about their end for gossip."""

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..membership import gossip_records

from . import endpoint_availability


class LeavingRecords(gossip_records.RecordSource):
    """Record source for endpoints that say they leave, by endpoint id."""

    field = 'leaving'
    is_urgent = True

    def __init__(self, availability):
        """Create the source; ``availability`` is ``EndpointAvailability``."""
        self._availability = availability

    def on_change(self, listener):
        """See ``RecordSource``."""
        self._availability.on_leaving(listener)

    def to_thrift(self, record_id):
        """Return the thrift record of an endpoint, or None without news."""
        leaving = self._availability.leaving_news(record_id)
        if leaving is None:
            return None
        age = clocks.now() - leaving.said_at
        return ttypes.LeavingNews(record_id, *leaving.order, int(1000 * age))

    def merge(self, records):
        """Merge thrift records that another VM sent."""
        now = clocks.now()
        for record in records:
            self._availability.merge_leaving(
                record.endpoint_id,
                endpoint_availability.Leaving(
                    (record.incarnation, record.sequence),
                    now - record.age_ms / 1000,
                ),
            )
