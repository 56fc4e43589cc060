"""Gateways: what cheroot calls to respond to each parsed request.

One gateway hands requests to the relay, the other to one of the VM's own
HTTP APIs, such as the control API or the metrics.
"""

import dataclasses
import functools

from carobwood import errors

from . import caller_request


class RelayGateway:
    """Hands a parsed request to the relay."""

    def __init__(self, relay, parsed):
        """Create the gateway of one request.

        Args:
            relay: the ``Relay``.
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        self._relay = relay
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Relay the request; cheroot calls this once."""
        self._relay.serve(self._caller)


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


class ApiGateway:
    """Passes a parsed request to a handler and sends its response."""

    def __init__(self, handle, parsed):
        """Create the gateway of one request.

        Args:
            handle: function from an ``ApiRequest`` to a
                ``ApiResponse``.
            parsed: the ``cheroot.server.HTTPRequest``.
        """
        self._handle = handle
        self._caller = caller_request.CallerRequest(parsed)

    def respond(self):
        """Handle the request; cheroot calls this once."""
        caller = self._caller
        try:
            body = caller.read_body() or b''
        except errors.CarobwoodError as error:
            caller.close_after_response()
            content = caller_request.encode_error_body(error, '')
            caller.send_response(error.status, error.code, [], content)
            return
        reply = self._handle(
            ApiRequest(caller.method, caller.path, caller.headers, body)
        )
        headers = [('Content-Type', reply.content_type)]
        if reply.location:
            headers.append(('Location', reply.location))
        caller.send_response(reply.status, reply.reason, headers, reply.body)


def make_relay_gateway(relay):
    """Return a gateway factory for the ``Relay``."""
    return functools.partial(RelayGateway, relay)


def make_api_gateway(handle):
    """Return a gateway factory for an API.

    Args:
        handle: function from an ``ApiRequest`` to an ``ApiResponse``.
    """
    return functools.partial(ApiGateway, handle)
