"""Has another endpoint go on with a request whose endpoint is silent.

Load pattern: one endpoint, or all of a service, falls silent for a second with
dozens of streams in flight, while the others are full or no retry is left. A
stream that is given up before that is known is cut, although its endpoint
would have gone on a moment later.

So the request stays where it is until another endpoint has room for it, a
retry is left, and that endpoint has begun to answer, or has at least not
refused it for a while and shown that it is awake. Both may work on the request
for that short time.
"""

import http
import math

from carobwood import clocks
from carobwood import errors

from ..entry import liveness as liveness_checks
from ..entry import silence

from . import assignment_queue
from . import attempt_log
from . import endpoint_connections
from . import result_recorder
from . import silence_watch
from . import silent_attempt

# Time left below which no other endpoint is tried.
MIN_SECONDS = 1.0
# Time after which an endpoint that did not take the request is tried again.
RETRY_SECONDS = 1.0
# Time between two looks at the silent endpoint while another one is asked
# whether it answers.
CHECK_PERIOD_SECONDS = 0.02

_StayReason = silent_attempt.StayReason


class SilenceFailover:
    """Attempts at other endpoints, made while one is silent.

    Attributes:
        run_ids: ids of the endpoints at which these attempts failed or were
            given up after the request may have run.
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
        self.run_ids = set()
        self.run_error = None
        self._context = context
        self._selector = selector
        self._caller = caller
        self.has_noted_silence = False
        # Monotonic times from which endpoints may be tried again, by id.
        self._retry_at_by_id = {}
        # Ids of endpoints that did not answer when asked, since all were.
        self._unanswering_ids = set()
        # Ids of endpoints that have answered that they are not ready.
        self._unready_ids = set()
        # Whether the endpoint sent no event of any stream at the last look.
        self._was_silent = False
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
        self._was_silent = False
        self._logged_reason = None

    def look(self, silent, stay_reason):
        """Begin an attempt at another endpoint if one takes the request.

        Args:
            silent: the ``SilentAttempt``.
            stay_reason: the ``StayReason`` for which none may be tried, or
                None.

        Raises:
            EndpointFailed: the silent endpoint has ended.
            EndpointTimeout: another endpoint goes on with the request.
            CallerLeft: the caller disconnected meanwhile.
        """
        self._check_not_ended(silent)
        if stay_reason is None and self._is_awake_again(silent):
            stay_reason = _StayReason.RESUMED
        if stay_reason is None:
            self._note_silence(silent.assignment.endpoint)
            stay_reason = self._begin(silent)
        if stay_reason is not self._logged_reason or stay_reason is None:
            attempt_log.log_silent(silent, stay_reason, self._started)
        self._logged_reason = stay_reason
        if stay_reason is None:
            raise errors.EndpointTimeout('another endpoint goes on')

    def _check_not_ended(self, silent):
        """Give up an endpoint that can't go on with what it had."""
        if self._context.ended_endpoints.has_ended(
            silent.assignment.endpoint, _service_of(silent.request)
        ):
            raise errors.EndpointFailed(
                'another instance answers at the address of the endpoint'
            )

    def _is_awake_again(self, silent):
        """Tell whether the endpoint has begun to send events of others.

        It has the time until the next look for those of this request.
        """
        endpoint_id = silent.assignment.endpoint.id
        was_silent = self._was_silent
        self._was_silent = endpoint_id in self._context.activity.silent_ids()
        return was_silent and not self._was_silent

    def _note_silence(self, endpoint):
        if not self.has_noted_silence:
            self.has_noted_silence = True
            self._context.health.note_result(endpoint, True)

    def _begin(self, silent):
        """Begin an attempt elsewhere; return a ``StayReason`` or None."""
        if not self._context.retry_budget.may_spend(silent.request.service):
            return _StayReason.NO_RETRY
        silent_ids = self._silent_ids() - silent.excluded_ids
        excluded_ids = silent.excluded_ids | silent_ids
        endpoint = self._find_in_turn(silent.request, excluded_ids)
        if endpoint is None:
            return (
                _StayReason.OTHERS_SILENT
                if silent_ids
                else _StayReason.NO_PLACE
            )
        match self._await_liveness(silent, endpoint):
            case liveness_checks.Liveness.SILENT:
                self._unanswering_ids.add(endpoint.id)
                return _StayReason.OTHERS_SILENT
            case liveness_checks.Liveness.PENDING:
                return _StayReason.RESUMED
            case liveness_checks.Liveness.UNREADY if (
                endpoint.id not in self._unready_ids
            ):
                # The next look prefers one that is ready.
                self._unready_ids.add(endpoint.id)
                self._unanswering_ids.add(endpoint.id)
                return _StayReason.UNREADY
        assignment = self._try_assign(
            silent.request, excluded_ids, endpoint.id
        )
        if assignment is None:
            return _StayReason.NO_PLACE
        try:
            return self._try_endpoint(silent, assignment)
        finally:
            if self._started is None:
                self._selector.release(assignment)

    def _find_in_turn(self, request, excluded_ids):
        """Choose an endpoint, one that did not answer only after others."""
        endpoint = self._find_endpoint(
            request, excluded_ids | self._unanswering_ids
        )
        if endpoint is None and self._unanswering_ids:
            self._unanswering_ids.clear()
            endpoint = self._find_endpoint(request, excluded_ids)
        return endpoint

    def _find_endpoint(self, request, excluded_ids):
        if self._must_queue(request):
            return None
        now = clocks.now()
        tried_ids = {
            endpoint_id
            for endpoint_id, retry_at in self._retry_at_by_id.items()
            if now < retry_at
        }
        try:
            return self._selector.find_endpoint(
                request, excluded_ids | tried_ids
            )
        except errors.ConfigurationChanged:
            # The next look is made under the new one.
            return None

    def _try_assign(self, request, excluded_ids, endpoint_id):
        """Assign an endpoint that answers, if it still has room."""
        if self._must_queue(request):
            return None
        try:
            return self._selector.try_assign(
                request, excluded_ids, endpoint_id
            )
        except errors.ConfigurationChanged:
            return None

    def _must_queue(self, request):
        return self._context.wait_queue.must_queue(
            *assignment_queue.queue_key(self._context, request)
        )

    def _silent_ids(self):
        return (
            self._context.activity.silent_ids()
            | self._context.liveness.silent_ids()
        )

    def _await_liveness(self, silent, endpoint):
        """Ask another endpoint whether it answers.

        Nothing is reserved for the request before.

        Returns:
            Its ``Liveness``; ``PENDING`` if the silent one has gone on.
        """
        check = self._context.liveness.check(
            endpoint, _service_of(silent.request)
        )
        while not check.wait(CHECK_PERIOD_SECONDS):
            if silent.has_resumed:
                return liveness_checks.Liveness.PENDING
            if self._caller.has_disconnected():
                raise errors.CallerLeft(
                    'the caller disconnected during the silence'
                )
        return check.liveness

    def _try_endpoint(self, silent, assignment):
        """Send the request to an endpoint; return a ``StayReason`` or None."""
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
            endpoint = assignment.endpoint
            self._context.pool.release(
                endpoint.address, connection, None, endpoint.instance
            )
            return stay_reason
        attempt_log.log_sent(request, assignment, silent.last_event_id)
        sent_at = clocks.now()
        suspects = self._context.crash_suspects
        suspects.add_running(assignment.endpoint, request.fingerprint)
        try:
            return self._try_request(silent, assignment, connection)
        except errors.VersionNotAllowed as error:
            attempt_log.log_failed(request, assignment, error)
            return _StayReason.NO_PLACE
        except errors.EndpointNotRun as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_not_run(assignment, error.head)
            return _StayReason.REFUSED
        except errors.EndpointUnreachable as error:
            # The connection was reset before anything was sent.
            attempt_log.log_failed(request, assignment, error)
            recorder.note_unreachable(assignment, error)
            return _StayReason.UNREACHABLE
        except (
            errors.EndpointFailed,
            errors.EndpointTimeout,
            errors.AnswerMismatch,
        ) as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_failed_attempt(assignment, error, sent_at, None)
            self._retry_at_by_id[assignment.endpoint.id] = math.inf
            self._note_run(assignment, error)
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
        """Send the request and wait until it may count as taken.

        Without an answer, that needs an endpoint that has shown since that it
        is awake.
        """
        silent_ids = self._context.activity.silent_ids()
        watch = silence_watch.SilenceWatch(silence.TRIAL_SECONDS, _give_up)
        sent = silent.sender.send_on(
            connection, assignment, silent.last_event_id, watch
        )
        check = self._context.liveness.check_now(
            assignment.endpoint, _service_of(silent.request)
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
        is_awake = check.liveness.has_answered or self._has_heard(
            assignment, sent.sent_at
        )
        if self._has_gone_on(silent, silent_ids, sent.sent_at):
            error = errors.EndpointTimeout('the first one went on')
            return self._leave_other(sent, error, _StayReason.RESUMED)
        if not is_awake:
            error = errors.EndpointTimeout('the other one is silent')
            return self._leave_other(sent, error, _StayReason.OTHERS_SILENT)
        self._started = silent_attempt.StartedAttempt(sent, None)
        return None

    def _has_gone_on(self, silent, silent_ids, since):
        """Tell whether the endpoint that was silent sends again.

        One that sends events of other streams will go on with this one too,
        unless it has sent them all the time.

        Args:
            silent: the ``SilentAttempt``.
            silent_ids: ids of the endpoints that sent nothing to this VM as
                the trial began.
            since: when that was, by ``clocks.now``.
        """
        if silent.has_resumed:
            return True
        was_silent = silent.assignment.endpoint.id in silent_ids
        return was_silent and self._has_heard(silent.assignment, since)

    def _has_heard(self, assignment, since):
        """Tell whether an endpoint has sent an event of any stream since."""
        return self._context.activity.has_heard(
            assignment.endpoint.id, clocks.now() - since
        )

    def _leave_other(self, sent, error, stay_reason):
        """Cancel the attempt at the other endpoint; return the reason."""
        sent.connection.close()
        self._note_run(sent.assignment, error)
        return stay_reason

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
        if head.status >= http.HTTPStatus.INTERNAL_SERVER_ERROR:
            sent.connection.close()
            raise errors.EndpointFailed(
                f'the endpoint answered with HTTP status {head.status}'
            )
        self._started = silent_attempt.StartedAttempt(sent, response)
        return None

    def _note_run(self, assignment, error):
        self.run_ids.add(assignment.endpoint.id)
        self.run_error = error


def _service_of(request):
    """Return the ``Service`` of an ``AdmittedRequest``, or None."""
    return request.configuration.services_by_name.get(request.service)


def _give_up(_connection, _has_partial_event, _heard_at):
    raise errors.EndpointTimeout('the endpoint sent no response in time')
