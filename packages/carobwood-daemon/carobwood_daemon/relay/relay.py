"""The way of a caller's request through this VM."""

import http
import math

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import caller as callers
from . import errand as errands
from . import messages


class Relay:
    """Serves callers' requests, each on the thread of its connection."""

    def __init__(self, parts, admission, selector):
        self._parts = parts
        self._admission = admission
        self._selector = selector

    def serve(self, caller):
        """Serve a request; every failure ends in an answer or a break."""
        arrived_at = clocks.now()
        gate = self._parts.gate
        trace = self._parts.tracer.start('relay')
        try:
            gate.enter()
        except errors.CarobwoodError as error:
            self._refuse(caller, None, error)
            return
        try:
            if not gate.is_ready:
                caller.close_after_answer()
            self._serve(caller, arrived_at, trace)
        finally:
            gate.leave()
            trace.end()

    def _serve(self, caller, arrived_at, trace):
        request = None
        try:
            with trace.hop('admission'):
                request = self._admission.admit(caller, arrived_at)
            self._parts.retries.note_request(request.service)
            errand = errands.Errand(
                self._parts, self._selector, caller, request, trace
            )
            errand.run()
        except errors.CallerLeft as error:
            caller.break_off()
            self._log(events.CALLER_LEFT, caller, request, error)
        except errors.CarobwoodError as error:
            if request and error.outcome is errors.Outcome.NOT_RUN:
                self._admission.give_back(request)
            self._refuse(caller, request, error)
        except Exception as error:
            caller.break_off()
            self._log(events.REQUEST_CRASHED, caller, request, repr(error))

    def _refuse(self, caller, request, error):
        event = events.REQUEST_REFUSED
        if error.outcome is not errors.Outcome.NOT_RUN:
            event = events.REQUEST_FAILED
        self._log(event, caller, request, error)
        self._parts.metrics.count(f'refused.{error.code}')
        if caller.has_begun_answer:
            caller.break_off()
            return
        request_id = self._hints_of(caller).request_id
        headers = [('Content-Type', 'application/json')]
        headers += self._parts.dialect.describe_refusal(request_id)
        if error.retry_after is not None:
            seconds = math.ceil(error.retry_after)
            headers.append(('Retry-After', str(seconds)))
        body = callers.encode_refusal(error, request_id)
        reason = http.HTTPStatus(error.status).phrase
        try:
            caller.answer(error.status, reason, headers, body)
        except errors.CallerLeft:
            caller.break_off()

    def _hints_of(self, caller):
        try:
            return self._parts.dialect.parse_hints(caller.headers)
        except errors.MalformedRequest:
            # The refusal says so already.
            return messages.RoutingHints()

    def _log(self, event, caller, request, error):
        hints = self._hints_of(caller)
        fields = {'request_id': hints.request_id, 'target': caller.target}
        if request is not None:
            fields = {
                'request_id': request.hints.request_id,
                'route': request.route.name,
                'customer': request.customer_name,
                'seconds': round(clocks.now() - request.arrived_at, 4),
            }
        code = getattr(error, 'code', 'internal_error')
        detail = getattr(error, 'detail', str(error))
        configuration = self._parts.state.configuration
        version = configuration.version if configuration else 0
        events.emit(
            event, code=code, detail=detail, configuration=version, **fields
        )
