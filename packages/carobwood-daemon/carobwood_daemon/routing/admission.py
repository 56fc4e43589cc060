"""Fair queues before busy engines.

Requests wait on the VM while their engine has enough prompt work, so
that the order of customers is decided here and not by who came first at
the engine. Within a priority the order is start-time fair queueing
(Goyal, Vin and Cheng, 1996) over the tokens that engines would have to
compute, weighted by the customers' rates.
"""

import dataclasses
import threading
import time

from carobwood import errors

# Prompt tokens that one VM keeps an engine busy with at a time.
WINDOW_TOKENS = 8192
MIN_COST_TOKENS = 256
MAX_WAITING = 512
CHOICE_PERIOD = 0.1
MIN_RETRY_AFTER = 1.0


@dataclasses.dataclass(eq=False)
class Turn:
    """A request's place in the queues.

    Attributes:
        customer: id of the customer.
        weight: the customer's part, its rate in tokens a second.
        priority: 0 (lowest) to 9, of the route.
        due_at: when the answer must have started, on the monotonic clock.
        start_tag: virtual start, None before it has a place.
        number: order of arrival.
        waits_at: engine where its tokens are counted as waiting, or None.
        tokens: tokens that the engine would have to compute.
    """

    customer: str
    weight: float
    priority: int
    due_at: float
    start_tag: float | None = None
    number: int = 0
    waits_at: object = None
    tokens: int = 0

    @property
    def rank(self):
        """What turns are sorted by."""
        return (-self.priority, self.start_tag, self.number)


@dataclasses.dataclass(frozen=True)
class Wish:
    """The engine that a request would go to now.

    Attributes:
        endpoint: the ``Endpoint``.
        tokens: tokens that it would have to compute.
        seconds: expected seconds until the first token if it went now.
        seconds_per_token: expected seconds of prefill for each token.
        max_in_flight: requests that the VM keeps open there at most.
    """

    endpoint: object
    tokens: int
    seconds: float
    seconds_per_token: float
    max_in_flight: int


class Admission:
    """Lets waiting requests through to their engines, in a fair order."""

    def __init__(self, loads, clock=time.monotonic):
        self._loads = loads
        self._clock = clock
        self._changed = threading.Condition()
        self._waiting = set()
        self._finish_by_customer = {}
        self._virtual_time = 0.0
        self._arrivals = 0
        loads.on_release(self._wake)

    @property
    def waiting(self):
        """Number of requests that wait."""
        return len(self._waiting)

    def admit(self, turn, wish, enter):
        """Wait for the request's turn at its engine and count it in.

        Args:
            turn: the ``Turn``; tries of one request share it.
            wish: function that returns the ``Wish`` as of now; asked
                again while the request waits.
            enter: function of the endpoint that counts the request in
                there; it must not block.

        Returns:
            What ``enter`` returned.

        Raises:
            Saturated: too many requests wait.
            DeadlineUnreachable: no engine can start it in time.
        """
        wanted = wish()
        self._line_up(turn, wanted)
        try:
            while True:
                entered = self._await_room(turn, wanted, enter)
                if entered is not None:
                    return entered
                self._stop_waiting_there(turn)
                wanted = wish()
        finally:
            self._leave(turn)

    def _line_up(self, turn, wanted):
        with self._changed:
            if len(self._waiting) >= MAX_WAITING:
                raise errors.Saturated('too many requests wait')
            self._arrivals += 1
            turn.number = self._arrivals
            if turn.start_tag is None:
                self._tag(turn, wanted)
            self._waiting.add(turn)

    def _tag(self, turn, wanted):
        finish = self._finish_by_customer.get(turn.customer, 0.0)
        turn.start_tag = max(self._virtual_time, finish)
        cost = max(MIN_COST_TOKENS, wanted.tokens) / max(1.0, turn.weight)
        self._finish_by_customer[turn.customer] = turn.start_tag + cost
        if len(self._finish_by_customer) > MAX_WAITING:
            self._forget_idle()

    def _await_room(self, turn, wanted, enter):
        now = self._clock()
        choose_at = now + CHOICE_PERIOD
        with self._changed:
            turn.tokens = wanted.tokens
            self._loads.start_wait(wanted.endpoint, wanted.tokens)
            turn.waits_at = wanted.endpoint
            self._check_deadline(turn, wanted, now)
            while now < choose_at:
                is_next = not any(self._ahead_of(turn))
                if is_next and self._has_room(wanted):
                    self._virtual_time = max(
                        self._virtual_time, turn.start_tag
                    )
                    return enter(wanted.endpoint)
                self._changed.wait(choose_at - now)
                now = self._clock()
        return None

    def _stop_waiting_there(self, turn):
        # Its own tokens must not count in its next choice.
        with self._changed:
            if turn.waits_at is not None:
                self._loads.end_wait(turn.waits_at, turn.tokens)
                turn.waits_at = None

    def _check_deadline(self, turn, wanted, now):
        queued = sum(other.tokens for other in self._ahead_of(turn))
        expected = wanted.seconds + queued * wanted.seconds_per_token
        missing = now + expected - turn.due_at
        if missing > 0:
            raise errors.DeadlineUnreachable(
                'no engine can start the answer in time',
                max(MIN_RETRY_AFTER, missing),
            )

    def _ahead_of(self, turn):
        wanted_id = turn.waits_at.id
        return (
            other
            for other in self._waiting
            if other.waits_at is not None
            and other.waits_at.id == wanted_id
            and other.rank < turn.rank
        )

    def _has_room(self, wanted):
        endpoint = wanted.endpoint
        if self._loads.open_requests(endpoint) >= wanted.max_in_flight:
            return False
        busy = self._loads.prefill_tokens(endpoint)
        return busy <= 0 or busy + wanted.tokens <= WINDOW_TOKENS

    def _forget_idle(self):
        for customer, finish in list(self._finish_by_customer.items()):
            if finish <= self._virtual_time:
                del self._finish_by_customer[customer]

    def _leave(self, turn):
        self._stop_waiting_there(turn)
        with self._changed:
            self._waiting.discard(turn)
            self._changed.notify_all()

    def _wake(self):
        with self._changed:
            self._changed.notify_all()
