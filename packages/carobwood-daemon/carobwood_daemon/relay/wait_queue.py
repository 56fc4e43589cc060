"""Queue of requests for which no endpoint has capacity yet.

Load pattern: a burst of two to three times the usual load for some
seconds, while engines are few and a late answer is worth a tenth of an
answer on time.

Requests are queued on the entry VM, not in an engine's queue, where they
would be preempted or reset. Requests that can still be answered on time go
first, by priority and then by deadline; late requests get the remaining
capacity. A request waits for at most a fraction of its remaining time, and
is refused at once if as many are queued as can be served in that time. The
wait of a stream also ends before its caller leaves; see ``caller_patience``.
"""

import dataclasses
import itertools
import math
import threading

from carobwood import clocks

# Fraction of its remaining time for which a request may be queued.
MAX_WAIT_FRACTION = 0.4
# Period at which a queued request checks for capacity without a wake-up.
RECHECK_SECONDS = 0.1
# Time after which a caller may retry a refused request.
RETRY_AFTER_SECONDS = 1.0
# Maximum number of queued requests for one service on one VM.
MAX_WAITING = 64


@dataclasses.dataclass(frozen=True)
class QueueEntry:
    """A queued request.

    Attributes:
        number: arrival number; it breaks ties.
        service: name of the service that the request is for.
        priority: priority, 0 first, or an ``Urgency``.
        soft_deadline_at: latest time, on the queue's clock, of an answer on
            time.
        wait_ends_at: time at which the request is refused.
        is_apart: whether it waits only for endpoints that were silent to
            it, or for a right that others do not need; it does not hold up
            the others.
        gives_way: whether the last such request leaves a full queue to one
            that goes before it.
    """

    number: int
    service: str
    priority: int
    soft_deadline_at: float
    wait_ends_at: float
    is_apart: bool = False
    gives_way: bool = False

    def rank(self, now):
        """Return the sort key in the queue at a time; lowest goes first."""
        is_late = now > self.soft_deadline_at
        return (is_late, self.priority, self.soft_deadline_at, self.number)


class WaitQueue:
    """Queued requests of this VM, by service."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._changed = threading.Condition()
        self._entries_by_service = {}
        self._numbers = itertools.count()

    def notify_all(self):
        """Make queued requests check for capacity again."""
        with self._changed:
            if self._entries_by_service:
                self._changed.notify_all()

    def seconds_left(self, entry):
        """Return the seconds until a queued request is refused."""
        return self.seconds_until(entry.wait_ends_at)

    def count(self, service):
        """Return how many requests are queued for a service."""
        return len(self._entries_by_service.get(service, ()))

    def seconds_until(self, time):
        """Return the seconds until a time on the queue's clock."""
        return time - self._clock()

    def max_wait(self, deadline_at, latest_end=math.inf):
        """Return the seconds for which a request may be queued from now.

        Args:
            deadline_at: deadline of the request.
            latest_end: time at which it is refused at the latest.
        """
        seconds = self.seconds_until(deadline_at) * MAX_WAIT_FRACTION
        return max(0.0, min(seconds, self.seconds_until(latest_end)))

    def enqueue(
        self,
        service,
        priority,
        soft_deadline_at,
        deadline_at,
        is_apart=False,
        latest_end=math.inf,
        gives_way=False,
    ):
        """Queue a request.

        Args:
            service: name of the service.
            priority: priority of the request, 0 first, or its ``Urgency``;
                all requests of a VM have the same one of these.
            soft_deadline_at: latest time of an answer on time.
            deadline_at: deadline of the request.
            is_apart: see ``QueueEntry``.
            latest_end: time at which it is refused at the latest.
            gives_way: see ``QueueEntry``.

        Returns:
            The ``QueueEntry``, or None if the service's queue is full.
        """
        now = self._clock()
        max_wait = self.max_wait(deadline_at, latest_end)
        with self._changed:
            entries = self._entries_by_service.setdefault(service, set())
            entry = QueueEntry(
                next(self._numbers),
                service,
                priority,
                soft_deadline_at,
                now + max_wait,
                is_apart,
                gives_way,
            )
            if len(entries) >= MAX_WAITING and not (
                gives_way and self._displace(entries, entry, now)
            ):
                return None
            entries.add(entry)
            return entry

    def _displace(self, entries, new, now):
        """Drop the last entry if a new one goes before it; return whether."""
        last = max(
            (entry for entry in entries if entry.gives_way),
            key=lambda entry: entry.rank(now),
            default=None,
        )
        if last is None or last.rank(now) <= new.rank(now):
            return False
        entries.discard(last)
        self._changed.notify_all()
        return True

    def remove(self, entry):
        """Remove a request from its queue."""
        with self._changed:
            # One that was displaced is not there any more.
            entries = self._entries_by_service.get(entry.service, set())
            entries.discard(entry)
            if not entries and entry.service in self._entries_by_service:
                del self._entries_by_service[entry.service]
            self._changed.notify_all()

    def is_first(self, entry):
        """Return whether a request is at the head of its queue."""
        now = self._clock()
        with self._changed:
            entries = [
                other
                for other in self._entries_by_service.get(entry.service, ())
                if entry.is_apart or not other.is_apart
            ]
            first = min(
                entries, key=lambda other: other.rank(now), default=None
            )
            return first is entry

    def must_queue(self, service, priority, soft_deadline_at):
        """Return whether queued requests go before a new request."""
        return self.count_ahead(service, priority, soft_deadline_at) > 0

    def count_ahead(self, service, priority, soft_deadline_at):
        """Return how many queued requests go before a new request."""
        now = self._clock()
        rank = (now > soft_deadline_at, priority, soft_deadline_at)
        with self._changed:
            return sum(
                entry.rank(now) < rank
                for entry in self._entries_by_service.get(service, ())
                if not entry.is_apart
            )

    def wait_for_change(self, entry):
        """Wait for a wake-up, but no longer than ``RECHECK_SECONDS``.

        Returns:
            False once the request has reached its maximum wait, or has given
            way to another one.
        """
        with self._changed:
            if entry not in self._entries_by_service.get(entry.service, ()):
                return False
            seconds_left = self.seconds_left(entry)
            if seconds_left <= 0:
                return False
            self._changed.wait(min(seconds_left, RECHECK_SECONDS))
            return True
