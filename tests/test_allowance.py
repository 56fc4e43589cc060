"""Tests of customers' rate and burst over several VMs."""

import random

import pytest

from carobwood import document
from carobwood import errors
from carobwood_daemon.limits import allowance
from carobwood_daemon.limits import lenders

SEEDS = range(8)
RATE = 1000.0
BURST = 4000.0
VMS = 4
CUSTOMER = document.Customer('abyssinia-bole', RATE, BURST)
DOCUMENT = document.Document('production', (CUSTOMER,), (), (), ())


class FakeClock:
    """A monotonic clock that a test moves."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


class FakeFleet:
    """Allowances that lend to each other, unless cut off."""

    def __init__(self):
        self.clock = FakeClock()
        self.cut_off = set()
        self.allowances = []
        for number in range(VMS):
            self.allowances.append(None)
            self.restart(number)

    def restart(self, number):
        """Replace a VM's allowance by a fresh one."""
        self.allowances[number] = allowance.Allowance(
            VMS, FakeLenders(self, number), self.clock
        )
        self.allowances[number].prepare(DOCUMENT)


class FakeLenders:
    """Borrows directly from the other allowances of a fleet."""

    def __init__(self, fleet, borrower):
        self._fleet = fleet
        self._borrower = borrower

    def borrow(self, customer_id, tokens):
        """Return loans of all that can be reached."""
        cut_off = self._fleet.cut_off
        loans = []
        for number, lender in enumerate(self._fleet.allowances):
            apart = (number in cut_off) != (self._borrower in cut_off)
            if number != self._borrower and not apart:
                lent = lender.lend(customer_id, tokens)
                tokens -= lent
                loans.append(lenders.Loan(str(number), lent))
        return loans

    def give_back(self, customer_id, loans):
        """Return loans to their lenders."""
        for loan in loans:
            lender = self._fleet.allowances[int(loan.lender)]
            lender.lend(customer_id, -loan.tokens)


def _reserve(fleet, number, tokens):
    try:
        return fleet.allowances[number].reserve(CUSTOMER, tokens)
    except errors.RateExceeded as error:
        assert error.retry_after > 0
        return None


@pytest.mark.parametrize('seed', SEEDS)
def test_no_window_admits_more_than_burst_and_rate(seed):
    """Through loans, cuts, restarts, refunds and overdrafts."""
    source = random.Random(seed)
    fleet = FakeFleet()
    admitted = []
    for _ in range(3000):
        fleet.clock.now += source.expovariate(50)
        number = source.randrange(VMS)
        match source.random():
            case chance if chance < 0.01:
                fleet.restart(number)
            case chance if chance < 0.02:
                fleet.cut_off = set(source.sample(range(VMS), 2))
            case chance if chance < 0.03:
                fleet.cut_off = set()
        tokens = source.choice([10, 100, 300, 1500])
        reservation = _reserve(fleet, number, tokens)
        if reservation is None:
            continue
        used = source.choice([tokens, tokens / 2])
        fleet.allowances[number].settle(reservation, used)
        admitted.append((fleet.clock.now, used))
    assert len(admitted) > 200
    _assert_within(admitted)


def _assert_within(admitted):
    # The worst window ends at some admission; the bucket view of it:
    # a backlog that drains at the rate must never exceed the burst.
    backlog = 0.0
    last = 0.0
    for moment, tokens in admitted:
        backlog = max(0.0, backlog - (moment - last) * RATE) + tokens
        last = moment
        assert backlog <= BURST + 1e-6


def test_one_vm_may_use_the_whole_rate():
    fleet = FakeFleet()
    fleet.clock.now += 10
    admitted = 0
    refused = 0
    for _ in range(2000):
        fleet.clock.now += 0.1
        reservation = _reserve(fleet, 0, 0.95 * RATE * 0.1)
        admitted += reservation is not None
        refused += reservation is None
    assert refused <= 0.001 * (admitted + refused)


def test_a_request_as_large_as_the_burst_passes():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 1, BURST)
    assert _reserve(fleet, 2, 100) is None
    with pytest.raises(errors.RequestExceedsBurst):
        fleet.allowances[0].reserve(CUSTOMER, BURST + 1)


def test_asking_in_vain_drains_no_bucket():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 0, BURST)
    for _ in range(200):
        fleet.clock.now += 0.05 * BURST / RATE / 10
        if _reserve(fleet, 1, 0.9 * BURST):
            break
    # Full again after 0.9 of the time that the whole burst takes.
    assert fleet.clock.now <= 10 + 0.9 * BURST / RATE + 0.1


def test_a_cut_off_vm_keeps_its_part():
    fleet = FakeFleet()
    fleet.clock.now += 10
    fleet.cut_off = {3}
    assert _reserve(fleet, 3, BURST / VMS)
    assert _reserve(fleet, 3, 1) is None
    fleet.clock.now += 1
    assert _reserve(fleet, 3, RATE / VMS)


def test_a_restart_starts_empty():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 0, BURST)
    fleet.restart(0)
    assert _reserve(fleet, 0, 1) is None
