"""Simulation of load on engines.

The engines prefill prompts one after the other, cache shared prefixes in
limited memory and evict the least recently used ones. Several entry VMs
choose engines at the same time. They get the sums of each other's loads from
aggregators, with a delay.
"""

import collections
import dataclasses
import enum
import heapq
import random

import relay_builders as builders

from carobwood_daemon.relay import engine_speeds
from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import load_estimates
from carobwood_daemon.relay import placement
from carobwood_daemon.relay import sampled_choice
from carobwood_daemon.routing import prefix_cache_index

PREFILL_TOKENS_PER_SECOND = 40_800.0
FETCH_TOKENS_PER_SECOND = 90_000.0
# Time of a decoding step.
STEP_SECONDS = 0.02
# KV cache capacity of an engine.
MEMORY_TOKENS = 104_000
# Default time between two sums of the loads. They arrive one such time later.
REPORT_PERIOD_SECONDS = 0.125
# Time from the end of a prefill until the prefix is in the store and the VMs
# know of it.
STORE_DELAY_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of the simulated load.

    Attributes:
        at: arrival time in seconds.
        prefix: number of the shared prefix.
        demand: the ``Demand``.
    """

    at: float
    prefix: int
    demand: placement.Demand


@dataclasses.dataclass
class Result:
    """Result of a simulation.

    Attributes:
        requests: number of requests.
        on_time: requests whose first token came within 0.6 s.
        refused: requests for which no engine had capacity.
        repeated_prefill_tokens: prefix tokens that were prefilled more
            than once.
        prefix_hits: requests whose prefix their engine had cached.
        work_by_second: seconds of prefill that each engine was assigned, by
            the second of the arrival.
    """

    requests: int = 0
    on_time: int = 0
    refused: int = 0
    repeated_prefill_tokens: int = 0
    prefix_hits: int = 0
    work_by_second: dict[int, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def hit_share(self):
        """Share of requests whose prefix their engine had cached."""
        return self.prefix_hits / self.requests

    def unevenness(self, first_second=0):
        """Return the work of the busiest engine by the mean, by second.

        Args:
            first_second: the first second that counts.
        """
        return [
            max(work.values()) * len(work) / sum(work.values())
            for second, work in sorted(self.work_by_second.items())
            if second >= first_second
        ]

    @property
    def on_time_share(self):
        """Share of requests whose first token came within 0.6 s."""
        return self.on_time / self.requests


class RecordedCaches:
    """Cache contents as the entry VMs record them from sent requests.

    Evictions become known after ``eviction_delay`` seconds, or never.
    """

    def __init__(self, clock, eviction_delay):
        self._clock = clock
        self._eviction_delay = eviction_delay
        self._prefix_cache_index = prefix_cache_index.PrefixCacheIndex(clock)
        self._evictions = collections.deque()

    def note_sent(self, name, prefix):
        """Record that a prefix was sent to an engine."""
        self._prefix_cache_index.record_use(
            builders.endpoint(name), (_digest(prefix),)
        )

    def note_evicted(self, name, prefixes):
        """Schedule the event of an engine's evictions."""
        if self._eviction_delay is not None and prefixes:
            self._evictions.append((self._clock(), name, prefixes))

    def holds(self, name, prefix):
        """Return whether a prefix is recorded as cached on an engine."""
        while self._evictions:
            evicted_at, engine, prefixes = self._evictions[0]
            if evicted_at + self._eviction_delay > self._clock():
                break
            self._evictions.popleft()
            evicted = [_digest(evicted) for evicted in prefixes]
            self._prefix_cache_index.remove(
                builders.endpoint(engine), evicted, evicted_at
            )
        return self._prefix_cache_index.has_block(
            builders.endpoint(name), _digest(prefix)
        )


class ActualCaches:
    """Actual cache contents, with the methods of ``RecordedCaches``."""

    def __init__(self, engines_by_name):
        self._engines = engines_by_name

    def note_sent(self, name, prefix):
        """See ``RecordedCaches``."""

    def note_evicted(self, name, prefixes):
        """See ``RecordedCaches``."""

    def holds(self, name, prefix):
        """See ``RecordedCaches``."""
        return prefix in self._engines[name].cached


def _digest(prefix):
    return prefix.to_bytes(4, 'big')


def burst(seed, rate=12.0, factor=3.0, seconds=20.0, prefixes=84):
    """Return arrivals with a burst in the middle third.

    Args:
        seed: seed of the random source.
        rate: requests per second outside the burst.
        factor: multiplies the rate during the burst.
        seconds: length of the load.
        prefixes: number of shared prefixes.
    """
    source = random.Random(seed)
    arrivals = []
    at = 0.0
    while at < seconds:
        is_burst = seconds / 3 < at < 2 * seconds / 3
        at += source.expovariate(rate * (factor if is_burst else 1.0))
        own = min(30_000, int(source.lognormvariate(7.4, 1.0)))
        demand = placement.Demand(6300, own, 52)
        # Skewed, so that a few prefixes get much of the load.
        prefix = int(prefixes * source.random() ** 2)
        arrivals.append(Arrival(at, prefix, demand))
    return arrivals


@dataclasses.dataclass(frozen=True)
class SpeedChange:
    """An engine's speed changes.

    Attributes:
        at: time in seconds.
        engine: name of the engine.
        speed: its speed from then on.
    """

    at: float
    engine: str
    speed: float


class Engine:
    """A simulated engine."""

    def __init__(self, name, speed=1.0):
        self.name = name
        # Multiplies ``PREFILL_TOKENS_PER_SECOND``.
        self.speed = speed
        self.prefill_ends_at = 0.0
        self.running = []
        self.cached = collections.OrderedDict()

    def used_tokens(self, now):
        """Return the KV cache tokens of the running requests."""
        self.running = [item for item in self.running if item[0] > now]
        return sum(tokens for _, tokens in self.running)

    def serve(self, arrival, now, can_fetch):
        """Serve a request.

        Args:
            arrival: the ``Arrival``.
            now: time of the arrival.
            can_fetch: whether the prefix can be fetched if it is missing.

        Returns:
            Time of the first token, shared tokens that were prefilled, and
            the prefixes that were evicted.
        """
        demand = arrival.demand
        is_cached = arrival.prefix in self.cached
        shared_prefill = 0 if is_cached or can_fetch else demand.shared_tokens
        fetch_seconds = 0.0
        if not is_cached and can_fetch:
            fetch_seconds = demand.shared_tokens / FETCH_TOKENS_PER_SECOND
        starts_at = max(now, self.prefill_ends_at)
        first_token_at = (
            starts_at
            + fetch_seconds
            + (shared_prefill + demand.own_tokens)
            / (PREFILL_TOKENS_PER_SECOND * self.speed)
        )
        self.prefill_ends_at = first_token_at
        ends_at = first_token_at + STEP_SECONDS * demand.output_tokens / 4
        self.running.append(
            (ends_at, demand.own_tokens + demand.output_tokens)
        )
        self.cached[arrival.prefix] = demand.shared_tokens
        self.cached.move_to_end(arrival.prefix)
        free_tokens = MEMORY_TOKENS - self.used_tokens(now)
        evicted = []
        while sum(self.cached.values()) > max(0, free_tokens):
            evicted.append(self.cached.popitem(last=False)[0])
        return first_token_at, shared_prefill, evicted


class Estimate(enum.Enum):
    """What the VMs of a simulation choose by.

    Attributes:
        CONSTANT: late reports and one speed for all engines.
        SPEEDS: late reports and the speed of each engine.
        LEARNED: late reports, and speeds learned from first events.
        FRESH: the loads of all VMs at the moment, and the speeds.
    """

    CONSTANT = 'constant'
    SPEEDS = 'speeds'
    LEARNED = 'learned'
    FRESH = 'fresh'


class Simulation:
    """Entry VMs that choose engines for arrivals, with late load reports."""

    def __init__(
        self,
        choose,
        seed,
        engines=5,
        vms=8,
        eviction_delay=0.0,
        has_store=False,
        report_period=REPORT_PERIOD_SECONDS,
        slots=64,
        speeds=(1.0,),
        estimate=Estimate.CONSTANT,
        speed_changes=(),
    ):
        """Create the simulation.

        Args:
            choose: called with candidates, demand and a random source;
                returns the ``Choice``, or None.
            seed: seed of the random source.
            engines: number of engines.
            vms: number of entry VMs.
            eviction_delay: seconds until the VMs know of evictions; 0 for
                at once, None for never.
            has_store: whether a store keeps each prefix that was prefilled.
            report_period: seconds between two sums of the loads.
            slots: maximum number of concurrent requests of an engine.
            speeds: speeds of the engines, in turn.
            estimate: the ``Estimate`` by which VMs choose.
            speed_changes: ``SpeedChange`` records, in order.
        """
        self._choose = choose
        self._random = random.Random(seed)
        self._engines = {
            f'engine-{n}': Engine(f'engine-{n}', speeds[n % len(speeds)])
            for n in range(engines)
        }
        self._clock = builders.Clock(0.0)
        self._estimate = estimate
        self._speed_changes = collections.deque(speed_changes)
        self._speeds_by_vm = [
            engine_speeds.EngineSpeeds(self._clock) for _ in range(vms)
        ]
        self._vms = [self._make_loads(s) for s in self._speeds_by_vm]
        self._prefilled_before = set()
        self._has_store = has_store
        self._stored_at = {}
        self._releases = []
        self._report_period = report_period
        self._slots = slots
        self._sums_on_the_way = []
        self._caches = ActualCaches(self._engines)
        if eviction_delay != 0.0:
            self._caches = RecordedCaches(self._clock, eviction_delay)

    def run(self, arrivals):
        """Return the ``Result`` of ``Arrival`` records."""
        result = Result()
        next_report_at = 0.0
        for number, arrival in enumerate(arrivals):
            self._clock.now = arrival.at
            self._release_until(arrival.at)
            self._change_speeds(arrival.at)
            if arrival.at >= next_report_at:
                self._exchange_reports()
                next_report_at = arrival.at + self._report_period
            self._serve(arrival, number, result)
        return result

    def _make_loads(self, speeds):
        if self._estimate is Estimate.CONSTANT:
            return fleet_loads.FleetLoads(self._clock)
        return load_estimates.EstimatedLoads(
            lambda name: self._speed_of(name, speeds), self._clock
        )

    def _change_speeds(self, now):
        while self._speed_changes and self._speed_changes[0].at <= now:
            change = self._speed_changes.popleft()
            self._engines[change.engine].speed = change.speed

    def _exchange_speeds(self):
        """Deliver the sums of what all VMs have seen."""
        if self._estimate is not Estimate.LEARNED:
            return
        totals = {}
        for speeds in self._speeds_by_vm:
            for name, samples in speeds.group_samples().items():
                known = totals.get(name)
                totals[name] = known.plus(samples) if known else samples
        for speeds in self._speeds_by_vm:
            speeds.set_report(fleet_loads.AGGREGATOR, totals)

    def _speed_of(self, name, speeds):
        """Return the speed that a VM assumes for an engine."""
        if self._estimate is Estimate.CONSTANT:
            return fleet_loads.PREFILL_TOKENS_PER_SECOND
        if self._estimate is Estimate.LEARNED:
            return speeds.speed(builders.endpoint(name))
        return PREFILL_TOKENS_PER_SECOND * self._engines[name].speed

    def _known_loads(self, vm):
        """Return the loads that a VM chooses by."""
        if self._estimate is not Estimate.FRESH:
            return vm.total_loads()
        totals = {}
        for other in self._vms:
            for name, load in other.local_loads().items():
                current = totals.get(name, fleet_loads.Load())
                totals[name] = current.plus(load)
        return totals

    def _exchange_reports(self):
        """Deliver the sums of the previous time and compute new ones."""
        self._exchange_speeds()
        for vm, speeds, sums in zip(
            self._vms, self._speeds_by_vm, self._sums_on_the_way
        ):
            # Aggregators reduce the loads by what was prefilled meanwhile.
            arrived = {
                name: load.after_prefill(
                    self._report_period, self._speed_of(name, speeds)
                )
                for name, load in sums.items()
            }
            vm.set_peer_loads(fleet_loads.AGGREGATOR, arrived)
        totals = {}
        for vm in self._vms:
            for name, load in vm.local_loads().items():
                current = totals.get(name, fleet_loads.Load())
                totals[name] = current.plus(load)
        self._sums_on_the_way = [
            _without(totals, vm.local_loads()) for vm in self._vms
        ]

    def _release_until(self, now):
        while self._releases and self._releases[0][0] <= now:
            _, _, release = heapq.heappop(self._releases)
            release()

    def _serve(self, arrival, number, result):
        result.requests += 1
        vm_number = self._random.randrange(len(self._vms))
        vm, speeds = self._vms[vm_number], self._speeds_by_vm[vm_number]
        candidates = self._candidates(arrival, vm, speeds)
        choice = self._choose(candidates, arrival.demand, self._random)
        if choice is None:
            result.refused += 1
            return
        name = choice.candidate.endpoint.id
        engine = self._engines[name]
        can_fetch = self._can_fetch(arrival, choice.candidate, candidates)
        result.prefix_hits += arrival.prefix in engine.cached
        first_token_at, shared_prefill, evicted = engine.serve(
            arrival, arrival.at, can_fetch
        )
        self._note_work(arrival, name, shared_prefill, result)
        self._caches.note_sent(name, arrival.prefix)
        self._caches.note_evicted(name, evicted)
        if shared_prefill and arrival.prefix in self._prefilled_before:
            result.repeated_prefill_tokens += shared_prefill
        self._prefilled_before.add(arrival.prefix)
        self._stored_at.setdefault(
            arrival.prefix, first_token_at + STORE_DELAY_SECONDS
        )
        result.on_time += first_token_at - arrival.at <= 0.6
        reservation = vm.reserve(name, choice.load)
        ends_at = engine.running[-1][0]
        work = engine_speeds.PromptWork(
            choice.load.prefill_tokens,
            choice.candidate.load.prefill_tokens,
            choice.fetched_tokens(arrival.demand),
        )

        def note_first_token():
            reservation.release_prefill()
            speeds.note_first_event(
                choice.candidate.endpoint, work, first_token_at - arrival.at
            )

        releases = (
            (first_token_at, note_first_token),
            (ends_at, reservation.release),
        )
        for order, (at, release) in enumerate(releases):
            heapq.heappush(self._releases, (at, 2 * number + order, release))

    def _note_work(self, arrival, name, shared_prefill, result):
        work = result.work_by_second.setdefault(
            int(arrival.at), dict.fromkeys(self._engines, 0.0)
        )
        tokens = shared_prefill + arrival.demand.own_tokens
        speed = PREFILL_TOKENS_PER_SECOND * self._engines[name].speed
        work[name] += tokens / speed

    def _can_fetch(self, arrival, chosen, candidates):
        """Return whether the source named to the engine has the prefix."""
        if chosen.cached_tokens:
            return False
        for candidate in candidates:
            if candidate.cached_tokens:
                cached = self._engines[candidate.endpoint.id].cached
                return arrival.prefix in cached
        stored_at = self._stored_at.get(arrival.prefix, float('inf'))
        return self._has_store and stored_at <= arrival.at

    def _candidates(self, arrival, vm, speeds):
        totals = self._known_loads(vm)
        affinity_name = f'engine-{arrival.prefix * 7919 % len(self._engines)}'
        return [
            builders.candidate(
                name,
                load=totals.get(name, fleet_loads.Load()),
                slots=self._slots,
                kv_cache_tokens=MEMORY_TOKENS,
                cached_tokens=arrival.demand.shared_tokens
                if self._caches.holds(name, arrival.prefix)
                else 0,
                has_affinity=name == affinity_name,
                prefill_speed=self._speed_of(name, speeds),
            )
            for name in self._engines
        ]


def _without(totals, loads):
    """Return loads by engine less those of one VM."""
    others = dict(totals)
    for name, load in loads.items():
        others[name] = others[name].minus(load)
    return others


def by_cost(candidates, demand, source):
    """Choose with ``placement.choose``, as the daemon does."""
    return placement.choose(candidates, demand, source)


def by_sampled_cost(candidates, demand, source):
    """Choose with ``sampled_choice.choose``, as VMs that learn speeds do."""
    return sampled_choice.choose(candidates, demand, source)


def at_random(candidates, demand, source):
    """Choose an engine at random."""
    chosen = source.choice(candidates)
    return placement.Choice(chosen, placement.load_of(chosen, demand))


def least_loaded(candidates, demand, source):
    """Choose the engine with the fewest tokens still to be prefilled."""
    del source
    chosen = min(candidates, key=lambda c: c.load.prefill_tokens)
    return placement.Choice(chosen, placement.load_of(chosen, demand))


def least_loaded_of_two(candidates, demand, source):
    """Choose the less loaded of two random engines that hold the prefix.

    If fewer hold it, the rest are random ones.
    """
    holders = [c for c in candidates if c.cached_tokens or c.has_affinity]
    sample = source.sample(holders, min(2, len(holders)))
    if len(sample) < 2:
        sample += source.sample(candidates, 1)
    chosen = min(sample, key=lambda c: c.load.prefill_tokens)
    return placement.Choice(chosen, placement.load_of(chosen, demand))


def affinity_only(candidates, demand, source):
    """Choose the affinity engine of the prefix."""
    del source
    chosen = next(c for c in candidates if c.has_affinity)
    return placement.Choice(chosen, placement.load_of(chosen, demand))
