"""A VM's fixed part of each customer's rate and burst.

Over any window of t seconds all VMs together admit at most
burst + rate * t tokens, whatever is cut off: each VM spends an equal
part of the document's contract, and the parts never add up to more
than the whole. docs/design/limits.md weighs the ways.
"""

import dataclasses
import threading
import time

from carobwood import errors

from . import bucket

MAX_RETRY_AFTER = 60.0


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Tokens taken for one request.

    Attributes:
        customer_id: whose tokens.
        tokens: how many.
    """

    customer_id: str
    tokens: float


class Allowance:
    """Token buckets of this VM, by customer.

    Buckets start empty, so that a restart never admits a second burst.
    """

    def __init__(self, vm_slots, clock=time.monotonic):
        """Create the buckets' table.

        Args:
            vm_slots: number of VMs that the contracts are divided by,
                the same on every VM of the fleet.
            clock: monotonic clock in seconds.
        """
        self._vm_slots = vm_slots
        self._clock = clock
        self._lock = threading.Lock()
        self._buckets_by_customer = {}

    def prepare(self, document):
        """Let the buckets of a document's customers fill from now on."""
        with self._lock:
            for customer in document.customers:
                self._bucket_of(customer)

    def reserve(self, customer, tokens):
        """Take tokens for a request.

        Returns:
            The ``Reservation``.

        Raises:
            RateExceeded: they are not there; says when they will be.
            RequestExceedsBurst: they never will be.
        """
        with self._lock:
            held = self._bucket_of(customer)
            if tokens > held.capacity:
                raise errors.RequestExceedsBurst(
                    f"{tokens:.0f} tokens exceed the VM's part of the "
                    f'burst, {held.capacity:.0f}'
                )
            wait = held.take(tokens)
        if wait > 0:
            retry_after = min(MAX_RETRY_AFTER, wait)
            raise errors.RateExceeded('the rate is used up', retry_after)
        return Reservation(customer.id, tokens)

    def settle(self, reservation, used):
        """Charge what was used instead of what was reserved.

        Args:
            reservation: the ``Reservation``.
            used: tokens that the endpoint reported, or None if unknown.
        """
        if used is None:
            return
        with self._lock:
            held = self._buckets_by_customer.get(reservation.customer_id)
            if held is None:
                return
            difference = reservation.tokens - used
            if difference >= 0:
                held.put_back(difference)
            else:
                held.charge(-difference)

    def _bucket_of(self, customer):
        rate = customer.rate_tokens_per_second / self._vm_slots
        capacity = customer.burst_tokens / self._vm_slots
        held = self._buckets_by_customer.get(customer.id)
        if held is None:
            held = bucket.Bucket(rate, capacity, self._clock)
            self._buckets_by_customer[customer.id] = held
        elif (held.rate, held.capacity) != (rate, capacity):
            held.resize(rate, capacity)
        return held
