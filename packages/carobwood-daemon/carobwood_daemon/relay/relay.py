"""Relays a caller's request: admission, forwarding, error response."""

import math

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import caller_request
from . import messages
from . import request_forwarder


class Relay:
    """Relays callers' requests, each on the thread of its connection."""

    def __init__(self, context, admission, selector):
        """Create the relay.

        Args:
            context: the ``RelayContext``.
            admission: the ``Admission``.
            selector: the ``Selector``.
        """
        self._context = context
        self._admission = admission
        self._selector = selector

    def serve(self, caller):
        """Relay a request.

        Every failure ends in an error response or in a closed connection.

        Args:
            caller: the ``CallerRequest``.
        """
        arrived_at = clocks.now()
        gate = self._context.gate
        trace = self._context.tracer.start('relay')
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
            with trace.span('admission'):
                request = self._admission.admit(caller, arrived_at)
            request = self._context.stream_resumption.resolve(request)
            self._context.retry_budget.note_request(request.service)
            forwarder = request_forwarder.RequestForwarder(
                self._context, self._selector, caller, request, trace
            )
            forwarder.run()
        except errors.CallerLeft as error:
            caller.abort_response()
            self._log(events.CALLER_LEFT, caller, request, error)
        except errors.CarobwoodError as error:
            if request and error.outcome is errors.Outcome.NOT_RUN:
                self._admission.refund(request)
            self._report_error(caller, request, error)
        except Exception as error:
            caller.abort_response()
            self._log(events.REQUEST_CRASHED, caller, request, repr(error))

    def _report_error(self, caller, request, error):
        event = events.REQUEST_REFUSED
        if error.outcome is not errors.Outcome.NOT_RUN:
            event = events.REQUEST_FAILED
        self._log(event, caller, request, error)
        self._context.metrics.count(f'refused.{error.code}')
        if caller.has_started_response:
            caller.abort_response()
            return
        request_id = self._parse_request_headers(caller).request_id
        headers = [('Content-Type', 'application/json')]
        headers += self._context.dialect.format_error_headers(request_id)
        if error.retry_after is not None:
            seconds = math.ceil(error.retry_after)
            headers.append(('Retry-After', str(seconds)))
        body = caller_request.encode_error_body(error, request_id)
        reason = caller_request.reason_phrase(error.status)
        try:
            caller.send_response(error.status, reason, headers, body)
        except errors.CallerLeft:
            caller.abort_response()

    def _parse_request_headers(self, caller):
        try:
            return self._context.dialect.parse_request_headers(caller.headers)
        except errors.MalformedRequest:
            # The error response reports the malformed header already.
            return messages.RequestMetadata()

    def _log(self, event, caller, request, error):
        metadata = self._parse_request_headers(caller)
        fields = {'request_id': metadata.request_id, 'target': caller.target}
        if request is not None:
            fields = {
                'request_id': request.metadata.request_id,
                'route': request.route.name,
                'customer': request.customer_name,
                'seconds': round(clocks.now() - request.arrived_at, 4),
            }
        code = getattr(error, 'code', 'internal_error')
        detail = getattr(error, 'detail', str(error))
        configuration = self._context.configuration_store.configuration
        version = configuration.version if configuration else 0
        events.emit(
            event, code=code, detail=detail, configuration=version, **fields
        )
