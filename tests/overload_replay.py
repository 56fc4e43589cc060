"""Replay of a surge on engines of three speeds, sent by many VMs.

Engines prefill one prompt after the other and decode beside it, more slowly
the more they prefill. VMs know each other's load from reports of some age.
Callers leave if no event comes, and return once after a refusal.
"""

import dataclasses
import heapq
import itertools
import random

import relay_builders as builders

from carobwood_daemon.relay import overload_control

SERVICE = 'engines'
SLOTS = 24
ENGINE_QUEUE = 72
PREFILL_SPEED = 38_700.0
SPEEDS = (0.6, 1.0, 1.6)
# Requests a second that an engine of speed 1 answers on time.
ENGINE_RATE = 9.5
VM_RATE = 3.0
RECHECK_SECONDS = 0.1
SURGE_BEGINS_AT = 3.0
# Engines that have the prefix of a request, and the cost of the others.
HOLDERS = 2
OTHERS_PENALTY_SECONDS = 0.1
# Time in which an engine's share of prefill is averaged.
PREFILL_AVERAGE_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of request.

    Attributes:
        name: its name.
        priority: priority of its route.
        share: its part of the usual load.
        target: seconds to the first event of an answer on time.
        patience: seconds after which its callers leave.
        deadline: seconds to its deadline.
        own_tokens: mean prompt tokens to prefill.
        decode_seconds: time to generate its answer without disturbance.
        worth: value of an answer on time.
        late_worth: value of a late answer.
    """

    name: str
    priority: int
    share: float
    target: float
    patience: float
    deadline: float
    own_tokens: int
    decode_seconds: float
    worth: float
    late_worth: float


URGENT = Kind('urgent', 0, 0.25, 0.8, 3.2, 5.0, 4200, 0.3, 5.3, 0.21)
LONG = Kind('long', 2, 0.75, 1.5, 6.0, 15.0, 700, 1.7, 1.1, 0.16)


@dataclasses.dataclass(eq=False)
class Request:
    """A request of the replay, and how it ended."""

    kind: Kind
    at: float
    first_at: float
    tokens: int
    number: int
    holders: tuple = ()
    has_returned: bool = False
    need: overload_control.Need = None
    vm: object = None
    outcome: str = ''
    event_at: float = 0.0
    told_after: float = 0.0
    wait_ends_at: float = 0.0
    expected_seconds: float = 0.0

    @property
    def is_on_time(self):
        """Whether its first event came on time."""
        return (
            self.outcome == 'answered'
            and self.event_at - self.first_at <= self.kind.target
        )

    @property
    def value(self):
        """Value of its answer."""
        if self.outcome != 'answered':
            return 0.0
        return self.kind.worth if self.is_on_time else self.kind.late_worth


class Engine:
    """An engine that prefills by rank and decodes beside it."""

    def __init__(self, simulation, name, speed):
        self.name = name
        self.speed = speed
        self._simulation = simulation
        self._running = 0
        self._queue = []
        self._prefills = []
        self._is_prefilling = False
        self._share = 0.0
        self._share_at = 0.0

    def send(self, request, rank, on_event, on_end):
        """Take a request; return whether there was room in the queue."""
        if len(self._queue) >= ENGINE_QUEUE:
            return False
        item = (rank, request.number, request, on_event, on_end)
        heapq.heappush(self._queue, item)
        self._start()
        return True

    def _start(self):
        while self._queue and self._running < SLOTS:
            item = heapq.heappop(self._queue)
            if self._has_left(item[2]):
                item[4]('left')
                continue
            self._running += 1
            heapq.heappush(self._prefills, item)
        self._prefill_next()

    def _has_left(self, request):
        leaves_at = request.at + request.kind.patience
        return self._simulation.now >= leaves_at

    def _prefill_next(self):
        if self._is_prefilling or not self._prefills:
            return
        item = heapq.heappop(self._prefills)
        self._is_prefilling = True
        seconds = item[2].tokens / (PREFILL_SPEED * self.speed)
        self._note_prefill(seconds)
        self._simulation.after(seconds, lambda: self._end_prefill(item))

    def _note_prefill(self, seconds):
        elapsed = self._simulation.now - self._share_at
        weight = max(0.0, 1 - elapsed / PREFILL_AVERAGE_SECONDS)
        self._share = min(0.8, self._share * weight + seconds)
        self._share_at = self._simulation.now

    def _end_prefill(self, item):
        self._is_prefilling = False
        request, on_event, on_end = item[2:]
        has_left = self._has_left(request)
        if not has_left:
            on_event()
        seconds = request.kind.decode_seconds / self.speed
        seconds /= 1 - self._share
        self._simulation.after(
            0.0 if has_left else seconds,
            lambda: self._end(on_end, 'left' if has_left else 'answered'),
        )
        self._prefill_next()

    def _end(self, on_end, outcome):
        self._running -= 1
        on_end(outcome)
        self._start()


class Vm:
    """An entry VM with its queue and what it knows of the engines."""

    def __init__(self, simulation, policy, engines):
        self.simulation = simulation
        self.running = [0] * len(engines)
        self.prefill = [0] * len(engines)
        self.others_running = [0] * len(engines)
        self.others_prefill = [0] * len(engines)
        self.report_at = 0.0
        self.waiting = []
        self._is_rechecking = False
        self._policy = policy(self)

    def restart(self, policy):
        """Forget what the policy has learned."""
        self._policy = policy(self)

    def arrive(self, request):
        """Take a request of a caller."""
        request.vm = self
        self._policy.arrive(request)
        if self._must_queue(request) or not self._place(request):
            self._policy.enqueue(request)
        self._recheck_later()

    def refuse(self, request, retry_after):
        """Refuse a request; its caller may return once."""
        now = self.simulation.now
        self._policy.end(request)
        request.outcome = 'refused'
        request.told_after = now - request.at
        left = request.first_at + request.kind.deadline - now
        if request.has_returned or retry_after > left / 3:
            return
        self.simulation.after(
            retry_after, lambda: self.simulation.come_back(request)
        )

    def recheck(self):
        """Place waiting requests in their order until one has no place."""
        for request in self._policy.expired():
            self.waiting.remove(request)
            self._policy.note_wait(request, False)
            self.refuse(request, self._policy.retry_after(request))
        while self.waiting:
            first = min(self.waiting, key=self._policy.rank)
            if not self._place(first):
                return
            self.waiting.remove(first)
            self._policy.note_wait(first, True)

    def _must_queue(self, request):
        rank = self._policy.rank(request)
        return any(self._policy.rank(other) < rank for other in self.waiting)

    def _recheck_later(self):
        if self.waiting and not self._is_rechecking:
            self._is_rechecking = True
            self.simulation.after(RECHECK_SECONDS, self._recheck)

    def _recheck(self):
        self._is_rechecking = False
        self.recheck()
        self._recheck_later()

    def _place(self, request):
        index = self._policy.choose(request)
        if index is None:
            return False
        engine = self.simulation.engines[index]
        self.running[index] += 1
        self.prefill[index] += request.tokens

        def on_event():
            request.event_at = self.simulation.now
            self.prefill[index] -= request.tokens
            prefilled.append(True)
            self._policy.first_event(request, request.event_at - sent_at)

        def on_end(outcome):
            request.outcome = outcome
            release()
            self._policy.end(request)
            self.recheck()

        def release():
            self.running[index] -= 1
            if not prefilled:
                self.prefill[index] -= request.tokens

        prefilled = []
        sent_at = self.simulation.now
        self._policy.placed(request, engine.name)
        if not engine.send(
            request, self._policy.engine_rank(request), on_event, on_end
        ):
            self.simulation.rejected += 1
            release()
            self.refuse(request, self._policy.retry_after(request))
        return True

    def loads(self):
        """Return the running requests and prefill tokens by engine."""
        age = self.simulation.now - self.report_at
        for index, engine in enumerate(self.simulation.engines):
            done = age * PREFILL_SPEED * engine.speed
            others = max(0.0, self.others_prefill[index] - done)
            yield (
                self.running[index] + self.others_running[index],
                self.prefill[index] + others,
            )


class Simulation:
    """VMs and engines, driven by events in the order of time."""

    def __init__(self, policy, seed, vms, report_period):
        """Create the simulation.

        Args:
            policy: class of the VMs' decisions.
            seed: seed of the random source.
            vms: number of VMs.
            report_period: seconds between two reports, and their age as they
                arrive.
        """
        self.random = random.Random(seed)
        self.clock = builders.Clock(0.0)
        self.rejected = 0
        self._events = []
        self._numbers = itertools.count()
        self.requests = []
        group_rate = ENGINE_RATE * sum(SPEEDS)
        groups = max(1, round(vms * VM_RATE / group_rate))
        self._rate = groups * group_rate
        self.engines = [
            Engine(self, f'engine-{n}', SPEEDS[n % len(SPEEDS)])
            for n in range(groups * len(SPEEDS))
        ]
        self.vms = [Vm(self, policy, self.engines) for _ in range(vms)]
        self._report_period = report_period

    @property
    def now(self):
        """The time in seconds."""
        return self.clock.now

    def after(self, seconds, call):
        """Make a call after some seconds."""
        event = (self.now + seconds, next(self._numbers), call)
        heapq.heappush(self._events, event)

    def run(self, factors_by_kind, surge_seconds=4.0, seconds=10.0):
        """Replay a surge; return the ``Request`` records.

        Args:
            factors_by_kind: by how much each kind grows in the surge.
            surge_seconds: length of the surge.
            seconds: time in which requests come.
        """
        for kind in (URGENT, LONG):
            self._add_arrivals(
                kind, factors_by_kind.get(kind, 1.0), surge_seconds, seconds
            )
        self._report()
        while self._events and self._events[0][0] < seconds + 10:
            at, _, call = heapq.heappop(self._events)
            self.clock.now = at
            call()
        return self.requests

    def come_back(self, request):
        """Send a refused request again, to any VM."""
        again = dataclasses.replace(
            request, at=self.now, has_returned=True, outcome=''
        )
        self.requests.append(again)
        request.outcome = 'returned'
        self.random.choice(self.vms).arrive(again)

    def _add_arrivals(self, kind, factor, surge_seconds, seconds):
        rate = self._rate * kind.share
        surge_ends_at = SURGE_BEGINS_AT + surge_seconds
        at = 0.0
        while at < seconds:
            in_surge = SURGE_BEGINS_AT <= at < surge_ends_at
            at += self.random.expovariate(rate * (factor if in_surge else 1))
            spread = self.random.lognormvariate(-0.32, 0.8)
            request = Request(
                kind,
                at,
                at,
                min(39_000, int(kind.own_tokens * spread)),
                next(self._numbers),
                tuple(self.random.sample(range(len(self.engines)), HOLDERS)),
            )
            self.requests.append(request)
            self._schedule(request)

    def _schedule(self, request):
        vm = self.random.choice(self.vms)
        self.after(request.at - self.now, lambda: vm.arrive(request))

    def _report(self):
        count = range(len(self.engines))
        totals = [
            [sum(vm.running[i] for vm in self.vms) for i in count],
            [sum(vm.prefill[i] for vm in self.vms) for i in count],
        ]
        at = self.now
        reports = [
            (
                vm,
                [totals[0][i] - vm.running[i] for i in count],
                [totals[1][i] - vm.prefill[i] for i in count],
            )
            for vm in self.vms
        ]
        self.after(self._report_period, lambda: self._deliver(at, reports))

    def _deliver(self, at, reports):
        for vm, running, prefill in reports:
            vm.report_at = at
            vm.others_running = running
            vm.others_prefill = prefill
        self._report()
