"""When to look for another endpoint, as the one of an attempt is silent.

A sound endpoint may be silent for a second or so. Silence alone therefore
ends no attempt: it makes the VM look for another endpoint, again and again
until the endpoint goes on or the deadline passes.
"""

from carobwood import clocks

from ..entry import silence

# Silence before the first event of a stream. Callers abandon a stream after
# about two seconds of silence.
FIRST_EVENT_SECONDS = 1.5
# Silence within a stream.
STALL_SECONDS = 1.0
# Silence before an answer of a route whose answers cannot be resumed: a
# fraction of the remaining time, but at least a multiple of the route's target
# latency.
SILENT_SHARE = 0.45
MIN_SILENCE_IN_TARGET_LATENCIES = 3.0


def seconds_before_head(request):
    """Return the silence before the head of a response that may be normal.

    Args:
        request: the ``AdmittedRequest``.
    """
    route = request.route
    if route.is_resumable:
        return FIRST_EVENT_SECONDS
    return max(
        MIN_SILENCE_IN_TARGET_LATENCIES * route.target_latency,
        SILENT_SHARE * request.seconds_left,
    )


class SilenceWatch:
    """Says when to look for another endpoint during one attempt."""

    def __init__(self, head_seconds, on_silence):
        """Create the watch.

        Args:
            head_seconds: silence before the response for which no other
                endpoint is looked for.
            on_silence: called with the ``EndpointConnection`` of the attempt,
                whether bytes of an incomplete event have come on it, and the
                monotonic time at which the silence began; raises
                ``EndpointTimeout`` if the attempt is to end.
        """
        self._head_seconds = head_seconds
        self._on_silence = on_silence
        self._next_look_at = 0.0
        self._heard_at = 0.0

    def seconds_until_look(self, heard_at, has_started=None):
        """Return the seconds until another endpoint is looked for.

        Args:
            heard_at: when the request was sent, or when the head or the last
                event of the response has come.
            has_started: whether the caller has got a part of the stream, or
                None before the head of the response.
        """
        self._heard_at = heard_at
        patience = self._head_seconds
        if has_started is not None:
            patience = STALL_SECONDS if has_started else FIRST_EVENT_SECONDS
        return max(heard_at + patience, self._next_look_at) - clocks.now()

    def look(self, connection, has_partial_event=False):
        """Look for another endpoint.

        Args:
            connection: the ``EndpointConnection`` of the attempt.
            has_partial_event: whether bytes of an incomplete event have come
                on it.

        Raises:
            EndpointTimeout: the attempt is to end.
            CallerLeft: the caller disconnected meanwhile.
        """
        self._on_silence(connection, has_partial_event, self._heard_at)
        self._next_look_at = clocks.now() + silence.LOOK_PERIOD_SECONDS
