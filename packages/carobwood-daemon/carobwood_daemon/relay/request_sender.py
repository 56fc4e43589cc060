"""Sends a request to one endpoint and reads the head of the response."""

import contextlib
import dataclasses

from carobwood import clocks
from carobwood import errors

from . import endpoint_connections
from . import messages
from . import urgency

# Time for the body of a late response to an earlier request.
LATE_BODY_SECONDS = 1.0
# Late responses to earlier requests that are skipped on one connection.
MAX_LATE_RESPONSES = 2
# Largest body of a late response that is skipped.
MAX_LATE_BODY_BYTES = 64 * 1024 * 1024
# What reading or writing raises if the endpoint has reset the connection.
_RESETS = (ConnectionResetError, BrokenPipeError)


@dataclasses.dataclass(frozen=True, eq=False)
class EndpointResponse:
    """An endpoint's response whose body has not been read yet.

    Attributes:
        head: the ``ResponseHead``.
        headers: values by header name in lower case.
        upstream: the ``EndpointConnection`` that the body is read from.
    """

    head: messages.ResponseHead
    headers: dict[str, str]
    upstream: endpoint_connections.EndpointConnection

    def give_back(self, pool, endpoint):
        """Return its connection to a pool, or close it.

        Args:
            pool: the ``ConnectionPool``.
            endpoint: the ``Endpoint``.
        """
        if self.upstream.is_reusable() and not self.head.closes_connection:
            pool.release(
                endpoint.address,
                self.upstream,
                self.head.idle_timeout,
                endpoint.instance,
            )
        else:
            self.upstream.close()


@dataclasses.dataclass(frozen=True, eq=False)
class SentRequest:
    """A request that was sent to an endpoint and has no answer yet.

    Attributes:
        assignment: the ``Assignment`` that is reserved for it.
        connection: the ``EndpointConnection``.
        sent_at: when it began to be sent, by ``clocks.now``.
        written_at: when all of it was sent.
    """

    assignment: object
    connection: endpoint_connections.EndpointConnection
    sent_at: float
    written_at: float


class RequestSender:
    """Sends one request to endpoints and awaits their responses."""

    def __init__(self, context, caller, request, trace):
        """Create the sender of one request.

        Args:
            context: the ``RelayContext``.
            caller: the ``CallerRequest`` whose headers are forwarded.
            request: the ``AdmittedRequest``.
            trace: the ``RequestTrace``, whose context is forwarded too.
        """
        self._context = context
        self._caller = caller
        self._request = request
        self._trace = trace

    def send(self, assignment, resume_id, watch):
        """Send the request to an endpoint and return its response.

        Args:
            assignment: the ``Assignment`` that is reserved for the request.
            resume_id: id of the last event that the caller has received
                in an earlier attempt, or empty.
            watch: the ``SilenceWatch`` of the attempt.

        Returns:
            The ``EndpointResponse``.

        Raises:
            EndpointUnreachable: no connection could be made; nothing was
                sent.
            EndpointLeft: the endpoint began to leave after it was chosen;
                nothing was sent.
            VersionNotAllowed: its software version may not get the request
                any more; nothing was sent.
            EndpointNotRun: the endpoint states that it did not run the
                request.
            EndpointFailed: the connection failed, or the response is
                malformed or unsigned; the request may have run.
            EndpointTimeout: no response came in time; the request may
                have run.
            AnswerMismatch: the responses belong to other requests; this
                one may have run.
            CallerLeft: the caller disconnected; the request may have run.
        """
        connection = self.connect(assignment)
        sent = self.send_on(connection, assignment, resume_id, watch)
        return self.await_response(sent, watch)

    def connect(self, assignment):
        """Return a connection on which the request can be sent.

        Raises:
            EndpointUnreachable: no connection could be made.
            EndpointLeft: the endpoint began to leave after it was chosen.
        """
        # The endpoint may have closed an idle connection without this VM
        # knowing. A send that fails on it leaves open whether the request
        # has run, so that a request which must not run twice could not be
        # retried; it gets a new connection.
        may_reuse = self._request.route.is_idempotent
        connection = self._context.pool.acquire(
            assignment.endpoint.address,
            may_reuse,
            instance=assignment.endpoint.instance,
        )
        try:
            self._check_serving(assignment.endpoint)
        except errors.EndpointLeft:
            connection.close()
            raise
        return connection

    def send_on(self, connection, assignment, resume_id, watch):
        """Send the request on a connection, which is closed on failure.

        Args:
            connection: the ``EndpointConnection``.
            assignment: see ``send``.
            resume_id: see ``send``.
            watch: see ``send``.

        Returns:
            The ``SentRequest``.

        Raises:
            VersionNotAllowed: the endpoint's software version may not get it
                any more; nothing was sent.
            EndpointFailed: the request could not be sent, but may have run.
            EndpointTimeout: the endpoint did not read it in time.
            CallerLeft: the caller disconnected meanwhile.
        """
        sent_at = heard_at = clocks.now()
        with self._guarded(connection, assignment.endpoint):
            self._context.rollouts.begin_attempt(self._request, assignment)
            connection.begin_request(
                self._outgoing_request(assignment, resume_id)
            )
            while not connection.write_available():
                self._await(
                    connection, watch, heard_at, connection.wait_for_room
                )
                heard_at = clocks.now()
        return SentRequest(assignment, connection, sent_at, heard_at)

    def await_response(self, sent, watch):
        """Wait for the response to a ``SentRequest``; see ``send``.

        Its connection is closed on failure.
        """
        with self._guarded(sent.connection, sent.assignment.endpoint):
            return self._await_response(sent, watch)

    @contextlib.contextmanager
    def _guarded(self, connection, endpoint):
        """Let a stop interrupt a connection, and close it on failure."""
        try:
            with self._context.gate.interruptible(connection.interrupt):
                yield
        except errors.EndpointFailed as error:
            connection.close()
            if self._is_reset_unanswered(connection, error):
                self._check_sent(connection, endpoint, error)
                error.is_reset = True
            raise
        except BaseException:
            connection.close()
            raise

    def _is_reset_unanswered(self, connection, error):
        """Return whether a new connection was reset before an answer."""
        return (
            self._context.pool.tells_resets
            and connection.is_new
            and not connection.has_read
            and isinstance(error.__cause__, _RESETS)
        )

    def _check_sent(self, connection, endpoint, error):
        """Check that something was sent on a connection that was reset.

        Raises:
            EndpointUnreachable: nothing was.
        """
        if connection.has_written:
            return
        self._context.pool.note_reset(endpoint.address)
        unsent = errors.EndpointUnreachable(
            'the endpoint reset the connection before the request was sent'
        )
        unsent.is_reset = True
        raise unsent from error

    def _check_serving(self, endpoint):
        """Check that an endpoint has not begun to leave meanwhile."""
        found = self._context.directory.find_endpoint(endpoint.id)
        is_serving = (
            found is not None
            and found.incarnation == endpoint.incarnation
            and not found.leaving
        )
        if not is_serving or self._context.availability.is_leaving(endpoint):
            raise errors.EndpointLeft('the endpoint has begun to leave')

    def _engine_priority(self, assignment):
        """Return the priority within an engine, None for plain services."""
        if not assignment.cache_salt:
            return None
        if self._context.load_features.controls_admission:
            return urgency.engine_rank(self._request)
        return self._request.priority

    def _outgoing_request(self, assignment, resume_id):
        request = self._request
        dialect = self._context.dialect
        forwarding_metadata = messages.ForwardingMetadata(
            assignment.endpoint.id,
            request.customer_name,
            max(0.0, request.seconds_left),
            assignment.cache_salt,
            assignment.weights_version,
            fetch_from=assignment.fetch_from,
            save_to=assignment.save_to,
            engine_priority=self._engine_priority(assignment),
            resume_id=resume_id or request.metadata.resume_id,
        )
        trace_headers = {}
        self._trace.propagate(trace_headers)
        headers = [
            (name, value)
            for name, value in self._caller.end_to_end_headers()
            if name != 'authorization'
            and name not in trace_headers
            and not dialect.is_reserved(name)
        ]
        headers += trace_headers.items()
        headers += dialect.format_forwarding_headers(forwarding_metadata)
        return endpoint_connections.OutgoingRequest(
            self._caller.method,
            self._caller.target,
            tuple(headers),
            request.body,
        )

    def _await_response(self, sent, watch):
        connection = sent.connection
        assignment = sent.assignment
        for _ in range(1 + MAX_LATE_RESPONSES):
            self._await(connection, watch, sent.written_at, connection.wait)
            status, headers = self._read_head(connection, watch)
            head = self._context.dialect.parse_response_head(status, headers)
            is_own = self._is_own(head, connection)
            if head.endpoint_id in ('', assignment.endpoint.id):
                self._note_head(
                    assignment, head, sent.sent_at if is_own else None
                )
            if is_own:
                response = self._check_response(
                    EndpointResponse(head, headers, connection)
                )
                self._context.ended_endpoints.note_own_answer(
                    assignment.endpoint
                )
                if connection.is_new:
                    self._context.pool.note_accepted(
                        assignment.endpoint.address
                    )
                return response
            # A late response to an earlier request on this connection.
            connection.skip_body(LATE_BODY_SECONDS, MAX_LATE_BODY_BYTES)
        raise errors.AnswerMismatch(
            'the responses carry the ids of other requests'
        )

    def _read_head(self, connection, watch):
        begun_at = clocks.now()
        return connection.read_head(
            self._caller.method,
            endpoint_connections.MAX_HEAD_SECONDS,
            self._request.seconds_left,
            lambda seconds: self._await_part(
                connection, watch, begun_at, seconds
            ),
        )

    def _await_part(self, connection, watch, begun_at, seconds):
        """Wait for a further part of a head, at most the given time."""
        ends_at = clocks.now() + seconds
        while (seconds_left := ends_at - clocks.now()) > 0:
            until_look = watch.seconds_until_look(begun_at)
            match connection.wait_for_input(
                self._caller.socket, max(0.0, min(seconds_left, until_look))
            ):
                case endpoint_connections.WaitResult.CALLER_LEFT:
                    raise errors.CallerLeft(
                        'the caller disconnected within the head'
                    )
                case endpoint_connections.WaitResult.READABLE:
                    return
            if until_look < seconds_left:
                watch.look(connection, True)

    def _await(self, connection, watch, heard_at, wait):
        """Wait until the endpoint goes on.

        Args:
            connection: the ``EndpointConnection``.
            watch: the ``SilenceWatch``.
            heard_at: when the endpoint last went on.
            wait: function of the connection that waits; see
                ``EndpointConnection.wait``.
        """
        while True:
            seconds_left = self._request.seconds_left
            until_look = watch.seconds_until_look(heard_at)
            match wait(
                self._caller.socket, max(0.0, min(seconds_left, until_look))
            ):
                case endpoint_connections.WaitResult.CALLER_LEFT:
                    raise errors.CallerLeft(
                        'the caller disconnected before the response'
                    )
                case endpoint_connections.WaitResult.TIMED_OUT:
                    pass
                case _:
                    return
            if seconds_left <= until_look:
                raise errors.EndpointTimeout(
                    'the endpoint sent no response in time'
                )
            watch.look(connection)

    def _is_own(self, head, connection):
        """Return whether a response belongs to this request.

        Raises:
            AnswerMismatch: the response does not say so, and an earlier
                request was sent on this connection, or the response
                states that a request has not run.
        """
        if head.request_id:
            return head.request_id == self._request.metadata.request_id
        if not connection.is_new:
            raise errors.AnswerMismatch(
                'a response on a kept connection names no request'
            )
        if _states_not_run(head):
            raise errors.AnswerMismatch('a refusal names no request')
        return True

    def _note_head(self, assignment, head, sent_at):
        endpoint = assignment.endpoint
        self._context.availability.note_head(endpoint, head)
        self._context.rate_limits.note_head(endpoint, head, sent_at)

    def _check_response(self, response):
        head = response.head
        if _states_not_run(head):
            raise errors.EndpointNotRun(head)
        if 200 <= head.status < 300 and not head.is_signed:
            raise errors.EndpointFailed(
                "the response carries no endpoint's signature"
            )
        return response


def _states_not_run(head):
    """Return whether a response states that its request has not run.

    421 (Misdirected Request) says that another endpoint than the addressed
    one has responded, or that its weights are not the expected ones.
    """
    return head.has_not_run or head.status == 421
