"""Metrics, sent to statsd or exposed in the text format of Prometheus."""

import prometheus_client
import statsd

PREFIX = 'carobwood'


class Metrics:
    """Records metrics; this base class discards them."""

    def count(self, name, amount=1):
        """Add an amount to a counter."""

    def timing(self, name, seconds):
        """Record a duration in seconds."""

    def gauge(self, name, value):
        """Set a gauge to a value."""


class StatsdMetrics(Metrics):
    """Sends metrics to a statsd server over UDP."""

    def __init__(self, address):
        """Create the client.

        Args:
            address: the ``Address`` of the server.
        """
        self._client = statsd.StatsClient(
            address.host, address.port, prefix=PREFIX
        )

    def count(self, name, amount=1):
        """See ``Metrics``."""
        self._client.incr(name, amount)

    def timing(self, name, seconds):
        """See ``Metrics``."""
        # statsd expects milliseconds.
        self._client.timing(name, seconds * 1000)

    def gauge(self, name, value):
        """See ``Metrics``."""
        self._client.gauge(name, value)


class PrometheusMetrics(Metrics):
    """Keeps counters, histograms and gauges, with the name as a label."""

    def __init__(self):
        self._registry = prometheus_client.CollectorRegistry()
        self._counters = prometheus_client.Counter(
            f'{PREFIX}_events',
            'Events by name.',
            ['name'],
            registry=self._registry,
        )
        self._histograms = prometheus_client.Histogram(
            f'{PREFIX}_seconds',
            'Durations by name.',
            ['name'],
            registry=self._registry,
        )
        self._gauges = prometheus_client.Gauge(
            f'{PREFIX}_level',
            'Levels by name.',
            ['name'],
            registry=self._registry,
        )

    def count(self, name, amount=1):
        """See ``Metrics``."""
        self._counters.labels(name).inc(amount)

    def timing(self, name, seconds):
        """See ``Metrics``."""
        self._histograms.labels(name).observe(seconds)

    def gauge(self, name, value):
        """See ``Metrics``."""
        self._gauges.labels(name).set(value)

    def text(self):
        """Return all metrics in the text format of Prometheus."""
        return prometheus_client.generate_latest(self._registry)
