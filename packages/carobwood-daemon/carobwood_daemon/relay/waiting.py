"""Requests that fit on no endpoint yet, and the order of their turns.

Load pattern: a burst of two to three times the usual load for some
seconds, while engines are few and a request that comes late is worth a
tenth of one that is on time.

Requests wait on the entry VM, not in an engine's queue, where they
would be preempted or reset. Whoever can still be on time goes first, by
priority and then by deadline; whoever is late gets what is left over. A
request waits no longer than a part of its time, and is refused at once
if as many wait before it as are served in that time.
"""

import dataclasses
import itertools
import threading

from carobwood import clocks

# Part of the time left that a request may wait for its turn.
WAIT_SHARE = 0.4
# Pause after which a waiting request looks again without being woken.
RECHECK_SECONDS = 0.1
# Time in which a request's turn is tried again by its caller.
RETRY_AFTER_SECONDS = 1.0
# Requests waiting for one service on one VM.
MAX_WAITING = 64


@dataclasses.dataclass(frozen=True)
class Ticket:
    """A request that waits.

    Attributes:
        number: grows with each request.
        service: the service that it waits for.
        priority: rank, 0 first.
        on_time_until: when it can no longer be answered on time.
        gives_up_at: when it is refused.
    """

    number: int
    service: str
    priority: int
    on_time_until: float
    gives_up_at: float

    def rank(self, now):
        """Return its place in the order of turns at a moment."""
        is_late = now > self.on_time_until
        return (is_late, self.priority, self.on_time_until, self.number)


class WaitingRoom:
    """Waiting requests of this VM, by service."""

    def __init__(self, clock=clocks.now):
        self._clock = clock
        self._changed = threading.Condition()
        self._tickets_by_service = {}
        self._numbers = itertools.count()

    def wake(self):
        """Let waiting requests look again, after work has ended."""
        with self._changed:
            if self._tickets_by_service:
                self._changed.notify_all()

    def seconds_left(self, ticket):
        """Return the seconds until a waiting request is refused."""
        return ticket.gives_up_at - self._clock()

    def count(self, service):
        """Return how many requests wait for a service."""
        return len(self._tickets_by_service.get(service, ()))

    def enter(self, service, priority, on_time_until, due_at):
        """Return a ``Ticket`` for a request, or None if too many wait.

        Args:
            service: name of the service.
            priority: rank of the request, 0 first.
            on_time_until: when it can no longer be on time.
            due_at: its deadline.
        """
        now = self._clock()
        wait = max(0.0, due_at - now) * WAIT_SHARE
        with self._changed:
            tickets = self._tickets_by_service.setdefault(service, set())
            if len(tickets) >= MAX_WAITING:
                return None
            ticket = Ticket(
                next(self._numbers),
                service,
                priority,
                on_time_until,
                now + wait,
            )
            tickets.add(ticket)
            return ticket

    def leave(self, ticket):
        """End the wait of a request."""
        with self._changed:
            tickets = self._tickets_by_service[ticket.service]
            tickets.discard(ticket)
            if not tickets:
                del self._tickets_by_service[ticket.service]
            self._changed.notify_all()

    def is_first(self, ticket):
        """Tell whether it is a request's turn."""
        now = self._clock()
        with self._changed:
            tickets = self._tickets_by_service[ticket.service]
            first = min(tickets, key=lambda other: other.rank(now))
            return first is ticket

    def must_queue(self, service, priority, on_time_until):
        """Tell whether a new request has to let waiting ones go first."""
        now = self._clock()
        rank = (now > on_time_until, priority, on_time_until)
        with self._changed:
            return any(
                ticket.rank(now) < rank
                for ticket in self._tickets_by_service.get(service, ())
            )

    def pause(self, ticket):
        """Wait until something may have changed.

        Returns:
            False once the request is to be refused.
        """
        with self._changed:
            left = self.seconds_left(ticket)
            if left <= 0:
                return False
            self._changed.wait(min(left, RECHECK_SECONDS))
            return True
