"""Each customer's rate and burst over the whole fleet.

Every VM owns an equal part of each contract as a token bucket. A VM that
runs short borrows tokens from the buckets of other VMs. A loan moves
tokens and makes none, so over any window of t seconds all VMs together
admit at most burst + rate * t, whatever is cut off, restarted or lost.
docs/design/limits.md weighs the ways.
"""

import dataclasses
import threading
import time

from carobwood import errors

from . import bucket

MAX_RETRY_AFTER = 60.0
DEMAND_SECONDS = 2.0
KEPT_SHARE = 0.5
PREFETCH_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Tokens taken for one request.

    Attributes:
        customer_id: whose tokens.
        tokens: how many.
    """

    customer_id: str
    tokens: float


class _Account:
    """A customer's bucket on this VM.

    Attributes:
        bucket: the ``Bucket``.
        burst: tokens of the whole fleet's bucket.
        rate: tokens a second of the whole fleet.
        demanded_at: when this VM last served the customer.
        borrowing: held by the one request that borrows at a time.
    """

    def __init__(self, held, customer):
        self.bucket = held
        self.burst = customer.burst_tokens
        self.rate = customer.rate_tokens_per_second
        self.demanded_at = float('-inf')
        self.borrowing = threading.Lock()


class Allowance:
    """Token buckets of this VM, by customer.

    Buckets start empty, so that a restart never admits a second burst.
    """

    def __init__(self, vm_slots, lenders=None, clock=time.monotonic):
        """Create the buckets' table.

        Args:
            vm_slots: number of VMs that the contracts are divided by,
                the same on every VM of the fleet.
            lenders: the ``Lenders`` to borrow from, or None.
            clock: monotonic clock in seconds.
        """
        self._vm_slots = vm_slots
        self._lenders = lenders
        self._clock = clock
        self._lock = threading.Lock()
        self._accounts_by_customer = {}

    def prepare(self, document):
        """Let the buckets of a document's customers fill from now on."""
        with self._lock:
            for customer in document.customers:
                self._account_of(customer)

    def reserve(self, customer, tokens):
        """Take tokens for a request.

        Returns:
            The ``Reservation``.

        Raises:
            RateExceeded: they are not there; says when they will be.
            RequestExceedsBurst: they never will be.
        """
        with self._lock:
            account = self._account_of(customer)
            account.demanded_at = self._clock()
            if tokens > account.burst:
                raise errors.RequestExceedsBurst(
                    f'{tokens:.0f} tokens exceed the burst of '
                    f'{account.burst:.0f}'
                )
            missing = self._take(account, tokens)
        if missing > 0:
            missing = self._borrow_and_take(customer.id, account, tokens)
        if missing > 0:
            retry_after = min(MAX_RETRY_AFTER, missing / account.rate)
            raise errors.RateExceeded('the rate is used up', retry_after)
        return Reservation(customer.id, tokens)

    def lend(self, customer_id, tokens):
        """Give tokens away to another VM.

        A VM that serves the customer itself keeps half of what it has.

        Args:
            customer_id: whose tokens.
            tokens: how many at most; a negative number gives a loan
                back.

        Returns:
            Tokens taken from the bucket here.
        """
        with self._lock:
            account = self._accounts_by_customer.get(customer_id)
            if account is None:
                return 0.0
            if tokens < 0:
                account.bucket.put_back(-tokens)
                return 0.0
            idle = self._clock() - account.demanded_at
            share = 1.0 if idle > DEMAND_SECONDS else 1.0 - KEPT_SHARE
            lent = min(tokens, max(0.0, account.bucket.tokens * share))
            account.bucket.charge(lent)
            return lent

    def settle(self, reservation, used):
        """Charge what was used instead of what was reserved.

        Args:
            reservation: the ``Reservation``.
            used: tokens that the endpoint reported, or None if unknown.
        """
        if used is None:
            return
        with self._lock:
            account = self._accounts_by_customer.get(reservation.customer_id)
            if account is None:
                return
            difference = reservation.tokens - used
            if difference >= 0:
                account.bucket.put_back(difference)
            else:
                account.bucket.charge(-difference)

    def _borrow_and_take(self, customer_id, account, tokens):
        if self._lenders is None:
            with self._lock:
                return tokens - account.bucket.tokens
        with account.borrowing:
            with self._lock:
                # An earlier loan may have brought enough.
                missing = self._take(account, tokens)
                if missing <= 0:
                    return 0.0
                spare = account.bucket.capacity * PREFETCH_SHARE
            # Asked for a little more, so that not every request asks.
            loans = self._lenders.borrow(customer_id, missing + spare)
            lent = sum(loan.tokens for loan in loans)
            with self._lock:
                missing = self._take_with_loan(account, tokens, lent)
            if missing > 0:
                # Kept here they would not fit and be lost, and asking
                # again and again would drain the fleet.
                self._lenders.give_back(customer_id, loans)
            return missing

    def _take_with_loan(self, account, tokens, lent):
        held = account.bucket.tokens
        if held + lent < tokens:
            return tokens - held - lent
        if lent >= tokens:
            account.bucket.put_back(lent - tokens)
        else:
            account.bucket.charge(tokens - lent)
        return 0.0

    def _take(self, account, tokens):
        if account.bucket.take(tokens) == 0.0:
            return 0.0
        return tokens - account.bucket.tokens

    def _account_of(self, customer):
        rate = customer.rate_tokens_per_second / self._vm_slots
        capacity = customer.burst_tokens / self._vm_slots
        account = self._accounts_by_customer.get(customer.id)
        if account is None:
            held = bucket.Bucket(rate, capacity, self._clock)
            account = _Account(held, customer)
            self._accounts_by_customer[customer.id] = account
        elif (account.bucket.rate, account.bucket.capacity) != (
            rate,
            capacity,
        ):
            account.bucket.resize(rate, capacity)
            account.rate = customer.rate_tokens_per_second
            account.burst = customer.burst_tokens
        return account
