"""Borrowing of rate limit tokens from the token buckets of other VMs."""

import dataclasses
import queue
import random

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood import threads

# Maximum number of VMs that one request tries to borrow from.
MAX_LENDERS = 8
LEND_TIMEOUT_SECONDS = 0.25


@dataclasses.dataclass(frozen=True)
class BorrowedTokens:
    """Tokens borrowed from one VM.

    Attributes:
        lender: link address of the lending VM.
        tokens: number of borrowed tokens.
    """

    lender: str
    tokens: float


class TokenBorrower:
    """Borrows tokens from randomly chosen live VMs in parallel.

    The lending VM deducts the tokens before it replies. If the reply is
    lost, the tokens are lost as well, so the fleet admits fewer tokens than
    the rate limit allows, never more.
    """

    def __init__(self, directory, links, clock=clocks.now):
        self._directory = directory
        self._links = links
        self._clock = clock
        self._random = random.SystemRandom()

    def borrow(self, customer_id, tokens):
        """Borrow tokens from other VMs.

        Args:
            customer_id: id of the customer whose tokens are borrowed.
            tokens: maximum number of tokens to borrow in total.

        Returns:
            The ``BorrowedTokens`` of each VM that lent tokens.
        """
        addresses = self._sample_live_vms()
        loans = self._borrow_evenly(addresses, customer_id, tokens)
        missing = tokens - sum(loan.tokens for loan in loans)
        if loans and missing > 0:
            # VMs that lent something may have more tokens left.
            lenders = [loan.lender for loan in loans]
            loans += self._borrow_evenly(lenders, customer_id, missing)
        return loans

    def return_tokens(self, customer_id, loans):
        """Return borrowed tokens to the VMs that lent them."""
        for loan in loans:
            self._request_loan(loan.lender, customer_id, -loan.tokens)

    def _sample_live_vms(self):
        now = self._clock()
        # The first entry of the directory is this VM itself.
        alive = [
            vm.link_address
            for vm in self._directory.vms()[1:]
            if not vm.is_silent(now)
        ]
        size = min(MAX_LENDERS, len(alive))
        return self._random.sample(alive, size)

    def _borrow_evenly(self, addresses, customer_id, tokens):
        replies = queue.Queue()
        for address in addresses:
            threads.BoundedThread(
                target=lambda lender=address: replies.put(
                    self._request_loan(
                        lender, customer_id, tokens / len(addresses)
                    )
                ),
                name='borrow',
                daemon=True,
            ).start()
        loans = [replies.get() for _ in addresses]
        return [loan for loan in loans if loan.tokens > 0]

    def _request_loan(self, address, customer_id, tokens):
        request = ttypes.LendRequest(customer_id, tokens)
        try:
            link = self._links.to(address)
            reply = link.call('lend_tokens', request, LEND_TIMEOUT_SECONDS)
        except errors.LinkFailed:
            return BorrowedTokens(address, 0.0)
        return BorrowedTokens(address, reply.tokens)
