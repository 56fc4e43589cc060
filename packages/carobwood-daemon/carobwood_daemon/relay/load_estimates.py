"""Loads of endpoints, estimated from reports of different ages.

Load pattern: dozens of VMs send to the same engines, and know of each
other's requests only after some tenths of a second. In that time an engine
prefills what was reported, once, whoever has sent it.

``FleetLoads`` reduces the report of each VM by what an engine prefills in
the report's age. The more VMs report, the emptier engines look. Here the
reports are added up first, and the sum is reduced once, by the speed that
the engine has shown.
"""

import dataclasses

from carobwood import clocks

from . import fleet_loads


@dataclasses.dataclass(frozen=True)
class AgedLoad:
    """Sum of reported loads of one endpoint.

    Attributes:
        load: the sum, as it was reported.
        token_seconds: sum of the prefill tokens times the age of their
            report.
    """

    load: fleet_loads.Load = fleet_loads.Load()
    token_seconds: float = 0.0

    def plus(self, load, age):
        """Return the sum with a further report of an age in seconds."""
        return AgedLoad(
            self.load.plus(load),
            self.token_seconds + load.prefill_tokens * age,
        )

    def minus(self, load, age):
        """Return the sum without one of its reports."""
        return AgedLoad(
            self.load.minus(load),
            self.token_seconds - load.prefill_tokens * age,
        )

    def estimate(self, speed):
        """Return the ``Load`` that is left now.

        Args:
            speed: tokens that the endpoint prefills in a second.
        """
        tokens = self.load.prefill_tokens
        if tokens <= 0 or self.token_seconds <= 0.0:
            return self.load
        mean_age = self.token_seconds / tokens
        return self.load.after_prefill(mean_age, speed)


class EstimatedLoads(fleet_loads.FleetLoads):
    """Loads of all endpoints, reduced once by their learned speeds."""

    def __init__(self, speed_of_id, clock=clocks.now):
        """Create an empty table.

        Args:
            speed_of_id: called with an endpoint id; returns its prefill
                speed in tokens per second.
            clock: function that returns the monotonic time in seconds.
        """
        super().__init__(clock)
        self._speed_of_id = speed_of_id

    def loads_of_others(self, member_id):
        """Return the loads of all VMs but a member, by endpoint id."""
        with self._lock:
            now = self._clock()
            if now - self._summed_at > fleet_loads.SUM_MAX_AGE_SECONDS:
                self._summed_at = now
                self._sum_by_endpoint = self._aged_sum(lambda report: True)
                self._summed_reports = dict(self._reports_by_vm)
            totals = dict(self._sum_by_endpoint)
            report = self._summed_reports.get(member_id)
            if report is not None:
                age = self._summed_at - report.received_at
                for endpoint_id, load in report.loads_by_endpoint.items():
                    remaining = totals[endpoint_id].minus(load, age)
                    totals[endpoint_id] = remaining
                    if remaining.load == fleet_loads.Load():
                        del totals[endpoint_id]
        return self._estimates(totals)

    def _sum(self, is_wanted):
        return self._estimates(self._aged_sum(is_wanted))

    def _estimates(self, totals):
        return {
            endpoint_id: aged.estimate(self._speed_of_id(endpoint_id))
            for endpoint_id, aged in totals.items()
        }

    def _aged_sum(self, is_wanted):
        """Return the ``AgedLoad`` of local loads and of wanted reports."""
        now = self._clock()
        totals = {
            endpoint_id: AgedLoad(load)
            for endpoint_id, load in self._local_by_endpoint.items()
        }
        for report in self._recent_reports(now):
            if not is_wanted(report):
                continue
            age = now - report.received_at
            for endpoint_id, load in report.loads_by_endpoint.items():
                current = totals.get(endpoint_id, AgedLoad())
                totals[endpoint_id] = current.plus(load, age)
        return totals
