"""The WSGI application that serves callers: routing and authentication."""

import dataclasses

from carobwood import errors
from carobwood import events

from . import at_most_once
from . import authentication
from . import exchange as exchanges
from . import model_calls
from . import request_path
from . import service_calls

LIVE_PATH = '/healthz'
READY_PATH = '/readyz'


@dataclasses.dataclass(frozen=True)
class CallerAppContext:
    """The objects that the caller application uses.

    Attributes:
        environment: environment that this VM serves.
        max_body_bytes: maximum size of the body of a model request.
        store: the ``StateStore``.
        authenticator: the ``Authenticator``.
        gate: the ``RequestGate``.
        rate_limiter: the ``RateLimiter``.
        endpoint_selector: the ``EndpointSelector``.
        loads: the ``EndpointLoads``.
        circuit_breakers: the ``CircuitBreakers``.
        admission: the ``Admission``.
        retry_budget: the ``RetryBudget``.
        prefix_cache_index: the ``PrefixCacheIndex``.
        hang_detector: the ``HangDetector``.
        engine_liveness: the ``EngineLiveness``.
        cache_events: the ``CacheEvents``.
        prefill_times: the ``PrefillTimeEstimator``.
        crash_suspects: the ``CrashSuspects``.
        gossip: the ``Gossip``.
        endpoint_locks: the ``EndpointLocks``.
        proposer: the ``Proposer``.
        claim_settler: the ``ClaimSettler``.
        tracer: the ``Tracer``.
        metrics: the ``Metrics``.
    """

    environment: str
    max_body_bytes: int
    store: object
    authenticator: object
    gate: object
    rate_limiter: object
    endpoint_selector: object
    loads: object
    circuit_breakers: object
    admission: object
    retry_budget: object
    prefix_cache_index: object
    hang_detector: object
    engine_liveness: object
    cache_events: object
    prefill_times: object
    crash_suspects: object
    gossip: object
    endpoint_locks: object
    proposer: object
    claim_settler: object
    tracer: object
    metrics: object


class CallerApplication:
    """Authenticates each request and dispatches it by its route."""

    def __init__(self, context):
        self._context = context
        self._model_calls = model_calls.ModelCalls(context)
        self._service_calls = service_calls.ServiceCalls(context)
        self._at_most_once = at_most_once.AtMostOnceCalls(context)

    def handle(self):
        """Serve the request that CherryPy has parsed.

        Returns:
            The body of the response.
        """
        context = self._context
        exchange = exchanges.Exchange(
            context.gate, context.tracer, context.metrics
        )
        try:
            return self._serve(exchange)
        except errors.CarobwoodError as error:
            return exchange.respond_error(error)
        except Exception as error:
            events.emit(
                events.REQUEST_CRASHED,
                request_id=exchange.request_id,
                error=repr(error),
            )
            detail = 'the request could not be processed'
            return exchange.respond_error(errors.InternalError(detail))

    def _serve(self, exchange):
        path, _ = request_path.split_target(exchange.target)
        if path in (LIVE_PATH, READY_PATH):
            return self._respond_health(exchange, path)
        exchange.admit()
        document = self._document()
        route = document.find_route(path)
        if route is None:
            raise errors.RouteNotFound(f'no route matches {path}')
        with exchange.trace.span('key'):
            exchange.caller = self._authenticate(exchange, document, route)
        if route.models:
            return self._model_calls.serve(exchange, document, route, path)
        if exchange.method not in route.methods:
            raise errors.MethodNotAllowed(
                f'the route does not allow {exchange.method}'
            )
        if route.repeatable or exchange.method in ('GET', 'HEAD'):
            return self._service_calls.serve(exchange, document, route)
        return self._at_most_once.serve(exchange, document, route)

    def _respond_health(self, exchange, path):
        if path == READY_PATH:
            self._document()
            if not self._context.gate.is_ready:
                raise errors.Stopping('this VM is shutting down')
        return exchange.respond(
            200,
            {'Content-Type': 'text/plain'},
            b'ok\n',
            errors.Outcome.COMPLETE,
        )

    def _document(self):
        context = self._context
        document = context.store.fleet.document(context.environment)
        if document is None:
            raise errors.ConfigurationMissing(
                f'this VM has no document for {context.environment}'
            )
        return document

    def _authenticate(self, exchange, document, route):
        if route.access == 'open':
            return authentication.ANONYMOUS
        return self._context.authenticator.authenticate(
            document,
            exchange.request_headers.get('Authorization'),
            exchange.request_headers.get('X-Api-Key'),
        )
