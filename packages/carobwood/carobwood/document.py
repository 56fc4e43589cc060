"""The operators' document: one for each environment."""

import dataclasses
import functools
import hashlib
import importlib.resources
import json

import jsonschema
import msgspec
from returns import result
import yaml

from . import errors

MAX_DOCUMENT_BYTES = 4 * 1024 * 1024
ENGINE_KIND = 'engine'
SERVICE_KIND = 'service'
MODEL_PATHS = ('/v1/chat/completions', '/v1/completions', '/v1/models')


@dataclasses.dataclass(frozen=True)
class DocumentFault:
    """One fault of a document.

    Attributes:
        path: where it stands, such as ``customers/0/id``.
        reason: what is wrong there.
    """

    path: str
    reason: str

    def __str__(self):
        """Return the fault as one line."""
        return f'{self.path}: {self.reason}'


@dataclasses.dataclass(frozen=True)
class Customer:
    """A customer and its contract.

    Attributes:
        id: name of the customer.
        rate_tokens_per_second: tokens a second over the whole fleet.
        burst_tokens: size of the fleet-wide token bucket.
        offline_grace_seconds: how long a cut-off VM honours its keys.
    """

    id: str
    rate_tokens_per_second: float
    burst_tokens: float
    offline_grace_seconds: float = 900.0


@dataclasses.dataclass(frozen=True)
class Model:
    """A language model and the weights that serve it.

    Attributes:
        id: name that callers use.
        pool: id of the pool of engines.
        weights_version: version of the weights in force.
        adapter: name of the adapter, or an empty string.
        bytes_per_token: lower bound used to estimate text prompts.
        max_output_tokens: output reserved when a request names none.
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
        id: name that endpoints announce.
        kind: ``engine`` or ``service``.
        checks_fencing: whether its engines refuse old fencing numbers.
        max_in_flight_per_endpoint: requests that one VM keeps open on
            one endpoint.
    """

    id: str
    kind: str
    checks_fencing: bool = False
    max_in_flight_per_endpoint: int = 256


@dataclasses.dataclass(frozen=True)
class Route:
    """A path prefix and the rules for its requests.

    Attributes:
        prefix: whole path segments that a request's path starts with.
        access: ``open`` or ``keyed``.
        pool: id of the pool of services, or an empty string.
        models: ids of the models served, for routes to engines.
        methods: allowed methods.
        repeatable: False if a request may run at most once.
        priority: 0 (lowest) to 9.
        deadline_seconds: longest time until the answer starts.
        stall_seconds: longest silence within an answer.
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
    """How long records are kept.

    Attributes:
        claim_seconds: age at which settled claims are dropped.
        history_versions: document versions kept for ``history``.
    """

    claim_seconds: float = 86400.0
    history_versions: int = 50


@dataclasses.dataclass(frozen=True)
class Document:
    """A checked document.

    Collections keep the document's order; ``*_by_id`` give look-ups.
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
    """Return the hexadecimal SHA-256 that identifies a document's text."""
    return hashlib.sha256(text.encode('utf-8')).hexdigest()


def parse_document(text, environment=None):
    """Parse and check a document.

    Args:
        text: the YAML text.
        environment: expected environment, or None for any.

    Returns:
        ``Success(Document)`` or ``Failure(DocumentInvalid)`` that lists
        every fault.
    """
    match _load_yaml(text):
        case result.Failure(fault):
            return result.Failure(errors.DocumentInvalid([fault]))
        case result.Success(raw):
            faults = _schema_faults(raw)
    if faults:
        return result.Failure(errors.DocumentInvalid(faults))
    document = msgspec.convert(raw, Document)
    faults = _meaning_faults(document, environment)
    if faults:
        return result.Failure(errors.DocumentInvalid(faults))
    return result.Success(document)


def retarget(text, environment):
    """Return a document's text with another environment name.

    Promotion moves the text as it was tried; only the line that names
    the environment differs between trial and production.
    """
    lines = []
    for line in text.splitlines(keepends=True):
        if line.startswith('environment:'):
            line = f'environment: {environment}\n'
        lines.append(line)
    return ''.join(lines)


class _StrictLoader(yaml.CSafeLoader):
    """Safe loader that refuses aliases and repeated mapping keys."""

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
                    None, None, f'repeated key {key!r}', key_node.start_mark
                )
            seen.add(key)
        return super().construct_mapping(node, deep)


def _load_yaml(text):
    if len(text.encode('utf-8', 'replace')) > MAX_DOCUMENT_BYTES:
        reason = f'larger than {MAX_DOCUMENT_BYTES} bytes'
        return result.Failure(DocumentFault('/', reason))
    try:
        return result.Success(yaml.load(text, Loader=_StrictLoader))
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        reason = ' '.join(str(error).split())
        return result.Failure(DocumentFault('/', f'not YAML: {reason}'))


@functools.cache
def _validator():
    package = importlib.resources.files(__package__)
    schema = json.loads((package / 'document.schema.json').read_text())
    return jsonschema.Draft202012Validator(schema)


def _schema_faults(raw):
    faults = []
    for error in _validator().iter_errors(raw):
        path = '/'.join(str(part) for part in error.absolute_path) or '/'
        faults.append(DocumentFault(path, error.message[:300]))
    return sorted(faults, key=str)


def _meaning_faults(document, environment):
    faults = []
    if environment is not None and document.environment != environment:
        reason = f'is {document.environment!r}, expected {environment!r}'
        faults.append(DocumentFault('environment', reason))
    for name in ('customers', 'models', 'pools'):
        faults.extend(_repeated_ids(name, getattr(document, name)))
    faults.extend(_model_faults(document))
    faults.extend(_route_faults(document))
    return faults


def _repeated_ids(name, items):
    seen = set()
    for position, item in enumerate(items):
        if item.id in seen:
            yield DocumentFault(f'{name}/{position}/id', f'repeats {item.id}')
        seen.add(item.id)


def _model_faults(document):
    for position, model in enumerate(document.models):
        pool = document.pools_by_id.get(model.pool)
        path = f'models/{position}/pool'
        if pool is None:
            yield DocumentFault(path, f'names no pool: {model.pool}')
        elif pool.kind != ENGINE_KIND:
            yield DocumentFault(path, f'{model.pool} is no pool of engines')


def _route_faults(document):
    seen = set()
    for position, route in enumerate(document.routes):
        path = f'routes/{position}'
        if route.prefix in seen:
            yield DocumentFault(f'{path}/prefix', f'repeats {route.prefix}')
        seen.add(route.prefix)
        if '//' in route.prefix or '/.' in route.prefix:
            yield DocumentFault(f'{path}/prefix', 'is ambiguous')
        if bool(route.pool) == bool(route.models):
            yield DocumentFault(path, 'needs either pool or models')
        yield from _target_faults(document, path, route)


def _target_faults(document, path, route):
    for model in route.models:
        if model not in document.models_by_id:
            yield DocumentFault(f'{path}/models', f'names no model: {model}')
    if route.models and not route.repeatable:
        yield DocumentFault(f'{path}/repeatable', 'models are repeatable')
    if route.models and route.access == 'open':
        yield DocumentFault(f'{path}/access', 'models need keyed access')
    if not route.pool:
        return
    pool = document.pools_by_id.get(route.pool)
    if pool is None:
        yield DocumentFault(f'{path}/pool', f'names no pool: {route.pool}')
    elif pool.kind != SERVICE_KIND:
        reason = f'{route.pool} is no pool of services'
        yield DocumentFault(f'{path}/pool', reason)
    if not route.repeatable and route.access == 'open':
        reason = 'requests that run at most once need keyed access'
        yield DocumentFault(f'{path}/access', reason)
