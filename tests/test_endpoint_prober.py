"""Tests of probes, with a simulation of an engine that is unreachable."""

import random

from carobwood import errors
from carobwood_daemon.relay import endpoint_health
from carobwood_daemon.relay import endpoint_prober
from carobwood_daemon.relay import endpoint_reachability
import pytest
import relay_builders as builders

VMS = 7
ARRIVALS_PER_SECOND = 4.0


class FakePool:
    """A connection pool whose endpoint is reachable or not."""

    def __init__(self, reachable=True):
        self.reachable = reachable
        self.kept = []

    def acquire(self, address, may_reuse, timeout, instance):
        """See ``ConnectionPool``; the address serves as the connection."""
        assert (
            not may_reuse and timeout == endpoint_prober.PROBE_TIMEOUT_SECONDS
        )
        self.instance = instance
        if not self.reachable:
            raise errors.EndpointUnreachable('unreachable')
        return address

    def release(self, address, upstream, idle_seconds, instance):
        """See ``ConnectionPool``."""
        assert (upstream, idle_seconds) == (address, None)
        assert instance is not None and instance == self.instance
        self.kept.append(address)


class Vm:
    """One entry VM with its health record of a single engine."""

    def __init__(self, clock, pool, endpoint):
        self.endpoint = endpoint
        self.health = endpoint_health.EndpointHealth(clock)
        self.recoveries = 0
        self.prober = endpoint_prober.EndpointProber(
            self.health,
            endpoint_reachability.EndpointReachability(
                lambda: [endpoint], clock
            ),
            pool,
            self._count_recovery,
        )

    def _count_recovery(self):
        self.recoveries += 1

    def step(self):
        """Probe the endpoints that are due, on this thread."""
        for endpoint in self.health.pop_due_probes():
            self.prober.probe(endpoint)


@pytest.mark.parametrize('seed', range(5))
def test_an_unreachable_engine_costs_each_vm_one_request(seed):
    # The engine is unreachable for 4 s, the time until it is declared gone
    # for lack of announcements, and then reachable again.
    source = random.Random(seed)
    clock = builders.Clock()
    pool = FakePool(reachable=False)
    vms = [Vm(clock, pool, builders.endpoint()) for _ in range(VMS)]
    failures_by_vm = dict.fromkeys(range(VMS), 0)
    ends_at = clock.now + 4.0
    while clock.now < ends_at:
        clock.advance(0.05)
        for number, vm in enumerate(vms):
            vm.step()
            arrives = source.random() < ARRIVALS_PER_SECOND * 0.05
            if arrives and not vm.health.is_ejected(vm.endpoint):
                failures_by_vm[number] += 1
                vm.health.note_unreachable(vm.endpoint)
    assert set(failures_by_vm.values()) == {1}
    pool.reachable = True
    clock.advance(endpoint_health.MAX_PROBE_DELAY_SECONDS)
    for vm in vms:
        vm.step()
        assert not vm.health.is_ejected(vm.endpoint)
        assert vm.recoveries == 1
    assert len(pool.kept) == VMS
