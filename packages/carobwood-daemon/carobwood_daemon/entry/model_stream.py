"""Streams of engines on their way to callers."""

from carobwood import errors
from carobwood import events

from . import event_stream

MAX_RESUMES = 3


class ModelStream:
    """An engine's events on their way to the caller.

    A stream that breaks off or stalls is resumed after its last event
    on another engine with the same weights, or ends with an error event.
    """

    def __init__(self, run, services, exchange, visit, answer):
        self._run = run
        self._services = services
        self._exchange = exchange
        self._visit = visit
        self._answer = answer
        self._events = event_stream.EventStream()
        self._resumes = 0
        self._failed_ids = set()
        self._is_closed = False
        self._tracking = services.gate.track(exchange.caller.key_digest)
        self._tracked = self._tracking.__enter__()
        self._hop = exchange.trace.hop('stream', endpoint=visit.endpoint.id)
        self._hop.__enter__()

    def __iter__(self):
        return self

    def __next__(self):
        while not self._is_closed:
            if self._tracked.withdrawn.is_set():
                return self._end_with(errors.KeyRefused('key withdrawn'))
            try:
                whole = self._read()
            except errors.StreamBroken as error:
                if not self._resume(error):
                    return self._end_with(error)
                continue
            if whole:
                self._visit.note_first_token()
            if self._events.is_complete:
                self._close(errors.Outcome.COMPLETE)
            if whole:
                return whole
        raise StopIteration

    def close(self):
        """Cancel what the caller no longer waits for."""
        if self._is_closed:
            return
        events.emit(events.CALLER_LEFT, request_id=self._exchange.request_id)
        self._close(errors.Outcome.PARTIAL)

    def _read(self):
        data = self._answer.read_available()
        if not data:
            raise errors.StreamBroken('the stream ended early')
        return self._events.feed(data)

    def _resume(self, error):
        self._answer.close()
        self._failed_ids.add(self._visit.endpoint.id)
        self._visit.fail(error)
        self._events.restart()
        while self._resumes < MAX_RESUMES:
            self._resumes += 1
            if self._resume_once():
                return True
        return False

    def _resume_once(self):
        try:
            visit = self._run.entry.enter_other(self._failed_ids)
        except errors.NoEndpoint:
            # Engines that failed a moment ago may serve again.
            self._failed_ids.clear()
            return False
        except errors.RequestRefused:
            return False
        try:
            answer = self._run.open_answer(
                visit, self._run.deadline_seconds, self._events.last_id
            )
        except errors.CarobwoodError:
            return False
        if answer.status != 200:
            answer.close()
            visit.leave()
            return False
        self._switch(visit, answer)
        return True

    def _switch(self, visit, answer):
        self._visit = visit
        self._answer = answer
        events.emit(
            events.STREAM_RESUMED,
            request_id=self._exchange.request_id,
            endpoint=visit.endpoint.id,
            after=self._events.last_id,
        )

    def _end_with(self, error):
        events.emit(
            events.STREAM_BROKEN,
            request_id=self._exchange.request_id,
            code=error.code,
            after=self._events.last_id,
        )
        self._close(errors.Outcome.PARTIAL)
        return event_stream.error_event(
            error, self._events.last_id + 1, self._exchange.request_id
        )

    def _close(self, outcome):
        self._is_closed = True
        self._answer.close()
        if outcome is errors.Outcome.COMPLETE:
            if self._events.usage is not None and not self._resumes:
                self._visit.learn(
                    self._exchange.request_id, self._events.usage
                )
            self._visit.succeed()
        self._visit.leave()
        self._tracking.__exit__(None, None, None)
        self._hop.__exit__(None, None, None)
        if self._events.usage is not None:
            self._run.settle(self._events.usage.total_tokens)
        self._run.charge_streamed(self._events.last_id + 1)
        self._exchange.finish(outcome)
