"""Has another endpoint go on with a request whose endpoint is silent.

Load pattern: one endpoint, or all of a service, falls silent for a second with
dozens of streams in flight, while the others are full or no retry is left. A
stream that is given up before that is known is cut, although its endpoint
would have gone on a moment later.

So the request stays where it is until another endpoint has room for it, a
retry is left, and that endpoint has begun to answer, or has at least not
refused it for a while. Both may work on the request for that short time.
"""

import dataclasses
import enum
import http

from carobwood import clocks
from carobwood import errors

from . import attempt_log
from . import endpoint_connections
from . import request_sender
from . import result_recorder
from . import silence_watch

# Time in which the other endpoint may refuse the request before the silent one
# is given up. Two endpoints that work on a request for longer are waste.
TRIAL_SECONDS = 0.3


class StayReason(enum.Enum):
    """Why a request stays at a silent endpoint.

    Attributes:
        UNREPEATABLE: it must not run twice.
        ATTEMPTS_USED: no further attempt is allowed.
        STOPPED: the time of the VM's stop has ended.
        NOT_ADMITTED: it would not be admitted any more.
        NO_RETRY: the retry budget is used up.
        NO_PLACE: no other endpoint has room for it.
        UNREACHABLE: another one could not be connected to.
        LEAVING: another one began to leave.
        REFUSED: another one did not run it.
        FAILED: it failed at another one.
        RESUMED: the silent one went on before another one had answered.
    """

    UNREPEATABLE = 'unrepeatable'
    ATTEMPTS_USED = 'attempts'
    STOPPED = 'stop'
    NOT_ADMITTED = 'configuration'
    NO_RETRY = 'budget'
    NO_PLACE = 'place'
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    REFUSED = 'refused'
    FAILED = 'failed'
    RESUMED = 'resumed'


@dataclasses.dataclass(frozen=True, eq=False)
class SilentAttempt:
    """The attempt whose endpoint is silent.

    Attributes:
        request: the ``AdmittedRequest``.
        sender: the ``RequestSender`` of the request.
        assignment: the ``Assignment`` of the attempt.
        excluded_ids: ids of endpoints that must not get the request.
        connection: the ``EndpointConnection``.
        has_partial_event: whether bytes of an incomplete event have come.
        last_event_id: id of the last event that the caller has, or empty.
        has_started: whether the caller has got a part of the stream.
    """

    request: object
    sender: request_sender.RequestSender
    assignment: object
    excluded_ids: frozenset[str]
    connection: endpoint_connections.EndpointConnection
    has_partial_event: bool
    last_event_id: str
    has_started: bool

    @property
    def has_resumed(self):
        """Whether the endpoint reads or sends again."""
        if self.has_partial_event:
            # A stalled endpoint that sends a byte now and then.
            return False
        if self.connection.has_room:
            return True
        waited = self.connection.wait(None, 0.0)
        return (
            waited is endpoint_connections.WaitResult.READABLE
            and not endpoint_connections.is_closed_by_peer(
                self.connection.socket
            )
        )


@dataclasses.dataclass(frozen=True, eq=False)
class StartedAttempt:
    """An attempt at another endpoint that has begun.

    Attributes:
        sent: the ``SentRequest``.
        response: its ``EndpointResponse``, or None if none has come yet.
    """

    sent: request_sender.SentRequest
    response: request_sender.EndpointResponse | None


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
        self._tried_ids = set()
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

        Each other endpoint is tried once.

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
            return StayReason.NO_RETRY
        assignment = self._try_assign(silent.request, silent.excluded_ids)
        if assignment is None:
            return StayReason.NO_PLACE
        self._tried_ids.add(assignment.endpoint.id)
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
        try:
            return self._selector.try_assign(
                request, excluded_ids | self._tried_ids
            )
        except errors.ConfigurationChanged:
            # The next look is made under the new one.
            return None

    def _try_endpoint(self, silent, assignment):
        request = silent.request
        recorder = result_recorder.ResultRecorder(self._context, request)
        try:
            connection = silent.sender.connect(assignment)
        except errors.DescriptorsUsedUp:
            return StayReason.UNREACHABLE
        except errors.EndpointUnreachable:
            recorder.note_unreachable(assignment)
            return StayReason.UNREACHABLE
        except errors.EndpointLeft:
            return StayReason.LEAVING
        if not self._context.retry_budget.try_spend(request.service):
            self._context.pool.release(
                assignment.endpoint.address, connection, None
            )
            return StayReason.NO_RETRY
        attempt_log.log_sent(request, assignment, silent.last_event_id)
        sent_at = clocks.now()
        suspects = self._context.crash_suspects
        suspects.add_running(assignment.endpoint, request.fingerprint)
        try:
            return self._try_request(silent, assignment, connection)
        except errors.EndpointNotRun as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_not_run(assignment, error.head)
            return StayReason.REFUSED
        except (
            errors.EndpointFailed,
            errors.EndpointTimeout,
            errors.AnswerMismatch,
        ) as error:
            attempt_log.log_failed(request, assignment, error)
            recorder.note_failed(assignment, error, sent_at)
            self._note_run(error)
            return StayReason.FAILED
        finally:
            suspects.remove_running(assignment.endpoint, request.fingerprint)

    def _try_request(self, silent, assignment, connection):
        """Send the request and wait until it may count as taken."""
        watch = silence_watch.SilenceWatch(TRIAL_SECONDS, _give_up)
        sent = silent.sender.send_on(
            connection, assignment, silent.last_event_id, watch
        )
        match connection.wait(self._caller.socket, TRIAL_SECONDS):
            case endpoint_connections.WaitResult.CALLER_LEFT:
                connection.close()
                raise errors.CallerLeft(
                    'the caller disconnected during the silence'
                )
            case endpoint_connections.WaitResult.READABLE:
                return self._check_response(silent, sent, watch)
        if silent.has_resumed:
            connection.close()
            self._note_run(errors.EndpointTimeout('the first one went on'))
            return StayReason.RESUMED
        self._started = StartedAttempt(sent, None)
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
        self._started = StartedAttempt(sent, response)
        return None

    def _note_run(self, error):
        self.run_count += 1
        self.run_error = error


def _give_up(_connection, _has_partial_event):
    raise errors.EndpointTimeout('the endpoint sent no response in time')
