"""Validates requests to models in the format of the OpenAI API."""

import dataclasses
import hashlib

import msgspec

from carobwood import document as documents
from carobwood import errors

from ..routing import prefix

CHAT_PATH, COMPLETIONS_PATH, MODELS_PATH = documents.MODEL_PATHS

_FIELD_SEPARATOR = b'\x1e'
_MESSAGE_SEPARATOR = b'\x1f'


class ChatMessage(msgspec.Struct, frozen=True):
    """A chat message.

    Other fields are passed to the engine without validation.
    """

    role: str
    content: str | list[dict] | None = None


class ModelRequest(msgspec.Struct, frozen=True):
    """The fields of a request body that routing needs."""

    model: str
    messages: list[ChatMessage] | None = None
    prompt: str | list[int] | None = None
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    n: int = 1


@dataclasses.dataclass(frozen=True)
class PreparedRequest:
    """A validated request to a model.

    Attributes:
        model: the ``Model``.
        pool: the ``Pool`` of its engines.
        prompts_by_weights: a ``Prompt`` for each weights version that may
            serve the request; the version in force is first.
        output_tokens: maximum number of tokens to generate.
        is_stream: whether the response is streamed.
        body: the JSON body to send to the engine.
        fingerprint: digest of customer, path and body, the same on every
            VM.
    """

    model: documents.Model
    pool: documents.Pool
    prompts_by_weights: dict[str, prefix.Prompt]
    output_tokens: int
    is_stream: bool
    body: bytes
    fingerprint: str

    @property
    def prompt_tokens(self):
        """Upper bound of the number of tokens in the prompt."""
        return next(iter(self.prompts_by_weights.values())).tokens

    @property
    def reserved_tokens(self):
        """Upper bound of the number of tokens that the request can use."""
        return self.prompt_tokens + self.output_tokens

    def prompt_for(self, endpoint):
        """Return the ``Prompt`` for the weights version of an engine."""
        return self.prompts_by_weights[endpoint.weights_version]

    def restrict_to_weights(self, weights_version):
        """Return a copy that only engines with this weights version serve."""
        prompt = self.prompts_by_weights[weights_version]
        return dataclasses.replace(
            self, prompts_by_weights={weights_version: prompt}
        )


def prepare_request(
    customer_id, document, route, path, raw, find_weights_versions
):
    """Validate the body of a request and return its ``PreparedRequest``.

    Args:
        customer_id: id of the customer.
        document: the ``Document`` in force.
        route: the ``Route``.
        path: path of the request.
        raw: the body as bytes.
        find_weights_versions: function of a pool and a model; returns the
            weights versions that may serve the model.

    Raises:
        MalformedRequest: the body is invalid.
        ModelNotFound: the route does not serve the model.
    """
    request, fields = _decode(raw)
    model = document.models_by_id.get(request.model)
    if model is None or model.id not in route.models:
        raise errors.ModelNotFound(
            f'the route has no model {request.model[:64]!r}'
        )
    output_tokens = _output_tokens(request, model)
    # The body is encoded again, so that the engine parses the same fields as
    # this validation, even if the original JSON has duplicate keys.
    fields['max_tokens'] = output_tokens
    body = msgspec.json.encode(fields)
    pool = document.pools_by_id[model.pool]
    prompts_by_weights = {}
    for weights_version in find_weights_versions(pool, model):
        scope = prefix.Scope(
            document.environment,
            customer_id,
            model.id,
            weights_version,
            model.adapter,
        )
        prompt = _hash_prompt(request, scope, model, path)
        prompts_by_weights[weights_version] = prompt
    return PreparedRequest(
        model,
        pool,
        prompts_by_weights,
        output_tokens,
        request.stream,
        body,
        _fingerprint(customer_id, path, body),
    )


def _fingerprint(customer_id, path, body):
    digest = hashlib.blake2b(digest_size=16)
    digest.update(f'{customer_id}\0{path}\0'.encode('utf-8'))
    digest.update(body)
    return digest.hexdigest()


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
    max_tokens = request.max_completion_tokens
    if max_tokens is None:
        max_tokens = request.max_tokens
    if max_tokens is None:
        return model.max_output_tokens
    if not 1 <= max_tokens <= model.max_output_tokens:
        raise errors.MalformedRequest(
            f'max_tokens must be between 1 and {model.max_output_tokens}'
        )
    return max_tokens


def _hash_prompt(request, scope, model, path):
    if path == CHAT_PATH:
        if not request.messages or request.prompt is not None:
            raise errors.MalformedRequest(
                'the path requires messages and allows no prompt'
            )
        text = _chat_text(request.messages)
        return prefix.hash_text(scope, text, model.bytes_per_token)
    if request.prompt is None or request.messages is not None:
        raise errors.MalformedRequest(
            'the path requires a prompt and allows no messages'
        )
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
