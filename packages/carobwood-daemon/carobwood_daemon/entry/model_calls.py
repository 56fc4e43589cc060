"""Calls to language models, in the interface of the OpenAI API."""

import dataclasses

import msgspec

from carobwood import document as documents
from carobwood import errors
from carobwood import events

from ..routing import prefix

from . import attempts
from . import event_stream
from . import headers
from . import upstream

MAX_ATTEMPTS = 3
MAX_RESUMES = 3
MAX_ANSWER_BYTES = 64 * 1024 * 1024
CHAT_PATH, COMPLETIONS_PATH, MODELS_PATH = documents.MODEL_PATHS

_FIELD_SEPARATOR = b'\x1e'
_MESSAGE_SEPARATOR = b'\x1f'


class ChatMessage(msgspec.Struct, frozen=True):
    """A message of a chat; unknown fields are left to the engine."""

    role: str
    content: str | list[dict] | None = None


class ModelRequest(msgspec.Struct, frozen=True):
    """The part of a request's body that routing needs."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[int] | None = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int = 1


@dataclasses.dataclass(frozen=True)
class Work:
    """A checked request to a model.

    Attributes:
        model: the ``Model``.
        pool: the ``Pool`` of its engines.
        prompt: the ``Prompt``.
        output_tokens: most tokens that may be generated.
        is_stream: whether the answer is a stream.
        body: the body for the engine, as bytes.
    """

    model: documents.Model
    pool: documents.Pool
    prompt: prefix.Prompt
    output_tokens: int
    is_stream: bool
    body: bytes

    @property
    def reserved_tokens(self):
        """Upper bound of the tokens that the request can use."""
        return self.prompt.tokens + self.output_tokens


class ModelCalls:
    """Serves the routes to models."""

    def __init__(self, services):
        self._services = services

    def serve(self, exchange, document, route, path):
        """Serve a request and return the answer's body."""
        if path == MODELS_PATH:
            _require_method(exchange, 'GET')
            return _list_models(exchange, route)
        if path not in (CHAT_PATH, COMPLETIONS_PATH):
            raise errors.RouteNotFound(f'no model interface at {path}')
        _require_method(exchange, 'POST')
        raw = exchange.read_body(self._services.max_body_bytes)
        work = self._check(exchange, document, route, path, raw)
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

    def _check(self, exchange, document, route, path, raw):
        request, fields = _decode(raw)
        model = document.models_by_id.get(request.model)
        if model is None or model.id not in route.models:
            raise errors.ModelNotFound(f'no model {request.model[:64]!r}')
        output_tokens = _output_tokens(request, model)
        # The engine must see the same fields as this check, whatever it
        # makes of repeated keys.
        fields['max_tokens'] = output_tokens
        scope = prefix.Scope(
            document.environment,
            exchange.caller.customer_id,
            model.id,
            model.weights_version,
            model.adapter,
        )
        return Work(
            model,
            document.pools_by_id[model.pool],
            _hash_prompt(request, scope, model, path),
            output_tokens,
            request.stream,
            msgspec.json.encode(fields),
        )


class ModelRun:
    """One request on its way through one or more engines."""

    def __init__(self, services, exchange, route, work, reservation):
        self._services = services
        self._exchange = exchange
        self._route = route
        self._work = work
        self._reservation = reservation
        self._is_settled = False

    def start(self):
        """Run the request and return the answer's body."""
        with self._exchange.trace.hop('choice'):
            engines = self.order_engines()
        tries = attempts.Attempts(
            engines,
            self._services.loads,
            self._route.deadline_seconds,
            MAX_ATTEMPTS,
        )
        for endpoint, connection in tries.connections():
            try:
                return self._try(tries, endpoint, connection)
            except (
                errors.EndpointFailed,
                errors.EndpointTimeout,
                errors.AnswerMismatch,
                errors.StreamBroken,
            ) as error:
                tries.note(endpoint, error)
        raise tries.last_error

    @property
    def deadline_seconds(self):
        """Longest time until an answer starts."""
        return self._route.deadline_seconds

    def give_up(self):
        """Return the reservation of a request that was not served."""
        self.settle(0)

    def order_engines(self):
        """Return the engines for the prompt, the best first."""
        return self._services.chooser.order_engines(
            self._services.environment,
            self._work.pool,
            self._work.model,
            self._work.prompt,
        )

    def settle(self, used_tokens):
        """Settle the reservation, once."""
        if not self._is_settled:
            self._is_settled = True
            self._services.allowance.settle(self._reservation, used_tokens)

    def charge_streamed(self, event_count):
        """Settle by the events that passed, for want of an account."""
        self.settle(self._work.prompt.tokens + event_count)

    def call(self, seconds, last_event_id=-1):
        """Return the ``Call`` for an engine."""
        exchange = self._exchange
        sent = headers.request_headers(exchange.received)
        sent['Content-Type'] = 'application/json'
        sent[headers.REQUEST_ID] = exchange.request_id
        sent[headers.CUSTOMER] = exchange.caller.customer_id
        sent[headers.PRIORITY] = str(self._route.priority)
        sent[headers.WEIGHTS_VERSION] = self._work.model.weights_version
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

    def exchange_with(self, endpoint, connection, call):
        """Send a call to an engine and return its ``Answer``.

        Raises:
            AnswerMismatch: it ran other weights than asked for.
            EndpointFailed: it failed.
        """
        with self._exchange.trace.hop('endpoint', endpoint=endpoint.id):
            answer = upstream.send(connection, call)
        if answer.status >= 500:
            answer.close()
            raise errors.EndpointFailed(f'status {answer.status}')
        weights = answer.headers.get(headers.WEIGHTS_VERSION)
        wanted = self._work.model.weights_version
        if answer.status == 200 and weights != wanted:
            answer.close()
            raise errors.AnswerMismatch('the answer is of other weights')
        return answer

    def note_placement(self, endpoint):
        """Record that the engine now holds the prompt's prefix."""
        self._services.placements.note(endpoint, self._work.prompt.chain)

    def _try(self, tries, endpoint, connection):
        self._services.loads.enter(endpoint)
        try:
            call = self.call(tries.seconds_left)
            answer = self.exchange_with(endpoint, connection, call)
            if answer.status == 200 and self._work.is_stream:
                return self._stream(endpoint, answer)
            body = self._read(endpoint, answer)
        except BaseException:
            self._services.loads.leave(endpoint)
            raise
        self._services.loads.leave(endpoint)
        return body

    def _stream(self, endpoint, answer):
        self.note_placement(endpoint)
        stream = ModelStream(
            self, self._services, self._exchange, endpoint, answer
        )
        return self._exchange.answer_stream(
            200, headers.answer_headers(answer.headers), stream
        )

    def _read(self, endpoint, answer):
        try:
            body = answer.read_all(MAX_ANSWER_BYTES)
        finally:
            answer.close()
        if answer.status == 200:
            self.note_placement(endpoint)
        usage = _usage_of(body)
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


class ModelStream:
    """An engine's events on their way to the caller.

    A stream that breaks off or stalls is resumed after its last event
    on another engine with the same weights, or ends with an error event.
    """

    def __init__(self, run, services, exchange, endpoint, answer):
        self._run = run
        self._services = services
        self._exchange = exchange
        self._endpoint = endpoint
        self._answer = answer
        self._events = event_stream.EventStream()
        self._resumes = 0
        self._failed_ids = set()
        self._is_closed = False
        self._tracking = services.gate.track(exchange.caller.key_digest)
        self._tracked = self._tracking.__enter__()
        self._hop = exchange.trace.hop('stream', endpoint=endpoint.id)
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
        data = self._answer.read_some()
        if not data:
            raise errors.StreamBroken('the stream ended early')
        return self._events.feed(data)

    def _resume(self, error):
        self._answer.close()
        self._services.loads.suspect(self._endpoint, error.code)
        self._failed_ids.add(self._endpoint.id)
        self._events.restart()
        while self._resumes < MAX_RESUMES:
            self._resumes += 1
            if self._resume_once():
                return True
        return False

    def _resume_once(self):
        try:
            endpoint = self._next_engine()
            connection = upstream.open_connection(endpoint.address)
        except (errors.NoEndpoint, errors.Saturated):
            return False
        except errors.EndpointUnreachable as error:
            self._services.loads.suspect(endpoint, error.code)
            return False
        last_id = self._events.last_id
        call = self._run.call(self._run.deadline_seconds, last_id)
        try:
            answer = self._run.exchange_with(endpoint, connection, call)
        except errors.CarobwoodError as error:
            self._services.loads.suspect(endpoint, error.code)
            return False
        if answer.status != 200:
            answer.close()
            return False
        self._switch(endpoint, answer)
        return True

    def _next_engine(self):
        engines = self._run.order_engines()
        fresh = [e for e in engines if e.id not in self._failed_ids]
        return (fresh or engines)[0]

    def _switch(self, endpoint, answer):
        self._services.loads.leave(self._endpoint)
        self._services.loads.enter(endpoint)
        self._endpoint = endpoint
        self._answer = answer
        self._run.note_placement(endpoint)
        events.emit(
            events.STREAM_RESUMED,
            request_id=self._exchange.request_id,
            endpoint=endpoint.id,
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
        self._services.loads.leave(self._endpoint)
        self._tracking.__exit__(None, None, None)
        self._hop.__exit__(None, None, None)
        if self._events.usage is not None:
            self._run.settle(self._events.usage.total_tokens)
        self._run.charge_streamed(self._events.last_id + 1)
        self._exchange.finish(outcome)


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


def _decode(raw):
    try:
        fields = msgspec.json.decode(raw)
        request = msgspec.convert(fields, ModelRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise errors.MalformedRequest(str(error)[:300]) from error
    if request.n != 1:
        raise errors.MalformedRequest('n must be 1')
    return request, fields


def _output_tokens(request, model):
    wanted = request.max_completion_tokens
    if wanted is None:
        wanted = request.max_tokens
    if wanted is None:
        return model.max_output_tokens
    if not 1 <= wanted <= model.max_output_tokens:
        raise errors.MalformedRequest(
            f'max_tokens must lie between 1 and {model.max_output_tokens}'
        )
    return wanted


def _hash_prompt(request, scope, model, path):
    if path == CHAT_PATH:
        if not request.messages or request.prompt is not None:
            raise errors.MalformedRequest('messages are needed, and no prompt')
        text = _chat_text(request.messages)
        return prefix.hash_text(scope, text, model.bytes_per_token)
    if request.prompt is None or request.messages is not None:
        raise errors.MalformedRequest('a prompt is needed, and no messages')
    if isinstance(request.prompt, str):
        text = request.prompt.encode('utf-8')
        return prefix.hash_text(scope, text, model.bytes_per_token)
    if any(not 0 <= token < 1 << 31 for token in request.prompt):
        raise errors.MalformedRequest('a token id is out of range')
    return prefix.hash_token_ids(scope, request.prompt)


def _chat_text(messages):
    parts = []
    for message in messages:
        content = message.content
        if not isinstance(content, str):
            content = msgspec.json.encode(content).decode('utf-8')
        parts.append(message.role.encode('utf-8'))
        parts.append(_FIELD_SEPARATOR)
        parts.append(content.encode('utf-8'))
        parts.append(_MESSAGE_SEPARATOR)
    return b''.join(parts)


def _usage_of(body):
    try:
        fields = msgspec.json.decode(body)
    except (msgspec.MsgspecError, UnicodeDecodeError):
        return None
    if not isinstance(fields, dict):
        return None
    return event_stream.parse_usage(fields.get('usage'))
