"""The application behind the callers' listener."""

import dataclasses

from carobwood import errors
from carobwood import events

from . import at_most_once
from . import credentials
from . import exchange as exchanges
from . import model_calls
from . import request_path
from . import service_calls

LIVE_PATH = '/healthz'
READY_PATH = '/readyz'


@dataclasses.dataclass(frozen=True)
class Services:
    """What the callers' application works with.

    Attributes:
        environment: environment that this VM serves.
        max_body_bytes: largest body of a model request.
        store: the ``StateStore``.
        gatekeeper: the ``Gatekeeper``.
        gate: the ``Gate``.
        allowance: the ``Allowance``.
        chooser: the ``Chooser``.
        loads: the ``Loads``.
        breakers: the ``Breakers``.
        admission: the ``Admission``.
        retry_budget: the ``RetryBudget``.
        placements: the ``Placements``.
        overdue: the ``OverdueWatch``.
        cache_events: the ``CacheEvents``.
        rates: the ``PrefillRates``.
        suspects: the ``Suspects``.
        gossip: the ``Gossip``.
        arbiter: the ``Arbiter``.
        proposer: the ``Proposer``.
        settlements: the ``Settlements``.
        tracer: the ``Tracer``.
        metrics: the ``Metrics``.
    """

    environment: str
    max_body_bytes: int
    store: object
    gatekeeper: object
    gate: object
    allowance: object
    chooser: object
    loads: object
    breakers: object
    admission: object
    retry_budget: object
    placements: object
    overdue: object
    cache_events: object
    rates: object
    suspects: object
    gossip: object
    arbiter: object
    proposer: object
    settlements: object
    tracer: object
    metrics: object


class CallerApplication:
    """Finds the route and the customer of each request."""

    def __init__(self, services):
        self._services = services
        self._model_calls = model_calls.ModelCalls(services)
        self._service_calls = service_calls.ServiceCalls(services)
        self._at_most_once = at_most_once.AtMostOnceCalls(services)

    def handle(self):
        """Serve the request that CherryPy has parsed."""
        services = self._services
        exchange = exchanges.Exchange(
            services.gate, services.tracer, services.metrics
        )
        try:
            return self._serve(exchange)
        except errors.CarobwoodError as error:
            return exchange.refuse(error)
        except Exception as error:
            events.emit(
                events.REQUEST_CRASHED,
                request_id=exchange.request_id,
                error=repr(error),
            )
            detail = 'the request could not be processed'
            return exchange.refuse(errors.InternalError(detail))

    def _serve(self, exchange):
        path, _ = request_path.split_target(exchange.target)
        if path in (LIVE_PATH, READY_PATH):
            return self._health(exchange, path)
        exchange.enter()
        document = self._document()
        route = document.find_route(path)
        if route is None:
            raise errors.RouteNotFound(f'no route for {path}')
        with exchange.trace.hop('key'):
            exchange.caller = self._admit(exchange, document, route)
        if route.models:
            return self._model_calls.serve(exchange, document, route, path)
        if exchange.method not in route.methods:
            raise errors.MethodNotAllowed(f'{exchange.method} is not allowed')
        if route.repeatable or exchange.method in ('GET', 'HEAD'):
            return self._service_calls.serve(exchange, document, route)
        return self._at_most_once.serve(exchange, document, route)

    def _health(self, exchange, path):
        if path == READY_PATH:
            self._document()
            if not self._services.gate.is_ready:
                raise errors.Stopping('this VM is shutting down')
        return exchange.answer(
            200,
            {'Content-Type': 'text/plain'},
            b'ok\n',
            errors.Outcome.COMPLETE,
        )

    def _document(self):
        services = self._services
        document = services.store.fleet.document(services.environment)
        if document is None:
            raise errors.ConfigurationMissing(
                f'this VM holds no document of {services.environment}'
            )
        return document

    def _admit(self, exchange, document, route):
        if route.access == 'open':
            return credentials.ANONYMOUS
        return self._services.gatekeeper.admit(
            document,
            exchange.received.get('Authorization'),
            exchange.received.get('X-Api-Key'),
        )
