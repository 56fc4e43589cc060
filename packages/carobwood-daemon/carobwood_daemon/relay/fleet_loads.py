"""Load in flight on the endpoints, from this VM and from the others.

Load reports of engines arrive late. Each VM therefore counts the requests
that it has sent itself and adds what the other entry VMs report to have
sent. A member gets one sum over all others from its aggregator, which adds
the reports of its members and the sums of the other aggregators.
"""

import dataclasses
import threading

from carobwood import clocks

# Prefill speed of an engine, for converting tokens to seconds.
PREFILL_TOKENS_PER_SECOND = 40_000
# Time in which the weight of an older sample halves.
SAMPLE_HALF_LIFE_SECONDS = 1.5
# Age from which a VM's last load report is ignored, because the VM has
# stopped reporting.
PEER_REPORT_MAX_AGE_SECONDS = 1.5
# Growth of the prefill on an endpoint that other VMs must know of at once;
# it takes longer than the next regular report.
URGENT_PREFILL_TOKENS = 2000
# Age up to which the sum of all reports is used again.
SUM_MAX_AGE_SECONDS = 0.05
# Reporter of the sum over all other VMs that a member gets.
AGGREGATOR = '*'


@dataclasses.dataclass(frozen=True)
class Load:
    """Load in flight on an endpoint.

    Attributes:
        running: number of requests.
        kv_cache_tokens: KV cache tokens that they occupy, without the
            shared prefixes.
        prefill_tokens: prompt tokens that are still to be prefilled.
        streams: number of requests with long output.
    """

    running: int = 0
    kv_cache_tokens: int = 0
    prefill_tokens: int = 0
    streams: int = 0

    def after_prefill(self, seconds, speed=PREFILL_TOKENS_PER_SECOND):
        """Return this load after some seconds of prefill.

        Args:
            seconds: age of the report that the load comes from.
            speed: tokens that the endpoint prefills in a second.
        """
        return Load().plus_report(self, int(seconds * speed))

    def plus(self, other):
        """Return the sum of two loads."""
        return Load(
            self.running + other.running,
            self.kv_cache_tokens + other.kv_cache_tokens,
            self.prefill_tokens + other.prefill_tokens,
            self.streams + other.streams,
        )

    def plus_report(self, other, prefilled):
        """Return the sum of this load and a reported one.

        Args:
            other: the reported ``Load``.
            prefilled: tokens that have been prefilled since the report.
        """
        return Load(
            self.running + other.running,
            self.kv_cache_tokens + other.kv_cache_tokens,
            self.prefill_tokens + max(0, other.prefill_tokens - prefilled),
            self.streams + other.streams,
        )

    def minus(self, other):
        """Return the difference of two loads."""
        return Load(
            self.running - other.running,
            self.kv_cache_tokens - other.kv_cache_tokens,
            self.prefill_tokens - other.prefill_tokens,
            self.streams - other.streams,
        )


class Reservation:
    """Load of one request that is counted on an endpoint.

    The prefill tokens and the rest are each subtracted exactly once,
    however the request ends.
    """

    def __init__(self, loads, endpoint_id, load):
        self._loads = loads
        self._endpoint_id = endpoint_id
        self._load = load

    def release_prefill(self):
        """Subtract the prompt's prefill tokens; the prefill is done."""
        prefill = Load(0, 0, self._load.prefill_tokens)
        self._load = self._load.minus(prefill)
        self._loads.subtract(self._endpoint_id, prefill)

    def release(self):
        """Subtract the remaining load."""
        remaining, self._load = self._load, Load()
        self._loads.subtract(self._endpoint_id, remaining)


@dataclasses.dataclass(frozen=True)
class _LoadReport:
    """The last load report of another VM.

    Attributes:
        received_at: when this VM received it.
        is_from_member: whether it belongs to this VM's own group.
        loads_by_endpoint: ``Load`` by endpoint id.
    """

    received_at: float
    is_from_member: bool
    loads_by_endpoint: dict[str, Load]


class FleetLoads:
    """Loads of all endpoints: local counts and the reports of peers."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._local_by_endpoint = {}
        self._reports_by_vm = {}
        self._summed_at = float('-inf')
        self._sum_by_endpoint = {}
        self._summed_reports = {}

    def reserve(self, endpoint_id, load):
        """Add a load that this VM sends to an endpoint.

        Returns:
            The ``Reservation``, which subtracts the load again.
        """
        with self._lock:
            current = self._local_by_endpoint.get(endpoint_id, Load())
            self._local_by_endpoint[endpoint_id] = current.plus(load)
        return Reservation(self, endpoint_id, load)

    def subtract(self, endpoint_id, load):
        """Subtract a load; called by its ``Reservation``."""
        with self._lock:
            current = self._local_by_endpoint.get(endpoint_id, Load())
            remaining = current.minus(load)
            if remaining == Load():
                self._local_by_endpoint.pop(endpoint_id, None)
            else:
                self._local_by_endpoint[endpoint_id] = remaining

    def set_peer_loads(self, vm_id, loads_by_endpoint, is_from_member=False):
        """Replace the last load report of another VM.

        Args:
            vm_id: id of the VM, or ``AGGREGATOR``.
            loads_by_endpoint: ``Load`` by endpoint id.
            is_from_member: whether this VM aggregates the report.

        Returns:
            Whether the prefill on an endpoint has grown by
            ``URGENT_PREFILL_TOKENS`` since the previous report.
        """
        report = _LoadReport(self._clock(), is_from_member, loads_by_endpoint)
        with self._lock:
            previous = self._reports_by_vm.get(vm_id)
            self._reports_by_vm[vm_id] = report
        known = previous.loads_by_endpoint if previous else {}
        return any(
            load.prefill_tokens - known.get(endpoint_id, Load()).prefill_tokens
            >= URGENT_PREFILL_TOKENS
            for endpoint_id, load in loads_by_endpoint.items()
        )

    def oldest_report_age(self):
        """Return the age in seconds of the oldest report still in use."""
        now = self._clock()
        with self._lock:
            ages = [
                now - report.received_at
                for report in self._reports_by_vm.values()
            ]
        return max(
            (age for age in ages if age <= PEER_REPORT_MAX_AGE_SECONDS),
            default=0.0,
        )

    def last_report_at(self):
        """Return when the last report of another VM came, or 0."""
        with self._lock:
            return max(
                (
                    report.received_at
                    for report in self._reports_by_vm.values()
                ),
                default=0.0,
            )

    def local_loads(self):
        """Return this VM's loads by endpoint id."""
        with self._lock:
            return dict(self._local_by_endpoint)

    def group_loads(self):
        """Return the loads of this VM and its members by endpoint id."""
        with self._lock:
            return self._sum(lambda report: report.is_from_member)

    def loads_of_others(self, member_id):
        """Return the loads of all VMs but a member, by endpoint id.

        The sum over all VMs may be ``SUM_MAX_AGE_SECONDS`` old, so that an
        aggregator does not compute it anew for each of its members.
        """
        with self._lock:
            now = self._clock()
            if now - self._summed_at > SUM_MAX_AGE_SECONDS:
                self._summed_at = now
                self._sum_by_endpoint = self._sum(lambda report: True)
                self._summed_reports = dict(self._reports_by_vm)
            totals = dict(self._sum_by_endpoint)
            report = self._summed_reports.get(member_id)
        if report is not None:
            age = self._summed_at - report.received_at
            for endpoint_id, load in report.loads_by_endpoint.items():
                remaining = totals[endpoint_id].minus(load.after_prefill(age))
                totals[endpoint_id] = remaining
                if remaining == Load():
                    del totals[endpoint_id]
        return totals

    def total_loads(self):
        """Return the loads of all VMs by endpoint id."""
        with self._lock:
            return self._sum(lambda report: True)

    def _sum(self, is_wanted):
        """Return local loads plus those of recent reports that are wanted."""
        now = self._clock()
        totals = dict(self._local_by_endpoint)
        none = Load()
        for report in self._recent_reports(now):
            if not is_wanted(report):
                continue
            age = now - report.received_at
            prefilled = int(age * PREFILL_TOKENS_PER_SECOND)
            for endpoint_id, load in report.loads_by_endpoint.items():
                current = totals.get(endpoint_id, none)
                totals[endpoint_id] = current.plus_report(load, prefilled)
        return totals

    def _recent_reports(self, now):
        """Return the reports of VMs that report; forget the others."""
        for vm_id, report in list(self._reports_by_vm.items()):
            if now - report.received_at > PEER_REPORT_MAX_AGE_SECONDS:
                del self._reports_by_vm[vm_id]
        return list(self._reports_by_vm.values())


class PrefillShares:
    """Share of its recent time that each engine spends on prefill.

    Each selection of an engine samples all loads. Requests arrive at random
    moments, so the samples estimate the share of time. Older samples decay
    exponentially.
    """

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._shares_by_endpoint = {}
        self._sampled_at = clock()

    def add_sample(self, loads_by_endpoint):
        """Add a sample of all loads."""
        now = self._clock()
        with self._lock:
            decay = 0.5 ** (
                (now - self._sampled_at) / SAMPLE_HALF_LIFE_SECONDS
            )
            self._sampled_at = now
            ids = set(loads_by_endpoint) | set(self._shares_by_endpoint)
            for endpoint_id in ids:
                load = loads_by_endpoint.get(endpoint_id, Load())
                sample = float(load.prefill_tokens > 0)
                share = self._shares_by_endpoint.get(endpoint_id, 0.0)
                share = sample + decay * (share - sample)
                self._shares_by_endpoint[endpoint_id] = share

    def share(self, endpoint_id):
        """Return the share of time that an engine spends on prefill."""
        return self._shares_by_endpoint.get(endpoint_id, 0.0)
