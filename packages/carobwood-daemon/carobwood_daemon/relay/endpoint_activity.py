"""When this VM has last heard of the endpoints that work for it.

Load pattern: all endpoints of a service fall silent at the same moment. Each
of dozens of streams would go on at an endpoint that is silent as well, its
prompt would be processed twice, and the retry budget would be used up when one
endpoint fails for good.
"""

import collections
import threading

from carobwood import clocks

# Time without a byte after which an endpoint that has requests of this VM
# counts as silent.
SILENT_SECONDS = 0.5


class EndpointActivity:
    """Requests in flight and last signs of life by the id of the endpoint."""

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._running_by_id = collections.Counter()
        self._heard_at_by_id = {}

    def begin(self, endpoint_id):
        """Record that a request is in flight on an endpoint."""
        with self._lock:
            self._running_by_id[endpoint_id] += 1
            self._heard_at_by_id.setdefault(endpoint_id, self._clock())

    def end(self, endpoint_id):
        """Record that a request is no longer in flight on an endpoint."""
        with self._lock:
            self._running_by_id[endpoint_id] -= 1
            if self._running_by_id[endpoint_id] <= 0:
                del self._running_by_id[endpoint_id]
                self._heard_at_by_id.pop(endpoint_id, None)

    def note_heard(self, endpoint_id):
        """Record that bytes of an answer of an endpoint have come."""
        with self._lock:
            if endpoint_id in self._heard_at_by_id:
                self._heard_at_by_id[endpoint_id] = self._clock()

    def silent_ids(self):
        """Return the ids of the endpoints that are silent."""
        silent_since = self._clock() - SILENT_SECONDS
        with self._lock:
            return frozenset(
                endpoint_id
                for endpoint_id, heard_at in self._heard_at_by_id.items()
                if heard_at < silent_since
            )
