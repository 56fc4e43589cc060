"""Decides whether this VM can reach any endpoint.

Load pattern: this VM is partitioned from all endpoints, which hang or refuse
its connections, while callers and other VMs still reach it. Connections made
before may live on, so only new ones count.

Endpoints that end, also all of one service or of one data centre, do not make
a VM cut off: it reaches the others. It counts as cut off once no known
endpoint accepts a connection, and until one does again. To know soon with
many endpoints, the others are probed once a few in a row cannot be reached.

Load pattern: a dozen endpoints lose power and go on failing the probes of each
VM. If each two of their failures in a row had all others probed, dozens of VMs
would fill these with the connections of probes. Where VMs share connections,
only endpoints that have just become unreachable make a VM probe others, and
only a few at a time.
"""

import random
import threading

from carobwood import clocks
from carobwood import events

# Endpoints in a row that cannot be reached, after which all are probed.
SUSPICION_FAILURES = 2
# Endpoints that are probed first where few are probed at a time, and further
# ones for each probe that has failed.
FIRST_PROBES = 2
PROBES_PER_FAILED_PROBE = 4


class EndpointReachability:
    """Results of the latest connections to endpoints, by address."""

    def __init__(
        self,
        find_endpoints,
        clock=clocks.now,
        probes_few=False,
        source=random,
    ):
        """Create the table.

        Args:
            find_endpoints: function that returns the endpoints that serve, in
                the view of this VM.
            clock: function that returns the monotonic time in seconds.
            probes_few: whether only a few endpoints are probed at a time.
            source: source of random numbers.
        """
        self._source = source
        self._find_endpoints = find_endpoints
        self._clock = clock
        self._probes_few = probes_few
        self._lock = threading.Lock()
        # Addresses to which no connection could be made since the last one
        # that was made to any endpoint, and those whose probe is under way.
        self._failed_addresses = set()
        self._probed_addresses = set()
        # Addresses that were not reached when last tried, and those of them
        # that had been reached before, since the last one that was.
        self._lost_addresses = set()
        self._newly_lost_addresses = set()
        self._cut_off_at = None
        self._listeners = []

    @property
    def is_cut_off(self):
        """Whether this VM reaches no endpoint."""
        return self._cut_off_at is not None

    def on_change(self, listener):
        """Call ``listener(is_cut_off)`` after each change."""
        self._listeners.append(listener)

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

    def pop_unproven_endpoints(self):
        """Return the endpoints to be probed now, each once in a partition.

        They are those that may be reachable while others are not.
        """
        if not self._failed_addresses:
            return []
        endpoints = self._find_endpoints()
        with self._lock:
            suspicious = self._failed_addresses
            if self._probes_few:
                suspicious = self._newly_lost_addresses
            if len(suspicious) < min(SUSPICION_FAILURES, len(endpoints)):
                return []
            known = self._failed_addresses | self._probed_addresses
            unproven = [e for e in endpoints if e.address not in known]
            if self._probes_few:
                # An endpoint that has gone is probed no more.
                self._probed_addresses &= {e.address for e in endpoints}
                unproven = self._select_few(unproven)
            self._probed_addresses.update(e.address for e in unproven)
        return unproven

    def _select_few(self, unproven):
        """Return those of the unproven endpoints that are probed now."""
        pending = len(self._probed_addresses - self._failed_addresses)
        failed = len(self._probed_addresses & self._failed_addresses)
        allowed = FIRST_PROBES + PROBES_PER_FAILED_PROBE * failed
        count = max(0, allowed - pending)
        return self._source.sample(unproven, min(count, len(unproven)))

    def _note_made(self, address):
        with self._lock:
            self._lost_addresses.discard(address)
            self._newly_lost_addresses.clear()
            self._failed_addresses.clear()
            self._probed_addresses.clear()
            cut_off_at, self._cut_off_at = self._cut_off_at, None
        if cut_off_at is None:
            return
        events.emit(
            events.VM_REACHES_ENDPOINTS,
            address=address,
            seconds=round(self._clock() - cut_off_at, 3),
        )
        self._announce(False)

    def _note_failed(self, address):
        known = {endpoint.address for endpoint in self._find_endpoints()}
        with self._lock:
            self._lost_addresses &= known
            if address not in self._lost_addresses:
                self._newly_lost_addresses.add(address)
            self._lost_addresses.add(address)
            self._failed_addresses.add(address)
            reaches_none = bool(known) and known <= self._failed_addresses
            is_change = reaches_none and not self.is_cut_off
            if is_change:
                self._cut_off_at = self._clock()
        if is_change:
            events.emit(events.VM_CUT_OFF, endpoints=len(known))
            self._announce(True)

    def _announce(self, is_cut_off):
        for listener in self._listeners:
            listener(is_cut_off)
