"""Calls to language models."""

import random
import time

import msgspec

from carobwood import errors

from . import engine_entry
from . import event_stream
from . import headers
from . import model_request
from . import model_stream
from . import upstream

MAX_ATTEMPTS = 3
RETRY_PAUSE = (0.01, 0.05)
# An engine this many times slower than expected is not taken for silent.
SLOWNESS = 4.0
MAX_ANSWER_BYTES = 64 * 1024 * 1024

_RETRYABLE = (
    errors.EndpointUnreachable,
    errors.EndpointFailed,
    errors.EndpointTimeout,
    errors.AnswerMismatch,
    errors.StreamBroken,
)


class ModelCalls:
    """Serves the routes to models."""

    def __init__(self, services):
        self._services = services

    def serve(self, exchange, document, route, path):
        """Serve a request and return the answer's body."""
        if path == model_request.MODELS_PATH:
            _require_method(exchange, 'GET')
            return _list_models(exchange, route)
        if path not in (
            model_request.CHAT_PATH,
            model_request.COMPLETIONS_PATH,
        ):
            raise errors.RouteNotFound(f'no model interface at {path}')
        _require_method(exchange, 'POST')
        raw = exchange.read_body(self._services.max_body_bytes)
        work = model_request.check_request(
            exchange.caller.customer_id,
            document,
            route,
            path,
            raw,
            self._find_weights,
        )
        self._services.suspects.check(work.fingerprint)
        with exchange.trace.hop('limit'):
            reservation = self._services.allowance.reserve(
                exchange.caller.customer, work.reserved_tokens
            )
        run = ModelRun(self._services, exchange, route, work, reservation)
        try:
            return run.start()
        except BaseException:
            run.give_up()
            raise

    def _find_weights(self, pool, model):
        return self._services.chooser.weights_versions(
            self._services.environment, pool, model
        )


class ModelRun:
    """One request on its way through one or more engines.

    Attributes:
        entry: the ``EngineEntry``.
    """

    def __init__(self, services, exchange, route, work, reservation):
        self._services = services
        self._exchange = exchange
        self._route = route
        self._work = work
        self._reservation = reservation
        self._is_settled = False
        self.entry = engine_entry.EngineEntry(services, exchange, route, work)

    def start(self):
        """Run the request and return the answer's body."""
        self._services.retry_budget.note_request()
        tried = set()
        failure = None
        while True:
            try:
                return self._try(self.entry.enter_next(tried))
            except _RETRYABLE as error:
                failure = _graver(failure, error)
            except errors.RequestRefused as error:
                if failure is not None:
                    # An earlier try may have run.
                    error.outcome = failure.outcome
                raise
            if not self._may_retry(len(tried)):
                raise failure

    def _may_retry(self, tries):
        if tries >= MAX_ATTEMPTS or self.entry.seconds_left <= 0:
            return False
        if tries == 1:
            return True
        if not self._services.retry_budget.take():
            return False
        # Jitter keeps requests that failed together from coming back so.
        time.sleep(random.uniform(*RETRY_PAUSE))
        return True

    @property
    def deadline_seconds(self):
        """Longest time until an answer starts."""
        return self._route.deadline_seconds

    def give_up(self):
        """Return the reservation of a request that was not served."""
        self.settle(0)

    def settle(self, used_tokens):
        """Settle the reservation, once."""
        if not self._is_settled:
            self._is_settled = True
            self._services.allowance.settle(self._reservation, used_tokens)

    def charge_streamed(self, event_count):
        """Settle by the events that passed, for want of an account."""
        self.settle(self._work.prompt_tokens + event_count)

    def call(self, endpoint, seconds, last_event_id=-1):
        """Return the ``Call`` for an engine."""
        exchange = self._exchange
        sent = headers.request_headers(exchange.received)
        sent['Content-Type'] = 'application/json'
        sent[headers.REQUEST_ID] = exchange.request_id
        sent[headers.CUSTOMER] = exchange.caller.customer_id
        sent[headers.PRIORITY] = str(self._route.priority)
        sent[headers.WEIGHTS_VERSION] = endpoint.weights_version
        if last_event_id >= 0:
            sent[headers.LAST_EVENT_ID] = str(last_event_id)
        exchange.trace.propagate(sent)
        return upstream.Call(
            'POST',
            exchange.target,
            sent,
            self._work.body,
            exchange.request_id,
            True,
            max(0.001, seconds),
            self._route.stall_seconds,
        )

    def open_answer(self, visit, seconds, last_event_id=-1):
        """Run the request on the engine that a visit has entered.

        Returns:
            The ``Answer``; the visit goes on until ``Visit.leave``.

        Raises:
            EndpointUnreachable, EndpointFailed, EndpointTimeout,
            AnswerMismatch: the engine did not answer.
        """
        endpoint = visit.endpoint
        try:
            connection = upstream.open_connection(endpoint.address)
            visit.begin()
            call = self.call(endpoint, seconds, last_event_id)
            with self._exchange.trace.hop('endpoint', endpoint=endpoint.id):
                answer = self._send(endpoint, connection, call)
            _check_answer(endpoint, answer)
        except errors.CarobwoodError as error:
            visit.fail(error)
            raise
        except BaseException:
            visit.leave()
            raise
        return answer

    def _send(self, endpoint, connection, call):
        watch = self._services.overdue.watch(endpoint, connection.sock)
        with watch as wait:
            try:
                return upstream.send(connection, call)
            except errors.EndpointFailed as error:
                if not wait.is_given_up:
                    raise
                # A frozen engine is no reason for a strike.
                raise errors.EndpointTimeout(
                    'the engine does not answer its probe'
                ) from error

    def _patience(self, visit):
        # A connection may have gone silent for good. If the engine should
        # have begun long before, the time left serves for another try.
        seconds = self.entry.seconds_left
        has_time = visit.expected_seconds * SLOWNESS < seconds / 2
        if self._work.is_stream and has_time:
            return seconds / 2
        return seconds

    def _try(self, visit):
        answer = self.open_answer(visit, self._patience(visit))
        if answer.status == 200 and self._work.is_stream:
            return self._stream(visit, answer)
        try:
            body = self._read(visit, answer)
        except errors.StreamBroken as error:
            visit.fail(error)
            raise
        except BaseException:
            visit.leave()
            raise
        visit.succeed()
        return body

    def _stream(self, visit, answer):
        # What is resumed goes on with the weights that began it.
        self.entry.keep_weights(visit.endpoint.weights_version)
        stream = model_stream.ModelStream(
            self, self._services, self._exchange, visit, answer
        )
        return self._exchange.answer_stream(
            200, headers.answer_headers(answer.headers), stream
        )

    def _read(self, visit, answer):
        try:
            body = answer.read_all(MAX_ANSWER_BYTES)
        finally:
            answer.close()
        usage = _usage_of(body)
        if usage is not None:
            visit.learn(self._exchange.request_id, usage)
        self.settle(usage.total_tokens if usage else None)
        digest = self._exchange.caller.key_digest
        if self._services.gatekeeper.is_withdrawn(digest):
            error = errors.KeyRefused('the key was withdrawn meanwhile')
            error.outcome = errors.Outcome.UNKNOWN
            raise error
        return self._exchange.answer(
            answer.status,
            headers.answer_headers(answer.headers),
            body,
            errors.Outcome.COMPLETE,
        )


def _check_answer(endpoint, answer):
    if answer.status >= 500:
        answer.close()
        raise errors.EndpointFailed(f'status {answer.status}')
    weights = answer.headers.get(headers.WEIGHTS_VERSION)
    if answer.status == 200 and weights != endpoint.weights_version:
        answer.close()
        raise errors.AnswerMismatch('the answer is of other weights')


def _require_method(exchange, method):
    if exchange.method != method:
        raise errors.MethodNotAllowed(f'use {method}')


def _list_models(exchange, route):
    models = [
        {'id': model, 'object': 'model', 'owned_by': 'carobwood'}
        for model in route.models
    ]
    body = msgspec.json.encode({'object': 'list', 'data': models})
    return exchange.answer(
        200,
        {'Content-Type': 'application/json'},
        body,
        errors.Outcome.COMPLETE,
    )


def _usage_of(body):
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    return event_stream.parse_usage(fields.get('usage'))


def _graver(known, error):
    # A failure that may have run is reported before one that has not.
    if known is None or error.outcome is not errors.Outcome.NOT_RUN:
        return error
    return known
