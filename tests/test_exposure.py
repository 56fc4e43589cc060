"""Tests of the requests that a version which is not yet trusted may get."""

import os
import random

from carobwood_daemon.rollouts import exposure
import pytest

BOUNDS = exposure.ExposureBounds(0.1, 50.0)
REPORT_SECONDS = 0.25
GRANT_SECONDS = 1.0
# More seeds are drawn by hand: ROLLOUT_SEEDS=200.
SEEDS = range(int(os.environ.get('ROLLOUT_SEEDS', '10')))


class Vm:
    """An entry VM with requests of its own and units that end.

    Attributes:
        sent: requests sent to the service.
        exposed: those sent to the target version.
        is_cut_off: whether its reports are lost.
    """

    def __init__(self, rate, rng):
        self._rate = rate
        self._random = rng
        self._units = []
        self.sent = 0
        self.exposed = 0
        self.is_cut_off = False

    @property
    def wanted(self):
        """Requests that it wants to send in the next second."""
        return round(self._rate + self._random.random())

    def add(self, number, now):
        """Add units that were granted at a time."""
        self._units += [now + GRANT_SECONDS] * number

    def serve(self, now):
        """Send the requests of one period, to the target where it may."""
        self._units = [ends_at for ends_at in self._units if ends_at > now]
        arrivals = self._rate * REPORT_SECONDS
        for _ in range(int(arrivals + self._random.random())):
            self.sent += 1
            if self._units:
                self._units.pop()
                self.exposed += 1


class Fleet:
    """Entry VMs and an owner that changes now and then."""

    def __init__(self, count, rate, rng):
        self._random = rng
        self.vms = [Vm(rate / count, rng) for _ in range(count)]
        self.reserved = 0
        self._elect()

    @property
    def sent(self):
        """Requests that the VMs have sent to the service."""
        return sum(vm.sent for vm in self.vms)

    @property
    def exposed(self):
        """Requests that the target version got."""
        return sum(vm.exposed for vm in self.vms)

    def _elect(self):
        # A new owner knows nothing but the log.
        self._reported_by_vm = {}
        self._wanted_by_vm = {}
        self._budget = exposure.ExposureBudget(
            BOUNDS, self.reserved, self._random
        )

    def step(self, now, with_faults):
        """Play one period."""
        if with_faults and self._random.random() < 0.02:
            self._elect()
        for vm in self.vms:
            if with_faults and self._random.random() < 0.01:
                vm.is_cut_off = not vm.is_cut_off
            vm.serve(now)
            if not vm.is_cut_off:
                self._report(vm, now)

    def _report(self, vm, now):
        self._reported_by_vm[vm] = vm.sent
        self._wanted_by_vm[vm] = vm.wanted
        sent = sum(self._reported_by_vm.values())
        wanted = sum(self._wanted_by_vm.values())
        self.reserved = self._budget.wanted_reservation(sent, wanted)
        self._budget.note_reserved(self.reserved)
        vm.add(self._budget.grant(self._wanted_by_vm[vm], wanted), now)


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('count', [8, 75, 200])
def test_the_exposure_stays_within_its_bounds(seed, count):
    fleet = Fleet(count, 250.0, random.Random(seed))
    for number in range(120):
        fleet.step(number * REPORT_SECONDS, with_faults=True)
        assert fleet.exposed <= 0.1 * fleet.sent + 50


@pytest.mark.parametrize('count', [8, 75, 200])
def test_most_of_the_allowance_is_used(count):
    fleet = Fleet(count, 250.0, random.Random(1))
    for number in range(120):
        fleet.step(number * REPORT_SECONDS, with_faults=False)
    assert fleet.exposed >= 0.6 * BOUNDS.allowance(fleet.sent)


def test_a_new_owner_grants_nothing_that_a_former_one_may_have_granted():
    budget = exposure.ExposureBudget(BOUNDS, 25)
    assert budget.grant(10, 10) == 0
    budget.note_reserved(budget.wanted_reservation(1000, 10))
    assert budget.reserved == 41
    assert budget.grant(100, 100) == 16


def test_nothing_is_granted_beyond_what_is_reserved():
    budget = exposure.ExposureBudget(BOUNDS, 0)
    assert budget.wanted_reservation(0, 10) == 16
    assert budget.grant(10, 10) == 0
    budget.note_reserved(16)
    assert sum(budget.grant(10, 10) for _ in range(9)) == 16


def test_vms_get_parts_by_what_they_want():
    budget = exposure.ExposureBudget(BOUNDS, 0, random.Random(1))
    budget.note_reserved(1_000_000)
    assert budget.grant(0, 10) == 0
    assert budget.grant(5, 10) == 5
    assert abs(budget.grant(2_000_000, 8_000_000) - 250_000) < 10


def test_requests_that_nobody_granted_leave_less_to_grant():
    bounds = exposure.ExposureBounds(0.1, 50.0)
    budget = exposure.ExposureBudget(bounds, 16)
    budget.note_reserved(40)
    budget.note_sent(39)
    assert budget.grant(10, 10) == 1
    budget.note_sent(60)
    assert budget.grant(10, 10) == 0
