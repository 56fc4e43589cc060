"""Awaits the response to a request, at another engine if one is silent.

A sound engine may be silent for a second or so. Silence alone ends no attempt:
it goes on until another engine has room for the request and has begun to
answer, or has at least shown that it is awake and not refused it for a while.
"""

import contextlib
import dataclasses
import math

from carobwood import clocks
from carobwood import errors

from . import headers
from . import silence
from . import upstream


@dataclasses.dataclass(frozen=True)
class ResponseWait:
    """How long a response is waited for.

    Attributes:
        ends_at: monotonic time at which the response must have started.
        look_at: monotonic time after which another engine is looked for.
            One whose engine fails its health checks is left before.
        last_event_id: id of the last event that the caller has, if an engine
            has to resume a stream; else -1.
    """

    ends_at: float
    look_at: float = math.inf
    last_event_id: int = -1


class SentAttempt:
    """An attempt whose request was sent to its engine.

    Attributes:
        attempt: the started ``EngineAttempt``.
    """

    def __init__(self, context, attempt, wait):
        self.attempt = attempt
        self._wait = wait
        self._detector = context.hang_detector
        self._watch = contextlib.ExitStack()
        self._pending = None
        self._sent = None
        self._response = None

    @property
    def seconds_left(self):
        """Seconds until the response must have started."""
        return self._wait.ends_at - clocks.now()

    @property
    def is_silent(self):
        """Whether another engine is to be looked for."""
        return self._pending.is_silent or clocks.now() >= self._wait.look_at

    def send(self, build_request, connect_seconds):
        """Send the request; if this fails, the attempt is finished.

        Args:
            build_request: function that takes the endpoint and the seconds
                left, and returns the ``UpstreamRequest``.
            connect_seconds: time limit for the connection.
        """
        endpoint = self.attempt.endpoint
        with self._finished_on_failure():
            connection = upstream.open_connection(
                endpoint.address, connect_seconds
            )
            self.attempt.note_connected()
            self._pending = self._watch.enter_context(
                self._detector.watch(endpoint, connection.sock)
            )
            request = build_request(endpoint, self.seconds_left)
            self._sent = upstream.transmit(connection, request)
            self._pending.keeps_connection = True

    def is_readable(self, seconds):
        """Wait until something has come; see ``SentRequest``."""
        # A response that was received may have come with its whole body.
        return self._response is not None or self._sent.is_readable(seconds)

    def receive(self):
        """Return the ``Response``; if this fails, the attempt is finished."""
        if self._response is None:
            with self._finished_on_failure():
                self._pending.keeps_connection = False
                seconds = max(0.001, self.seconds_left)
                self._response = self._sent.receive(seconds)
                _check_response(self.attempt.endpoint, self._response)
            self._watch.close()
            self._check_resumption()
        return self._response

    def fail(self, error):
        """Cancel the request, which has failed at its engine."""
        self.cancel()
        self.attempt.fail(error)

    def cancel(self):
        """Cancel the request and finish the attempt."""
        self._watch.close()
        if self._response is not None:
            self._response.close()
        elif self._sent is not None:
            self._sent.close()
        self.attempt.finish()

    def _check_resumption(self):
        if self._wait.last_event_id >= 0 and self._response.status != 200:
            self.cancel()
            raise errors.EndpointFailed('the engine did not resume the stream')

    @contextlib.contextmanager
    def _finished_on_failure(self):
        try:
            yield
        except errors.CarobwoodError as error:
            failure = self._attribute(error)
            self._watch.close()
            self.attempt.fail(failure)
            raise failure from error
        except BaseException:
            self.cancel()
            raise

    def _attribute(self, error):
        """Return the error that tells whether the engine hangs."""
        is_aborted = self._pending is not None and self._pending.is_aborted
        if is_aborted and isinstance(error, errors.EndpointFailed):
            # An engine that hangs has not crashed, so its requests get no
            # strike: only EndpointFailed and StreamBroken lead to one.
            return errors.EndpointTimeout('the engine fails its health check')
        return error


class ResponseOpener:
    """Sends a request to engines until one has begun to answer."""

    def __init__(self, context, exchange, build_request):
        """Create the opener of one request.

        Args:
            context: the ``CallerContext``.
            exchange: the ``Exchange``.
            build_request: function that takes an endpoint, the seconds left
                and the id of the last event, and returns the
                ``UpstreamRequest``.
        """
        self._context = context
        self._exchange = exchange
        self._build_request = build_request

    def open(self, attempt, wait, find_other):
        """Send the request of a started attempt and await its response.

        Args:
            attempt: the ``EngineAttempt``; it is finished if this fails.
            wait: the ``ResponseWait``.
            find_other: function that starts and returns an attempt at another
                engine, or None without one. It takes a function that takes
                endpoints and returns one that is awake, or None.

        Returns:
            The ``EngineAttempt`` that has begun to answer, which the caller
            has to finish, and the ``Response``.

        Raises:
            EndpointUnreachable, EndpointFailed, EndpointTimeout,
            AnswerMismatch: the engine did not respond correctly.
        """
        sent = self._send(attempt, wait, upstream.CONNECT_TIMEOUT_SECONDS)
        return self.finish(sent, wait, find_other)

    def finish(self, sent, wait, find_other):
        """Await the response of a ``SentAttempt``; see ``open``."""
        while True:
            endpoint = sent.attempt.endpoint
            with self._exchange.trace.span('endpoint', endpoint=endpoint.id):
                try:
                    other = self._await(sent, wait, find_other)
                    if other is None:
                        return sent.attempt, sent.receive()
                except BaseException:
                    sent.cancel()
                    raise
            sent.fail(errors.EndpointTimeout('another engine goes on'))
            sent = other

    def look(self, has_resumed, wait, find_other):
        """Begin an attempt at another engine while one is silent.

        Args:
            has_resumed: function that returns whether the silent one has
                sent anything.
            wait: the ``ResponseWait``.
            find_other: see ``open``.

        Returns:
            The ``SentAttempt``, or None if no other engine takes the request.
        """
        if has_resumed():
            return None
        engine_liveness = self._context.engine_liveness
        attempt = find_other(
            lambda endpoints: engine_liveness.find_awake(
                endpoints, has_resumed
            )
        )
        if attempt is None:
            return None
        try:
            other = self._send(attempt, wait, silence.TRIAL_SECONDS)
            check = engine_liveness.check_now(attempt.endpoint)
            if other.is_readable(silence.TRIAL_SECONDS):
                other.receive()
                return other
        except errors.CarobwoodError:
            return None
        if has_resumed() or not check.liveness.has_answered:
            other.cancel()
            return None
        return other

    def _send(self, attempt, wait, connect_seconds):
        sent = SentAttempt(self._context, attempt, wait)
        sent.send(
            lambda endpoint, seconds: self._build_request(
                endpoint, seconds, wait.last_event_id
            ),
            connect_seconds,
        )
        return sent

    def _await(self, sent, wait, find_other):
        """Wait until a response can be read.

        Returns:
            The ``SentAttempt`` that goes on at another engine, or None.
        """
        # Another engine gets the time that is left.
        wait = dataclasses.replace(wait, look_at=math.inf)
        while not sent.is_readable(
            min(silence.LOOK_PERIOD_SECONDS, sent.seconds_left)
        ):
            if sent.seconds_left <= 0:
                break
            if sent.is_silent:
                other = self.look(
                    lambda: sent.is_readable(0.0), wait, find_other
                )
                if other is not None:
                    return other
        return None


def _check_response(endpoint, response):
    if response.status >= 500:
        response.close()
        raise errors.EndpointFailed(
            f'the engine returned status {response.status}'
        )
    weights = response.headers.get(headers.WEIGHTS_VERSION)
    if response.status == 200 and weights != endpoint.weights_version:
        response.close()
        raise errors.AnswerMismatch(
            'the response is from a different weights version'
        )
