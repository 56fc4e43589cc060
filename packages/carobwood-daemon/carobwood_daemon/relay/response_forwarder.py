"""Forwards the response of an endpoint to its caller.

A whole response is read before it is sent, while the VM has memory for it
(see ``whole_answer``). The events of a stream are passed on as they
arrive, and only complete ones: a stream that breaks off can be resumed.
"""

import dataclasses

from carobwood import clocks
from carobwood import errors
from carobwood import response_body

from . import admission
from . import answer_reader
from . import caller_request
from . import event_splitter
from . import silence_watch
from . import whole_answer

# Timeout of each read of a body once its connection has become readable.
BODY_READ_TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Attempt:
    """What the response to one attempt at a request depends on.

    Attributes:
        request: the ``AdmittedRequest``.
        watch: the ``SilenceWatch`` of the attempt.
        on_stream_start: called without arguments before the first event of
            the first stream goes to the caller.
        on_event: called without arguments after each read that has brought
            complete events.
    """

    request: admission.AdmittedRequest
    watch: silence_watch.SilenceWatch
    on_stream_start: object
    on_event: object


class ResponseForwarder:
    """Forwards the responses to the attempts at one request.

    Attributes:
        first_event_at: when the first complete event of the current attempt
            arrived, or None.
        first_byte_seconds: seconds from the request's arrival until the
            response to the caller started.
        has_passed_on: whether the caller has got the head of an answer that
            is no stream before its end was known.
        longest_pause: longest time between two writes of a stream, in
            seconds.
    """

    def __init__(self, caller, resume_id, buffers):
        """Create the forwarder of one request's responses.

        Args:
            caller: the ``CallerRequest`` that receives the response.
            resume_id: id of the last event that the caller has, or empty.
            buffers: the ``BufferBudget`` for what is kept of responses.
        """
        self._caller = caller
        self._buffers = buffers
        self._splitter = event_splitter.EventSplitter(resume_id, buffers)
        self.has_passed_on = False
        self._attempt = None
        self.first_event_at = None
        self.first_byte_seconds = 0.0
        self.longest_pause = 0.0
        # Monotonic time of the last write of a stream, or 0.0.
        self._last_write_at = 0.0
        # When the last complete event of the current attempt arrived.
        self._last_event_at = 0.0

    @property
    def last_event_id(self):
        """Id of the last event that the caller has received, or empty."""
        return self._splitter.last_id

    def begin(self, attempt):
        """Begin to wait for the response to an ``Attempt``."""
        self._attempt = attempt
        self.first_event_at = None

    def end(self):
        """Drop the current attempt."""
        self._attempt = None

    def forward(self, response):
        """Forward an ``EndpointResponse`` until its end.

        Raises:
            CallerLeft: the caller disconnected.
            EndpointFailed: the response is truncated or malformed.
            EndpointTimeout: no further part of it came in time.
        """
        if response.head.is_event_stream and response.head.status == 200:
            self._forward_stream(response)
        else:
            self._forward_whole(response)

    def _forward_whole(self, response):
        answer = whole_answer.WholeAnswer(
            self._caller,
            response.head.status,
            response.headers,
            self._buffers,
        )
        try:
            self._check_not_started()
            answer.forward(
                self._open_reader(response),
                lambda: self._attempt.request.seconds_left,
                self._note_first_byte,
            )
        except BaseException:
            response.upstream.close()
            raise
        finally:
            self.has_passed_on = answer.is_passed_on

    def _check_not_started(self):
        if self._caller.has_started_response:
            raise errors.EndpointFailed(
                'the endpoint did not resume the event stream'
            )

    def _forward_stream(self, response):
        self._last_event_at = clocks.now()
        try:
            self._forward_until_end(response)
        except BaseException:
            self._splitter.discard_partial()
            response.upstream.close()
            raise
        if not self._caller.has_started_response:
            self._start_stream(response)

    def _forward_until_end(self, response):
        reader = self._open_reader(response)
        while not reader.has_ended:
            data = self._read_stream(reader, response)
            self._forward_events(response, self._splitter.feed(data))
        remaining = self._splitter.flush()
        if self.first_event_at is None and _ends_with_connection(response):
            raise errors.EndpointFailed(
                'the connection ended before the first event'
            )
        self._forward_events(response, remaining)

    def _read_stream(self, reader, response):
        """Return the next bytes of a stream.

        Only complete events count as progress: an endpoint that stalls may
        go on sending a byte now and then.
        """
        watch = self._attempt.watch
        while True:
            seconds_left = self._attempt.request.seconds_left
            until_look = watch.seconds_until_look(
                self._last_event_at, self._caller.has_started_response
            )
            try:
                return reader.read(min(seconds_left, until_look))
            except errors.EndpointTimeout:
                if seconds_left <= until_look:
                    raise
            watch.look(response.upstream, self._splitter.has_partial)

    def _forward_events(self, response, data):
        if not data:
            return
        self._last_event_at = clocks.now()
        self._attempt.on_event()
        if self.first_event_at is None:
            self.first_event_at = self._last_event_at
        if not self._caller.has_started_response:
            self._start_stream(response)
        self._caller.write(data)
        now = clocks.now()
        if self._last_write_at:
            pause = now - self._last_write_at
            self.longest_pause = max(self.longest_pause, pause)
        self._last_write_at = now

    def _note_first_byte(self):
        self.first_byte_seconds = (
            clocks.now() - self._attempt.request.arrived_at
        )

    def _start_stream(self, response):
        self._note_first_byte()
        self._attempt.on_stream_start()
        self._caller.start_stream(
            200, 'OK', caller_request.end_to_end_headers(response.headers)
        )

    def _open_reader(self, response):
        return answer_reader.AnswerReader(
            response.upstream, self._caller, BODY_READ_TIMEOUT_SECONDS
        )


def _ends_with_connection(response):
    return response.upstream.framing is response_body.Framing.UNTIL_CLOSE
