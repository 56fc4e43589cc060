"""What endpoints say in their answers about the work that they take.

Load pattern: an engine is drained, or overloaded, while hundreds of VMs send
to it and learn of that by announcements only later, or never. Each of them
would go on until it is refused, and all that wait would return in the moment
in which the engine takes requests again.

An endpoint that says that it is leaving gets nothing new from this VM from
the head of that answer on, and from the others as soon as gossip has told
them. One that rejects a request and says for how long
gets nothing for that time, and the VMs return to it spread over a moment.
Both hold for one incarnation of the endpoint.
"""

import dataclasses
import random
import threading

from carobwood import clocks
from carobwood import events

# Time for which an endpoint counts as leaving at least. After it, a newer
# announcement that it serves takes precedence.
LEAVING_SECONDS = 60.0
# Bound of the time that an endpoint may ask for.
MAX_RETRY_AFTER_SECONDS = 60.0
# Time that counts if the one asked for cannot be read.
DEFAULT_RETRY_AFTER_SECONDS = 1.0
# Longest random addition to that time, and its share of the time.
MAX_SPREAD_SECONDS = 1.0
SPREAD_SHARE = 0.5
# Status of a rejection whose time counts.
UNAVAILABLE_STATUS = 503


@dataclasses.dataclass(frozen=True)
class Leaving:
    """An endpoint has said that it is leaving.

    Attributes:
        order: order of its newest announcement at that time.
        said_at: time of the answer by ``clocks.now``, in seconds.
    """

    order: tuple[int, int]
    said_at: float


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """An endpoint has asked for no requests until a time.

    Attributes:
        until: the time by ``clocks.now``, in seconds.
    """

    until: float


class EndpointAvailability:
    """What the endpoints have told this VM, by incarnation."""

    def __init__(self, clock=clocks.now, spread=None):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
            spread: function from a limit in seconds to a random time up to
                it, or None for a uniform distribution.
        """
        self._clock = clock
        self._spread = spread or (lambda limit: random.uniform(0.0, limit))
        self._lock = threading.Lock()
        # Both by id, with the incarnation that they hold for.
        self._leaving_by_id = {}
        self._unavailable_by_id = {}
        self._listeners = []

    def on_leaving(self, listener):
        """Call ``listener(endpoint_id)`` when an endpoint begins to leave."""
        self._listeners.append(listener)

    def note_head(self, endpoint, head):
        """Record what the head of an answer says.

        Args:
            endpoint: the ``Endpoint`` that has answered.
            head: the ``ResponseHead``.
        """
        if head.is_leaving:
            self._note_leaving(
                endpoint.id, Leaving(endpoint.order, self._clock()), 'answer'
            )
        if head.retry_after and head.status == UNAVAILABLE_STATUS:
            self._note_unavailable(endpoint, head.retry_after.seconds)

    def is_leaving(self, endpoint):
        """Return whether an endpoint gets no new requests any more."""
        match self._find(self._leaving_by_id, endpoint):
            case Leaving(order, said_at):
                is_past = self._clock() - said_at >= LEAVING_SECONDS
                return not (is_past and endpoint.order > order)
        return False

    def merge_leaving(self, endpoint_id, leaving):
        """Record that an endpoint has told another VM that it is leaving.

        Args:
            endpoint_id: id of the endpoint.
            leaving: the ``Leaving``.
        """
        if self._clock() - leaving.said_at < LEAVING_SECONDS:
            self._note_leaving(endpoint_id, leaving, 'vm')

    def leaving_news(self, endpoint_id):
        """Return the ``Leaving`` that other VMs should know, or None."""
        _, leaving = self._leaving_by_id.get(endpoint_id, (None, None))
        if leaving is None:
            return None
        age = self._clock() - leaving.said_at
        return leaving if age < LEAVING_SECONDS else None

    def seconds_until_available(self, endpoint):
        """Return the seconds until it may get requests, 0.0 for now."""
        match self._find(self._unavailable_by_id, endpoint):
            case Unavailable(until):
                return max(0.0, until - self._clock())
        return 0.0

    def _note_leaving(self, endpoint_id, leaving, source):
        incarnation = leaving.order[0]
        with self._lock:
            known_incarnation, _ = self._leaving_by_id.get(
                endpoint_id, (0, None)
            )
            if incarnation < known_incarnation:
                return
            is_new = incarnation > known_incarnation
            if is_new or source == 'answer':
                self._leaving_by_id[endpoint_id] = (incarnation, leaving)
        if not is_new:
            return
        events.emit(
            events.ENDPOINT_SAYS_LEAVING,
            endpoint=endpoint_id,
            incarnation=incarnation,
            source=source,
        )
        for listener in self._listeners:
            listener(endpoint_id)

    def _note_unavailable(self, endpoint, asked):
        seconds = _bounded(asked)
        seconds += self._spread(
            min(MAX_SPREAD_SECONDS, SPREAD_SHARE * seconds)
        )
        until = self._clock() + seconds
        with self._lock:
            known = self._find(self._unavailable_by_id, endpoint)
            if known is not None and known.until >= until:
                return
            self._unavailable_by_id[endpoint.id] = (
                endpoint.incarnation,
                Unavailable(until),
            )
        events.emit(
            events.ENDPOINT_UNAVAILABLE,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            asked=asked,
            seconds=round(seconds, 3),
        )

    @staticmethod
    def _find(facts_by_id, endpoint):
        incarnation, fact = facts_by_id.get(endpoint.id, (None, None))
        return fact if incarnation == endpoint.incarnation else None


def _bounded(asked):
    """Return the seconds that count of the time that was asked for."""
    if asked is None:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(asked, MAX_RETRY_AFTER_SECONDS)
