"""Converts rate limits of endpoints for gossip.

A VM that hears of a limit this way need not send a request to learn it.
"""

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..limits import endpoint_permits
from ..membership import gossip_records


class RateLimitRecords(gossip_records.RecordSource):
    """Record source for the rate limits of endpoints, by endpoint id."""

    field = 'rate_limits'
    is_urgent = True

    def __init__(self, rate_limits):
        """Create the source; ``rate_limits`` is ``EndpointRateLimits``."""
        self._rate_limits = rate_limits

    def on_change(self, listener):
        """See ``RecordSource``."""
        self._rate_limits.on_change(listener)

    def to_thrift(self, record_id):
        """Return the thrift record of an endpoint, or None without news."""
        news = self._rate_limits.news(record_id)
        if news is None:
            return None
        incarnation, statement = news
        age = clocks.now() - statement.said_at
        return ttypes.RateLimitNews(
            record_id, incarnation, statement.per_second, int(1000 * age)
        )

    def merge(self, records):
        """Merge thrift records that another VM sent."""
        now = clocks.now()
        for record in records:
            self._rate_limits.merge_news(
                record.endpoint_id,
                record.incarnation,
                endpoint_permits.LimitStatement(
                    record.per_second, now - record.age_ms / 1000
                ),
            )
