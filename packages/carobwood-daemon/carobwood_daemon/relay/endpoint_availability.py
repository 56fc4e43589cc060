"""What endpoints say in their answers about the work that they take.

Load pattern: an engine is drained, or overloaded, while hundreds of VMs send
to it and learn of that by announcements only later, or never. Each of them
would go on until it is refused, and all that wait would return in the moment
in which the engine takes requests again.

An endpoint that says that it is leaving gets nothing new from this VM from
the head of that answer on, and from the others as soon as gossip has told
them. One that rejects a request and says for how long gets nothing for that
time. The VMs return to it one after the other, each with a single request,
and with more once that has been taken. Both hold for one incarnation of the
endpoint.
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
# VMs that return to an endpoint in a second on average, while it goes on
# rejecting their requests.
RETURNS_PER_SECOND = 40.0
# Time after which a request that tries whether an endpoint takes requests
# again counts as lost.
TRIAL_SECONDS = 2.0
# Time after which requests look again while such a request is in flight.
TRIAL_CHECK_SECONDS = 0.1
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
        trial_ends_at: time until which no further request is sent, because
            one that tries the endpoint is in flight.
    """

    until: float
    trial_ends_at: float = 0.0


class EndpointAvailability:
    """What the endpoints have told this VM, by incarnation."""

    def __init__(self, clock=clocks.now, spread=None, count_vms=lambda: 1):
        """Create an empty table.

        Args:
            clock: function that returns the monotonic time in seconds.
            spread: function from a limit in seconds to a random time up to
                it, or None for a uniform distribution.
            count_vms: function that returns the number of entry VMs.
        """
        self._count_vms = count_vms
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
        else:
            self._end_trial(endpoint)

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
        now = self._clock()
        match self._find(self._unavailable_by_id, endpoint):
            case Unavailable(until) if until > now:
                return until - now
            case Unavailable(_, trial_ends_at) if trial_ends_at > now:
                return TRIAL_CHECK_SECONDS
        return 0.0

    def acquire(self, endpoint):
        """Acquire the right to send a request to an endpoint now.

        After the time that the endpoint had asked for, one request tries it
        before others are sent.
        """
        now = self._clock()
        with self._lock:
            match self._find(self._unavailable_by_id, endpoint):
                case Unavailable(until, trial_ends_at) as fact:
                    if max(until, trial_ends_at) > now:
                        return False
                    self._unavailable_by_id[endpoint.id] = (
                        endpoint.incarnation,
                        dataclasses.replace(
                            fact, trial_ends_at=now + TRIAL_SECONDS
                        ),
                    )
        return True

    def give_back(self, endpoint):
        """Let another request try an endpoint, as this one was not sent."""
        with self._lock:
            match self._find(self._unavailable_by_id, endpoint):
                case Unavailable(_, trial_ends_at) as fact if trial_ends_at:
                    self._unavailable_by_id[endpoint.id] = (
                        endpoint.incarnation,
                        dataclasses.replace(fact, trial_ends_at=0.0),
                    )

    def _end_trial(self, endpoint):
        with self._lock:
            match self._find(self._unavailable_by_id, endpoint):
                case Unavailable(_, trial_ends_at) if trial_ends_at:
                    del self._unavailable_by_id[endpoint.id]

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
        seconds += self._spread(self._spread_limit(seconds))
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

    def _spread_limit(self, seconds):
        """Return the longest addition to the time that was asked for."""
        # The mean of the addition is half of its limit.
        of_vms = 2.0 * (self._count_vms() - 1) / RETURNS_PER_SECOND
        return max(of_vms, min(MAX_SPREAD_SECONDS, SPREAD_SHARE * seconds))

    @staticmethod
    def _find(facts_by_id, endpoint):
        incarnation, fact = facts_by_id.get(endpoint.id, (None, None))
        return fact if incarnation == endpoint.incarnation else None


def _bounded(asked):
    """Return the seconds that count of the time that was asked for."""
    if asked is None:
        return DEFAULT_RETRY_AFTER_SECONDS
    return min(asked, MAX_RETRY_AFTER_SECONDS)
