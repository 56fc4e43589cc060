"""Assigns endpoints to requests, and makes requests wait for capacity.

A request waits only as long as it may still be served; see ``wait_queue`` and
``caller_patience``.
One that no endpoint takes in that time is refused at once.

Load pattern: the only endpoint of a service accepts no connection for a second
or so, or is dead, with dozens of requests for it. A request that it did not
take waits in the queue until a probe reaches it, so that the bounds of the
queue and of ``TriedEndpoints`` hold for the threads that such requests take.

A VM that reaches no endpoint refuses what another VM may take. A stream that
has begun goes to no other VM: it waits until an endpoint is reached again.
"""

import math

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import caller_patience
from . import fleet_loads
from . import stop_admission
from . import urgency

# Endpoints whose load is written to one log line; keeps the line short.
MAX_LOGGED_ENDPOINTS = 16


class AssignmentQueue:
    """Assigns endpoints to one request in the order of the wait queue."""

    def __init__(self, context, selector, gate=None):
        """Create the queue.

        Args:
            context: the ``RelayContext``.
            selector: the ``Selector``.
            gate: the ``OverloadGate`` of the request, or None.
        """
        self._context = context
        self._selector = selector
        self._gate = gate
        # When the current wait ends, whatever changes meanwhile.
        self._wait_ends_at = math.inf

    def await_assignment(self, request, tried, caller):
        """Assign an endpoint, queueing the request if none has capacity.

        A wait that a change of the configuration interrupts goes on with the
        next call, for what is left of its time.

        Args:
            request: the ``AdmittedRequest``.
            tried: the ``TriedEndpoints`` of the request.
            caller: the ``CallerRequest``.

        Returns:
            An ``Assignment``.

        Raises:
            NoEndpoint: no endpoint of the service is known, or all of
                them have been tried, or were silent for too long.
            Saturated: the queue is full, or no endpoint had capacity
                within the maximum wait, or in time for the caller.
            NoEndpointReachable: this VM reaches no endpoint, and no part of
                a response was sent.
            Stopping: the VM stops before any had capacity, or before an
                answer might end.
            RequestCrashesEndpoints: endpoints crashed on a segment of the
                prompt while it waited.
            CallerLeft: the caller disconnected during the wait.
            ConfigurationChanged: the request was admitted under another
                configuration.
        """
        wait_queue = self._context.wait_queue
        key = queue_key(self._context, request)
        room = None
        if self._gate is not None:
            room = self._gate.room_for(request, tried, caller)
        if not wait_queue.must_queue(*key):
            assignment = self._try_assign(request, tried, room)
            if assignment is not None:
                self._wait_ends_at = math.inf
                return assignment
        excluded = tried.excluded_ids
        if excluded or self._context.is_discovery_done():
            self._refuse_if_exhausted(request, excluded)
        self._refuse_if_cut_off(caller)
        latest_end = self._wait_ends_at
        if not caller.has_started_response:
            latest_end = min(
                latest_end, caller_patience.latest_wait_end(request)
            )
        self._refuse_if_unavailable(
            request,
            excluded,
            wait_queue.max_wait(request.deadline_at, latest_end),
        )
        if room is not None:
            if not room.has_looked:
                room.filter(self._selector.candidates(request, excluded))
            room.begin_wait(wait_queue.count_ahead(*key))
        entry = wait_queue.enqueue(
            *key,
            request.deadline_at,
            is_apart=self._context.rollouts.waits_for_right(request)
            or self._waits_for_silent_only(request, tried),
            latest_end=latest_end,
            gives_way=room is not None,
        )
        if entry is None:
            raise _saturated('the wait queue of the service is full', room)
        self._wait_ends_at = entry.wait_ends_at
        began_at = clocks.now()
        outcome = 'broken-off'
        try:
            self._log_waiting(request, tried.all_ids, entry)
            assignment = self._wait_in_queue(
                request, tried, caller, entry, room
            )
            outcome = 'placed'
            self._wait_ends_at = math.inf
            return assignment
        except errors.CarobwoodError as error:
            outcome = error.code
            raise
        finally:
            wait_queue.remove(entry)
            events.emit(
                events.WAIT_ENDED,
                request_id=request.metadata.request_id,
                outcome=outcome,
                seconds=round(clocks.now() - began_at, 4),
            )

    def _try_assign(self, request, tried, room):
        """Assign an endpoint now, one that was silent only after others."""
        if room is not None:
            # It has been tried at none.
            assignment = self._selector.try_assign(
                request, frozenset(), filter_room=room.filter
            )
            if assignment is not None:
                room.note_placed(assignment)
            return assignment
        assignment = self._selector.try_assign(request, tried.all_ids)
        if assignment is None and tried.all_ids != tried.excluded_ids:
            assignment = self._selector.try_assign(request, tried.excluded_ids)
        return assignment

    def _waits_for_silent_only(self, request, tried):
        """Return whether all candidates were silent to the request before."""
        if not tried.all_ids:
            return False
        return not self._selector.has_untried_endpoint(request, tried.all_ids)

    def _refuse_if_exhausted(self, request, excluded):
        if not self._selector.has_untried_endpoint(request, excluded):
            raise errors.NoEndpoint('the service has no untried endpoint')

    def _wait_in_queue(self, request, tried, caller, entry, room):
        wait_queue = self._context.wait_queue
        while True:
            excluded = tried.excluded_ids
            if tried.given_up_ids:
                self._refuse_if_exhausted(request, excluded)
            if caller.has_disconnected():
                raise errors.CallerLeft(
                    'the caller disconnected while its request was queued'
                )
            if self._context.gate.is_interrupted:
                raise errors.Stopping('this VM is shutting down')
            if not excluded and not caller.has_started_response:
                stop_admission.refuse_if_too_late(self._context, request)
            self._context.segment_suspects.check(request.segment_keys)
            if wait_queue.is_first(entry):
                assignment = self._try_assign(request, tried, room)
                if assignment is not None:
                    return assignment
            self._refuse_if_cut_off(caller)
            if room is not None:
                room.check_wait()
            self._refuse_if_unavailable(
                request, excluded, wait_queue.seconds_left(entry)
            )
            if not wait_queue.wait_for_change(entry):
                reason = 'no endpoint had capacity within the maximum wait'
                if wait_queue.seconds_left(entry) > 0:
                    reason = 'a request that goes first has taken its turn'
                raise _saturated(reason, room)

    def _refuse_if_cut_off(self, caller):
        if not self._context.reachability.is_cut_off:
            return
        if not caller.has_started_response:
            raise errors.NoEndpointReachable('this VM reaches no endpoint')

    def _refuse_if_unavailable(self, request, excluded, max_wait):
        """Refuse a request if no endpoint takes requests in time.

        Args:
            request: the ``AdmittedRequest``.
            excluded: ids of endpoints that it must not go to.
            max_wait: seconds that the request may still wait.

        Raises:
            Saturated: all endpoints have asked for no requests for longer,
                or have a rate limit that leaves none for this VM.
        """
        seconds = self._selector.seconds_until_any_open(request, excluded)
        # One that takes requests now has no room, which the wait is for.
        if seconds > max(0.0, max_wait):
            raise errors.Saturated(
                'no endpoint takes requests of this VM for longer than this '
                'one may wait',
                seconds,
            )

    def _log_waiting(self, request, excluded, entry):
        context = self._context
        endpoints = self._selector.endpoints(request)
        loads_by_id = context.loads.total_loads()
        eligible_ids = self._selector.eligible_ids(
            request, endpoints, loads_by_id
        )
        events.emit(
            events.REQUEST_WAITING,
            request_id=request.metadata.request_id,
            service=request.service,
            priority=request.priority,
            tokens=request.demand.total_tokens,
            waiting=context.wait_queue.count(request.service),
            until=round(context.wait_queue.seconds_left(entry), 3),
            patience_left=caller_patience.log_seconds(
                context.wait_queue.seconds_until(request.caller_leaves_at)
            ),
            heard=round(context.loads.oldest_report_age(), 2),
            tried=sorted(excluded),
            paused=[
                endpoint.id
                for endpoint in endpoints
                if context.health.is_ejected(endpoint)
                or context.availability.seconds_until_available(endpoint)
            ],
            # Engines that name a rate limit.
            limited=[
                endpoint.id
                for endpoint in endpoints
                if context.rate_limits.is_limited(endpoint)
            ],
            software=request.software_version,
            # Engines that are loading weights or have outdated ones.
            changing=[
                endpoint.id
                for endpoint in endpoints
                if endpoint.id not in eligible_ids
            ],
            loads={
                endpoint.id: _load_summary(loads_by_id.get(endpoint.id))
                for endpoint in endpoints[:MAX_LOGGED_ENDPOINTS]
            },
        )


def queue_key(context, request):
    """Return the service, the priority and the latest time of an answer.

    They are what the wait queue orders requests by.

    Args:
        context: the ``RelayContext``.
        request: the ``AdmittedRequest``.
    """
    priority = request.priority
    if context.load_features.controls_admission:
        priority = urgency.of(request)
    return request.service, priority, request.soft_deadline_at


def _saturated(reason, room):
    """Return the error of a request that can't wait or has in vain."""
    if room is None:
        return errors.Saturated(reason)
    return room.end_in_vain(reason)


def _load_summary(load):
    """Return a load for the log.

    Returns:
        [requests, KV cache tokens, tokens still to be prefilled].
    """
    load = load or fleet_loads.Load()
    return [load.running, load.kv_cache_tokens, load.prefill_tokens]
