"""Tests of fleet-wide rate limits with borrowing between VMs."""

import random

import pytest

from carobwood import document
from carobwood import errors
from carobwood_daemon.limits import rate_limiter
from carobwood_daemon.limits import token_borrower

SEEDS = range(8)
RATE = 1000.0
BURST = 4000.0
VMS = 4
CUSTOMER = document.Customer('abyssinia-bole', RATE, BURST)
DOCUMENT = document.Document('production', (CUSTOMER,), (), (), ())


class FakeClock:
    """A monotonic clock that tests advance."""

    def __init__(self):
        self.now = 0.0

    def __call__(self):
        """Return the time in seconds."""
        return self.now


class FakeFleet:
    """Rate limiters of several VMs that lend to each other.

    Attributes:
        clock: the ``FakeClock`` of all VMs.
        cut_off: numbers of the VMs that a network partition separates from
            the others.
        rate_limiters: the ``RateLimiter`` of each VM.
    """

    def __init__(self):
        self.clock = FakeClock()
        self.cut_off = set()
        self.rate_limiters = []
        for number in range(VMS):
            self.rate_limiters.append(None)
            self.restart(number)

    def restart(self, number):
        """Replace a VM's rate limiter with a new one, as a restart does."""
        self.rate_limiters[number] = rate_limiter.RateLimiter(
            VMS, FakeTokenBorrower(self, number), self.clock
        )
        self.rate_limiters[number].update_customers(DOCUMENT)


class FakeTokenBorrower:
    """Borrows from the rate limiters of a ``FakeFleet`` by direct calls."""

    def __init__(self, fleet, borrower):
        self._fleet = fleet
        self._borrower = borrower

    def borrow(self, customer_id, tokens):
        """Borrow from every VM on the same side of the partition."""
        cut_off = self._fleet.cut_off
        loans = []
        for number, lender in enumerate(self._fleet.rate_limiters):
            separated = (number in cut_off) != (self._borrower in cut_off)
            if number != self._borrower and not separated:
                lent = lender.lend(customer_id, tokens)
                tokens -= lent
                loans.append(token_borrower.BorrowedTokens(str(number), lent))
        return loans

    def return_tokens(self, customer_id, loans):
        """Return borrowed tokens to the VMs that lent them."""
        for loan in loans:
            lender = self._fleet.rate_limiters[int(loan.lender)]
            lender.lend(customer_id, -loan.tokens)


def _reserve(fleet, number, tokens):
    try:
        return fleet.rate_limiters[number].reserve(CUSTOMER, tokens)
    except errors.RateExceeded as error:
        assert error.retry_after > 0
        return None


@pytest.mark.parametrize('seed', SEEDS)
def test_no_window_admits_more_than_burst_and_rate(seed):
    """The bound holds with loans, partitions, restarts and refunds."""
    generator = random.Random(seed)
    fleet = FakeFleet()
    admitted = []
    for _ in range(3000):
        fleet.clock.now += generator.expovariate(50)
        number = generator.randrange(VMS)
        match generator.random():
            case chance if chance < 0.01:
                fleet.restart(number)
            case chance if chance < 0.02:
                fleet.cut_off = set(generator.sample(range(VMS), 2))
            case chance if chance < 0.03:
                fleet.cut_off = set()
        tokens = generator.choice([10, 100, 300, 1500])
        reservation = _reserve(fleet, number, tokens)
        if reservation is None:
            continue
        used = generator.choice([tokens, tokens / 2])
        fleet.rate_limiters[number].reconcile(reservation, used)
        admitted.append((fleet.clock.now, used))
    assert len(admitted) > 200
    _assert_within_limit(admitted)


def _assert_within_limit(admitted):
    # Every window stays within burst + rate * t exactly if a backlog that
    # grows by each admission and drains at the rate never exceeds the burst.
    backlog = 0.0
    last = 0.0
    for admitted_at, tokens in admitted:
        backlog = max(0.0, backlog - (admitted_at - last) * RATE) + tokens
        last = admitted_at
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


def test_a_request_as_large_as_the_burst_is_admitted():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 1, BURST)
    assert _reserve(fleet, 2, 100) is None
    with pytest.raises(errors.RequestExceedsBurst):
        fleet.rate_limiters[0].reserve(CUSTOMER, BURST + 1)


def test_failed_borrowing_drains_no_bucket():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 0, BURST)
    for _ in range(200):
        fleet.clock.now += 0.05 * BURST / RATE / 10
        if _reserve(fleet, 1, 0.9 * BURST):
            break
    # The buckets of the fleet hold 0.9 of the burst after 0.9 of the time
    # that they need to fill completely.
    assert fleet.clock.now <= 10 + 0.9 * BURST / RATE + 0.1


def test_a_partitioned_vm_keeps_its_share():
    fleet = FakeFleet()
    fleet.clock.now += 10
    fleet.cut_off = {3}
    assert _reserve(fleet, 3, BURST / VMS)
    assert _reserve(fleet, 3, 1) is None
    fleet.clock.now += 1
    assert _reserve(fleet, 3, RATE / VMS)


def test_buckets_are_empty_after_a_restart():
    fleet = FakeFleet()
    fleet.clock.now += 10
    assert _reserve(fleet, 0, BURST)
    fleet.restart(0)
    assert _reserve(fleet, 0, 1) is None
