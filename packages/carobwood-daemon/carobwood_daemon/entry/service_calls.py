"""Calls to plain services whose requests may be repeated."""

from carobwood import errors
from carobwood import events

from . import attempts
from . import headers
from . import upstream

MAX_ATTEMPTS = 3
_BODYLESS_STATUSES = (204, 304)


class ServiceCalls:
    """Relays requests and answers without holding bodies in memory."""

    def __init__(self, services):
        self._services = services

    def serve(self, exchange, document, route):
        """Relay a request and return the answer's body."""
        pool = document.pools_by_id[route.pool]
        with exchange.trace.hop('choice'):
            endpoints = self._services.chooser.order_services(
                self._services.environment, pool
            )
        tries = attempts.Attempts(
            endpoints,
            self._services.breakers,
            route.deadline_seconds,
            MAX_ATTEMPTS,
        )
        for endpoint, connection in tries.connections():
            call = service_call(exchange, route, tries.seconds_left)
            try:
                return self._relay(exchange, endpoint, connection, call)
            except errors.EndpointFailed as error:
                tries.note(endpoint, error)
                if exchange.content_length != 0:
                    # The body is used up and cannot be sent again.
                    raise
            except errors.CarobwoodError as error:
                tries.note(endpoint, error)
                raise
        raise tries.last_error

    def _relay(self, exchange, endpoint, connection, call):
        with exchange.trace.hop('endpoint', endpoint=endpoint.id):
            answer = upstream.send(connection, call)
        self._services.breakers.note_success(endpoint)
        passed = headers.answer_headers(answer.headers)
        has_body = (
            exchange.method != 'HEAD'
            and answer.status not in _BODYLESS_STATUSES
        )
        if not has_body:
            answer.close()
            return exchange.answer(
                answer.status, passed, b'', errors.Outcome.COMPLETE
            )
        if answer.content_length is not None:
            passed['Content-Length'] = str(answer.content_length)
        self._services.loads.enter(endpoint)
        stream = ServiceStream(
            exchange, answer, endpoint, self._services.loads
        )
        return exchange.answer_stream(
            answer.status, passed, stream, errors.Outcome.COMPLETE
        )


class ServiceStream:
    """A service's body on its way to the caller.

    A body that is cut short breaks the caller's transfer off too.
    """

    def __init__(self, exchange, answer, endpoint, loads):
        self._exchange = exchange
        self._answer = answer
        self._endpoint = endpoint
        self._loads = loads
        self._missing = answer.content_length
        self._is_closed = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._is_closed:
            raise StopIteration
        try:
            part = self._answer.read_available()
            if not part and self._missing:
                raise errors.StreamBroken('the answer is cut short')
        except errors.StreamBroken as error:
            events.emit(
                events.STREAM_BROKEN,
                request_id=self._exchange.request_id,
                code=error.code,
            )
            self._close(errors.Outcome.PARTIAL)
            raise
        if not part:
            self._close(errors.Outcome.COMPLETE)
            raise StopIteration
        if self._missing is not None:
            self._missing -= len(part)
        return part

    def close(self):
        """Cancel what the caller no longer waits for."""
        if not self._is_closed:
            self._close(errors.Outcome.PARTIAL)

    def _close(self, outcome):
        self._is_closed = True
        self._answer.close()
        self._loads.leave(self._endpoint)
        self._exchange.finish(outcome)


def service_call(exchange, route, seconds, body=None):
    """Return the ``Call`` that relays a request to a service.

    Args:
        exchange: the ``Exchange``.
        route: the ``Route``.
        seconds: bound on the wait for the answer's head.
        body: the whole body if it was read already.
    """
    sent = headers.request_headers(exchange.received)
    sent[headers.REQUEST_ID] = exchange.request_id
    sent[headers.PRIORITY] = str(route.priority)
    if exchange.caller.customer is not None:
        sent[headers.CUSTOMER] = exchange.caller.customer_id
    exchange.trace.propagate(sent)
    if body is None and exchange.content_length != 0:
        body = exchange.iterate_body()
        if exchange.content_length is not None:
            sent['Content-Length'] = str(exchange.content_length)
    return upstream.Call(
        exchange.method,
        exchange.target,
        sent,
        body,
        exchange.request_id,
        False,
        max(0.001, seconds),
        route.stall_seconds,
    )
