"""The configuration document that operators apply to an environment."""

import dataclasses
import functools
import hashlib
import importlib.resources
import json

import msgspec
from returns import result
import yaml

from . import errors

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
# Kinds of pools.
ENGINE_KIND = 'engine'
SERVICE_KIND = 'service'
# Paths of chat completions, completions and the list of models.
MODEL_PATHS = ('/v1/chat/completions', '/v1/completions', '/v1/models')


@dataclasses.dataclass(frozen=True)
class DocumentFault:
    """A fault found while checking a document.

    Attributes:
        path: keys and list positions that lead to the faulty value,
            such as ``customers/0/id``; ``/`` for the whole document.
        reason: what is wrong with the value.
    """

    path: str
    reason: str

    def __str__(self):
        """Return the fault as one line."""
        return f'{self.path}: {self.reason}'


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer and its limits.

    Attributes:
        id: name of the customer.
        rate_tokens_per_second: fill rate of the customer's token bucket,
            in tokens per second over the whole fleet.
        burst_tokens: size of the token bucket over the whole fleet.
        offline_grace_seconds: how long a VM without contact to a leader
            of the replicated state goes on accepting the customer's
            keys.
    """

    id: str
    rate_tokens_per_second: float
    burst_tokens: float
    offline_grace_seconds: float = 900.0


@dataclasses.dataclass(frozen=True)
class Model:
    """A language model and the weights that serve it.

    Attributes:
        id: name of the model in callers' requests.
        pool: id of the pool of engines that serve the model.
        weights_version: version of the weights that engines should load.
        adapter: name of the adapter, or an empty string.
        bytes_per_token: lower bound on the bytes of text per token, used
            to estimate the tokens of a prompt.
        max_output_tokens: largest ``max_tokens`` of a request, and the
            value assumed if the request gives none.
    """

    id: str
    pool: str
    weights_version: str
    adapter: str = ''
    bytes_per_token: float = 2.0
    max_output_tokens: int = 1024


@dataclasses.dataclass(frozen=True)
class Pool:
    """A set of endpoints that serve the same purpose.

    Attributes:
        id: name of the pool, which its endpoints announce.
        kind: ``engine`` or ``service``.
        checks_fencing: whether the pool's engines reject orders with an
            outdated fencing number.
        max_in_flight_per_endpoint: largest number of requests that one
            VM has in flight on one endpoint.
    """

    id: str
    kind: str
    checks_fencing: bool = False
    max_in_flight_per_endpoint: int = 256


@dataclasses.dataclass(frozen=True)
class Route:
    """A path prefix and the rules for requests to it.

    Attributes:
        prefix: path prefix of the requests, made of whole segments.
        access: ``open`` to all callers, or ``keyed`` if a key is needed.
        pool: id of the pool of services, or an empty string for a route
            to engines.
        models: ids of the models served; empty for a route to services.
        methods: allowed HTTP methods.
        repeatable: False if a request may run at most once.
        priority: 0 (lowest) to 9 (highest).
        deadline_seconds: longest time until the response starts.
        stall_seconds: longest time without data within a response.
    """

    prefix: str
    access: str
    pool: str = ''
    models: tuple[str, ...] = ()
    methods: tuple[str, ...] = ('GET', 'POST')
    repeatable: bool = True
    priority: int = 5
    deadline_seconds: float = 30.0
    stall_seconds: float = 10.0

    def matches(self, path):
        """Tell whether the route's prefix covers a path."""
        if path == self.prefix or self.prefix == '/':
            return True
        return path.startswith(self.prefix.rstrip('/') + '/')


@dataclasses.dataclass(frozen=True)
class Retention:
    """How long stored records are kept.

    Attributes:
        claim_seconds: age at which the stored answer to an at-most-once
            request is dropped.
        history_versions: number of document versions kept for
            ``carobwood document history``.
    """

    claim_seconds: float = 86400.0
    history_versions: int = 50


@dataclasses.dataclass(frozen=True)
class Document:
    """A valid document.

    Attributes:
        environment: name of the environment that it configures.
        customers: customers in the order of the text, as are the other
            collections.
        models: language models.
        pools: pools of endpoints.
        routes: routes of callers' requests.
        retention: how long stored records are kept.
    """

    environment: str
    customers: tuple[Customer, ...]
    models: tuple[Model, ...]
    pools: tuple[Pool, ...]
    routes: tuple[Route, ...]
    retention: Retention = Retention()

    @functools.cached_property
    def customers_by_id(self):
        """Customers by their id."""
        return {customer.id: customer for customer in self.customers}

    @functools.cached_property
    def models_by_id(self):
        """Models by their id."""
        return {model.id: model for model in self.models}

    @functools.cached_property
    def pools_by_id(self):
        """Pools by their id."""
        return {pool.id: pool for pool in self.pools}

    @functools.cached_property
    def _routes_longest_first(self):
        return sorted(
            self.routes, key=lambda route: len(route.prefix), reverse=True
        )

    def find_route(self, path):
        """Return the route with the longest matching prefix, or None."""
        for route in self._routes_longest_first:
            if route.matches(path):
                return route
        return None


def digest_text(text):
    """Return the hexadecimal SHA-256 digest of a document's text."""
    return hashlib.sha256(text.encode('utf-8')).hexdigest()


def parse_document(text, environment=None):
    """Parse and check a document.

    Args:
        text: the YAML text.
        environment: expected name of the environment, or None for any.

    Returns:
        ``Success(Document)``, or ``Failure(DocumentInvalid)`` with the
        faults. If the text violates the schema, the references between
        its parts are not checked.
    """
    match _load_yaml(text):
        case result.Failure(fault):
            return result.Failure(errors.DocumentInvalid([fault]))
        case result.Success(raw):
            faults = _schema_faults(raw)
    if faults:
        return result.Failure(errors.DocumentInvalid(faults))
    document = msgspec.convert(raw, Document)
    faults = _semantic_faults(document, environment)
    if faults:
        return result.Failure(errors.DocumentInvalid(faults))
    return result.Success(document)


def replace_environment_name(text, environment):
    """Return a document's text with another environment name.

    All other lines stay as they are, so that a promoted document has the
    text that was tested in the source environment.
    """
    lines = []
    for line in text.splitlines(keepends=True):
        if line.startswith('environment:'):
            line = f'environment: {environment}\n'
        lines.append(line)
    return ''.join(lines)


class _StrictLoader(yaml.CSafeLoader):
    """Safe YAML loader that rejects aliases and duplicate mapping keys."""

    def compose_node(self, parent, index):
        if self.check_event(yaml.events.AliasEvent):
            raise yaml.constructor.ConstructorError(
                None, None, 'aliases are not allowed', self.peek_event()
            )
        return super().compose_node(parent, index)

    def construct_mapping(self, node, deep=False):
        seen = set()
        for key_node, _ in node.value:
            key = key_node.value
            if isinstance(key, list) or key in seen:
                raise yaml.constructor.ConstructorError(
                    None, None, f'duplicate key {key!r}', key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _load_yaml(text):
    if len(text.encode('utf-8', 'replace')) > MAX_DOCUMENT_BYTES:
        reason = f'is larger than {MAX_DOCUMENT_BYTES} bytes'
        return result.Failure(DocumentFault('/', reason))
    try:
        return result.Success(yaml.load(text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = ' '.join(str(error).split())
        return result.Failure(
            DocumentFault('/', f'is not valid YAML: {reason}')
        )


@functools.cache
def _validator():
    # A VM of the relay has no document, and starts sooner without it.
    import jsonschema

    package = importlib.resources.files(__package__)
    schema = json.loads((package / 'document.schema.json').read_text())
    return jsonschema.Draft202012Validator(schema)


def _schema_faults(raw):
    faults = []
    for error in _validator().iter_errors(raw):
        path = '/'.join(str(part) for part in error.absolute_path) or '/'
        faults.append(DocumentFault(path, error.message[:300]))
    return sorted(faults, key=str)


def _semantic_faults(document, environment):
    faults = []
    if environment is not None and document.environment != environment:
        reason = f'is {document.environment!r} instead of {environment!r}'
        faults.append(DocumentFault('environment', reason))
    for name in ('customers', 'models', 'pools'):
        faults.extend(_duplicate_id_faults(name, getattr(document, name)))
    faults.extend(_model_faults(document))
    faults.extend(_route_faults(document))
    return faults


def _duplicate_id_faults(name, items):
    seen = set()
    for position, item in enumerate(items):
        if item.id in seen:
            yield DocumentFault(
                f'{name}/{position}/id', f'duplicate: {item.id}'
            )
        seen.add(item.id)


def _model_faults(document):
    for position, model in enumerate(document.models):
        pool = document.pools_by_id.get(model.pool)
        path = f'models/{position}/pool'
        if pool is None:
            yield DocumentFault(path, f'unknown pool: {model.pool}')
        elif pool.kind != ENGINE_KIND:
            yield DocumentFault(path, f'not a pool of engines: {model.pool}')


def _route_faults(document):
    seen = set()
    for position, route in enumerate(document.routes):
        path = f'routes/{position}'
        if route.prefix in seen:
            yield DocumentFault(f'{path}/prefix', f'duplicate: {route.prefix}')
        seen.add(route.prefix)
        if '//' in route.prefix or '/.' in route.prefix:
            yield DocumentFault(f'{path}/prefix', 'contains "//" or "/."')
        if bool(route.pool) == bool(route.models):
            yield DocumentFault(path, 'needs either a pool or models')
        yield from _target_faults(document, path, route)


def _target_faults(document, path, route):
    for model in route.models:
        if model not in document.models_by_id:
            yield DocumentFault(f'{path}/models', f'unknown model: {model}')
    if route.models and not route.repeatable:
        yield DocumentFault(
            f'{path}/repeatable', 'must be true on a route with models'
        )
    if route.models and route.access == 'open':
        yield DocumentFault(
            f'{path}/access', 'must be "keyed" on a route with models'
        )
    if not route.pool:
        return
    pool = document.pools_by_id.get(route.pool)
    if pool is None:
        yield DocumentFault(f'{path}/pool', f'unknown pool: {route.pool}')
    elif pool.kind != SERVICE_KIND:
        reason = f'not a pool of services: {route.pool}'
        yield DocumentFault(f'{path}/pool', reason)
    if not route.repeatable and route.access == 'open':
        reason = 'must be "keyed" if requests run at most once'
        yield DocumentFault(f'{path}/access', reason)
