"""Connects a relayed request with the overload control of its VM.

Load pattern: see ``overload_control``. Requests that have a response already,
or were tried at an endpoint before, pass as if there were no control: they
hold work that would be lost. So do requests for plain services.
"""

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import engine_room
from . import overload_control
from . import return_times
from . import urgency


class OverloadGate:
    """Admission of one request to the engines of its service."""

    def __init__(self, context, request):
        """Count a request among those that wait or run.

        Args:
            context: the ``RelayContext``.
            request: the ``AdmittedRequest``.
        """
        self._context = context
        self._control = context.overload
        self._need = None
        self._room = None
        self._has_returned = False
        if self._control is not None and has_engines(request):
            self._has_returned = self._control.has_returned(
                request.route.name, request.metadata.deadline
            )
            self._need = self._make_need(request)
            self._control.note_arrival(self._need)

    def close(self):
        """Count the request no more; it has ended."""
        if self._need is not None:
            self._control.note_end(self._need)
            self._need = None

    def room_for(self, request, tried, caller):
        """Return the ``Room`` that a request needs, or None for any.

        Args:
            request: the ``AdmittedRequest``.
            tried: the ``TriedEndpoints`` of the request.
            caller: the ``CallerRequest``.
        """
        if self._need is None or not has_engines(request):
            return None
        if tried.all_ids or caller.has_started_response:
            return None
        self._room = Room(self._context, request, self._make_need(request))
        return self._room

    def note_first_event(self, seconds):
        """Record the first event of an attempt.

        Args:
            seconds: time since the request was sent.
        """
        if self._room is not None:
            self._room.note_first_event(seconds)
            self._room = None

    def note_answer(self, request, first_byte_seconds, longest_pause):
        """Record an answer.

        Args:
            request: the ``AdmittedRequest``.
            first_byte_seconds: time until the response began.
            longest_pause: longest time between two events of a stream.
        """
        if self._need is None:
            return
        self._control.note_answer(
            request.service, longest_pause, request.route.target_pause
        )
        is_late = first_byte_seconds > request.route.target_latency
        outcome = 'late' if is_late else 'on-time'
        _count(self._context.metrics, outcome, request)

    def _make_need(self, request):
        return make_need(request, self._has_returned)


class Room:
    """Looks for room for one request until it gets a place.

    Attributes:
        has_looked: whether it has looked at the engines.
    """

    def __init__(self, context, request, need):
        """Create the search.

        Args:
            context: the ``RelayContext``.
            request: the ``AdmittedRequest``.
            need: its ``Need``.
        """
        self._context = context
        self._control = context.overload
        self._request = request
        self._need = need
        self.has_looked = False
        self._is_waiting = False
        self._can_be_on_time = True
        self._offers_by_id = {}
        self._expected_seconds = None

    def filter(self, candidates):
        """Return the candidates that have room for the request now.

        Args:
            candidates: ``Candidate`` records.
        """
        self.has_looked = True
        offers = make_offers(candidates, self._request.demand)
        self._offers_by_id = {offer.endpoint_id: offer for offer in offers}
        selection = self._control.select(
            self._need,
            offers,
            self._context.loads.last_report_at(),
            self._is_waiting,
        )
        self._can_be_on_time = selection.can_be_on_time
        return [
            candidate
            for candidate in candidates
            if candidate.endpoint.id in selection.endpoint_ids
        ]

    def note_placed(self, assignment):
        """Record that the request has got a place."""
        endpoint_id = assignment.endpoint.id
        self._control.note_placed(self._need, endpoint_id)
        offer = self._offers_by_id[endpoint_id]
        self._expected_seconds = offer.state.first_event_seconds(offer.tokens)
        if self._is_waiting:
            self._note_wait(True)

    def note_first_event(self, seconds):
        """Record that the first event came after some seconds."""
        if self._expected_seconds is not None:
            self._control.note_first_event(
                self._need, self._expected_seconds, seconds
            )

    def begin_wait(self, ahead):
        """Begin to wait, or refuse the request.

        Args:
            ahead: number of waiting requests that go before it.

        Raises:
            Saturated: it can't be on time.
        """
        self._is_waiting = True
        service = self._request.service
        self._context.metrics.gauge(
            f'overload.waiting.{service}',
            self._context.wait_queue.count(service),
        )
        if self._need.has_returned:
            return
        if not self._may_be_on_time or not self._control.is_worth_waiting(
            self._need, ahead
        ):
            raise self._refusal('the request is expected to be late', ahead)

    def check_wait(self):
        """Refuse the request if it can't be on time any more.

        Raises:
            Saturated: it can't.
        """
        if self._need.has_returned or self._may_be_on_time:
            return
        raise self.end_in_vain('the request can no longer be on time')

    def end_in_vain(self, reason):
        """Record that the wait was in vain; return the ``Saturated`` error.

        Args:
            reason: why it ends.
        """
        self._note_wait(False)
        return self._refusal(reason, 0)

    def _note_wait(self, was_placed):
        """Record how the wait has ended; log what that changes."""
        self._control.note_wait(self._need, was_placed)
        level = self._control.take_changed_level(self._need)
        if level is None:
            return
        service = self._need.service
        context = self._context
        events.emit(
            events.OVERLOAD_LEVEL,
            service=service,
            priority=self._need.urgency.priority,
            route_priority=self._need.urgency.route_priority,
            level=round(level, 2),
            limit=round(self._control.limit_fraction(service), 2),
            forecast=round(self._control.forecast_seconds(service, 1), 3),
            waiting=context.wait_queue.count(service),
            heard=self._report_age(),
        )
        context.metrics.gauge(f'overload.level.{service}', level)

    def _report_age(self):
        """Return the age in seconds of the last report on the loads."""
        age = clocks.now() - self._context.loads.last_report_at()
        return round(age, 2)

    @property
    def _may_be_on_time(self):
        return self._can_be_on_time and clocks.now() <= self._need.late_at

    def _refusal(self, reason, ahead):
        """Log a refusal and return its error."""
        retry_after = return_times.seconds_until_return(
            self._request.seconds_left
        )
        context = self._context
        request = self._request
        waiting = context.wait_queue.count(request.service)
        events.emit(
            events.OVERLOAD_REFUSED,
            request_id=request.metadata.request_id,
            service=request.service,
            route=request.route.name,
            customer=request.customer_name,
            priority=request.priority,
            route_priority=request.route.priority,
            reason=reason,
            left=round(self._need.late_at - clocks.now(), 3),
            ahead=ahead,
            level=round(self._control.level(self._need), 2),
            forecast=round(
                self._control.forecast_seconds(request.service, ahead), 3
            ),
            limit=round(self._control.limit_fraction(request.service), 2),
            waiting=waiting,
            heard=self._report_age(),
            retry_after=round(retry_after, 1),
        )
        _count(context.metrics, 'refused', request)
        return errors.Saturated(reason, retry_after)


def _count(metrics, outcome, request):
    """Count a request by its route and by its customer."""
    for name in (request.route.name, request.customer_name):
        if name:
            metrics.count(f'overload.{outcome}.{name}')


def make_need(request, has_returned=False):
    """Return the ``Need`` of a request.

    Args:
        request: the ``AdmittedRequest``.
        has_returned: whether it comes after a refusal.
    """
    return overload_control.Need(
        request.service,
        urgency.of(request),
        request.route.target_latency,
        request.soft_deadline_at,
        has_returned,
    )


def has_engines(request):
    """Return whether the service of a request consists of engines."""
    service = request.configuration.services_by_name.get(request.service)
    return service is not None and service.engine is not None


def make_offers(candidates, demand):
    """Return an ``Offer`` for each candidate.

    Args:
        candidates: ``Candidate`` records.
        demand: the ``Demand``.
    """
    tokens_by_version = _tokens_by_version(candidates, demand)
    return [
        overload_control.Offer(
            candidate.endpoint.id,
            engine_room.EngineState(
                candidate.slots,
                candidate.load.running,
                candidate.load.prefill_tokens,
                candidate.prefill_speed,
            ),
            tokens_by_version[candidate.weights_version],
        )
        for candidate in candidates
    ]


def _tokens_by_version(candidates, demand):
    """Return the tokens to prefill, by the weights version of the engine.

    What one engine has cached, all others with its weights can fetch.
    """
    cached_by_version = {}
    for candidate in candidates:
        version = candidate.weights_version
        cached_by_version[version] = max(
            candidate.cached_tokens, cached_by_version.get(version, 0)
        )
    total = demand.shared_tokens + demand.own_tokens
    return {
        version: total - cached
        for version, cached in cached_by_version.items()
    }
