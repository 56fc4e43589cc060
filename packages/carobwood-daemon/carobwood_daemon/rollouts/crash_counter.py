"""How often the crash of an endpoint counts against its software version.

Load pattern: one endpoint of a sound version crashes with dozens of requests
in flight, sent by a few VMs or by hundreds, and each VM sees its own requests
break off at the same moment. That is one fault, not dozens. Endpoints of a
bad version crash again and again.

A few VMs, on which all agree without messages, count each crash once.
"""

import collections
import threading
import zlib

# VMs that count the crash of an endpoint, and so the failures that it counts
# as in the whole fleet, at most.
MAX_COUNTING_VMS = 3
# Crashes that are remembered.
MAX_CRASHES = 1024


class CrashCounter:
    """Tells which failures count of those that crashes have caused."""

    def __init__(self, own_id, entry_vm_ids):
        """Create a counter that knows of no crash.

        Args:
            own_id: id of this VM.
            entry_vm_ids: function without arguments; returns the ids of the
                entry VMs that are not silent.
        """
        self._own_id = own_id
        self._entry_vm_ids = entry_vm_ids
        self._lock = threading.Lock()
        # In the order of the crashes; the values are not used.
        self._known_incarnations = collections.OrderedDict()

    def counts(self, endpoint):
        """Return whether a failure by a crash counts for the version.

        Args:
            endpoint: the ``Endpoint``; an incarnation crashes once.
        """
        incarnation = (endpoint.id, endpoint.incarnation)
        with self._lock:
            if incarnation in self._known_incarnations:
                return False
            self._known_incarnations[incarnation] = True
            if len(self._known_incarnations) > MAX_CRASHES:
                self._known_incarnations.popitem(last=False)
        ranked = sorted(
            {self._own_id, *self._entry_vm_ids()},
            key=lambda vm_id: _rank(incarnation, vm_id),
        )
        return self._own_id in ranked[:MAX_COUNTING_VMS]


def _rank(incarnation, vm_id):
    endpoint_id, number = incarnation
    return zlib.crc32(f'{endpoint_id}/{number}/{vm_id}'.encode())
