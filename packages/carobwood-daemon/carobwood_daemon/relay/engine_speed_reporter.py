"""Tells operators the learned speeds of engines, and how even their load is.

The load of an engine is the time that it needs for the prompts in flight, by
its learned speed. Samples are taken at fixed times, apart from requests, and
their means are written to one bounded log line.
"""

import collections
import statistics

from carobwood import events

# Time between two samples of the loads.
SAMPLE_PERIOD_SECONDS = 1.0
# Samples that one log line sums up.
SAMPLES_PER_LINE = 10
# Engines that are named in one log line; keeps the line short.
MAX_LOGGED_ENGINES = 16


class EngineSpeedReporter:
    """Samples loads and logs them with the learned speeds."""

    def __init__(self, speeds, loads, directory, metrics):
        """Create the reporter.

        Args:
            speeds: the ``EngineSpeeds``.
            loads: the ``FleetLoads``.
            directory: the ``Directory`` of endpoints.
            metrics: the ``Metrics``.
        """
        self._speeds = speeds
        self._loads = loads
        self._directory = directory
        self._metrics = metrics
        self._seconds_by_id = collections.Counter()
        self._sample_count = 0

    def sample(self):
        """Add a sample of the loads; log when enough have been taken."""
        for endpoint_id, load in self._loads.total_loads().items():
            speed = self._speeds.speed_of_id(endpoint_id)
            self._seconds_by_id[endpoint_id] += load.prefill_tokens / speed
        self._sample_count += 1
        if self._sample_count >= SAMPLES_PER_LINE:
            self._report()
            self._seconds_by_id.clear()
            self._sample_count = 0

    def _report(self):
        endpoints = self._directory.serving_endpoints()
        self._speeds.retain(endpoints)
        learned_by_id = self._speeds.learned_speeds()
        engines = [e for e in endpoints if e.id in learned_by_id]
        if not engines:
            return
        unevenness = self._unevenness(engines)
        self._metrics.gauge('engine_speeds_learned', len(engines))
        self._metrics.gauge('engine_load_unevenness', unevenness)
        busiest = sorted(engines, key=lambda e: -self._seconds_by_id[e.id])
        events.emit(
            events.ENGINE_SPEEDS,
            engines=len(engines),
            median=round(statistics.median(learned_by_id.values())),
            unevenness=round(unevenness, 2),
            # Of the busiest: tokens a second, seconds of prompts in flight.
            busiest={
                engine.id: [
                    round(learned_by_id[engine.id]),
                    round(
                        self._seconds_by_id[engine.id] / SAMPLES_PER_LINE, 3
                    ),
                ]
                for engine in busiest[:MAX_LOGGED_ENGINES]
            },
        )

    def _unevenness(self, engines):
        """Return the load of the busiest engine by the mean, or 0."""
        seconds = [self._seconds_by_id[engine.id] for engine in engines]
        mean = statistics.fmean(seconds)
        return max(seconds) / mean if mean else 0.0
