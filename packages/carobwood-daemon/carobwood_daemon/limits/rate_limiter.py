"""Fleet-wide rate limits of customers.

Rate and burst of each customer are divided equally among the VMs of the
fleet, and every VM enforces its share with a token bucket. A VM whose
bucket runs low borrows tokens from the buckets of other VMs. Borrowing
moves tokens and never creates any, so over any window of t seconds all VMs
together admit at most burst + rate * t tokens, despite network partitions,
restarts and lost messages. docs/design/limits.md compares the alternatives.
"""

import dataclasses
import threading

from carobwood import clocks
from carobwood import errors

from . import token_bucket

MAX_RETRY_AFTER_SECONDS = 60.0
# A VM without a request of the customer for longer than this lends its
# whole balance.
IDLE_AFTER_SECONDS = 2.0
# Fraction of the balance that a VM with requests of the customer keeps when
# it lends.
RETAINED_FRACTION = 0.5
# Fraction of the bucket capacity that is borrowed beyond the immediate need.
PREFETCH_FRACTION = 0.5


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Tokens reserved for one request.

    Attributes:
        customer_id: id of the customer whose tokens are reserved.
        tokens: number of reserved tokens.
    """

    customer_id: str
    tokens: float


class _Account:
    """Rate limit state of one customer on this VM.

    Attributes:
        bucket: the ``TokenBucket`` with this VM's share of the limit.
        burst: fleet-wide burst in tokens.
        rate: fleet-wide rate in tokens per second.
        last_request_at: time of the customer's last request on this VM, on
            the monotonic clock.
        borrow_lock: lets one request at a time borrow tokens.
    """

    def __init__(self, bucket, customer):
        self.bucket = bucket
        self.burst = customer.burst_tokens
        self.rate = customer.rate_tokens_per_second
        self.last_request_at = float('-inf')
        self.borrow_lock = threading.Lock()


class RateLimiter:
    """Rate limiter of this VM, with one token bucket per customer.

    Buckets start empty, so that a restart never admits a second burst.
    """

    def __init__(self, vm_slots, token_borrower=None, clock=clocks.now):
        """Create the rate limiter without any buckets.

        Args:
            vm_slots: number of shares that rate and burst are divided into;
                must be the same on every VM of the fleet.
            token_borrower: the ``TokenBorrower`` that borrows from other VMs,
                or None to use only this VM's share.
            clock: monotonic clock in seconds.
        """
        self._vm_slots = vm_slots
        self._token_borrower = token_borrower
        self._clock = clock
        self._lock = threading.Lock()
        self._accounts_by_customer = {}

    def update_customers(self, document):
        """Create or resize the buckets of all customers of a document.

        New buckets start to fill at once instead of at the customer's first
        request.
        """
        with self._lock:
            for customer in document.customers:
                self._account_of(customer)

    def reserve(self, customer, tokens):
        """Reserve tokens for a request, borrowing them if necessary.

        Args:
            customer: the ``Customer`` of the document.
            tokens: number of tokens to reserve.

        Returns:
            The ``Reservation``.

        Raises:
            RateExceeded: not enough tokens are available now; the error
                carries the time after which to retry.
            RequestExceedsBurst: the request needs more tokens than the
                burst and can never be admitted.
        """
        with self._lock:
            account = self._account_of(customer)
            account.last_request_at = self._clock()
            if tokens > account.burst:
                raise errors.RequestExceedsBurst(
                    f'request needs {tokens:.0f} tokens, more than the '
                    f'burst of {account.burst:.0f}'
                )
            missing = self._take(account, tokens)
        if missing > 0:
            missing = self._borrow_and_take(customer.id, account, tokens)
        if missing > 0:
            retry_after = min(MAX_RETRY_AFTER_SECONDS, missing / account.rate)
            raise errors.RateExceeded(
                'customer exceeded its token rate', retry_after
            )
        return Reservation(customer.id, tokens)

    def lend(self, customer_id, tokens):
        """Lend tokens of this VM's bucket to another VM.

        A VM that received requests of the customer in the last
        ``IDLE_AFTER_SECONDS`` keeps ``RETAINED_FRACTION`` of its balance.

        Args:
            customer_id: id of the customer whose tokens are lent.
            tokens: maximum number of tokens to lend; a negative number
                returns borrowed tokens to this VM's bucket.

        Returns:
            Number of tokens taken from the bucket.
        """
        with self._lock:
            account = self._accounts_by_customer.get(customer_id)
            if account is None:
                return 0.0
            if tokens < 0:
                account.bucket.put_back(-tokens)
                return 0.0
            idle_seconds = self._clock() - account.last_request_at
            fraction = (
                1.0
                if idle_seconds > IDLE_AFTER_SECONDS
                else 1.0 - RETAINED_FRACTION
            )
            lent = min(tokens, max(0.0, account.bucket.tokens * fraction))
            account.bucket.charge(lent)
            return lent

    def reconcile(self, reservation, used):
        """Correct a reservation to the tokens that were actually used.

        Args:
            reservation: the ``Reservation``.
            used: tokens that the endpoint reported, or None if unknown; the
                reservation then counts in full.
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
        if self._token_borrower is None:
            with self._lock:
                return tokens - account.bucket.tokens
        with account.borrow_lock:
            with self._lock:
                # A request that held the lock before may have borrowed
                # enough.
                missing = self._take(account, tokens)
                if missing <= 0:
                    return 0.0
                prefetch = account.bucket.capacity * PREFETCH_FRACTION
            # Borrows more than needed now, so that not every request has
            # to borrow.
            loans = self._token_borrower.borrow(
                customer_id, missing + prefetch
            )
            lent = sum(loan.tokens for loan in loans)
            with self._lock:
                missing = self._take_with_loan(account, tokens, lent)
            if missing > 0:
                # The bucket would discard borrowed tokens above its
                # capacity, and repeated attempts would drain the buckets
                # of the fleet.
                self._token_borrower.return_tokens(customer_id, loans)
            return missing

    def _take_with_loan(self, account, tokens, lent):
        available = account.bucket.tokens
        if available + lent < tokens:
            return tokens - available - lent
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
            bucket = token_bucket.TokenBucket(rate, capacity, self._clock)
            account = _Account(bucket, customer)
            self._accounts_by_customer[customer.id] = account
        elif (account.bucket.rate, account.bucket.capacity) != (
            rate,
            capacity,
        ):
            account.bucket.resize(rate, capacity)
            account.rate = customer.rate_tokens_per_second
            account.burst = customer.burst_tokens
        return account
