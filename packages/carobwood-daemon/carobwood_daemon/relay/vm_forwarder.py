"""Forwards a request to another VM, which sends it to an endpoint.

The VM that took the request from its caller has admitted it: the key, the
customer's rate and the deadline are its part. The other VM does the rest as
for requests of its own callers: endpoint, permits, retries, resumption of
streams and what is learned from the answer. It never forwards the request.
"""

import http.client

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood import response_body

from . import answer_reader
from . import caller_request
from . import endpoint_connections
from . import forwarding_headers
from . import whole_answer

# VMs that are asked to take one request.
MAX_PEERS = 4
# Timeout of each read once the connection has become readable.
READ_TIMEOUT_SECONDS = 2.0
# Part of the time left that is kept for the way back.
RETURN_SECONDS = 0.02
# Bound of the body of an error.
MAX_ERROR_BYTES = 1024 * 1024
# Errors of a VM that has not taken a request at all, so that another one may.
_NOT_TAKEN_CODES = frozenset(
    error.code
    for error in (errors.NoEndpointReachable, errors.Stopping, errors.VmBusy)
)


class VmForwarder:
    """Forwards requests of this VM's callers to other VMs."""

    def __init__(self, context, peers, pool, secret):
        """Create the forwarder.

        Args:
            context: the ``RelayContext``.
            peers: the ``ForwardingPeers``.
            pool: the ``ConnectionPool`` of connections to other VMs.
            secret: the fleet's shared secret, as bytes.
        """
        self._context = context
        self._peers = peers
        self._pool = pool
        self._secret = secret

    def run(self, caller, request, trace):
        """Forward a request and relay the response to its caller.

        Args:
            caller: the ``CallerRequest``.
            request: the ``AdmittedRequest``.
            trace: the ``RequestTrace``.

        Raises:
            NoEndpointReachable: no VM has taken it.
            ForwardedRequestFailed: the other VM has answered with an error.
            EndpointFailed: the other VM broke off; it may have run.
            AnswerMismatch: the answer belongs to another request.
            EndpointTimeout: the other VM gave no answer in time.
            CallerLeft: the caller disconnected.
        """
        asked_ids = set()
        final_error = errors.NoEndpointReachable(
            'neither this VM nor another one reaches an endpoint'
        )
        while len(asked_ids) < MAX_PEERS:
            vm = self._peers.choose(asked_ids)
            if vm is None:
                break
            asked_ids.add(vm.id)
            try:
                with trace.span('vm', vm=vm.id):
                    if self._try_vm(vm, caller, request, trace):
                        return
            except errors.EndpointFailed as error:
                if self._context.gate.is_interrupted:
                    raise errors.StopTimeout(
                        'the VM stopped before the response'
                    ) from error
                if not _may_forward_again(caller, request):
                    raise
                final_error = error
            except errors.ForwardedRequestFailed as error:
                if error.outcome is not errors.Outcome.NOT_RUN:
                    raise
                if final_error.outcome is errors.Outcome.NOT_RUN:
                    raise
                # A VM that was asked before may have run it.
                raise final_error from error
            self._peers.avoid(vm.id)
        raise final_error

    def _try_vm(self, vm, caller, request, trace):
        """Forward the request to a VM; return whether it has taken it."""
        try:
            connection = self._pool.acquire(
                vm.forward_address, request.route.is_idempotent
            )
        except errors.EndpointUnreachable as error:
            self._log(request, vm, error.code)
            return False
        try:
            with self._context.gate.interruptible(connection.interrupt):
                is_taken = self._exchange(
                    connection, vm, caller, request, trace
                )
        except BaseException as error:
            connection.close()
            self._log_broken_off(request, vm, error)
            raise
        if connection.is_complete and connection.is_reusable():
            self._pool.release(vm.forward_address, connection, None)
        else:
            connection.close()
        return is_taken

    def _exchange(self, connection, vm, caller, request, trace):
        connection.begin_request(
            self._outgoing_request(caller, request, trace)
        )
        while not connection.write_available():
            self._await(connection.wait_for_room, caller, request)
        self._await(connection.wait, caller, request)
        status, headers = connection.read_head(
            caller.method,
            endpoint_connections.MAX_HEAD_SECONDS,
            request.seconds_left,
            lambda seconds: _await_part(connection, caller, seconds),
        )
        self._check_request_id(request, status, headers)
        code = _error_code(status, headers)
        self._log(request, vm, code, status)
        if code:
            connection.skip_body(READ_TIMEOUT_SECONDS, MAX_ERROR_BYTES)
        if code:
            error = _error_of(status, code, headers)
            if code not in _NOT_TAKEN_CODES:
                raise error
            if error.outcome is not errors.Outcome.NOT_RUN:
                raise errors.EndpointFailed(
                    'the other VM has sent it and reaches no endpoint now'
                )
            return False
        self._relay_response(connection, caller, request, status, headers)
        return True

    def _check_request_id(self, request, status, headers):
        head = self._context.dialect.parse_response_head(status, headers)
        if head.request_id not in ('', request.metadata.request_id):
            raise errors.AnswerMismatch(
                'the other VM has answered another request'
            )

    def _outgoing_request(self, caller, request, trace):
        forwarded = forwarding_headers.ForwardedRequest(
            self._context.directory.own_vm.id,
            request.seconds_left - RETURN_SECONDS,
            request.is_within_rate,
            clocks.now() - request.first_arrived_at,
        )
        trace_headers = {}
        trace.propagate(trace_headers)
        headers = [
            (name, value)
            for name, value in caller.end_to_end_headers()
            if name not in trace_headers
        ]
        headers += trace_headers.items()
        headers += forwarding_headers.format_request(
            forwarded, caller.method, caller.target, self._secret
        )
        return endpoint_connections.OutgoingRequest(
            caller.method, caller.target, tuple(headers), request.body
        )

    def _relay_response(self, connection, caller, request, status, headers):
        if connection.framing is response_body.Framing.UNTIL_CLOSE:
            # The other VM frames all bodies.
            raise errors.EndpointFailed('the other VM sent no framed body')
        is_stream = headers.get('content-type', '').startswith(
            'text/event-stream'
        )
        if status == http.client.OK and is_stream:
            caller.start_stream(
                status,
                caller_request.reason_phrase(status),
                caller_request.end_to_end_headers(headers),
            )
            for data in self._read_parts(connection, caller, request):
                if data:
                    caller.write(data)
            return
        answer = whole_answer.WholeAnswer(
            caller, status, headers, self._context.buffers
        )
        answer.forward(
            answer_reader.AnswerReader(
                connection, caller, READ_TIMEOUT_SECONDS
            ),
            lambda: request.seconds_left,
            lambda: None,
        )

    def _read_parts(self, connection, caller, request):
        """Yield the parts of a body as they arrive."""
        reader = answer_reader.AnswerReader(
            connection, caller, READ_TIMEOUT_SECONDS
        )
        while not reader.has_ended:
            yield reader.read(request.seconds_left)

    def _await(self, wait, caller, request):
        """Wait for the other VM; see ``EndpointConnection.wait``."""
        seconds = max(0.0, request.seconds_left)
        match wait(caller.socket, seconds):
            case endpoint_connections.WaitResult.CALLER_LEFT:
                raise errors.CallerLeft(
                    'the caller disconnected during the response'
                )
            case endpoint_connections.WaitResult.TIMED_OUT:
                raise errors.EndpointTimeout(
                    'the other VM gave no answer in time'
                )

    def _log_broken_off(self, request, vm, error):
        """Log that a request was passed on but its answer did not end."""
        if not isinstance(error, errors.ForwardedRequestFailed):
            code = getattr(error, 'code', errors.InternalError.code)
            self._log(request, vm, code)

    def _log(self, request, vm, code, status=0):
        self._context.metrics.count('forwarded')
        events.emit(
            events.REQUEST_FORWARDED,
            request_id=request.metadata.request_id,
            vm=vm.id,
            status=status,
            code=code,
            seconds=round(clocks.now() - request.arrived_at, 4),
        )


def _await_part(connection, caller, seconds):
    """Wait for a further part of a head, at most the given time."""
    waited = connection.wait_for_input(caller.socket, seconds)
    if waited is endpoint_connections.WaitResult.CALLER_LEFT:
        raise errors.CallerLeft('the caller disconnected within the head')


def _may_forward_again(caller, request):
    """Return whether a request that may have run may go to another VM."""
    return request.route.is_idempotent and not caller.has_started_response


def _error_code(status, headers):
    """Return the code of an error of the other VM itself, or empty.

    Its listener names none if it refuses what it has not read.
    """
    code = headers.get(forwarding_headers.ERROR, '')
    if code or forwarding_headers.OUTCOME not in headers:
        return code
    if status == http.client.SERVICE_UNAVAILABLE:
        return errors.Stopping.code
    return f'status_{status}'


def _error_of(status, code, headers):
    """Return the error that another VM has answered with."""
    try:
        outcome = errors.Outcome(headers.get(forwarding_headers.OUTCOME, ''))
    except ValueError:
        outcome = errors.Outcome.UNKNOWN
    retry_after = headers.get('retry-after', '')
    return errors.ForwardedRequestFailed(
        f'the other VM has answered {code}',
        status,
        outcome,
        float(retry_after) if retry_after.isdigit() else None,
    )
