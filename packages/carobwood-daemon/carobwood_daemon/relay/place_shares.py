"""This VM's share of the free places that several VMs see at once.

Load pattern: requests wait on all VMs. An engine has loaded new weights, and
all VMs see at the same moment that it is empty; each of them sends what it
has, and the engine gets several times what it can take before any report
shows it. With 200 VMs even one request of each is too many.

Where places are contended, a VM takes a random share of those that were free
at the last report, with an equal part for each VM as its mean. A share is
drawn anew with each report, and after some time without one, so that it does
not stay used up while no report comes.
"""

import random
import threading

from carobwood import clocks

# Time after which shares are drawn anew without a report.
REDRAW_SECONDS = 1.0
# Multiplies the share of each VM, as not all of them have waiting requests.
OVERCOMMIT = 1.0


class PlaceShares:
    """Places that this VM may still take until the next report."""

    def __init__(self, count_vms, clock=clocks.now, source=random):
        """Create the shares.

        Args:
            count_vms: function without arguments; returns the number of VMs
                that take places.
            clock: function that returns the monotonic time in seconds.
            source: source of random numbers.
        """
        self._count_vms = count_vms
        self._clock = clock
        self._source = source
        self._lock = threading.Lock()
        self._report = None
        self._drawn_at = clock()
        self._left_by_endpoint = {}

    def may_take(self, report, endpoint_id, free_places):
        """Return whether this VM may take a place of an engine now.

        Args:
            report: identifies the last report on the loads.
            endpoint_id: id of the engine.
            free_places: places that are free there.
        """
        now = self._clock()
        with self._lock:
            is_old = now - self._drawn_at >= REDRAW_SECONDS
            if report != self._report or is_old:
                self._report = report
                self._drawn_at = now
                self._left_by_endpoint = {}
            left = self._left_by_endpoint.get(endpoint_id)
            if left is None:
                left = self._draw(free_places)
                self._left_by_endpoint[endpoint_id] = left
            return left > 0

    def take(self, endpoint_id):
        """Record that this VM has taken a place."""
        with self._lock:
            left = self._left_by_endpoint.get(endpoint_id)
            if left is not None:
                self._left_by_endpoint[endpoint_id] = left - 1

    def _draw(self, free_places):
        share = OVERCOMMIT * max(0, free_places) / max(1, self._count_vms())
        return int(share + self._source.random())
