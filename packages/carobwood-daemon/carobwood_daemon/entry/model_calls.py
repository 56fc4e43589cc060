"""Runs requests to language models, with retries on other engines."""

import math
import random
import time

import msgspec

from carobwood import clocks
from carobwood import errors

from . import attempt_scheduler
from . import event_stream
from . import headers
from . import model_request
from . import model_stream
from . import response_opener
from . import silence
from . import upstream

MAX_ATTEMPTS = 3
RETRY_DELAY_SECONDS = (0.01, 0.05)
# An engine that takes up to this many times the expected prefill time counts
# as slow, not as disconnected.
MAX_SLOWDOWN_FACTOR = 4.0
MAX_RESPONSE_BYTES = 64 * 1024 * 1024

_RETRYABLE = (
    errors.EndpointUnreachable,
    errors.EndpointFailed,
    errors.EndpointTimeout,
    errors.AnswerMismatch,
    errors.StreamBroken,
)


class ModelCalls:
    """Serves the routes of models."""

    def __init__(self, context):
        self._context = context

    def serve(self, exchange, document, route, path):
        """Serve a request and return the body of the response.

        Args:
            exchange: the ``Exchange``.
            document: the ``Document`` in force.
            route: the ``Route``.
            path: path of the request.
        """
        if path == model_request.MODELS_PATH:
            _require_method(exchange, 'GET')
            return _list_models(exchange, route)
        if path not in (
            model_request.CHAT_PATH,
            model_request.COMPLETIONS_PATH,
        ):
            raise errors.RouteNotFound(f'no model API at path {path}')
        _require_method(exchange, 'POST')
        raw = exchange.read_body(
            self._context.max_body_bytes, route.deadline_seconds
        )
        prepared = model_request.prepare_request(
            exchange.caller.customer_id,
            document,
            route,
            path,
            raw,
            self._find_weights_versions,
        )
        self._context.crash_suspects.refuse_if_crashing(prepared.fingerprint)
        with exchange.trace.span('limit'):
            reservation = self._context.rate_limiter.reserve(
                exchange.caller.customer, prepared.reserved_tokens
            )
        run = ModelRun(self._context, exchange, route, prepared, reservation)
        try:
            return run.start()
        except BaseException:
            run.cancel()
            raise

    def _find_weights_versions(self, pool, model):
        return self._context.endpoint_selector.weights_versions(
            self._context.environment, pool, model
        )


class ModelRun:
    """One request, run on one or more engines.

    Attributes:
        scheduler: the ``AttemptScheduler``.
        opener: the ``ResponseOpener``.
    """

    def __init__(self, context, exchange, route, prepared, reservation):
        self._context = context
        self._exchange = exchange
        self._route = route
        self._prepared = prepared
        self._reservation = reservation
        self._is_settled = False
        self._tried_ids = set()
        # Of these, those that took no connection in time.
        self._silent_ids = set()
        self.scheduler = attempt_scheduler.AttemptScheduler(
            context, exchange, route, prepared
        )
        self.opener = response_opener.ResponseOpener(
            context, exchange, self._build_upstream_request
        )

    def start(self):
        """Run the request and return the body of the response."""
        self._context.retry_budget.add_request()
        failure = None
        while True:
            attempt = None
            try:
                attempt = self.scheduler.start_next_attempt(self._tried_ids)
                return self._run_attempt(attempt)
            except _RETRYABLE as error:
                failure = _more_severe_failure(failure, error)
                self._note_silent_listener(attempt, error)
            except errors.RequestRefused as error:
                is_last = isinstance(error, errors.NoEndpoint)
                if is_last and self._may_connect_again():
                    continue
                if failure is not None:
                    # An earlier attempt may have run the request.
                    error.outcome = failure.outcome
                raise
            may_retry = self._may_retry(len(self._tried_ids))
            if not may_retry and not self._may_connect_again():
                raise failure

    def _note_silent_listener(self, attempt, error):
        is_unreachable = isinstance(error, errors.EndpointUnreachable)
        if attempt is not None and is_unreachable and error.is_timeout:
            self._silent_ids.add(attempt.endpoint.id)

    def _may_connect_again(self):
        """Wait, and allow engines whose listeners were silent once more."""
        if not self._silent_ids or self.scheduler.seconds_left <= 0:
            return False
        time.sleep(silence.LOOK_PERIOD_SECONDS)
        self._tried_ids -= self._silent_ids
        self._silent_ids.clear()
        return True

    def _may_retry(self, attempt_count):
        if attempt_count >= MAX_ATTEMPTS or self.scheduler.seconds_left <= 0:
            return False
        if attempt_count == 1:
            return True
        if not self._context.retry_budget.try_spend():
            return False
        # Jitter spreads the retries of requests that failed together.
        time.sleep(random.uniform(*RETRY_DELAY_SECONDS))
        return True

    def _start_elsewhere(self, find_awake):
        """Start an attempt beside one whose engine is silent; None if not."""
        budget = self._context.retry_budget
        attempt_count = len(self._tried_ids)
        if attempt_count >= MAX_ATTEMPTS:
            return None
        if attempt_count > 1 and not budget.may_spend():
            return None
        attempt = self.scheduler.start_attempt_elsewhere(
            self._tried_ids, find_awake
        )
        if attempt is not None and attempt_count > 1:
            budget.try_spend()
        return attempt

    @property
    def deadline_seconds(self):
        """Seconds within which the response must start."""
        return self._route.deadline_seconds

    @property
    def stall_seconds(self):
        """Longest time without a complete event within a stream."""
        return self._route.stall_seconds

    def cancel(self):
        """Return all reserved tokens of a request that was not served."""
        self.settle(0)

    def settle(self, used_tokens):
        """Charge the used tokens and return the rest of the reservation.

        Calls after the first one have no effect.

        Args:
            used_tokens: number of tokens used, or None if unknown; then the
                whole reservation is charged.
        """
        if not self._is_settled:
            self._is_settled = True
            self._context.rate_limiter.reconcile(
                self._reservation, used_tokens
            )

    def charge_streamed(self, event_count):
        """Charge one token for each event if the engine reported no usage."""
        self.settle(self._prepared.prompt_tokens + event_count)

    def _build_upstream_request(self, endpoint, seconds, last_event_id):
        """Return the ``UpstreamRequest`` for an engine.

        Args:
            endpoint: the engine.
            seconds: time limit for the start of the response.
            last_event_id: id of the last event that the caller has, if
                the engine has to resume a stream; else -1.
        """
        exchange = self._exchange
        upstream_headers = headers.filter_request_headers(
            exchange.request_headers
        )
        upstream_headers['Content-Type'] = 'application/json'
        upstream_headers[headers.REQUEST_ID] = exchange.request_id
        upstream_headers[headers.CUSTOMER] = exchange.caller.customer_id
        upstream_headers[headers.PRIORITY] = str(self._route.priority)
        upstream_headers[headers.WEIGHTS_VERSION] = endpoint.weights_version
        if last_event_id >= 0:
            upstream_headers[headers.LAST_EVENT_ID] = str(last_event_id)
        exchange.trace.propagate(upstream_headers)
        return upstream.UpstreamRequest(
            'POST',
            exchange.target,
            upstream_headers,
            self._prepared.body,
            exchange.request_id,
            True,
            max(0.001, seconds),
            self._route.stall_seconds,
        )

    def resume_wait(self, last_event_id):
        """Return the ``ResponseWait`` of an engine that resumes a stream."""
        ends_at = clocks.now() + self.deadline_seconds
        return response_opener.ResponseWait(
            ends_at, last_event_id=last_event_id
        )

    def _response_wait(self, attempt):
        # A broken connection may stay open without a sign of the failure. If
        # the engine is expected to respond well within half of the time
        # left, another one is looked for in the other half.
        seconds = self.scheduler.seconds_left
        has_time = attempt.expected_seconds * MAX_SLOWDOWN_FACTOR < seconds / 2
        now = clocks.now()
        look_at = math.inf
        if self._prepared.is_stream and has_time:
            look_at = now + seconds / 2
        return response_opener.ResponseWait(now + seconds, look_at)

    def _run_attempt(self, attempt):
        attempt, response = self.opener.open(
            attempt, self._response_wait(attempt), self._start_elsewhere
        )
        if response.status == 200 and self._prepared.is_stream:
            return self._stream_response(attempt, response)
        try:
            body = self._read_response(attempt, response)
        except errors.StreamBroken as error:
            attempt.fail(error)
            raise
        except BaseException:
            attempt.finish()
            raise
        attempt.succeed()
        return body

    def _stream_response(self, attempt, response):
        # A stream must be resumed with the weights that started it.
        self.scheduler.pin_weights(attempt.endpoint.weights_version)
        stream = model_stream.ModelStream(
            self, self._context, self._exchange, attempt, response
        )
        return self._exchange.respond_stream(
            200, headers.filter_response_headers(response.headers), stream
        )

    def _read_response(self, attempt, response):
        try:
            body = response.read_all(MAX_RESPONSE_BYTES)
        finally:
            response.close()
        usage = _parse_body_usage(body)
        if usage is not None:
            attempt.record_usage(self._exchange.request_id, usage)
        self.settle(usage.total_tokens if usage else None)
        digest = self._exchange.caller.key_digest
        if self._context.authenticator.is_withdrawn(digest):
            error = errors.KeyRefused(
                'the key was withdrawn during the request'
            )
            error.outcome = errors.Outcome.UNKNOWN
            raise error
        return self._exchange.respond(
            response.status,
            headers.filter_response_headers(response.headers),
            body,
            errors.Outcome.COMPLETE,
        )


def _require_method(exchange, method):
    if exchange.method != method:
        raise errors.MethodNotAllowed(f'this path allows only {method}')


def _list_models(exchange, route):
    models = [
        {'id': model, 'object': 'model', 'owned_by': 'carobwood'}
        for model in route.models
    ]
    body = msgspec.json.encode({'object': 'list', 'data': models})
    return exchange.respond(
        200,
        {'Content-Type': 'application/json'},
        body,
        errors.Outcome.COMPLETE,
    )


def _parse_body_usage(body):
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError):
        return None
    if not isinstance(fields, dict):
        return None
    return event_stream.parse_usage(fields.get('usage'))


def _more_severe_failure(previous, error):
    # A failure after which the request may have run takes precedence over
    # one after which it has not.
    if previous is None or error.outcome is not errors.Outcome.NOT_RUN:
        return error
    return previous
