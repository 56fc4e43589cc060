"""Forwards requests to plain services that may be repeated."""

from carobwood import errors
from carobwood import events

from . import endpoint_failover
from . import headers
from . import upstream

MAX_ATTEMPTS = 3
_BODYLESS_STATUSES = (204, 304)


class ServiceCalls:
    """Forwards requests and responses without buffering their bodies."""

    def __init__(self, context):
        self._context = context

    def serve(self, exchange, document, route):
        """Forward a request and return the body of the response.

        An attempt that fails after the request was sent is repeated on
        another endpoint only if the request has no body.

        Args:
            exchange: the ``Exchange``.
            document: the ``Document`` in force.
            route: the ``Route``.

        Raises:
            CarobwoodError: no endpoint served the request.
        """
        with exchange.trace.span('choice'):
            failover = endpoint_failover.make_failover(
                self._context, document, route, MAX_ATTEMPTS
            )
        for endpoint, connection in failover.connections():
            upstream_request = build_upstream_request(
                exchange, route, failover.seconds_left
            )
            try:
                return self._forward(
                    exchange, endpoint, connection, upstream_request
                )
            except (errors.BodyBrokenOff, errors.StopTimeout):
                # The endpoint is not the cause.
                raise
            except errors.EndpointFailed as error:
                failover.record_failure(endpoint, error)
                if exchange.content_length != 0:
                    # The body is not buffered, so it cannot be sent again.
                    raise
            except errors.CarobwoodError as error:
                failover.record_failure(endpoint, error)
                raise
        raise failover.last_error

    def _forward(self, exchange, endpoint, connection, upstream_request):
        with exchange.trace.span('endpoint', endpoint=endpoint.id):
            response = upstream.send(connection, upstream_request)
        self._context.circuit_breakers.record_success(endpoint)
        response_headers = headers.filter_response_headers(response.headers)
        has_body = (
            exchange.method != 'HEAD'
            and response.status not in _BODYLESS_STATUSES
        )
        if not has_body:
            response.close()
            return exchange.respond(
                response.status, response_headers, b'', errors.Outcome.COMPLETE
            )
        if response.content_length is not None:
            response_headers['Content-Length'] = str(response.content_length)
        self._context.loads.add_request(endpoint)
        stream = ServiceStream(
            exchange, response, endpoint, self._context.loads
        )
        return exchange.respond_stream(
            response.status, response_headers, stream, errors.Outcome.COMPLETE
        )


class ServiceStream:
    """The response body of a service, forwarded to the caller.

    If the body is truncated, the connection to the caller is aborted, so
    that the caller does not take it for complete.
    """

    def __init__(self, exchange, response, endpoint, loads):
        self._exchange = exchange
        self._response = response
        self._endpoint = endpoint
        self._loads = loads
        self._remaining = response.content_length
        self._is_closed = False

    def __iter__(self):
        return self

    def __next__(self):
        if self._is_closed:
            raise StopIteration
        try:
            data = self._read_part()
            if not data and self._remaining:
                raise errors.StreamBroken('the response is truncated')
        except errors.StreamBroken as error:
            events.emit(
                events.STREAM_BROKEN,
                request_id=self._exchange.request_id,
                code=error.code,
            )
            self._close(errors.Outcome.PARTIAL)
            raise
        if not data:
            self._close(errors.Outcome.COMPLETE)
            raise StopIteration
        if self._remaining is not None:
            self._remaining -= len(data)
        return data

    def _read_part(self):
        """Return the next bytes of the body, or none at its end."""
        while not self._response.has_ended:
            data = self._response.read_available()
            if data:
                return data
        return b''

    def close(self):
        """Cancel the request because the caller has disconnected.

        Calls after the end of the body have no effect.
        """
        if not self._is_closed:
            self._close(errors.Outcome.PARTIAL)

    def _close(self, outcome):
        self._is_closed = True
        self._response.close()
        self._loads.remove_request(self._endpoint)
        self._exchange.finish(outcome)


def build_upstream_request(exchange, route, seconds, body=None):
    """Return the ``UpstreamRequest`` that forwards a request to a service.

    Args:
        exchange: the ``Exchange``.
        route: the ``Route``.
        seconds: time limit for the headers of the response.
        body: the body if it has been read already, else None.
    """
    upstream_headers = headers.filter_request_headers(exchange.request_headers)
    upstream_headers[headers.REQUEST_ID] = exchange.request_id
    upstream_headers[headers.PRIORITY] = str(route.priority)
    if exchange.caller.customer is not None:
        upstream_headers[headers.CUSTOMER] = exchange.caller.customer_id
    exchange.trace.propagate(upstream_headers)
    if body is None and exchange.content_length != 0:
        body = _iterate_body(exchange)
        if exchange.content_length is not None:
            upstream_headers['Content-Length'] = str(exchange.content_length)
    return upstream.UpstreamRequest(
        exchange.method,
        exchange.target,
        upstream_headers,
        body,
        exchange.request_id,
        False,
        max(0.001, seconds),
        route.stall_seconds,
    )


def _iterate_body(exchange):
    """Yield the parts of a body that is sent as it arrives.

    Raises:
        BodyBrokenOff: it broke off; the endpoint may run the request with
            the part that was sent.
        StopTimeout: the rest of it is not waited for any more.
    """
    try:
        yield from exchange.iterate_body(errors.StopTimeout)
    except (errors.MalformedRequest, errors.BodyTooLarge) as error:
        raise errors.BodyBrokenOff(error.detail) from error
