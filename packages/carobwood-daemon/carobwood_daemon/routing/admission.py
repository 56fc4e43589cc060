"""Fair queueing of requests for busy engines.

Requests wait on the VM while their engine has enough prefill work, so that
the VM decides the order among customers instead of the engine's own
first-come, first-served queue. Requests of higher priority go first. Within
a priority, requests are ordered by start-time fair queueing (Goyal, Vin and
Cheng, 1996). The cost of a request is the number of prompt tokens that the
engine has to compute, and customers are weighted by their token rates.
"""

import dataclasses
import threading
import time

from carobwood import errors

# Limit of uncomputed prompt tokens that one VM keeps outstanding on an
# engine. A request above the limit is admitted if nothing is outstanding.
PREFILL_WINDOW_TOKENS = 8192
# Minimum cost of a request in fair queueing, for prompts that are almost
# completely cached.
MIN_COST_TOKENS = 256
MAX_QUEUED_REQUESTS = 512
# A waiting request selects its engine anew after this time.
RESELECT_SECONDS = 0.1
MIN_RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(eq=False)
class FairQueueEntry:
    """Queue entry of a request.

    Attributes:
        customer: id of the customer.
        weight: weight of the customer in fair queueing, which is its rate
            in tokens per second.
        priority: priority of the route, from 0 (lowest) to 9.
        due_at: latest time at which the response must start, on the
            monotonic clock.
        start_tag: virtual start time of fair queueing, or None before the
            request is queued for the first time.
        arrival_number: number in order of arrival, which breaks ties.
        queued_endpoint: the ``Endpoint`` that the request is queued for, or
            None.
        tokens: prompt tokens that the endpoint would have to compute.
    """

    customer: str
    weight: float
    priority: int
    due_at: float
    start_tag: float | None = None
    arrival_number: int = 0
    queued_endpoint: object = None
    tokens: int = 0

    @property
    def sort_key(self):
        """Sort key of queue entries; the smallest is admitted first."""
        return (-self.priority, self.start_tag, self.arrival_number)


@dataclasses.dataclass(frozen=True)
class EngineSelection:
    """The engine currently selected for a request.

    Attributes:
        endpoint: the ``Endpoint``.
        tokens: prompt tokens that the engine would have to compute.
        expected_seconds: expected seconds until the first token if the
            request is sent now.
        seconds_per_token: expected prefill seconds per token.
        max_in_flight: maximum number of requests that this VM keeps open on
            the engine.
    """

    endpoint: object
    tokens: int
    expected_seconds: float
    seconds_per_token: float
    max_in_flight: int


class Admission:
    """Queues requests and admits them to their engines in a fair order."""

    def __init__(self, loads, clock=time.monotonic):
        self._loads = loads
        self._clock = clock
        self._changed = threading.Condition()
        self._waiting = set()
        self._finish_tags_by_customer = {}
        self._virtual_time = 0.0
        self._arrivals = 0
        loads.on_release(self._wake_waiters)

    @property
    def waiting(self):
        """Number of queued requests."""
        return len(self._waiting)

    def admit(self, entry, select, register):
        """Queue a request until its engine has capacity, and register it.

        Args:
            entry: the ``FairQueueEntry`` of the request, which all attempts of
                the request share.
            select: function that returns the ``EngineSelection`` with the
                currently selected engine; called again while the request
                waits.
            register: function that takes the endpoint and registers the
                request as running there; it must not block.

        Returns:
            The return value of ``register``.

        Raises:
            Saturated: the queue is full.
            DeadlineUnreachable: no engine can start the response in time.
        """
        selection = select()
        self._enqueue(entry, selection)
        try:
            while True:
                registered = self._wait_for_capacity(
                    entry, selection, register
                )
                if registered is not None:
                    return registered
                self._release_queued_endpoint(entry)
                selection = select()
        finally:
            self._dequeue(entry)

    def _enqueue(self, entry, selection):
        with self._changed:
            if len(self._waiting) >= MAX_QUEUED_REQUESTS:
                raise errors.Saturated('request queue of this VM is full')
            self._arrivals += 1
            entry.arrival_number = self._arrivals
            if entry.start_tag is None:
                self._assign_start_tag(entry, selection)
            self._waiting.add(entry)

    def _assign_start_tag(self, entry, selection):
        finish = self._finish_tags_by_customer.get(entry.customer, 0.0)
        entry.start_tag = max(self._virtual_time, finish)
        cost = max(MIN_COST_TOKENS, selection.tokens) / max(1.0, entry.weight)
        self._finish_tags_by_customer[entry.customer] = entry.start_tag + cost
        if len(self._finish_tags_by_customer) > MAX_QUEUED_REQUESTS:
            self._remove_idle_customers()

    def _wait_for_capacity(self, entry, selection, register):
        now = self._clock()
        reselect_at = now + RESELECT_SECONDS
        with self._changed:
            entry.tokens = selection.tokens
            self._loads.add_queued_tokens(selection.endpoint, selection.tokens)
            entry.queued_endpoint = selection.endpoint
            self._check_deadline(entry, selection, now)
            while now < reselect_at:
                is_next = not any(self._entries_ahead(entry))
                if is_next and self._has_capacity(selection):
                    self._virtual_time = max(
                        self._virtual_time, entry.start_tag
                    )
                    return register(selection.endpoint)
                self._changed.wait(reselect_at - now)
                now = self._clock()
        return None

    def _release_queued_endpoint(self, entry):
        # The request's own tokens must not count as load when its next
        # engine is selected.
        with self._changed:
            if entry.queued_endpoint is not None:
                self._loads.remove_queued_tokens(
                    entry.queued_endpoint, entry.tokens
                )
                entry.queued_endpoint = None

    def _check_deadline(self, entry, selection, now):
        queued = sum(other.tokens for other in self._entries_ahead(entry))
        expected_seconds = (
            selection.expected_seconds + queued * selection.seconds_per_token
        )
        excess_seconds = now + expected_seconds - entry.due_at
        if excess_seconds > 0:
            raise errors.DeadlineUnreachable(
                'no engine can start the response before its deadline',
                max(MIN_RETRY_AFTER_SECONDS, excess_seconds),
            )

    def _entries_ahead(self, entry):
        endpoint_id = entry.queued_endpoint.id
        return (
            other
            for other in self._waiting
            if other.queued_endpoint is not None
            and other.queued_endpoint.id == endpoint_id
            and other.sort_key < entry.sort_key
        )

    def _has_capacity(self, selection):
        endpoint = selection.endpoint
        if self._loads.open_requests(endpoint) >= selection.max_in_flight:
            return False
        outstanding = self._loads.prefill_tokens(endpoint)
        return (
            outstanding <= 0
            or outstanding + selection.tokens <= PREFILL_WINDOW_TOKENS
        )

    def _remove_idle_customers(self):
        for customer, finish in list(self._finish_tags_by_customer.items()):
            if finish <= self._virtual_time:
                del self._finish_tags_by_customer[customer]

    def _dequeue(self, entry):
        self._release_queued_endpoint(entry)
        with self._changed:
            self._waiting.discard(entry)
            self._changed.notify_all()

    def _wake_waiters(self):
        with self._changed:
            self._changed.notify_all()
