"""Forwards event streams from engines to callers and resumes them."""

from carobwood import errors
from carobwood import events

from . import event_stream
from . import stall_timer

MAX_RESUMES = 3


class ModelStream:
    """The event stream of an engine, forwarded to the caller.

    A stream that is interrupted or stalls is resumed after its last event,
    on an engine with the same weights version. If that fails, it ends with
    an error event.
    """

    def __init__(self, run, context, exchange, attempt, response):
        self._run = run
        self._context = context
        self._exchange = exchange
        self._attempt = attempt
        self._response = response
        self._events = event_stream.EventStream()
        self._stall_timer = stall_timer.StallTimer(run.stall_seconds)
        self._resume_count = 0
        self._failed_ids = set()
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
                if not self._resume(error):
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
            data = self._response.read_available()
        complete_events = self._events.feed(data)
        if complete_events:
            self._stall_timer.note_progress()
        return complete_events

    def _resume(self, error):
        self._response.close()
        self._failed_ids.add(self._attempt.endpoint.id)
        self._attempt.fail(error)
        self._events.discard_partial_event()
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

    def _start_elsewhere(self):
        return self._run.scheduler.start_attempt_elsewhere(self._failed_ids)

    def _switch_engine(self, attempt, response):
        self._attempt = attempt
        self._response = response
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
