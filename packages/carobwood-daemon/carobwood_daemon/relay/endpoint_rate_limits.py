"""Rate limits that endpoints name in their answers."""

import threading

from carobwood import events


class EndpointRateLimits:
    """Logs the rate limits that endpoints name."""

    def __init__(self):
        self._lock = threading.Lock()
        # Incarnation and limit in requests per second, by endpoint id.
        self._limits_by_id = {}

    def note_head(self, endpoint, head):
        """Log if the head of an answer names another limit than before.

        Args:
            endpoint: the ``Endpoint`` that has answered.
            head: the ``ResponseHead``.
        """
        per_second = head.rate_limit and head.rate_limit.per_second
        limit = (endpoint.incarnation, per_second)
        with self._lock:
            known = self._limits_by_id.get(endpoint.id)
            if known == limit or (known is None and per_second is None):
                return
            self._limits_by_id[endpoint.id] = limit
        events.emit(
            events.ENDPOINT_RATE_LIMIT,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            per_second=per_second,
            source='answer',
            status=head.status,
        )
