"""Converts the order holder's reports on engines for gossip."""

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..membership import gossip_records


class WeightsRecords(gossip_records.RecordSource):
    """Record source for the weights of engines, by endpoint id."""

    field = 'weights'
    # An engine that loads weights makes new requests wait.
    is_urgent = True

    def __init__(self, engine_weights):
        """Create the source; ``engine_weights`` is the ``EngineWeights``."""
        self._weights = engine_weights

    def on_change(self, listener):
        """See ``RecordSource``."""
        self._weights.on_report(listener)

    def to_thrift(self, record_id):
        """Return the thrift record of an engine, or None without a report."""
        state = self._weights.state(record_id)
        if state is None or state.report_number == (0, 0):
            return None
        return ttypes.WeightsNews(
            record_id,
            state.incarnation,
            *state.report_number,
            state.version,
            state.loading_until > clocks.now(),
        )

    def merge(self, records):
        """Merge thrift records that another VM sent."""
        for record in records:
            self._weights.record_report(
                record.endpoint_id,
                record.incarnation,
                (record.term, record.number),
                record.weights_version,
                record.loading,
            )
