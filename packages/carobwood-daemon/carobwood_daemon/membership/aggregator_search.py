"""Searches for an aggregator that is in contact with a leader.

Load pattern: all members of a control VM that is cut off from the other
control VMs look for another one at the same time; or the whole data centre
is cut off, so that nobody answers and they must go on as they are meanwhile.
"""

import concurrent.futures

from carobwood import clocks
from carobwood import errors

from . import aggregator_contact

# Time between the starts of two searches.
PERIOD_SECONDS = 0.5
# Time for the answer of a VM, a new connection included.
ANSWER_SECONDS = 0.3


class AggregatorSearch:
    """Asks VMs for their contact, one after the other, in the background."""

    def __init__(self, ask, on_found):
        """Create a search that is not running.

        Args:
            ask: called with a link address and seconds; returns the
                ``GossipReply`` of the VM there, or raises ``LinkFailed``.
            on_found: called without arguments once a VM is found.
        """
        self._ask = ask
        self._on_found = on_found
        # Its thread is started by the first search.
        self._executor = concurrent.futures.ThreadPoolExecutor(
            1, thread_name_prefix='aggregator-search'
        )
        self._is_stopped = False
        self._search = None
        self._started_at = float('-inf')
        self._found_address = None

    def start(self, addresses):
        """Ask VMs, unless they are being asked or were a moment ago.

        Args:
            addresses: their link addresses, the best one first.
        """
        now = clocks.now()
        is_running = self._search is not None and not self._search.done()
        is_early = now - self._started_at < PERIOD_SECONDS
        if self._is_stopped or is_running or is_early:
            return
        self._started_at = now
        self._search = self._executor.submit(self._find, addresses)

    def take_found(self):
        """Return the address that was found and forget it, or None."""
        address, self._found_address = self._found_address, None
        return address

    def stop(self):
        """End the search after the VM that is being asked."""
        self._is_stopped = True

    def _find(self, addresses):
        for address in addresses:
            if self._is_stopped:
                return
            if self._is_in_contact(address):
                self._found_address = address
                self._on_found()
                return

    def _is_in_contact(self, address):
        try:
            reply = self._ask(address, ANSWER_SECONDS)
        except errors.LinkFailed:
            # It may be cut off as well; the next one is asked.
            return False
        age = aggregator_contact.leader_contact_age(reply)
        if age is None:
            return False
        return age <= aggregator_contact.WITHOUT_CONTACT_SECONDS
