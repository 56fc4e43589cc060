"""Borrows tokens from the buckets of other VMs."""

import queue
import random
import threading

from carobwood import errors
from carobwood.gen.links import ttypes

MAX_LENDERS = 8
LEND_TIMEOUT = 0.25


class Lenders:
    """Asks live VMs for tokens, several at once.

    A loan whose answer is lost is lost too: fewer tokens are admitted,
    never more.
    """

    def __init__(self, directory, links, clock):
        self._directory = directory
        self._links = links
        self._clock = clock
        self._random = random.SystemRandom()

    def borrow(self, customer_id, tokens):
        """Return the tokens that other VMs lent, at most ``tokens``."""
        addresses = self._choose()
        if not addresses:
            return 0.0
        lent = self._ask_all(addresses, customer_id, tokens)
        if 0.0 < lent < tokens:
            # Those that could give their part may have more.
            lent += self._ask_all(addresses, customer_id, tokens - lent)
        return lent

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
        share = tokens / len(addresses)
        for address in addresses:
            threading.Thread(
                target=self._ask,
                args=(address, customer_id, share, replies),
                name='borrow',
                daemon=True,
            ).start()
        return sum(replies.get() for _ in addresses)

    def _ask(self, address, customer_id, tokens, replies):
        try:
            reply = self._links.to(address).call(
                'lend_tokens',
                ttypes.LendRequest(customer_id, tokens),
                LEND_TIMEOUT,
            )
            replies.put(reply.tokens)
        except errors.LinkFailed:
            replies.put(0.0)
