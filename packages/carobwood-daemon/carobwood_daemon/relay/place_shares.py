"""This VM's share of the free places that several VMs see at once.

Load pattern: requests wait on all VMs. An engine has loaded new weights, and
all VMs see at the same moment that it is empty; each of them sends what it
has, and the engine gets several times what it can take before any report
shows it. With 200 VMs even one request of each is too many.

Where places are contended, a VM takes a random share of those that were free
at the last report, with an equal part for each VM as its mean. A share is
drawn anew with each report, so nothing stays unused for longer than a report.
"""

import random
import threading

# Multiplies the share of each VM, as not all of them have waiting requests.
OVERCOMMIT = 1.0


class PlaceShares:
    """Places that this VM may still take until the next report."""

    def __init__(self, count_vms, source=random):
        """Create the shares.

        Args:
            count_vms: function without arguments; returns the number of VMs
                that take places.
            source: source of random numbers.
        """
        self._count_vms = count_vms
        self._source = source
        self._lock = threading.Lock()
        self._epoch = None
        self._left_by_endpoint = {}

    def may_take(self, epoch, endpoint_id, free_places):
        """Return whether this VM may take a place of an engine now.

        Args:
            epoch: identifies the last report on the loads.
            endpoint_id: id of the engine.
            free_places: places that are free there.
        """
        with self._lock:
            if epoch != self._epoch:
                self._epoch = epoch
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
