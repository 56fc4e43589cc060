"""Encodes requests to endpoints without writing them."""

import dataclasses

from urllib3 import connection as urllib3_connection


@dataclasses.dataclass(frozen=True)
class OutgoingRequest:
    """A request as it is sent to an endpoint.

    Attributes:
        method: HTTP method.
        target: path and query as the caller sent them.
        headers: (name, value) pairs.
        body: the body, or None if the caller sent none.
    """

    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes | None


class _Collector:
    """Takes what ``http.client`` writes to its socket."""

    def __init__(self):
        self.blocks = []

    def sendall(self, data):
        """Keep the bytes; see ``socket.sendall``."""
        self.blocks.append(data)


def encode(request, address):
    """Return the bytes of a request as blocks; the body is not copied.

    Args:
        request: the ``OutgoingRequest``.
        address: the ``Address`` of the endpoint.

    Raises:
        ValueError, http.client.HTTPException: it can't be encoded.
    """
    collector = _Collector()
    connection = urllib3_connection.HTTPConnection(address.host, address.port)
    connection.sock = collector
    connection.putrequest(
        request.method,
        request.target,
        skip_host=True,
        skip_accept_encoding=True,
    )
    for name, value in request.headers:
        connection.putheader(name, value)
    if request.body is not None:
        connection.putheader('Content-Length', str(len(request.body)))
    connection.endheaders(request.body)
    return collector.blocks
