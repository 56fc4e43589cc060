"""Simulation of the connections of a fleet to endpoints with limits.

Each VM has a real pool and a real table of endpoints that it reaches; only
the connections are fakes. Endpoints accept a number of connections from all
VMs, and fewer while many requests are in flight; others are reset.
"""

import dataclasses
import heapq
import itertools
import random

import relay_builders as builders

from carobwood import errors
from carobwood_daemon.observe import metrics
from carobwood_daemon.relay import connection_pool
from carobwood_daemon.relay import connection_shares
from carobwood_daemon.relay import endpoint_connections
from carobwood_daemon.relay import endpoint_reachability
from carobwood_daemon.relay import shared_connection_pool

MAX_CONNECTIONS = 540
# Requests in flight from which an endpoint accepts fewer connections, and the
# part that it accepts then.
LONG_QUEUE = 36
LONG_QUEUE_FRACTION = 0.5
# Idle timeout that endpoints announce, in seconds.
IDLE_SECONDS = 60
REQUESTS_PER_VM = 3.0
SERVICE_SECONDS = 4.0
# Part of the requests that may be sent on an old connection.
IDEMPOTENT_PART = 0.32
PROBE_PERIOD_SECONDS = 1.0


class Endpoint:
    """An endpoint that counts its connections.

    Attributes:
        limit: connections that it accepts.
        is_dark: whether it has lost power.
        open: connections that are open.
        in_flight: requests in flight.
        resets: connections that were reset.
    """

    def __init__(self, number):
        self.address = f'10.0.0.{number}:80'
        self.record = builders.endpoint(f'e{number}', address=self.address)
        self.limit = MAX_CONNECTIONS
        self.is_dark = False
        self.open = 0
        self.in_flight = 0
        self.resets = 0

    def accept(self):
        """Return a connection, or raise the error of one that fails."""
        if self.is_dark:
            raise _unreachable(TimeoutError())
        is_long = self.in_flight > LONG_QUEUE
        fraction = LONG_QUEUE_FRACTION if is_long else 1.0
        if self.open >= self.limit * fraction:
            self.resets += 1
            raise _unreachable(ConnectionResetError(104, 'reset'))
        return Connection(self)


class Connection:
    """A connection to an ``Endpoint``; see ``EndpointConnection``."""

    is_new = True
    is_closed = False

    def __init__(self, endpoint):
        self._endpoint = endpoint
        endpoint.open += 1

    def is_reusable(self):
        """Return whether it is open."""
        return not self.is_closed

    def set_idle(self, is_idle):
        """Do nothing."""

    def wait(self, caller_socket, timeout):
        """Return that nothing comes."""
        return endpoint_connections.WaitResult.TIMED_OUT

    def close(self):
        """Close it."""
        if not self.is_closed:
            self.is_closed = True
            self._endpoint.open -= 1


class Vm:
    """An entry VM with its pool and the endpoints that it reaches."""

    def __init__(self, fleet, shares):
        self.reachability = endpoint_reachability.EndpointReachability(
            fleet.records, fleet.clock, probes_few=shares
        )
        if not shares:
            self.pool = connection_pool.ConnectionPool(
                fleet.clock, self.reachability.note
            )
            return
        self.pool = shared_connection_pool.SharedConnectionPool(
            connection_shares.ConnectionShares(
                fleet.limits, fleet.count_vms, fleet.clock, random.Random(1)
            ),
            metrics.Metrics(),
            self.reachability.note,
            clock=fleet.clock,
        )
        self.pool.close_expired()

    def usable(self, endpoints):
        """Return the endpoints to which requests may go now."""
        full_addresses = self.pool.full_addresses()
        return [
            endpoint
            for endpoint in endpoints
            if not endpoint.is_dark
            and endpoint.address not in full_addresses
            and not self.pool.seconds_until_open(endpoint.address)
        ]


@dataclasses.dataclass
class Result:
    """What a fleet did.

    Attributes:
        requests: requests that were sent.
        fresh: those that may not use an old connection.
        connections: connections that were made.
        waits: requests for which no endpoint had room.
    """

    requests: int = 0
    fresh: int = 0
    connections: int = 0
    waits: int = 0

    @property
    def connections_per_fresh_request(self):
        """New connections for each request that needs one."""
        return self.connections / self.fresh


class Fleet:
    """VMs that send requests to endpoints.

    Attributes:
        clock: the ``Clock``.
        endpoints: the ``Endpoint`` list.
        result: the ``Result`` so far.
    """

    def __init__(self, monkeypatch, vm_count, endpoint_count, shares, seed=1):
        self.clock = builders.Clock()
        self.endpoints = [Endpoint(n) for n in range(endpoint_count)]
        self.result = Result()
        self._by_address = {e.address: e for e in self.endpoints}
        self._random = random.Random(seed)
        self._shares = shares
        self._ends = []
        self._numbers = itertools.count()
        self._next_tick_at = self.clock()
        self._dark_probe_at = {}
        monkeypatch.setattr(connection_pool, '_connect', self._connect)
        self.vms = []
        for _ in range(vm_count):
            self.start_vm()

    def start_vm(self):
        """Add a VM."""
        self.vms.append(Vm(self, self._shares))

    def lose_vm(self):
        """Remove a VM whose connections stay open."""
        self.vms.pop()

    def count_vms(self):
        """Return the number of VMs."""
        return max(1, len(self.vms))

    def records(self):
        """Return the ``Endpoint`` records that VMs know."""
        return [endpoint.record for endpoint in self.endpoints]

    def limits(self):
        """Return the limits that the configuration names."""
        limit = connection_shares.EndpointLimit(MAX_CONNECTIONS, 'engine')
        return dict.fromkeys(self._by_address, limit)

    @property
    def resets(self):
        """Connections that were reset."""
        return sum(endpoint.resets for endpoint in self.endpoints)

    def run(self, seconds, load=1.0):
        """Have the VMs send requests for some time.

        Args:
            seconds: how long.
            load: multiple of ``REQUESTS_PER_VM``.
        """
        ends_at = self.clock() + seconds
        while True:
            rate = load * REQUESTS_PER_VM * len(self.vms)
            arrives_at = self.clock() + self._random.expovariate(rate)
            self._advance(min(arrives_at, ends_at))
            if arrives_at >= ends_at:
                return
            self._send(self._random.choice(self.vms))

    def _connect(self, address, timeout):
        connection = self._by_address[address].accept()
        self.result.connections += 1
        return connection

    def _advance(self, until):
        while True:
            end_at = self._ends[0][0] if self._ends else until
            next_at = min(until, end_at, self._next_tick_at)
            self.clock.advance(max(0.0, next_at - self.clock()))
            if next_at == self._next_tick_at and next_at < until:
                self._tick()
            elif self._ends and next_at == end_at and next_at < until:
                self._end(*heapq.heappop(self._ends)[2:])
            else:
                return

    def _tick(self):
        self._next_tick_at += PROBE_PERIOD_SECONDS
        for vm in self.vms:
            vm.pool.close_expired()
            for endpoint in self.endpoints:
                if endpoint.is_dark:
                    self._probe(vm, endpoint.record)
            for record in vm.reachability.pop_unproven_endpoints():
                self._probe(vm, record)

    def _probe(self, vm, record):
        try:
            connection = vm.pool.acquire(
                record.address, False, instance=record.instance
            )
        except errors.EndpointUnreachable:
            return
        vm.pool.release(record.address, connection, None, record.instance)

    def _send(self, vm):
        is_idempotent = self._random.random() < IDEMPOTENT_PART
        # The less loaded one of two that take requests of this VM.
        usable = vm.usable(self.endpoints)
        if not usable:
            self.result.waits += 1
            return
        first, second = self._random.choices(usable, k=2)
        endpoint = min((first, second), key=lambda e: e.in_flight)
        record = endpoint.record
        self.result.requests += 1
        self.result.fresh += not is_idempotent
        try:
            connection = vm.pool.acquire(
                record.address, is_idempotent, instance=record.instance
            )
        except errors.EndpointUnreachable:
            return
        vm.pool.note_accepted(record.address)
        endpoint.in_flight += 1
        seconds = self._random.expovariate(1 / SERVICE_SECONDS)
        heapq.heappush(
            self._ends,
            (
                self.clock() + seconds,
                next(self._numbers),
                vm,
                endpoint,
                connection,
            ),
        )

    def _end(self, vm, endpoint, connection):
        endpoint.in_flight -= 1
        record = endpoint.record
        if vm in self.vms:
            vm.pool.release(
                record.address, connection, IDLE_SECONDS, record.instance
            )


def _unreachable(cause):
    error = errors.EndpointUnreachable('connecting failed')
    error.__cause__ = cause
    error.is_timeout = isinstance(cause, TimeoutError)
    return error
