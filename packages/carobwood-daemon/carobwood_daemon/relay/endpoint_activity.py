"""When the endpoints that send streams to this VM have last sent an event.

Load pattern: all endpoints of a service fall silent at the same moment. Each
of dozens of streams would go on at an endpoint that is silent as well, its
prompt would be processed twice, and the retry budget would be used up when one
endpoint fails for good.
"""

import collections
import threading

from carobwood import clocks

# Time without an event after which an endpoint that sends streams to this VM
# counts as silent. One that has sent none yet may be busy with their prompts.
SILENT_SECONDS = 0.5


class EndpointActivity:
    """Streams in flight and their last events by the id of the endpoint."""

    def __init__(self, clock=clocks.now):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
        """
        self._clock = clock
        self._lock = threading.Lock()
        self._streams_by_id = collections.Counter()
        self._event_at_by_id = {}

    def begin(self, endpoint_id):
        """Record the first event of a stream of an endpoint."""
        with self._lock:
            self._streams_by_id[endpoint_id] += 1
            self._event_at_by_id[endpoint_id] = self._clock()

    def end(self, endpoint_id):
        """Record that a stream that has begun has ended."""
        with self._lock:
            self._streams_by_id[endpoint_id] -= 1
            if self._streams_by_id[endpoint_id] <= 0:
                del self._streams_by_id[endpoint_id]
                self._event_at_by_id.pop(endpoint_id, None)

    def note_event(self, endpoint_id):
        """Record a further event of a stream."""
        with self._lock:
            if endpoint_id in self._event_at_by_id:
                self._event_at_by_id[endpoint_id] = self._clock()

    def has_heard(self, endpoint_id, seconds):
        """Tell whether a stream of an endpoint had an event lately.

        Args:
            endpoint_id: id of the endpoint.
            seconds: largest age of the event.
        """
        heard_since = self._clock() - seconds
        with self._lock:
            event_at = self._event_at_by_id.get(endpoint_id)
        return event_at is not None and event_at >= heard_since

    def silent_ids(self):
        """Return the ids of the endpoints that are silent."""
        silent_since = self._clock() - SILENT_SECONDS
        with self._lock:
            return frozenset(
                endpoint_id
                for endpoint_id, event_at in self._event_at_by_id.items()
                if event_at < silent_since
            )
