"""Runs requests that must not be repeated, such as payments and orders.

Before the first byte is sent to a service, a claim on the idempotency key
is committed to the replicated state. The request is then sent once on a new
connection, and its response is committed as well, so that any VM can replay
it when the caller resends the request.
"""

import hashlib
import queue
import re
import secrets
import threading
import time

from carobwood import errors
from carobwood import events

from ..replication import claims
from ..replication import commands

from . import endpoint_failover
from . import headers
from . import service_calls
from . import upstream

MAX_BODY_BYTES = 1024 * 1024
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
CLAIM_TIMEOUT_SECONDS = 2.0
SETTLE_TIMEOUT_SECONDS = 2.0
REPLAYED_HEADER = 'Carobwood-Replayed'
BODY_KEPT_HEADER = 'Carobwood-Body-Kept'

_KEY_PATTERN = re.compile(r'^[\x21-\x7e]{1,255}$')
_CLAIM_ID_BYTES = 16


class AtMostOnceCalls:
    """Serves the routes whose requests must not be repeated."""

    def __init__(self, context):
        self._context = context

    def serve(self, exchange, document, route):
        """Run a request once, or replay its stored response.

        Args:
            exchange: the ``Exchange``.
            document: the ``Document`` in force.
            route: the ``Route``.

        Returns:
            The body of the response to the caller.

        Raises:
            IdempotencyKeyMissing: the request has no valid key.
            QuorumUnavailable: the claim could not be committed.
            ClaimPending: the key is claimed and no response is stored.
            IdempotencyConflict: the key was used with another request.
            NoEndpoint: no endpoint could be reached.
            EndpointFailed, EndpointTimeout, AnswerMismatch: the endpoint
                failed after the request was sent.
        """
        key = exchange.request_headers.get(headers.IDEMPOTENCY_KEY, '')
        if not _KEY_PATTERN.match(key):
            raise errors.IdempotencyKeyMissing(
                f'the route needs a valid {headers.IDEMPOTENCY_KEY} header'
            )
        body = exchange.read_body(MAX_BODY_BYTES, route.deadline_seconds)
        claim = self._make_claim(exchange, document, key, body)
        with exchange.trace.span('claim'):
            result = self._commit_claim(claim)
        match result:
            case commands.ClaimGranted():
                return self._send_once(exchange, document, route, claim, body)
            case commands.ClaimAnswered():
                return _replay(exchange, result)
            case commands.ClaimUnsettled():
                raise errors.ClaimPending(
                    'an earlier copy of the request has no stored response yet'
                )
            case commands.ClaimMismatched():
                raise errors.IdempotencyConflict(
                    'the idempotency key was used with a different request'
                )
        raise errors.InternalError(
            f'unexpected claim result {type(result).__name__}'
        )

    def _make_claim(self, exchange, document, key, body):
        digest = hashlib.sha256()
        content_type = exchange.request_headers.get('Content-Type', '')
        for part in (exchange.method, exchange.target, content_type):
            digest.update(part.encode('utf-8') + b'\0')
        digest.update(body)
        customer = f'{document.environment}/{exchange.caller.customer_id}'
        return commands.OpenClaim(
            secrets.token_hex(_CLAIM_ID_BYTES),
            customer,
            key,
            digest.hexdigest(),
            int(document.retention.claim_seconds * 1000),
        )

    def _commit_claim(self, claim):
        try:
            return self._context.proposer.submit(claim, CLAIM_TIMEOUT_SECONDS)
        except errors.ChangeUncertain as error:
            self._context.claim_settler.release(claim)
            raise errors.QuorumUnavailable(
                'no quorum confirmed the claim; the request was not sent'
            ) from error

    def _send_once(self, exchange, document, route, claim, body):
        try:
            endpoint, connection = self._connect_to_endpoint(document, route)
        except errors.RequestRefused:
            self._context.claim_settler.release(claim)
            raise
        upstream_request = service_calls.build_upstream_request(
            exchange, route, route.deadline_seconds, body
        )
        with self._context.loads.track_request(endpoint):
            with exchange.trace.span('endpoint', endpoint=endpoint.id):
                response = upstream.send(connection, upstream_request)
            try:
                response_body = response.read_all(MAX_RESPONSE_BYTES)
            except errors.StreamBroken as error:
                raise errors.EndpointFailed(error.detail) from error
            finally:
                response.close()
        self._context.circuit_breakers.record_success(endpoint)
        response_headers = headers.filter_response_headers(response.headers)
        self._context.claim_settler.settle(
            claim, response.status, response_headers, response_body
        )
        return exchange.respond(
            response.status,
            response_headers,
            response_body,
            errors.Outcome.COMPLETE,
        )

    def _connect_to_endpoint(self, document, route):
        failover = endpoint_failover.make_failover(
            self._context, document, route
        )
        for endpoint, connection in failover.connections():
            return endpoint, connection
        raise errors.NoEndpoint(f'no endpoint of {route.pool} can be reached')


class ClaimSettler:
    """Commits the responses and the releases of claims.

    Commits that fail are retried by a background thread.
    """

    RETRY_SECONDS = 300.0

    def __init__(self, proposer):
        self._proposer = proposer
        self._pending_commands = queue.Queue()
        self._thread = threading.Thread(
            target=self._retry_commits, name='settlements', daemon=True
        )

    def start(self):
        """Start the thread that retries failed commits."""
        self._thread.start()

    def settle(self, claim, status, response_headers, body):
        """Commit the response to a claimed request.

        If the commit fails, it is retried in the background: the
        caller gets its response in any case. A body that is too large to be
        stored is left out, and a header of the stored response says so.
        """
        stored_headers = dict(response_headers)
        if len(body) > claims.MAX_STORED_ANSWER_BYTES:
            stored_headers[BODY_KEPT_HEADER] = 'no'
            body = b''
        command = commands.SettleClaim(
            claim.claim_id,
            claim.customer,
            claim.idempotency_key,
            status,
            tuple(stored_headers.items()),
            body,
        )
        try:
            self._proposer.submit(command, SETTLE_TIMEOUT_SECONDS)
        except errors.ChangeUncertain:
            self._pending_commands.put((command, time.monotonic()))

    def release(self, claim):
        """Release a claim whose request was not sent, in the background."""
        command = commands.ReleaseClaim(
            claim.claim_id, claim.customer, claim.idempotency_key
        )
        self._pending_commands.put((command, time.monotonic()))

    def _retry_commits(self):
        while True:
            command, queued_at = self._pending_commands.get()
            try:
                self._proposer.submit(command, SETTLE_TIMEOUT_SECONDS)
            except errors.ChangeUncertain:
                if time.monotonic() - queued_at < self.RETRY_SECONDS:
                    self._pending_commands.put((command, queued_at))
                else:
                    events.emit(events.CLAIM_UNSETTLED, claim=command.claim_id)


def _replay(exchange, stored):
    response_headers = dict(stored.headers)
    response_headers[REPLAYED_HEADER] = 'true'
    return exchange.respond(
        stored.status, response_headers, stored.body, errors.Outcome.COMPLETE
    )
