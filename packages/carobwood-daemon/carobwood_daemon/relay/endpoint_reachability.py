"""Decides whether this VM can reach any endpoint.

Load pattern: this VM is partitioned from all endpoints, which hang or refuse
its connections, while callers and other VMs still reach it. Connections made
before may live on, so only new ones count.

Endpoints that end, also all of one service or of one data centre, do not make
a VM cut off: it reaches the others. It counts as cut off once no known
endpoint accepts a connection, and until one does again.
"""

import threading

from carobwood import clocks
from carobwood import events


class EndpointReachability:
    """Results of the latest connections to endpoints, by address."""

    def __init__(self, find_addresses, clock=clocks.now):
        """Create the table.

        Args:
            find_addresses: function that returns the addresses of the
                endpoints that serve, in the view of this VM.
            clock: function that returns the monotonic time in seconds.
        """
        self._find_addresses = find_addresses
        self._clock = clock
        self._lock = threading.Lock()
        # Addresses of which no connection was made since the last one that
        # was made to any.
        self._failed_addresses = set()
        self._cut_off_at = None

    @property
    def is_cut_off(self):
        """Whether this VM reaches no endpoint."""
        return self._cut_off_at is not None

    def note(self, address, is_made):
        """Record the result of a new connection to an endpoint.

        Args:
            address: ``host:port`` of the endpoint.
            is_made: whether it has accepted the connection.
        """
        if is_made:
            self._note_made(address)
        else:
            self._note_failed(address)

    def _note_made(self, address):
        with self._lock:
            self._failed_addresses.clear()
            cut_off_at, self._cut_off_at = self._cut_off_at, None
        if cut_off_at is not None:
            events.emit(
                events.VM_REACHES_ENDPOINTS,
                address=address,
                seconds=round(self._clock() - cut_off_at, 3),
            )

    def _note_failed(self, address):
        known = set(self._find_addresses())
        with self._lock:
            self._failed_addresses.add(address)
            is_new = not self.is_cut_off and known <= self._failed_addresses
            if is_new:
                self._cut_off_at = self._clock()
        if is_new:
            events.emit(events.VM_CUT_OFF, endpoints=len(known))
