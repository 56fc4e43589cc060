"""Gateways: what cheroot calls to respond to each parsed request.

One gateway hands requests of callers to the relay, another those that other
VMs forward, and a third hands requests to one of the VM's own HTTP APIs, such
as the control API or the metrics.
"""

import dataclasses
import functools
import math

from carobwood import errors
from carobwood import events

from . import caller_request
from . import forwarding_headers


class _Gateway:
    """Serves one parsed request; ``_serve`` says how."""

    def __init__(self, parsed):
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Serve the request; cheroot calls this once."""
        with self._caller as caller:
            self._serve(caller)


class RelayGateway(_Gateway):
    """Hands a parsed request to the relay."""

    def __init__(self, relay, parsed):
        """Create the gateway of one request.

        Args:
            relay: the ``Relay``.
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        super().__init__(parsed)
        self._relay = relay

    def _serve(self, caller):
        self._relay.serve(caller)


class ForwardedGateway(_Gateway):
    """Hands a request that another VM has forwarded to the relay."""

    def __init__(self, relay, secret, parsed):
        """Create the gateway of one request.

        Args:
            relay: the ``Relay``.
            secret: the fleet's shared secret, as bytes.
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        super().__init__(parsed)
        self._relay = relay
        self._secret = secret

    def _serve(self, caller):
        try:
            forwarded = forwarding_headers.parse_request(
                caller.headers, caller.method, caller.target, self._secret
            )
        except errors.LinkRefused as error:
            events.emit(events.LINK_REFUSED, reason=error.detail)
            _refuse(caller, error)
            return
        self._relay.serve_forwarded(caller, forwarded)


@dataclasses.dataclass(frozen=True)
class ApiRequest:
    """A request to one of the VM's own HTTP APIs.

    Attributes:
        method: HTTP method.
        path: path without the query.
        headers: values by header name in lower case.
        body: the body.
    """

    method: str
    path: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class ApiResponse:
    """The response of one of the VM's own HTTP APIs.

    Attributes:
        status: HTTP status.
        reason: reason phrase of the status line.
        body: the body.
        content_type: value of the ``Content-Type`` header.
        location: value of the ``Location`` header, or empty for none.
    """

    status: int
    reason: str
    body: bytes = b''
    content_type: str = 'application/json'
    location: str = ''


class ApiGateway(_Gateway):
    """Passes a parsed request to a handler and sends its response."""

    def __init__(self, handle, is_closing, parsed):
        """Create the gateway of one request.

        Args:
            handle: function from an ``ApiRequest`` to a
                ``ApiResponse``.
            is_closing: function without arguments; returns whether the
                connection is to be closed after the response.
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        super().__init__(parsed)
        self._handle = handle
        self._caller.close_if(is_closing)

    def _serve(self, caller):
        try:
            body = caller.read_body() or b''
        except errors.CarobwoodError as error:
            _refuse(caller, error)
            return
        reply = self._handle(
            ApiRequest(caller.method, caller.path, caller.headers, body)
        )
        headers = [('Content-Type', reply.content_type)]
        if reply.location:
            headers.append(('Location', reply.location))
        caller.send_response(reply.status, reply.reason, headers, reply.body)


def _refuse(caller, error):
    """Answer a request whose rest is not read, and close its connection."""
    caller.close_after_response()
    headers = []
    if error.retry_after is not None:
        headers.append(('Retry-After', str(math.ceil(error.retry_after))))
    content = caller_request.encode_error_body(error, '')
    caller.send_response(error.status, error.code, headers, content)


def make_relay_gateway(relay):
    """Return a gateway factory for the ``Relay``."""
    return functools.partial(RelayGateway, relay)


def make_forwarded_gateway(relay, secret):
    """Return a gateway factory for requests that other VMs forward.

    Args:
        relay: the ``Relay``.
        secret: the fleet's shared secret, as bytes.
    """
    return functools.partial(ForwardedGateway, relay, secret)


def make_api_gateway(handle, is_closing=lambda: False):
    """Return a gateway factory for an API.

    Args:
        handle: function from an ``ApiRequest`` to an ``ApiResponse``.
        is_closing: function without arguments; returns whether connections
            are to be closed after their response.
    """
    return functools.partial(ApiGateway, handle, is_closing)
