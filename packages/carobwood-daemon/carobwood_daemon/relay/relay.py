"""Relays a caller's request: admission, forwarding, error response."""

import contextlib
import functools
import math
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

from ..limits import tracebacks

from . import caller_patience
from . import caller_request
from . import forwarding_headers
from . import messages
from . import planned_work
from . import request_forwarder
from . import stop_admission

# Requests of other VMs that are in flight here at most. The rest of the
# threads is left to this VM's own callers.
MAX_FORWARDED_REQUESTS = 64


class Relay:
    """Relays callers' requests, each on the thread of its connection."""

    def __init__(self, context, admission, selector, vm_forwarder):
        """Create the relay.

        Args:
            context: the ``RelayContext``.
            admission: the ``Admission``.
            selector: the ``Selector``.
            vm_forwarder: the ``VmForwarder``.
        """
        self._context = context
        self._admission = admission
        self._selector = selector
        self._vm_forwarder = vm_forwarder
        self._forwarded_slots = threading.Semaphore(MAX_FORWARDED_REQUESTS)

    def serve(self, caller):
        """Relay a request of a caller of this VM.

        Every failure ends in an error response or in a closed connection.

        Args:
            caller: the ``CallerRequest``.
        """
        self._serve(caller, None)

    def serve_forwarded(self, caller, forwarded):
        """Relay a request that another VM has admitted and forwarded.

        Args:
            caller: the ``CallerRequest``; the other VM stands for the caller.
            forwarded: the ``ForwardedRequest``.
        """
        if not self._forwarded_slots.acquire(blocking=False):
            error = errors.VmBusy('too many requests of other VMs in flight')
            self._report_error(caller, None, error, forwarded)
            return
        try:
            self._serve(caller, forwarded)
        finally:
            self._forwarded_slots.release()

    def _serve(self, caller, forwarded):
        arrived_at = clocks.now()
        gate = self._context.gate
        trace = self._context.tracer.start('relay')
        caller.close_if(lambda: not gate.is_ready)
        try:
            gate.admit()
        except errors.CarobwoodError as error:
            self._report_error(caller, None, error, forwarded)
            return
        try:
            self._admit_and_run(caller, forwarded, arrived_at, trace)
        finally:
            gate.release()
            trace.end()

    def _admit_and_run(self, caller, forwarded, arrived_at, trace):
        request = None
        try:
            with trace.span('admission'):
                request = self._admission.admit(caller, arrived_at, forwarded)
                caller.note_id(request.metadata.request_id)
                _check_caller(caller)
                stop_admission.refuse_if_too_late(self._context, request)
            if forwarded is not None:
                self._run_here(caller, request, trace)
            elif self._context.reachability.is_cut_off:
                self._vm_forwarder.run(caller, request, trace)
            else:
                self._run_anywhere(caller, request, trace)
        except errors.CallerLeft as error:
            caller.abort_response()
            self._log(events.CALLER_LEFT, caller, request, error, forwarded)
            tracebacks.drop(error)
        except errors.CarobwoodError as error:
            is_not_run = error.outcome is errors.Outcome.NOT_RUN
            if request and is_not_run and forwarded is None:
                self._admission.refund(request)
            self._report_error(caller, request, error, forwarded)
            tracebacks.drop(error)
        except Exception as error:
            self._log(
                events.REQUEST_CRASHED,
                caller,
                request,
                repr(error),
                forwarded,
            )
            # It may have been sent to an endpoint before.
            unexpected = errors.InternalError(
                'the request could not be processed'
            )
            self._report_error(caller, request, unexpected, forwarded)
            tracebacks.drop(error)

    def _run_anywhere(self, caller, request, trace):
        """Run a request here, or through another VM if this one cannot."""
        with self._make_forwarder(caller, request, trace) as forwarder:
            try:
                forwarder.run()
                return
            except errors.NoEndpointReachable as error:
                if caller.has_started_response:
                    raise forwarder.final_error(error) from error
            try:
                self._vm_forwarder.run(caller, request, trace)
            except errors.CallerLeft:
                raise
            except errors.CarobwoodError as error:
                raise forwarder.final_error(error) from error

    def _run_here(self, caller, request, trace):
        """Run a request of another VM, which may hand it to a third one."""
        with self._make_forwarder(caller, request, trace) as forwarder:
            try:
                forwarder.run()
            except errors.NoEndpointReachable as error:
                # An endpoint of this VM may have run it before.
                error.outcome = forwarder.final_error(error).outcome
                raise

    def _make_forwarder(self, caller, request, trace):
        resolved = self._context.stream_resumption.resolve(request)
        self._context.retry_budget.note_request(request.service)
        forwarder = request_forwarder.RequestForwarder(
            self._context,
            self._selector,
            caller,
            resolved,
            trace,
            functools.partial(self._admission.readmit, caller),
        )
        return contextlib.closing(forwarder)

    def _report_error(self, caller, request, error, forwarded=None):
        event = events.REQUEST_REFUSED
        if error.outcome is not errors.Outcome.NOT_RUN:
            event = events.REQUEST_FAILED
        self._log(event, caller, request, error, forwarded)
        self._context.metrics.count(f'refused.{error.code}')
        if caller.has_started_response:
            caller.abort_response()
            return
        request_id = self._parse_request_headers(caller).request_id
        headers = [('Content-Type', 'application/json')]
        headers += self._context.dialect.format_error_headers(request_id)
        if error.retry_after is not None:
            headers.append(('Retry-After', self._format_retry_after(error)))
        if forwarded is not None:
            headers.append((forwarding_headers.ERROR, error.code))
            headers.append((forwarding_headers.OUTCOME, error.outcome.value))
        body = caller_request.encode_error_body(error, request_id)
        reason = caller_request.reason_phrase(error.status)
        try:
            caller.send_response(error.status, reason, headers, body)
        except errors.CallerLeft:
            caller.abort_response()

    def _format_retry_after(self, error):
        """Return the seconds after which a caller may retry.

        Where admission is controlled, callers understand fractions, and
        returns are spread by them.
        """
        if self._context.load_features.controls_admission:
            return str(math.ceil(10 * error.retry_after) / 10)
        return str(math.ceil(error.retry_after))

    def _parse_request_headers(self, caller):
        try:
            return self._context.dialect.parse_request_headers(caller.headers)
        except errors.MalformedRequest:
            # The error response reports the malformed header already.
            return messages.RequestMetadata()

    def _log(self, event, caller, request, error, forwarded):
        metadata = self._parse_request_headers(caller)
        caller.note_id(metadata.request_id)
        fields = {'request_id': metadata.request_id, 'target': caller.target}
        if request is not None:
            now = clocks.now()
            fields = {
                'request_id': request.metadata.request_id,
                'route': request.route.name,
                'customer': request.customer_name,
                'seconds': round(now - request.arrived_at, 4),
                'patience_left': caller_patience.log_seconds(
                    request.caller_leaves_at - now
                ),
            }
        code = getattr(error, 'code', 'internal_error')
        detail = getattr(error, 'detail', str(error))
        events.emit(
            event,
            code=code,
            detail=detail,
            peer=caller.peer,
            sent=caller.response_bytes,
            forwarded_by=forwarded.vm_id if forwarded else '',
            **planned_work.log_fields(
                self._context.gate, self._context.configuration_store
            ),
            **fields,
        )


def _check_caller(caller):
    """Check that a caller has not left before its request was read.

    Raises:
        CallerLeft: the caller disconnected.
    """
    if caller.has_disconnected():
        raise errors.CallerLeft(
            'the caller disconnected before its request was sent'
        )
