"""Replays of load on engines, in simulated time.

The engines read prompts one after the other, keep shared prefixes in
limited memory and drop the least recently used ones. Several entry VMs
choose at the same time and hear of each other's work with a delay.
"""

import collections
import dataclasses
import heapq
import random

import relay_builders as build

from carobwood_daemon.relay import fleet_loads
from carobwood_daemon.relay import placement
from carobwood_daemon.routing import placements

READ_RATE = 40_800.0
FETCH_RATE = 90_000.0
STEP_SECONDS = 0.02
MEMORY_TOKENS = 104_000
NEWS_SECONDS = 0.25
# Time until what was read is in a store, and VMs have heard of it.
STORE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request of the replayed load."""

    at: float
    prefix: int
    demand: placement.Demand


@dataclasses.dataclass
class Result:
    """What a replay comes to."""

    requests: int = 0
    on_time: int = 0
    refused: int = 0
    tokens_read_again: int = 0

    @property
    def on_time_share(self):
        """Share of requests whose first token came within 0.6 s."""
        return self.on_time / self.requests


class Beliefs:
    """What entry VMs believe of engines' caches from what they sent.

    Removals are heard after ``hear_after`` seconds, or never.
    """

    def __init__(self, clock, hear_after):
        self._clock = clock
        self._hear_after = hear_after
        self._table = placements.Placements(clock)
        self._removals = collections.deque()

    def note_sent(self, name, prefix):
        """Note that a prefix was sent to an engine."""
        self._table.note(build.endpoint(name), (_piece(prefix),))

    def note_removed(self, name, prefixes):
        """Note what an engine has removed; it is heard later."""
        if self._hear_after is not None and prefixes:
            self._removals.append((self._clock(), name, prefixes))

    def holds(self, name, prefix):
        """Tell whether an engine is believed to hold a prefix."""
        while self._removals:
            at, engine, prefixes = self._removals[0]
            if at + self._hear_after > self._clock():
                break
            self._removals.popleft()
            removed = [_piece(removed) for removed in prefixes]
            self._table.remove(build.endpoint(engine), removed, at)
        return self._table.holds(build.endpoint(name), _piece(prefix))


class Truth:
    """Beliefs that are always right."""

    def __init__(self, engines_by_name):
        self._engines = engines_by_name

    def note_sent(self, name, prefix):
        """See ``Beliefs``."""

    def note_removed(self, name, prefixes):
        """See ``Beliefs``."""

    def holds(self, name, prefix):
        """See ``Beliefs``."""
        return prefix in self._engines[name].cached


def _piece(prefix):
    return prefix.to_bytes(4, 'big')


def burst(seed, rate=12.0, factor=3.0, seconds=20.0, prefixes=84):
    """Return arrivals with a burst in the middle third."""
    source = random.Random(seed)
    arrivals = []
    at = 0.0
    while at < seconds:
        is_burst = seconds / 3 < at < 2 * seconds / 3
        at += source.expovariate(rate * (factor if is_burst else 1.0))
        own = min(30_000, int(source.lognormvariate(7.4, 1.0)))
        demand = placement.Demand(6300, own, 52)
        # A few prefixes take much of the load.
        prefix = int(prefixes * source.random() ** 2)
        arrivals.append(Arrival(at, prefix, demand))
    return arrivals


class Engine:
    """An engine in simulated time."""

    def __init__(self, name):
        self.name = name
        self.free_at = 0.0
        self.running = []
        self.cached = collections.OrderedDict()

    def used_tokens(self, now):
        """Return the memory of the running requests."""
        self.running = [item for item in self.running if item[0] > now]
        return sum(tokens for _, tokens in self.running)

    def serve(self, arrival, now, can_fetch):
        """Serve a request.

        Returns:
            When its first token comes, the shared tokens read, and the
            prefixes that had to go.
        """
        demand = arrival.demand
        is_held = arrival.prefix in self.cached
        shared = 0 if is_held or can_fetch else demand.shared_tokens
        fetched = 0.0
        if not is_held and can_fetch:
            fetched = demand.shared_tokens / FETCH_RATE
        start = max(now, self.free_at)
        first = start + fetched + (shared + demand.own_tokens) / READ_RATE
        self.free_at = first
        ends = first + STEP_SECONDS * demand.output_tokens / 4
        self.running.append((ends, demand.own_tokens + demand.output_tokens))
        self.cached[arrival.prefix] = demand.shared_tokens
        self.cached.move_to_end(arrival.prefix)
        room = MEMORY_TOKENS - self.used_tokens(now)
        removed = []
        while sum(self.cached.values()) > max(0, room):
            removed.append(self.cached.popitem(last=False)[0])
        return first, shared, removed


class Replay:
    """Plays arrivals through entry VMs that share late news."""

    def __init__(
        self, choose, seed, engines=5, vms=8, hear_after=0.0, has_store=False
    ):
        """Create the replay.

        Args:
            choose: called with candidates, demand and a random source.
            seed: seed of the draw of VMs.
            engines: number of engines.
            vms: number of entry VMs.
            hear_after: seconds until the VMs hear of what engines drop;
                0 for at once, None for never.
            has_store: whether a store keeps what was read once.
        """
        self._choose = choose
        self._random = random.Random(seed)
        self._engines = {
            f'engine-{n}': Engine(f'engine-{n}') for n in range(engines)
        }
        self._clock = build.Clock(0.0)
        self._vms = [fleet_loads.FleetLoads(self._clock) for _ in range(vms)]
        self._read_before = set()
        self._has_store = has_store
        self._stored_at = {}
        self._releases = []
        self._beliefs = Truth(self._engines)
        if hear_after != 0.0:
            self._beliefs = Beliefs(self._clock, hear_after)

    def run(self, arrivals):
        """Return the ``Result`` of a load."""
        result = Result()
        news_at = 0.0
        for number, arrival in enumerate(arrivals):
            self._clock.now = arrival.at
            self._release_until(arrival.at)
            if arrival.at >= news_at:
                self._spread()
                news_at = arrival.at + NEWS_SECONDS
            self._serve(arrival, number, result)
        return result

    def _spread(self):
        for teller, vm in enumerate(self._vms):
            for hearer, other in enumerate(self._vms):
                if hearer != teller:
                    other.take_over(f'vm{teller}', vm.own())

    def _release_until(self, now):
        while self._releases and self._releases[0][0] <= now:
            _, _, release = heapq.heappop(self._releases)
            release()

    def _serve(self, arrival, number, result):
        result.requests += 1
        vm = self._random.choice(self._vms)
        candidates = self._candidates(arrival, vm)
        choice = self._choose(candidates, arrival.demand, self._random)
        if choice is None:
            result.refused += 1
            return
        name = choice.candidate.endpoint.id
        engine = self._engines[name]
        can_fetch = self._can_fetch(arrival, choice.candidate, candidates)
        first, shared, removed = engine.serve(arrival, arrival.at, can_fetch)
        self._beliefs.note_sent(name, arrival.prefix)
        self._beliefs.note_removed(name, removed)
        if shared and arrival.prefix in self._read_before:
            result.tokens_read_again += shared
        self._read_before.add(arrival.prefix)
        self._stored_at.setdefault(arrival.prefix, first + STORE_SECONDS)
        result.on_time += first - arrival.at <= 0.6
        reservation = vm.reserve(name, choice.load)
        ends = engine.running[-1][0]
        releases = (
            (first, reservation.note_read),
            (ends, reservation.release),
        )
        for order, (at, release) in enumerate(releases):
            heapq.heappush(self._releases, (at, 2 * number + order, release))

    def _can_fetch(self, arrival, chosen, candidates):
        """Tell whether the source that is named has the prefix."""
        if chosen.cached_tokens:
            return False
        for candidate in candidates:
            if candidate.cached_tokens:
                held = self._engines[candidate.endpoint.id].cached
                return arrival.prefix in held
        stored_at = self._stored_at.get(arrival.prefix, float('inf'))
        return self._has_store and stored_at <= arrival.at

    def _candidates(self, arrival, vm):
        totals = vm.total()
        home = f'engine-{arrival.prefix * 7919 % len(self._engines)}'
        return [
            build.candidate(
                name,
                load=totals.get(name, fleet_loads.Load()),
                memory_tokens=MEMORY_TOKENS,
                cached_tokens=arrival.demand.shared_tokens
                if self._beliefs.holds(name, arrival.prefix)
                else 0,
                is_home=name == home,
            )
            for name in self._engines
        ]


def by_cost(candidates, demand, source):
    """Choose as the product does."""
    del source
    return placement.choose(candidates, demand)


def at_random(candidates, demand, source):
    """Choose any engine."""
    chosen = source.choice(candidates)
    return placement.Choice(chosen, placement.load_of(chosen, demand))


def least_loaded(candidates, demand, source):
    """Choose the engine with the least work."""
    del source
    chosen = min(candidates, key=lambda c: c.load.unread_tokens)
    return placement.Choice(chosen, placement.load_of(chosen, demand))


def home_only(candidates, demand, source):
    """Choose the home of the prefix."""
    del source
    chosen = next(c for c in candidates if c.is_home)
    return placement.Choice(chosen, placement.load_of(chosen, demand))
