"""Simulation of many VMs that send requests to an engine with a rate limit.

Time is simulated; calls to grantors take none. The VMs ask tables that stand
for the VMs that grant permits, and an ``Engine`` records what it gets.
"""

import random

import relay_builders as builders

from carobwood import errors
from carobwood_daemon.limits import endpoint_permits
from carobwood_daemon.relay import endpoint_rate_limits
from carobwood_daemon.relay import messages

# The users' bound: within some 4 s, one and a half times the limit and 5.
WINDOW_SECONDS = 4.0
TOLERANCE = 1.5
EXTRA_REQUESTS = 5
# Time for which requests of a VM don't count after the answer that told it.
TOLD_SECONDS = 0.5
TICK_SECONDS = 0.02
# Time in which gossip tells the other VMs of a limit.
NEWS_SECONDS = 0.4
# Time from a request to the head of its answer.
ANSWER_SECONDS = 0.2


class Grantors:
    """Tables of permits of the VMs that may be asked, in their order.

    Attributes:
        is_up_by_index: whether each of them answers.
    """

    def __init__(self, clock, count=2):
        self._tables = [
            endpoint_permits.PermitTable(clock) for _ in range(count)
        ]
        self.is_up_by_index = [True] * count

    def ask(self, vm_id, endpoint, statement, first=0):
        """Ask the first table that answers, from an index on."""
        for index in range(first, len(self._tables)):
            if self.is_up_by_index[index]:
                return self._tables[index].request(
                    endpoint.id, endpoint.incarnation, vm_id, statement
                )
        raise errors.LinkFailed('no VM grants permits')


class Engine:
    """An engine that names a limit in its answers.

    Attributes:
        endpoint: its ``Endpoint``.
        limit: requests per second that it names, or None.
        counted: times of requests from VMs that had been told.
        received: times of all requests.
    """

    def __init__(self, limit):
        self.endpoint = builders.endpoint()
        self.limit = limit
        self.counted = []
        self.received = []

    def head(self, now):
        """Return the head of an answer to a request at a time."""
        del now
        rate_limit = None
        if self.limit is not None:
            rate_limit = messages.RateLimit(self.limit)
        return builders.response_head(rate_limit=rate_limit)


class BrittleEngine(Engine):
    """An engine that must not turn many requests away in a second.

    Attributes:
        rejected: times of the requests that it has turned away.
    """

    def __init__(self, capacity, rejections):
        """Create the engine.

        Args:
            capacity: requests per second that it has room for.
            rejections: rejections per second that it names as its bound.
        """
        super().__init__(None)
        self.rejected = []
        self._capacity = capacity
        self._rejections = rejections
        self._accepted = []

    def head(self, now):
        """See ``Engine``."""
        self._accepted = [at for at in self._accepted if at > now - 1.0]
        brittleness = messages.Brittleness(self._rejections)
        if len(self._accepted) < self._capacity:
            self._accepted.append(now)
            return builders.response_head(brittleness=brittleness)
        self.rejected.append(now)
        return builders.response_head(
            503, has_not_run=True, brittleness=brittleness
        )

    def seconds_over_bound(self):
        """Return in how many spans of a second it rejected too many."""
        falls = 0
        ends_at = 0.0
        for start in self.rejected:
            within = [at for at in self.rejected if start <= at < start + 1.0]
            if start >= ends_at and len(within) > self._rejections:
                falls += 1
                ends_at = start + 1.0
        return falls


class Simulation:
    """VMs that each have requests for one engine all the time.

    Attributes:
        clock: the ``Clock``.
        engine: the ``Engine``.
        grantors: the ``Grantors``.
        arrivals: number of requests that have arrived.
        first_grantor_by_vm: index of the table that each VM asks first.
    """

    def __init__(
        self, vm_count, limit, requests_per_second, seed=1, engine=None
    ):
        """Create the VMs.

        Args:
            vm_count: number of entry VMs.
            limit: limit that the engine names, or None.
            requests_per_second: requests of all VMs together.
            seed: seed of the arrivals.
            engine: the ``Engine``, or None for one that names the limit.
        """
        self.clock = builders.Clock()
        self.engine = engine or Engine(limit)
        self.grantors = Grantors(self.clock)
        self.first_grantor_by_vm = [0] * vm_count
        self.arrivals = 0
        self._random = random.Random(seed)
        self._arrivals_per_tick = requests_per_second * TICK_SECONDS
        self._limits_by_vm = [
            endpoint_rate_limits.EndpointRateLimits(
                self._permit_function(vm), clock=self.clock
            )
            for vm in range(vm_count)
        ]
        if isinstance(self.engine, BrittleEngine):
            for vm, limits in enumerate(self._limits_by_vm):
                limits.on_change(self._news_function(vm))
        self._told_at_by_vm = {}
        self._answers = []
        # (time, vm) of news that the other VMs get after a while.
        self._news = []

    def run(self, seconds):
        """Let requests arrive for some seconds."""
        for _ in range(round(seconds / TICK_SECONDS)):
            self._deliver_answers()
            self._deliver_news()
            for _ in range(self._count_arrivals()):
                self.arrivals += 1
                self._send(self._random.randrange(len(self._limits_by_vm)))
            self.clock.advance(TICK_SECONDS)

    def most_in_window(self, since=0.0):
        """Return the most counted requests in any window after a time."""
        times = [at for at in self.engine.counted if at >= since]
        return max(
            (
                sum(1 for at in times if start <= at < start + WINDOW_SECONDS)
                for start in times
            ),
            default=0,
        )

    @property
    def told_vm_count(self):
        """Number of VMs that have had an answer with the limit."""
        return len(self._told_at_by_vm)

    def _news_function(self, vm):
        return lambda endpoint_id: self._news.append((self.clock.now, vm))

    def _deliver_news(self):
        endpoint = self.engine.endpoint
        while self._news and self._news[0][0] + NEWS_SECONDS <= self.clock.now:
            _, vm = self._news.pop(0)
            news = self._limits_by_vm[vm].news(endpoint.id)
            if news is None:
                continue
            for other, limits in enumerate(self._limits_by_vm):
                if other != vm:
                    limits.merge_news(endpoint.id, *news)

    def _permit_function(self, vm):
        def ask(endpoint, statement):
            first = self.first_grantor_by_vm[vm]
            return self.grantors.ask(f'vm-{vm}', endpoint, statement, first)

        return ask

    def _count_arrivals(self):
        whole = int(self._arrivals_per_tick)
        rest = self._arrivals_per_tick - whole
        return whole + (self._random.random() < rest)

    def _send(self, vm):
        limits = self._limits_by_vm[vm]
        endpoint = self.engine.endpoint
        if limits.seconds_until_next(endpoint) or not limits.acquire(endpoint):
            return
        now = self.clock.now
        self.engine.received.append(now)
        told_at = self._told_at_by_vm.get(vm)
        if told_at is not None and told_at + TOLD_SECONDS <= now:
            self.engine.counted.append(now)
        self._answers.append((now, vm, self.engine.head(now)))

    def _deliver_answers(self):
        now = self.clock.now
        while self._answers and self._answers[0][0] + ANSWER_SECONDS <= now:
            sent_at, vm, head = self._answers.pop(0)
            self._limits_by_vm[vm].note_head(
                self.engine.endpoint, head, sent_at
            )
            if head.rate_limit is not None:
                self._told_at_by_vm.setdefault(vm, now)


def allowed(limit):
    """Return the most requests that a window may hold."""
    return TOLERANCE * limit * WINDOW_SECONDS + EXTRA_REQUESTS
