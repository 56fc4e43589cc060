"""Tests of probes, and a replay of an engine that goes dark."""

import random

from carobwood import errors
from carobwood_daemon.relay import health
from carobwood_daemon.relay import probation
import pytest
import relay_builders as build

VMS = 7
ARRIVALS_PER_SECOND = 4.0


class StandInPool:
    """Connections that come about or not."""

    def __init__(self, reachable=True):
        self.reachable = reachable
        self.kept = []

    def take(self, address, may_be_kept, timeout):
        """Give a connection, as the pool does."""
        assert not may_be_kept and timeout == probation.PROBE_SECONDS
        if not self.reachable:
            raise errors.EndpointUnreachable('dark')
        return address

    def give_back(self, address, upstream, idle_seconds):
        """Keep a connection."""
        assert (upstream, idle_seconds) == (address, None)
        self.kept.append(address)


class Vm:
    """One entry VM's beliefs about a single engine."""

    def __init__(self, clock, pool, endpoint):
        self.endpoint = endpoint
        self.health = health.Health(clock)
        self.returned = 0
        self.probation = probation.Probation(
            self.health, pool, self._note_return
        )

    def _note_return(self):
        self.returned += 1

    def step(self):
        """Probe what is due, in this thread."""
        for endpoint in self.health.take_due_for_probe():
            self.probation.probe(endpoint)


@pytest.mark.parametrize('seed', range(5))
def test_a_dark_engine_costs_each_vm_one_request(seed):
    # It is dark for 4 s, until its announcements are missed; then back.
    source = random.Random(seed)
    clock = build.Clock()
    pool = StandInPool(reachable=False)
    vms = [Vm(clock, pool, build.endpoint()) for _ in range(VMS)]
    failed = dict.fromkeys(range(VMS), 0)
    ends_at = clock.now + 4.0
    while clock.now < ends_at:
        clock.pass_seconds(0.05)
        for number, vm in enumerate(vms):
            vm.step()
            arrives = source.random() < ARRIVALS_PER_SECOND * 0.05
            if arrives and not vm.health.is_avoided(vm.endpoint):
                failed[number] += 1
                vm.health.note_unreachable(vm.endpoint)
    assert set(failed.values()) == {1}
    pool.reachable = True
    clock.pass_seconds(health.MAX_PAUSE_SECONDS)
    for vm in vms:
        vm.step()
        assert not vm.health.is_avoided(vm.endpoint)
        assert vm.returned == 1
    assert len(pool.kept) == VMS
