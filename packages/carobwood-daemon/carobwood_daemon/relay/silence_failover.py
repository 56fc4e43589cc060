"""Has another endpoint go on with a request whose endpoint is silent.

Load pattern: one endpoint, or all of a service, falls silent for a second with
dozens of streams in flight, while the others are full or no retry is left. A
stream that is given up before that is known is cut, although its endpoint
would have gone on a moment later.

So the request stays where it is until another endpoint has room for it, a
retry is left, and that endpoint has begun to answer, or has at least not
refused it for a while. Both may work on the request for that short time.
"""

import http
import math

from carobwood import clocks
from carobwood import errors

from ..entry import silence

from . import attempt_log
from . import endpoint_connections
from . import result_recorder
from . import silence_watch
from . import silent_attempt

# Time left below which no other endpoint is tried.
MIN_SECONDS = 1.0
# Time after which an endpoint that did not take the request is tried again.
RETRY_SECONDS = 1.0

_StayReason = silent_attempt.StayReason


class SilenceFailover:
    """Attempts at other endpoints, made while one is silent.

    Attributes:
        run_count: number of these attempts that failed or were given up after
            the request may have run.
        run_error: error of the last of them, or None.
        has_noted_silence: whether the silence of the current attempt counts
            as a failure of its endpoint already.
    """

    def __init__(self, context, selector, caller):
        """Create the failover of one request.

        Args:
            context: the ``RelayContext``.
            selector: the ``Selector``.
            caller: the ``CallerRequest``.
        """
        self.run_count = 0
        self.run_error = None
        self._context = context
        self._selector = selector
        self._caller = caller
        self.has_noted_silence = False
        # Monotonic times from which endpoints may be tried again, by id.
        self._retry_at_by_id = {}
        self._started = None
        self._logged_reason = None

    @property
    def has_started(self):
        """Whether an attempt has begun and was not taken yet."""
        return self._started is not None

    def take(self):
        """Return the ``StartedAttempt`` and forget it; None without one."""
        started, self._started = self._started, None
        return started

    def abandon(self):
        """Cancel an attempt that was not taken."""
        started = self.take()
        if started is not None:
            started.sent.connection.close()
            self._selector.release(started.sent.assignment)

    def begin_attempt(self):
        """Note that a further attempt begins."""
        self.has_noted_silence = False
        self._logged_reason = None

    def look(self, silent, stay_reason):
        """Begin an attempt at another endpoint if one takes the request.

        Args:
            silent: the ``SilentAttempt``.
            stay_reason: the ``StayReason`` for which none may be tried, or
                None.

        Raises:
            EndpointTimeout: another endpoint goes on with the request.
            CallerLeft: the caller disconnected meanwhile.
        """
        if stay_reason is None:
            self._note_silence(silent.assignment.endpoint)
            stay_reason = self._begin(silent)
        if stay_reason is not self._logged_reason or stay_reason is None:
            attempt_log.log_silent(
                silent.request,
                silent.assignment,
                stay_reason.value if stay_reason else '',
                silent.has_started,
            )
        self._logged_reason = stay_reason
        if stay_reason is None:
            raise errors.EndpointTimeout('another endpoint goes on')

    def _note_silence(self, endpoint):
        if not self.has_noted_silence:
            self.has_noted_silence = True
            self._context.health.note_result(endpoint, True)

    def _begin(self, silent):
        """Begin an attempt elsewhere; return a ``StayReason`` or None."""
        if not self._context.retry_budget.may_spend(silent.request.service):
            return _StayReason.NO_RETRY
        silent_ids = self._context.activity.silent_ids() - silent.excluded_ids
        assignment = self._try_assign(
            silent.request, silent.excluded_ids | silent_ids
        )
        if assignment is None:
            return (
                _StayReason.OTHERS_SILENT
                if silent_ids
                else _StayReason.NO_PLACE
            )
        try:
            return self._try_endpoint(silent, assignment)
        finally:
            if self._started is None:
                self._selector.release(assignment)

    def _try_assign(self, request, excluded_ids):
        must_queue = self._context.wait_queue.must_queue(
            request.service, request.priority, request.soft_deadline_at
        )
        if must_queue:
            return None
        now = clocks.now()
        tried_ids = {
            endpoint_id
            for endpoint_id, retry_at in self._retry_at_by_id.items()
            if now < retry_at
        }
        try:
            return self._selector.try_assign(request, excluded_ids | tried_ids)
        except errors.ConfigurationChanged:
            # The next look is made under the new one.
            return None

    def _try_endpoint(self, silent, assignment):
        request = silent.request
        self._retry_at_by_id[assignment.endpoint.id] = (
            clocks.now() + RETRY_SECONDS
        )
        recorder = result_recorder.ResultRecorder(self._context, request)
        try:
            connection = silent.sender.connect(assignment)
        except errors.DescriptorsUsedUp:
            return _StayReason.UNREACHABLE
        except errors.EndpointUnreachable as error:
            recorder.note_unreachable(assignment, error)
            return _StayReason.UNREACHABLE
        except errors.EndpointLeft:
            return _StayReason.LEAVING
        stay_reason = self._claim_attempt(request)
        if stay_reason is not None:
            self._context.pool.release(
                assignment.endpoint.address, connection, None
            )
            return stay_reason
        attempt_log.log_sent(request, assignment, silent.last_event_id)
        sent_at = clocks.now()
        suspects = self._context.crash_suspects
        suspects.add_running(assignment.endpoint, request.fingerprint)
        try:
            return self._try_request(silent, assignment, connection)
        except errors.EndpointNotRun as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_not_run(assignment, error.head)
            return _StayReason.REFUSED
        except (
            errors.EndpointFailed,
            errors.EndpointTimeout,
            errors.AnswerMismatch,
        ) as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_failed_attempt(assignment, error, sent_at, None)
            self._retry_at_by_id[assignment.endpoint.id] = math.inf
            self._note_run(error)
            return _StayReason.FAILED
        except BaseException:
            connection.close()
            raise
        finally:
            suspects.remove_running(assignment.endpoint, request.fingerprint)

    def _claim_attempt(self, request):
        """Spend a retry; return a ``StayReason`` if none may be made."""
        try:
            self._context.segment_suspects.check_before_send(
                request.segment_keys
            )
        except errors.RequestCrashesEndpoints:
            return _StayReason.NOT_ADMITTED
        if not self._context.retry_budget.try_spend(request.service):
            return _StayReason.NO_RETRY
        return None

    def _try_request(self, silent, assignment, connection):
        """Send the request and wait until it may count as taken."""
        watch = silence_watch.SilenceWatch(silence.TRIAL_SECONDS, _give_up)
        sent = silent.sender.send_on(
            connection, assignment, silent.last_event_id, watch
        )
        seconds_left = max(
            0.0, sent.sent_at + silence.TRIAL_SECONDS - clocks.now()
        )
        match connection.wait(self._caller.socket, seconds_left):
            case endpoint_connections.WaitResult.CALLER_LEFT:
                raise errors.CallerLeft(
                    'the caller disconnected during the silence'
                )
            case endpoint_connections.WaitResult.READABLE:
                return self._check_response(silent, sent, watch)
        if silent.has_resumed:
            connection.close()
            self._note_run(errors.EndpointTimeout('the first one went on'))
            return _StayReason.RESUMED
        self._started = silent_attempt.StartedAttempt(sent, None)
        return None

    def _check_response(self, silent, sent, watch):
        """Read the head of a response and decide whether it is taken."""
        response = silent.sender.await_response(sent, watch)
        head = response.head
        is_stream = head.is_event_stream and head.status == http.HTTPStatus.OK
        if silent.has_started and not is_stream:
            sent.connection.close()
            raise errors.EndpointFailed(
                'the endpoint did not resume the event stream'
            )
        self._started = silent_attempt.StartedAttempt(sent, response)
        return None

    def _note_run(self, error):
        self.run_count += 1
        self.run_error = error


def _give_up(_connection, _has_partial_event):
    raise errors.EndpointTimeout('the endpoint sent no response in time')
