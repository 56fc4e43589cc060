"""Forwards one request to endpoints, with retries, and relays the response.

A request is attempted at one endpoint after another until one of them has
responded. A resumable event stream that breaks off is resumed at another
endpoint after the last complete event that the caller has received. An
endpoint that is silent keeps the request until another one goes on with it.
"""

import dataclasses

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import assignment_queue
from . import attempt_log
from . import overload_gate
from . import request_sender
from . import response_forwarder
from . import result_recorder
from . import silence_failover
from . import silence_watch
from . import silent_attempt
from . import tried_endpoints

# A request with less time left than this is not sent.
MIN_ATTEMPT_SECONDS = 0.01


class RequestForwarder:
    """Forwards one request, with retries, and relays the response."""

    def __init__(self, context, selector, caller, request, trace, readmit):
        """Create the forwarder of one request.

        Args:
            context: the ``RelayContext``.
            selector: the ``Selector`` that chooses endpoints.
            caller: the ``CallerRequest`` that receives the response.
            request: the ``AdmittedRequest``.
            trace: the ``RequestTrace`` that records its spans.
            readmit: called with an ``AdmittedRequest`` and whether it is
                bound to its service; see ``Admission.readmit``.
        """
        self._context = context
        self._selector = selector
        self._readmit = readmit
        self._overload_gate = overload_gate.OverloadGate(context, request)
        self._assignment_queue = assignment_queue.AssignmentQueue(
            context, selector, self._overload_gate
        )
        self._caller = caller
        self._trace = trace
        self._set_request(request)
        self._tried = tried_endpoints.TriedEndpoints()
        # Ids of the endpoints of failed attempts that may have run it.
        self._failed_ids = set()
        # Error of the last attempt in which the request may have run.
        self._run_error = None
        # When the current attempt began.
        self._sent_at = 0.0
        resume_id = ''
        if request.route.is_resumable:
            resume_id = request.metadata.resume_id
        self._response_forwarder = response_forwarder.ResponseForwarder(
            caller, resume_id, context.buffers
        )
        # The assignment of the current attempt.
        self._assignment = None
        # Whether events of the current attempt have come.
        self._is_streaming = False
        self._failover = silence_failover.SilenceFailover(
            context, selector, caller
        )

    def final_error(self, error):
        """Return the error that holds for all attempts together.

        If the request may have run in an earlier attempt, the caller must
        not be told that it has not run.
        """
        is_not_run = error.outcome is errors.Outcome.NOT_RUN
        if self._last_run_error is not None and is_not_run:
            return self._last_run_error
        return error

    @property
    def _last_run_error(self):
        """Error of an attempt in which the request may have run, or None."""
        return self._run_error or self._failover.run_error

    def run(self):
        """Attempt the request until an endpoint has responded to it.

        Raises:
            NoEndpointReachable: this VM reaches no endpoint; another VM may
                run the request, even if it may have run here.
            CarobwoodError: the error to report to the caller.
        """
        try:
            started = None
            while not self._run_attempt(started):
                started = self._failover.take()
        finally:
            self._failover.abandon()

    def close(self):
        """Drop what refers back to this forwarder, and so to its request."""
        self._overload_gate.close()
        self._response_forwarder.end()
        self._run_error = None
        self._failover.run_error = None

    def _run_attempt(self, started):
        """Make one attempt; return whether the caller has its response.

        Args:
            started: the ``StartedAttempt`` that has begun already, or None.
        """
        if started is None:
            assignment = self._reserve_assignment()
        else:
            assignment = started.sent.assignment
        try:
            with self._trace.span('endpoint', endpoint=assignment.endpoint.id):
                return self._attempt(assignment, started)
        finally:
            self._selector.release(assignment)

    def _set_request(self, request):
        self._request = request
        self._sender = request_sender.RequestSender(
            self._context, self._caller, request, self._trace
        )
        self._recorder = result_recorder.ResultRecorder(self._context, request)

    def _reserve_assignment(self):
        while True:
            self._follow_configuration()
            try:
                return self._reserve_once()
            except errors.ConfigurationChanged:
                # It is checked again, and waits again if it has to.
                continue

    def _follow_configuration(self, is_in_flight=False):
        """Check the request again if the configuration has changed.

        Args:
            is_in_flight: whether an endpoint may be running it now.
        """
        request = self._request
        if request.configuration is (
            self._context.configuration_store.configuration
        ):
            return
        is_bound = (
            is_in_flight
            or self._last_run_error is not None
            or request.software_version is not None
            or self._caller.has_started_response
        )
        try:
            self._set_request(self._readmit(request, is_bound))
        except errors.CarobwoodError as error:
            raise self.final_error(error) from error

    def _reserve_once(self):
        request = self._request
        self._check_reachability()
        if self._context.gate.is_interrupted:
            raise self.final_error(errors.Stopping('this VM is shutting down'))
        self._check_time(MIN_ATTEMPT_SECONDS)
        try:
            self._context.segment_suspects.check(request.segment_keys)
            with self._trace.span('place'):
                return self._assignment_queue.await_assignment(
                    request, self._tried, self._caller
                )
        except (errors.CallerLeft, errors.ConfigurationChanged):
            raise
        except errors.NoEndpointReachable as error:
            self._check_reachability()
            raise self.final_error(error) from error
        except errors.CarobwoodError as error:
            raise self.final_error(error) from error

    def _check_time(self, least_seconds):
        """Give the request up if too little of its time is left."""
        if self._request.seconds_left < least_seconds:
            reason = 'the deadline passed before the next attempt'
            raise self.final_error(errors.DeadlineUnreachable(reason))

    def _check_reachability(self):
        """Give the request up if this VM reaches no endpoint.

        Another VM can take it unless it may run once only and may have run,
        or a part of the response was sent.
        """
        if not self._context.reachability.is_cut_off:
            return
        if self._caller.has_started_response:
            return
        if self._last_run_error is None or self._request.route.is_idempotent:
            raise errors.NoEndpointReachable('this VM reaches no endpoint')

    def _attempt(self, assignment, started):
        """Attempt the request at an endpoint.

        Args:
            assignment: the ``Assignment``.
            started: see ``_run_attempt``.

        Returns:
            Whether the caller has received the whole response.

        Raises:
            CarobwoodError: the attempt failed and no retry is allowed.
        """
        if started is None:
            self._check_time(0.0)
            self._check_segments()
            attempt_log.log_sent(
                self._request,
                assignment,
                self._response_forwarder.last_event_id,
            )
        self._assignment = assignment
        self._failover.begin_attempt()
        self._sent_at = started.sent.sent_at if started else clocks.now()
        watch = silence_watch.SilenceWatch(
            silence_watch.seconds_before_head(self._request), self._on_silence
        )
        self._response_forwarder.begin(
            response_forwarder.Attempt(
                self._request, watch, self._bind_stream, self._note_event
            )
        )
        fingerprint = self._request.fingerprint
        self._context.crash_suspects.add_running(
            assignment.endpoint, fingerprint
        )
        self._is_streaming = False
        try:
            response = self._await_response(assignment, started, watch)
            self._selector.release_prefill(assignment)
            with self._context.gate.interruptible(response.upstream.interrupt):
                self._forward_response(assignment, response)
            self._note_answered(assignment, response)
            return True
        except errors.LocalPortsUsedUp as error:
            self._raise_unless_retryable(assignment, error)
        except errors.DescriptorsUsedUp as error:
            attempt_log.log_failed(self._request, assignment, error)
            raise self.final_error(error) from error
        except errors.EndpointUnreachable as error:
            self._recorder.note_unreachable(assignment, error)
            self._raise_unless_retryable(assignment, error)
        except errors.EndpointLeft as error:
            self._raise_unless_retryable(assignment, error)
        except errors.VersionNotAllowed as error:
            # The next attempt is made by what is allowed then.
            attempt_log.log_failed(self._request, assignment, error)
        except errors.EndpointNotRun as error:
            self._recorder.note_not_run(assignment, error.head)
            self._raise_unless_retryable(assignment, error)
        except (
            errors.EndpointFailed,
            errors.EndpointTimeout,
            errors.AnswerMismatch,
        ) as error:
            self._failed_ids.add(assignment.endpoint.id)
            self._run_error = error
            if self._context.gate.is_interrupted:
                raise errors.StopTimeout(
                    'the VM stopped before the response'
                ) from error
            self._note_failed(assignment, error)
            self._raise_unless_retryable(assignment, error)
        finally:
            if self._is_streaming:
                self._context.activity.end(assignment.endpoint.id)
            self._context.crash_suspects.remove_running(
                assignment.endpoint, fingerprint
            )
        return False

    def _check_segments(self):
        """Refuse the request if its segments became culprits meanwhile."""
        try:
            self._context.segment_suspects.check_before_send(
                self._request.segment_keys
            )
        except errors.RequestCrashesEndpoints as error:
            raise self.final_error(error) from error

    def _await_response(self, assignment, started, watch):
        """Return the ``EndpointResponse`` to the current attempt."""
        if started is None:
            return self._sender.send(
                assignment, self._response_forwarder.last_event_id, watch
            )
        if started.response is not None:
            return started.response
        return self._sender.await_response(started.sent, watch)

    def _note_failed(self, assignment, error):
        """Record that the current attempt has failed after it may have run."""
        is_timeout = isinstance(error, errors.EndpointTimeout)
        if is_timeout and self._failover.has_noted_silence:
            self._recorder.note_silent(assignment)
            return
        self._recorder.note_failed_attempt(
            assignment,
            error,
            self._sent_at,
            self._response_forwarder.first_event_at,
        )

    def _on_silence(self, connection, has_partial_event, heard_at):
        """Have another endpoint go on if that is possible.

        Raises:
            EndpointTimeout: another one goes on, or this VM is cut off from
                all and another VM is to take the request.
            CallerLeft: the caller disconnected meanwhile.
        """
        stay_reason = self._find_stay_reason()
        if stay_reason is None and self._may_go_to_another_vm():
            raise errors.EndpointTimeout('this VM reaches no endpoint')
        silent = silent_attempt.SilentAttempt(
            request=self._request,
            sender=self._sender,
            assignment=self._assignment,
            excluded_ids=self._tried.all_ids | {self._assignment.endpoint.id},
            connection=connection,
            has_partial_event=has_partial_event,
            last_event_id=self._response_forwarder.last_event_id,
            has_started=self._caller.has_started_response,
            heard_at=heard_at,
        )
        self._failover.look(silent, stay_reason)

    def _may_go_to_another_vm(self):
        return (
            self._context.reachability.is_cut_off
            and not self._caller.has_started_response
            and self._context.peers.has_candidate
            and self._context.retry_budget.may_spend(self._request.service)
        )

    def _find_stay_reason(self):
        """Return why no other endpoint may be tried now, or None."""
        route = self._request.route
        is_bound = self._caller.has_started_response and not route.is_resumable
        if is_bound or not route.is_idempotent:
            return silent_attempt.StayReason.UNREPEATABLE
        if self._is_last_attempt:
            return silent_attempt.StayReason.ATTEMPTS_USED
        if self._request.seconds_left < silence_failover.MIN_SECONDS:
            return silent_attempt.StayReason.DEADLINE
        if self._context.gate.is_interrupted:
            return silent_attempt.StayReason.STOPPED
        try:
            self._follow_configuration(is_in_flight=True)
        except errors.CarobwoodError:
            return silent_attempt.StayReason.NOT_ADMITTED
        return None

    @property
    def _run_ids(self):
        """Ids of the endpoints that may have run the request and failed."""
        return self._failed_ids | self._failover.run_ids

    @property
    def _is_last_attempt(self):
        run_ids = self._run_ids | {self._assignment.endpoint.id}
        return len(run_ids) >= self._request.route.max_attempts

    def _note_event(self):
        """Record that an event of the current attempt has come."""
        endpoint_id = self._assignment.endpoint.id
        self._context.rollouts.note_event(self._assignment)
        if self._is_streaming:
            self._context.activity.note_event(endpoint_id)
            return
        self._is_streaming = True
        self._overload_gate.note_first_event(clocks.now() - self._sent_at)
        self._context.activity.begin(endpoint_id)
        self._recorder.note_first_event(
            self._assignment, clocks.now() - self._sent_at
        )

    def _bind_stream(self):
        """Have later attempts go on at the same software version."""
        endpoint = self._assignment.endpoint
        self._context.stream_resumption.record(self._request, endpoint)
        self._set_request(
            dataclasses.replace(
                self._request, software_version=endpoint.software_version
            )
        )

    def _raise_unless_retryable(self, assignment, error):
        """Raise the final error unless another attempt is allowed."""
        request = self._request
        attempt_log.log_failed(request, assignment, error)
        if not isinstance(error, errors.EndpointNotRun):
            self._tried.add(assignment.endpoint.id, error)
        if self._failover.has_started:
            # Its retry is spent already.
            return
        if self._failed_ids:
            if not request.route.is_idempotent:
                raise error
            if len(self._run_ids) >= request.route.max_attempts:
                raise self.final_error(error)
        if self._caller.has_started_response and (
            self._response_forwarder.has_passed_on
            or not request.route.is_resumable
        ):
            raise error
        # No endpoint has received the request then, so that sending it again
        # does not count against the retry budget.
        is_unsent = isinstance(
            error, errors.EndpointUnreachable | errors.EndpointLeft
        )
        if not is_unsent and not self._context.retry_budget.try_spend(
            request.service
        ):
            raise self.final_error(error)

    def _forward_response(self, assignment, response):
        self._response_forwarder.forward(response)
        response.give_back(self._context.pool, assignment.endpoint)

    def _note_answered(self, assignment, response):
        self._recorder.note_answered(assignment, response.head)
        if response.head.status < 300:
            self._context.segment_suspects.record_answer(
                self._request.segment_keys
            )
        seconds = clocks.now() - self._request.arrived_at
        self._context.route_durations.note(self._request.route.name, seconds)
        self._overload_gate.note_answer(
            self._request,
            self._response_forwarder.first_byte_seconds,
            self._response_forwarder.longest_pause,
        )
        self._context.metrics.timing('request', seconds)
        self._context.metrics.timing(
            'first-byte', self._response_forwarder.first_byte_seconds
        )
        self._context.metrics.count(f'answered.{response.head.status}')
        events.emit(
            events.REQUEST_ANSWERED,
            request_id=self._request.metadata.request_id,
            endpoint=assignment.endpoint.id,
            status=response.head.status,
            peer=self._caller.peer,
            sent=self._caller.response_bytes,
            framing=response.upstream.framing.value,
            first=round(self._response_forwarder.first_byte_seconds, 4),
            pause=round(self._response_forwarder.longest_pause, 4),
            seconds=round(seconds, 4),
        )
