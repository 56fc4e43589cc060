"""Load in flight on the endpoints, from this VM and from the others.

Load reports of engines arrive late. Each VM therefore counts the requests
that it has sent itself and adds what the other entry VMs report to have
sent.
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

    def after_prefill(self, seconds):
        """Return this load after some seconds of prefill.

        Args:
            seconds: age of the report that the load comes from.
        """
        prefilled = int(seconds * PREFILL_TOKENS_PER_SECOND)
        return dataclasses.replace(
            self, prefill_tokens=max(0, self.prefill_tokens - prefilled)
        )

    def plus(self, other):
        """Return the sum of two loads."""
        return Load(
            self.running + other.running,
            self.kv_cache_tokens + other.kv_cache_tokens,
            self.prefill_tokens + other.prefill_tokens,
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


class FleetLoads:
    """Loads of all endpoints: local counts and the reports of peers."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._lock = threading.Lock()
        self._local_by_endpoint = {}
        self._reports_by_vm = {}

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

    def set_peer_loads(self, vm_id, loads_by_endpoint):
        """Replace the last load report of another VM."""
        with self._lock:
            self._reports_by_vm[vm_id] = (self._clock(), loads_by_endpoint)

    def oldest_report_age(self):
        """Return the age in seconds of the oldest report still in use."""
        now = self._clock()
        with self._lock:
            ages = [
                now - received_at
                for received_at, _ in self._reports_by_vm.values()
            ]
        return max(
            (age for age in ages if age <= PEER_REPORT_MAX_AGE_SECONDS),
            default=0.0,
        )

    def local_loads(self):
        """Return this VM's loads by endpoint id."""
        with self._lock:
            return dict(self._local_by_endpoint)

    def total_loads(self):
        """Return the loads of all VMs by endpoint id."""
        now = self._clock()
        with self._lock:
            totals = dict(self._local_by_endpoint)
            for received_at, loads_by_endpoint in self._reports_by_vm.values():
                age = now - received_at
                if age > PEER_REPORT_MAX_AGE_SECONDS:
                    continue
                for endpoint_id, load in loads_by_endpoint.items():
                    current = totals.get(endpoint_id, Load())
                    totals[endpoint_id] = current.plus(load.after_prefill(age))
        return totals


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
