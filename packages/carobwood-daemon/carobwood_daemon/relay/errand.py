"""The tries of one request and the answer that comes of them."""

import http

from carobwood import clocks
from carobwood import errors
from carobwood import events

from . import caller as callers
from . import event_splitter
from . import evidence
from . import upstream
from . import visit as visits

# Part of the time left that the first of several tries may take.
FIRST_TRY_SHARE = 0.45
# Least patience with an endpoint, as a multiple of the latency aimed at.
PATIENCE_LATENCIES = 3.0
# Patience with the first event of a stream that may go on elsewhere;
# callers leave a stream after about two seconds of silence.
FIRST_EVENT_SECONDS = 1.5
# Silence within a stream after which another endpoint goes on with it.
STALL_SECONDS = 1.0
# Time for the rest of a body that has begun to come.
REST_SECONDS = 2.0
# Shortest time in which a send makes sense.
MIN_SECONDS = 0.01


class Errand:
    """The tries of one request and the answer that comes of them."""

    def __init__(self, parts, selector, caller, request, trace):
        self._parts = parts
        self._selector = selector
        self._caller = caller
        self._request = request
        self._trace = trace
        self._visit = visits.Visit(parts, caller, request, trace)
        self._evidence = evidence.Evidence(parts, request)
        self._excluded = set()
        # Tries that failed after the request may have run.
        self._runs = 0
        self._failure = None
        # Longest time between two parts of a stream.
        self._longest_pause = 0.0
        self._passed_at = 0.0
        # Time until the caller got the first byte of its answer.
        self._first_seconds = 0.0
        self._splitter = event_splitter.EventSplitter()

    def run(self):
        """Try endpoints until one has answered.

        Raises:
            CarobwoodError: what becomes of the request in the end.
        """
        while True:
            place = self._take_place()
            try:
                with self._trace.hop('endpoint', endpoint=place.endpoint.id):
                    if self._try(place):
                        return
            finally:
                self._selector.leave(place)

    def _take_place(self):
        request = self._request
        if request.seconds_left < MIN_SECONDS:
            raise self._final(errors.DeadlineUnreachable('no time is left'))
        try:
            with self._trace.hop('place'):
                return self._selector.await_place(
                    request, self._excluded, self._caller
                )
        except errors.CallerLeft:
            raise
        except errors.CarobwoodError as error:
            raise self._final(error) from error

    def _try(self, place):
        """Visit an endpoint; return whether the request is answered."""
        self._log_sent(place)
        fingerprint = self._request.fingerprint
        self._parts.suspects.enter(place.endpoint, fingerprint)
        try:
            answer = self._visit.run(
                place, self._splitter.last_id, self._patience()
            )
            self._selector.note_read(place)
            self._pass_on(place, answer)
            self._note_answered(place, answer)
            return True
        except errors.EndpointUnreachable as error:
            self._evidence.note_unreachable(place)
            self._give_up_or_go_on(place, error)
        except errors.EndpointNotRun as error:
            self._evidence.note_not_run(place, error.head)
            self._give_up_or_go_on(place, error)
        except (
            errors.EndpointFailed,
            errors.EndpointTimeout,
            errors.AnswerMismatch,
        ) as error:
            self._runs += 1
            self._failure = error
            self._evidence.note_failed(place, error)
            self._give_up_or_go_on(place, error)
        finally:
            self._parts.suspects.leave(place.endpoint, fingerprint)
        return False

    def _patience(self):
        request = self._request
        left = request.seconds_left
        route = request.route
        if not route.is_idempotent or self._runs + 1 >= route.max_attempts:
            return left
        if route.is_resumable:
            return min(left, FIRST_EVENT_SECONDS)
        least = PATIENCE_LATENCIES * route.target_latency
        return min(left, max(least, FIRST_TRY_SHARE * left))

    def _give_up_or_go_on(self, place, error):
        """Raise the final failure unless another try is allowed."""
        request = self._request
        self._log_failed(place, error)
        if not isinstance(error, errors.EndpointNotRun):
            self._excluded.add(place.endpoint.id)
        if self._runs:
            if not request.route.is_idempotent:
                raise error
            if self._runs >= request.route.max_attempts:
                raise self._final(error)
        if self._caller.has_begun_answer and not request.route.is_resumable:
            raise error
        is_repeat = not isinstance(error, errors.EndpointUnreachable)
        if is_repeat and not self._parts.retries.take(request.service):
            raise self._final(error)

    def _final(self, error):
        """Return the failure that tells the truth about all tries."""
        is_not_run = error.outcome is errors.Outcome.NOT_RUN
        if self._failure is not None and is_not_run:
            return self._failure
        return error

    def _pass_on(self, place, answer):
        if answer.head.is_event_stream and answer.head.status == 200:
            self._pass_stream(answer)
        else:
            self._pass_whole(answer)
        if answer.upstream.is_reusable() and not answer.head.closes:
            self._parts.pool.give_back(
                place.endpoint.address,
                answer.upstream,
                answer.head.idle_seconds,
            )
        else:
            answer.upstream.close()

    def _pass_whole(self, answer):
        try:
            body = self._read_whole(answer)
        except BaseException:
            answer.upstream.close()
            raise
        if self._caller.has_begun_answer:
            raise errors.EndpointFailed('no stream to go on with')
        self._note_first()
        self._caller.answer(
            answer.head.status,
            http.HTTPStatus(answer.head.status).phrase,
            _passed_back(answer.headers),
            body,
        )

    def _read_whole(self, answer):
        parts = []
        while not answer.upstream.has_ended:
            self._await_part(answer.upstream, self._request.seconds_left)
            part = answer.upstream.read_some(REST_SECONDS)
            if not part:
                break
            parts.append(part)
        return b''.join(parts)

    def _pass_stream(self, answer):
        try:
            while not answer.upstream.has_ended:
                self._await_part(answer.upstream, self._stall_limit())
                data = answer.upstream.read_some(REST_SECONDS)
                if not data:
                    break
                self._pass_part(answer, self._splitter.feed(data))
            self._pass_part(answer, self._splitter.rest())
        except BaseException:
            self._splitter.restart()
            answer.upstream.close()
            raise
        if not self._caller.has_begun_answer:
            self._begin_stream(answer)

    def _stall_limit(self):
        left = self._request.seconds_left
        if not self._request.route.is_resumable:
            return left
        if not self._caller.has_begun_answer:
            return min(left, FIRST_EVENT_SECONDS)
        if self._runs + 1 >= self._request.route.max_attempts:
            return left
        return min(left, STALL_SECONDS)

    def _pass_part(self, answer, data):
        if not data:
            return
        if not self._caller.has_begun_answer:
            self._begin_stream(answer)
        self._caller.write(data)
        now = clocks.now()
        if self._passed_at:
            pause = now - self._passed_at
            self._longest_pause = max(self._longest_pause, pause)
        self._passed_at = now

    def _note_first(self):
        self._first_seconds = clocks.now() - self._request.arrived_at

    def _begin_stream(self, answer):
        self._note_first()
        self._caller.begin_stream(200, 'OK', _passed_back(answer.headers))

    def _await_part(self, connection, timeout):
        match connection.wait(self._caller.socket, max(0.0, timeout)):
            case upstream.Wait.CALLER_LEFT:
                raise errors.CallerLeft('the caller left')
            case upstream.Wait.TIMED_OUT:
                raise errors.EndpointTimeout('the endpoint went silent')

    def _note_answered(self, place, answer):
        self._evidence.note_answered(place, answer.head)
        seconds = clocks.now() - self._request.arrived_at
        self._parts.metrics.timing('request', seconds)
        self._parts.metrics.timing('first-byte', self._first_seconds)
        self._parts.metrics.count(f'answered.{answer.head.status}')
        events.emit(
            events.REQUEST_ANSWERED,
            request_id=self._request.hints.request_id,
            endpoint=place.endpoint.id,
            status=answer.head.status,
            first=round(self._first_seconds, 4),
            pause=round(self._longest_pause, 4),
            seconds=round(seconds, 4),
        )

    def _log_sent(self, place):
        events.emit(
            events.REQUEST_SENT,
            request_id=self._request.hints.request_id,
            endpoint=place.endpoint.id,
            weights=place.weights_version,
            fetch_from=place.fetch_from,
            save_to=place.save_to,
            left=round(self._request.seconds_left, 3),
            heard=round(clocks.now() - place.endpoint.heard_at, 2),
            **place.inputs,
        )

    def _log_failed(self, place, error):
        events.emit(
            events.ATTEMPT_FAILED,
            request_id=self._request.hints.request_id,
            endpoint=place.endpoint.id,
            code=error.code,
            detail=error.detail,
        )


def _passed_back(headers):
    return [
        (name, value)
        for name, value in headers.items()
        if name not in callers.HOP_HEADERS
    ]
