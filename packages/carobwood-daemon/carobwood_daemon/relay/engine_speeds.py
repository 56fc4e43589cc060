"""Prefill speeds of engines, learned from what their answers took.

Load pattern: engines of one service differ in speed by several times, and
one of them turns slow under load. Each of dozens of VMs sees an engine
answer a few times in a minute, which is too little to learn from.

Each VM counts its samples of each engine by the speed that they show, in
buckets that grow by a constant factor. Counts are added up over the fleet,
and a quantile of the sum is the speed of the engine, so single answers do
not matter. Samples decay, and those of a former incarnation are dropped.
An engine with few samples is taken to be as fast as the others of its pool.

Requests of which a VM has not heard yet make an answer slower. So the
quantile is a high one, and what is learned is how much faster an engine is
than the others of its pool: under load all of them would look slow, and
prefixes would be torn apart to relieve them.
"""

import collections
import dataclasses
import math
import statistics
import threading

from carobwood import clocks

from . import fleet_loads

# Time in which the weight of a sample halves.
SAMPLE_HALF_LIFE_SECONDS = 10.0
# Weight below which the samples of a bucket are dropped.
MIN_SAMPLE_WEIGHT = 0.05
# Speed of bucket 0, and the number of buckets for each doubling.
LOWEST_TOKENS_PER_SECOND = 1000.0
BUCKETS_PER_DOUBLING = 4
LAST_BUCKET = 40
# Share of the samples of an engine that show no higher speed than it has.
SPEED_QUANTILE = 0.75
# Weight of the speed of the pool in that of an engine, in samples.
PRIOR_WEIGHT = 4.0
# Prompts below it tell about the time beside the prefill, not about speed.
MIN_SPEED_TOKENS = 2000
# Tokens before a prompt, as a share of its own, beyond which it tells nothing
# about speed: they are known from old news only.
MAX_QUEUED_SHARE = 0.25
# Short prompts that the time beside the prefill is estimated from.
OVERHEAD_SAMPLES = 32
# Age from which the samples that another VM has reported are ignored.
REPORT_MAX_AGE_SECONDS = 10.0
# Age up to which computed speeds are used again.
SPEEDS_MAX_AGE_SECONDS = 0.25

# Speed of the usual engine of a pool.
_USUAL_SPEED = fleet_loads.PREFILL_TOKENS_PER_SECOND


@dataclasses.dataclass(frozen=True)
class PromptWork:
    """Prompt tokens that an engine computes until a request's first event.

    Attributes:
        own_tokens: tokens of the request itself.
        queued_tokens: tokens of other requests before it.
        fetched_tokens: cached tokens that it fetches first.
    """

    own_tokens: int
    queued_tokens: int
    fetched_tokens: int = 0

    @property
    def shows_speed(self):
        """Whether the time of the request tells the speed of the engine."""
        if self.fetched_tokens or self.own_tokens < MIN_SPEED_TOKENS:
            return False
        return self.queued_tokens <= self.own_tokens * MAX_QUEUED_SHARE

    @property
    def shows_overhead(self):
        """Whether the time of the request is mostly not for its prompt."""
        is_alone = not self.queued_tokens and not self.fetched_tokens
        return is_alone and self.own_tokens < MIN_SPEED_TOKENS


@dataclasses.dataclass(frozen=True)
class SpeedSamples:
    """Samples of the speed of one engine.

    Attributes:
        incarnation: incarnation of the engine.
        weights_by_bucket: sums of the weights of samples by bucket.
    """

    incarnation: int
    weights_by_bucket: dict[int, float]

    def decayed(self, seconds):
        """Return the samples as they count some seconds later."""
        factor = 0.5 ** (seconds / SAMPLE_HALF_LIFE_SECONDS)
        return SpeedSamples(
            self.incarnation,
            {
                bucket: weight * factor
                for bucket, weight in self.weights_by_bucket.items()
                if weight * factor >= MIN_SAMPLE_WEIGHT
            },
        )

    def plus(self, other):
        """Return the sum of two sets; the newer incarnation counts."""
        if other.incarnation != self.incarnation:
            return max(self, other, key=lambda samples: samples.incarnation)
        weights = collections.Counter(self.weights_by_bucket)
        weights.update(other.weights_by_bucket)
        return SpeedSamples(self.incarnation, dict(weights))

    def speed(self, prior=None):
        """Return the speed in tokens per second, or None without samples.

        Args:
            prior: speed that counts like ``PRIOR_WEIGHT`` samples, or None.
        """
        weights = collections.Counter(self.weights_by_bucket)
        if prior is not None:
            weights[bucket_of(prior)] += PRIOR_WEIGHT
        if not weights:
            return None
        rank = sum(weights.values()) * SPEED_QUANTILE
        for bucket in sorted(weights):
            if weights[bucket] >= rank:
                # Place of the quantile within its bucket.
                offset = rank / weights[bucket] - 0.5
                return speed_of(bucket + offset)
            rank -= weights[bucket]
        return speed_of(max(weights))


@dataclasses.dataclass(frozen=True)
class _Report:
    """Samples that another VM has reported.

    Attributes:
        received_at: when this VM received them.
        is_from_member: whether this VM aggregates them.
        samples_by_id: ``SpeedSamples`` by endpoint id.
    """

    received_at: float
    is_from_member: bool
    samples_by_id: dict[str, SpeedSamples]


def bucket_of(speed):
    """Return the bucket of a speed in tokens per second."""
    doublings = math.log2(max(speed, 1.0) / LOWEST_TOKENS_PER_SECOND)
    bucket = round(doublings * BUCKETS_PER_DOUBLING)
    return min(LAST_BUCKET, max(0, bucket))


def speed_of(bucket):
    """Return the speed in the middle of a bucket, in tokens per second."""
    return LOWEST_TOKENS_PER_SECOND * 2 ** (bucket / BUCKETS_PER_DOUBLING)


class EngineSpeeds:
    """Prefill speeds of all engines, by what all VMs have seen."""

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._own_by_id = {}
        self._decayed_at = clock()
        self._pools_by_id = {}
        self._reports_by_vm = {}
        self._overheads = collections.deque(maxlen=OVERHEAD_SAMPLES)
        self._speeds_by_id = {}
        self._computed_at = float('-inf')

    def note_first_event(self, endpoint, work, seconds):
        """Record what the first event of an answer took.

        Args:
            endpoint: the ``Endpoint``.
            work: the ``PromptWork`` until then.
            seconds: time from sending the request to the event.
        """
        tokens = work.own_tokens + work.queued_tokens
        if work.shows_overhead:
            self._note_overhead(endpoint, tokens, seconds)
        if not work.shows_speed:
            return
        prefill_seconds = max(seconds - self._overhead(), seconds / 10)
        bucket = bucket_of(tokens / prefill_seconds)
        sample = SpeedSamples(endpoint.incarnation, {bucket: 1.0})
        with self._lock:
            self._decay()
            self._pools_by_id[endpoint.id] = endpoint.pool
            known = self._own_by_id.get(endpoint.id, sample)
            if known is not sample:
                sample = known.plus(sample)
            self._own_by_id[endpoint.id] = sample

    def speed(self, endpoint):
        """Return the prefill speed of an engine in tokens per second."""
        with self._lock:
            self._pools_by_id[endpoint.id] = endpoint.pool
            self._compute_if_old()
            known = self._speeds_by_id.get(endpoint.id)
            if known is not None and known[0] >= endpoint.incarnation:
                return known[1]
            return _USUAL_SPEED

    def speed_of_id(self, endpoint_id):
        """Return the prefill speed of an engine by its id."""
        with self._lock:
            self._compute_if_old()
            known = self._speeds_by_id.get(endpoint_id)
            return known[1] if known else _USUAL_SPEED

    def learned_speeds(self):
        """Return the speeds of the engines with samples, by endpoint id."""
        with self._lock:
            self._compute_if_old()
            return {
                endpoint_id: known[1]
                for endpoint_id, known in self._speeds_by_id.items()
            }

    def set_report(self, vm_id, samples_by_id, is_from_member=False):
        """Replace what another VM has reported.

        Args:
            vm_id: id of the VM, or ``fleet_loads.AGGREGATOR``, whose report
                contains the samples of this VM.
            samples_by_id: ``SpeedSamples`` by endpoint id.
            is_from_member: whether this VM aggregates the report.
        """
        report = _Report(self._clock(), is_from_member, samples_by_id)
        with self._lock:
            self._reports_by_vm[vm_id] = report

    def group_samples(self):
        """Return the sums over this VM and its members by endpoint id."""
        with self._lock:
            return self._sum(lambda report: report.is_from_member)

    def fleet_samples(self):
        """Return the sums over all VMs by endpoint id."""
        with self._lock:
            return self._fleet_samples()

    def retain(self, endpoints):
        """Forget all engines but some.

        Args:
            endpoints: the ``Endpoint`` records that are known.
        """
        pools_by_id = {endpoint.id: endpoint.pool for endpoint in endpoints}
        with self._lock:
            self._pools_by_id = pools_by_id
            self._own_by_id = {
                endpoint_id: samples
                for endpoint_id, samples in self._own_by_id.items()
                if endpoint_id in pools_by_id
            }

    def _note_overhead(self, endpoint, tokens, seconds):
        prefill_seconds = tokens / self.speed(endpoint)
        with self._lock:
            self._overheads.append(max(0.0, seconds - prefill_seconds))

    def _overhead(self):
        """Return the usual time of a first event beside the prefill."""
        with self._lock:
            return statistics.median_low(self._overheads or (0.0,))

    def _decay(self):
        now = self._clock()
        seconds = now - self._decayed_at
        self._decayed_at = now
        decayed_by_id = {
            endpoint_id: samples.decayed(seconds)
            for endpoint_id, samples in self._own_by_id.items()
        }
        self._own_by_id = {
            endpoint_id: samples
            for endpoint_id, samples in decayed_by_id.items()
            if samples.weights_by_bucket
        }

    def _sum(self, is_wanted):
        """Return own samples plus those of the reports that are wanted."""
        self._decay()
        now = self._clock()
        totals = dict(self._own_by_id)
        for vm_id, report in list(self._reports_by_vm.items()):
            age = now - report.received_at
            if age > REPORT_MAX_AGE_SECONDS:
                del self._reports_by_vm[vm_id]
                continue
            if not is_wanted(report):
                continue
            for endpoint_id, samples in report.samples_by_id.items():
                samples = samples.decayed(age)
                known = totals.get(endpoint_id)
                totals[endpoint_id] = known.plus(samples) if known else samples
        return totals

    def _fleet_samples(self):
        summary = self._reports_by_vm.get(fleet_loads.AGGREGATOR)
        if summary is None:
            return self._sum(lambda report: True)
        age = self._clock() - summary.received_at
        if age > REPORT_MAX_AGE_SECONDS:
            del self._reports_by_vm[fleet_loads.AGGREGATOR]
            return self._sum(lambda report: True)
        return {
            endpoint_id: samples.decayed(age)
            for endpoint_id, samples in summary.samples_by_id.items()
        }

    def _compute_if_old(self):
        now = self._clock()
        if now - self._computed_at < SPEEDS_MAX_AGE_SECONDS:
            return
        self._computed_at = now
        samples_by_id = self._fleet_samples()
        speeds_by_pool = collections.defaultdict(list)
        for endpoint_id, samples in samples_by_id.items():
            speed = samples.speed()
            if speed is not None:
                pool = self._pools_by_id.get(endpoint_id)
                speeds_by_pool[pool].append(speed)
        priors_by_pool = {
            pool: statistics.median(speeds)
            for pool, speeds in speeds_by_pool.items()
        }
        self._speeds_by_id = {}
        for endpoint_id, samples in samples_by_id.items():
            prior = priors_by_pool.get(self._pools_by_id.get(endpoint_id))
            if prior is not None:
                self._speeds_by_id[endpoint_id] = (
                    samples.incarnation,
                    _USUAL_SPEED * samples.speed(prior) / prior,
                )
