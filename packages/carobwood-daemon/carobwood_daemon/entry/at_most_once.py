"""Requests that may not be repeated, such as payments and orders.

A claim is committed before the first byte is sent, the request is sent
once on a fresh connection, and the answer is committed too.
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

from . import headers
from . import service_calls
from . import upstream

MAX_BODY_BYTES = 1024 * 1024
MAX_ANSWER_BYTES = 16 * 1024 * 1024
CLAIM_TIMEOUT = 2.0
SETTLE_TIMEOUT = 2.0
REPLAYED = 'Carobwood-Replayed'
BODY_KEPT = 'Carobwood-Body-Kept'

_KEY_PATTERN = re.compile(r'^[\x21-\x7e]{1,255}$')
_CLAIM_ID_BYTES = 16


class AtMostOnceCalls:
    """Serves the routes whose requests may not be repeated."""

    def __init__(self, services):
        self._services = services

    def serve(self, exchange, document, route):
        """Run a request once, or replay its stored answer."""
        key = exchange.received.get(headers.IDEMPOTENCY_KEY, '')
        if not _KEY_PATTERN.match(key):
            raise errors.IdempotencyKeyMissing(
                f'the route needs the header {headers.IDEMPOTENCY_KEY}'
            )
        body = exchange.read_body(MAX_BODY_BYTES)
        claim = self._claim(exchange, document, key, body)
        with exchange.trace.hop('claim'):
            result = self._open(claim)
        match result:
            case commands.ClaimGranted():
                return self._run(exchange, document, route, claim, body)
            case commands.ClaimAnswered():
                return _replay(exchange, result)
            case commands.ClaimUnsettled():
                raise errors.ClaimPending(
                    'an earlier copy of the request has no answer yet'
                )
            case commands.ClaimMismatched():
                raise errors.IdempotencyConflict(
                    'the idempotency key was used with another request'
                )
        raise errors.InternalError(f'unexpected {type(result).__name__}')

    def _claim(self, exchange, document, key, body):
        digest = hashlib.sha256()
        content_type = exchange.received.get('Content-Type', '')
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

    def _open(self, claim):
        try:
            return self._services.proposer.submit(claim, CLAIM_TIMEOUT)
        except errors.ChangeUncertain as error:
            self._services.settlements.release(claim)
            raise errors.QuorumUnavailable(
                'no quorum confirmed the claim; nothing was sent'
            ) from error

    def _run(self, exchange, document, route, claim, body):
        try:
            endpoint, connection = self._connect(document, route)
        except errors.RequestRefused:
            self._services.settlements.release(claim)
            raise
        call = service_calls.service_call(
            exchange, route, route.deadline_seconds, body
        )
        with self._services.loads.track(endpoint):
            with exchange.trace.hop('endpoint', endpoint=endpoint.id):
                answer = upstream.send(connection, call)
            try:
                answer_body = answer.read_all(MAX_ANSWER_BYTES)
            except errors.StreamBroken as error:
                raise errors.EndpointFailed(error.detail) from error
            finally:
                answer.close()
        self._services.breakers.note_success(endpoint)
        passed = headers.answer_headers(answer.headers)
        self._services.settlements.settle(
            claim, answer.status, passed, answer_body
        )
        return exchange.answer(
            answer.status, passed, answer_body, errors.Outcome.COMPLETE
        )

    def _connect(self, document, route):
        pool = document.pools_by_id[route.pool]
        endpoints = self._services.chooser.order_services(
            self._services.environment, pool
        )
        for endpoint in endpoints:
            try:
                return endpoint, upstream.open_connection(endpoint.address)
            except errors.EndpointUnreachable as error:
                self._services.breakers.note_failure(endpoint, error.code)
        raise errors.NoEndpoint(f'no endpoint of {pool.id} can be reached')


class Settlements:
    """Commits answers and releases, and goes on trying if it must."""

    RETRY_SECONDS = 300.0

    def __init__(self, proposer):
        self._proposer = proposer
        self._unsettled = queue.Queue()
        self._thread = threading.Thread(
            target=self._run, name='settlements', daemon=True
        )

    def start(self):
        """Start the thread that repeats failed commits."""
        self._thread.start()

    def settle(self, claim, status, answer_headers, body):
        """Commit the answer of a claimed request.

        The caller gets its answer even if the commit has to be repeated
        in the background.
        """
        kept = dict(answer_headers)
        if len(body) > claims.MAX_ANSWER_BYTES:
            kept[BODY_KEPT] = 'no'
            body = b''
        command = commands.SettleClaim(
            claim.claim_id,
            claim.customer,
            claim.idempotency_key,
            status,
            tuple(kept.items()),
            body,
        )
        try:
            self._proposer.submit(command, SETTLE_TIMEOUT)
        except errors.ChangeUncertain:
            self._unsettled.put((command, time.monotonic()))

    def release(self, claim):
        """Give up a claim whose request was never sent."""
        command = commands.ReleaseClaim(
            claim.claim_id, claim.customer, claim.idempotency_key
        )
        self._unsettled.put((command, time.monotonic()))

    def _run(self):
        while True:
            command, queued_at = self._unsettled.get()
            try:
                self._proposer.submit(command, SETTLE_TIMEOUT)
            except errors.ChangeUncertain:
                if time.monotonic() - queued_at < self.RETRY_SECONDS:
                    self._unsettled.put((command, queued_at))
                else:
                    events.emit(events.CLAIM_UNSETTLED, claim=command.claim_id)


def _replay(exchange, stored):
    replayed = dict(stored.headers)
    replayed[REPLAYED] = 'true'
    return exchange.answer(
        stored.status, replayed, stored.body, errors.Outcome.COMPLETE
    )
