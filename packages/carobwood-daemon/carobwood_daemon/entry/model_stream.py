"""Forwards event streams from engines to callers and resumes them."""

from carobwood import errors
from carobwood import events

from ..membership import probe

from . import event_stream
from . import silence
from . import stall_timer

MAX_RESUMES = 3
PROBE_TIMEOUT_SECONDS = 0.5


class ModelStream:
    """The event stream of an engine, forwarded to the caller.

    A stream that is interrupted is resumed after its last event, on an engine
    with the same weights version. If that fails, it ends with an error event.
    A stream that stalls stays where it is until another engine resumes it.
    """

    def __init__(self, run, context, exchange, attempt, response):
        self._run = run
        self._context = context
        self._exchange = exchange
        self._attempt = attempt
        self._response = response
        self._events = event_stream.EventStream()
        # A stalled stream stays for as long as one that is resumed would wait.
        self._stall_timer = stall_timer.StallTimer(
            run.stall_seconds + run.deadline_seconds
        )
        self._has_left_engine = False
        self._resume_count = 0
        self._failed_ids = set()
        # Attempts beside one that goes on, and the engines that had one.
        self._look_count = 0
        self._looked_ids = set()
        self._is_closed = False
        self._tracking = context.gate.track(exchange.caller.key_digest)
        self._tracked = self._tracking.__enter__()
        self._span = exchange.trace.span(
            'stream', endpoint=attempt.endpoint.id
        )
        self._span.__enter__()

    def __iter__(self):
        return self

    def __next__(self):
        while not self._is_closed:
            if self._tracked.withdrawn.is_set():
                return self._end_with_error(
                    errors.KeyRefused(
                        'the key was withdrawn during the stream'
                    )
                )
            try:
                complete_events = self._read_events()
            except errors.StreamBroken as error:
                self._leave_engine(error)
                if not self._resume():
                    return self._end_with_error(error)
                continue
            if complete_events:
                self._attempt.note_first_token()
            if self._events.is_complete:
                self._close(errors.Outcome.COMPLETE)
            if complete_events:
                return complete_events
        raise StopIteration

    def close(self):
        """Cancel the request because the caller has disconnected.

        Calls after the end of the stream have no effect.
        """
        if self._is_closed:
            return
        events.emit(events.CALLER_LEFT, request_id=self._exchange.request_id)
        self._close(errors.Outcome.PARTIAL)

    def _read_events(self):
        if self._response.has_ended:
            raise errors.StreamBroken(
                'the stream ended without its terminal event'
            )
        self._stall_timer.check()
        with self._stall_timer.reading():
            data = self._response.read_within(self._seconds_until_look())
        complete_events = self._events.feed(data or b'')
        if complete_events:
            self._stall_timer.note_progress()
        elif self._stall_timer.waited_seconds >= self._run.stall_seconds:
            self._look_elsewhere()
        return complete_events

    def _seconds_until_look(self):
        waited = self._stall_timer.waited_seconds
        return max(
            self._run.stall_seconds - waited,
            silence.LOOK_PERIOD_SECONDS,
        )

    def _look_elsewhere(self):
        """Go on at another engine if one resumes the stalled stream."""
        wait = self._run.resume_wait(self._events.last_id)
        opener = self._run.opener
        with self._stall_timer.reading():
            sent = opener.look(self._has_resumed, wait, self._start_beside)
        if sent is None:
            return
        self._resume_count += 1
        self._leave_engine(errors.EndpointTimeout('another engine goes on'))
        try:
            opened = opener.finish(sent, wait, self._start_elsewhere)
        except errors.CarobwoodError as error:
            raise errors.StreamBroken(error.detail) from error
        self._switch_engine(*opened)

    def _has_resumed(self):
        # An engine that stalls may go on sending a byte now and then.
        has_partial_event = self._events.has_partial_event
        return not has_partial_event and self._response.is_readable()

    def _start_beside(self, find_awake):
        """Start an attempt beside the one that stalls; None if not."""
        self._looked_ids.add(self._attempt.endpoint.id)
        return self._try_elsewhere(find_awake) or self._try_again()

    def _start_elsewhere(self, find_awake):
        """Start an attempt beside one that resumes the stream."""
        self._looked_ids |= self._failed_ids
        return self._try_elsewhere(find_awake)

    def _try_elsewhere(self, find_awake):
        scheduler = self._run.scheduler
        return self._start_look(
            lambda: scheduler.start_attempt_elsewhere(
                self._looked_ids, find_awake
            )
        )

    def _try_again(self):
        return self._start_look(self._start_again)

    def _start_look(self, start):
        if self._look_count >= MAX_RESUMES:
            return None
        attempt = start()
        self._look_count += attempt is not None
        return attempt

    def _start_again(self):
        """Start an attempt on the same engine if it is sound.

        Its connection may have been lost without a sign then.
        """
        endpoint = self._attempt.endpoint
        if self._has_resumed():
            return None
        if not probe.is_healthy(endpoint, PROBE_TIMEOUT_SECONDS):
            return None
        return self._run.scheduler.start_attempt_again(endpoint)

    def _leave_engine(self, error):
        """Give the attempt up; calls before the next one have no effect."""
        if self._has_left_engine:
            return
        self._has_left_engine = True
        self._response.close()
        self._failed_ids.add(self._attempt.endpoint.id)
        self._attempt.fail(error)
        self._events.discard_partial_event()

    def _resume(self):
        while self._resume_count < MAX_RESUMES:
            self._resume_count += 1
            if self._try_resume():
                return True
        return False

    def _try_resume(self):
        try:
            attempt = self._run.scheduler.start_resume_attempt(
                self._failed_ids
            )
        except errors.NoEndpoint:
            # No untried engine is left. Engines that failed before may have
            # recovered, so that the next try may select them again.
            self._failed_ids.clear()
            return False
        except errors.RequestRefused:
            return False
        try:
            opened = self._run.opener.open(
                attempt,
                self._run.resume_wait(self._events.last_id),
                self._start_elsewhere,
            )
        except errors.CarobwoodError:
            return False
        self._switch_engine(*opened)
        return True

    def _switch_engine(self, attempt, response):
        self._attempt = attempt
        self._response = response
        self._has_left_engine = False
        self._looked_ids.clear()
        self._stall_timer.note_progress()
        events.emit(
            events.STREAM_RESUMED,
            request_id=self._exchange.request_id,
            endpoint=attempt.endpoint.id,
            after=self._events.last_id,
        )

    def _end_with_error(self, error):
        events.emit(
            events.STREAM_BROKEN,
            request_id=self._exchange.request_id,
            code=error.code,
            after=self._events.last_id,
        )
        self._close(errors.Outcome.PARTIAL)
        return event_stream.format_error_event(
            error, self._events.last_id + 1, self._exchange.request_id
        )

    def _close(self, outcome):
        self._is_closed = True
        self._response.close()
        if outcome is errors.Outcome.COMPLETE:
            if self._events.usage is not None and not self._resume_count:
                self._attempt.record_usage(
                    self._exchange.request_id, self._events.usage
                )
            self._attempt.succeed()
        self._attempt.finish()
        self._tracking.__exit__(None, None, None)
        self._span.__exit__(None, None, None)
        if self._events.usage is not None:
            self._run.settle(self._events.usage.total_tokens)
        self._run.charge_streamed(self._events.last_id + 1)
        self._exchange.finish(outcome)
