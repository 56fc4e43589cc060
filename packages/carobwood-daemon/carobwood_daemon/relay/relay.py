"""Relays a caller's request: admission, forwarding, error response."""

import http
import math

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import caller as callers
from . import errand
from . import messages


class Relay:
    """Relays callers' requests, each on the thread of its connection."""

    def __init__(self, dependencies, admission, selector):
        """Create the relay.

        Args:
            dependencies: the ``RelayParts``.
            admission: the ``Admission``.
            selector: the ``Selector``.
        """
        self._dependencies = dependencies
        self._admission = admission
        self._selector = selector

    def serve(self, caller):
        """Relay a request.

        Every failure ends in an error response or in a closed connection.

        Args:
            caller: the ``CallerRequest``.
        """
        arrived_at = clocks.now()
        gate = self._dependencies.gate
        trace = self._dependencies.tracer.start('relay')
        try:
            gate.admit()
        except errors.CarobwoodError as error:
            self._report_error(caller, None, error)
            return
        try:
            if not gate.is_ready:
                caller.close_after_response()
            self._admit_and_forward(caller, arrived_at, trace)
        finally:
            gate.release()
            trace.end()

    def _admit_and_forward(self, caller, arrived_at, trace):
        request = None
        try:
            with trace.hop('admission'):
                request = self._admission.admit(caller, arrived_at)
            self._dependencies.retries.note_request(request.service)
            forwarder = errand.RequestForwarder(
                self._dependencies, self._selector, caller, request, trace
            )
            forwarder.run()
        except errors.CallerLeft as error:
            caller.abort_response()
            self._log(events.CALLER_LEFT, caller, request, error)
        except errors.CarobwoodError as error:
            if request and error.outcome is errors.Outcome.NOT_RUN:
                self._admission.give_back(request)
            self._report_error(caller, request, error)
        except Exception as error:
            caller.abort_response()
            self._log(events.REQUEST_CRASHED, caller, request, repr(error))

    def _report_error(self, caller, request, error):
        event = events.REQUEST_REFUSED
        if error.outcome is not errors.Outcome.NOT_RUN:
            event = events.REQUEST_FAILED
        self._log(event, caller, request, error)
        self._dependencies.metrics.count(f'refused.{error.code}')
        if caller.has_started_response:
            caller.abort_response()
            return
        request_id = self._parse_hints(caller).request_id
        headers = [('Content-Type', 'application/json')]
        headers += self._dependencies.dialect.describe_refusal(request_id)
        if error.retry_after is not None:
            seconds = math.ceil(error.retry_after)
            headers.append(('Retry-After', str(seconds)))
        body = callers.encode_error_body(error, request_id)
        reason = http.HTTPStatus(error.status).phrase
        try:
            caller.send_response(error.status, reason, headers, body)
        except errors.CallerLeft:
            caller.abort_response()

    def _parse_hints(self, caller):
        try:
            return self._dependencies.dialect.parse_hints(caller.headers)
        except errors.MalformedRequest:
            # The error response reports the malformed header already.
            return messages.RoutingHints()

    def _log(self, event, caller, request, error):
        hints = self._parse_hints(caller)
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
        configuration = self._dependencies.state.configuration
        version = configuration.version if configuration else 0
        events.emit(
            event, code=code, detail=detail, configuration=version, **fields
        )
