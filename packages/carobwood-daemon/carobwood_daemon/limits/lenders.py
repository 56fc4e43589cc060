"""Borrows tokens from the buckets of other VMs."""

import dataclasses
import queue
import random
import threading
import time

from carobwood import errors
from carobwood.gen.links import ttypes

MAX_LENDERS = 8
LEND_TIMEOUT = 0.25


@dataclasses.dataclass(frozen=True)
class Loan:
    """Tokens that one VM lent.

    Attributes:
        lender: link address of that VM.
        tokens: how many.
    """

    lender: str
    tokens: float


class Lenders:
    """Asks live VMs for tokens, several at once.

    A loan whose answer is lost is lost too: fewer tokens are admitted,
    never more.
    """

    def __init__(self, directory, links, clock=time.monotonic):
        self._directory = directory
        self._links = links
        self._clock = clock
        self._random = random.SystemRandom()

    def borrow(self, customer_id, tokens):
        """Return the loans of other VMs, at most ``tokens`` together."""
        addresses = self._choose()
        loans = self._ask_all(addresses, customer_id, tokens)
        missing = tokens - sum(loan.tokens for loan in loans)
        if loans and missing > 0:
            # Those that could give their part may have more.
            lenders = [loan.lender for loan in loans]
            loans += self._ask_all(lenders, customer_id, missing)
        return loans

    def give_back(self, customer_id, loans):
        """Return loans that did not suffice to their lenders."""
        for loan in loans:
            self._ask(loan.lender, customer_id, -loan.tokens)

    def _choose(self):
        now = self._clock()
        alive = [
            vm.link_address
            for vm in self._directory.vms()[1:]
            if not vm.is_silent(now)
        ]
        size = min(MAX_LENDERS, len(alive))
        return self._random.sample(alive, size)

    def _ask_all(self, addresses, customer_id, tokens):
        replies = queue.Queue()
        for address in addresses:
            threading.Thread(
                target=lambda lender=address: replies.put(
                    self._ask(lender, customer_id, tokens / len(addresses))
                ),
                name='borrow',
                daemon=True,
            ).start()
        loans = [replies.get() for _ in addresses]
        return [loan for loan in loans if loan.tokens > 0]

    def _ask(self, address, customer_id, tokens):
        request = ttypes.LendRequest(customer_id, tokens)
        try:
            link = self._links.to(address)
            reply = link.call('lend_tokens', request, LEND_TIMEOUT)
        except errors.LinkFailed:
            return Loan(address, 0.0)
        return Loan(address, reply.tokens)
