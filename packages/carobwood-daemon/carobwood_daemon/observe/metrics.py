"""Counters and timings, sent by statsd."""

import statsd

PREFIX = 'carobwood'


class Metrics:
    """Sends metrics; the base class sends nothing."""

    def count(self, name, amount=1):
        """Count something."""

    def timing(self, name, seconds):
        """Record a duration in seconds."""

    def gauge(self, name, value):
        """Record a level."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server over UDP."""

    def __init__(self, address):
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=PREFIX
        )

    def count(self, name, amount=1):
        """See ``Metrics``."""
        self._client.incr(name, amount)

    def timing(self, name, seconds):
        """See ``Metrics``."""
        self._client.timing(name, seconds * 1000)

    def gauge(self, name, value):
        """See ``Metrics``."""
        self._client.gauge(name, value)
