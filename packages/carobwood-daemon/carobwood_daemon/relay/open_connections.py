"""The connections of this VM that requests and probes use now."""

import dataclasses
import threading
import weakref


@dataclasses.dataclass(frozen=True)
class UseCounts:
    """Connections to one address that are in use.

    Attributes:
        in_use: all of them.
        reusing: those of requests that may reuse an old connection.
    """

    in_use: int = 0
    reusing: int = 0


class OpenConnections:
    """Connections in use by address.

    One that is closed, or dropped without being closed, counts no longer.
    """

    def __init__(self):
        """Create an empty table."""
        self._lock = threading.Lock()
        # Whether its request may reuse an old one, by connection, by address.
        self._uses_by_address = {}

    def add(self, address, connection, may_reuse):
        """Add a connection that is in use from now on.

        Args:
            address: ``host:port`` of the endpoint.
            connection: the ``EndpointConnection``.
            may_reuse: whether its request may reuse an old connection.

        Returns:
            The ``UseCounts`` of the address.
        """
        with self._lock:
            uses = self._uses_by_address.setdefault(
                address, weakref.WeakKeyDictionary()
            )
            uses[connection] = may_reuse
            return self._count(address)

    def remove(self, address, connection):
        """Remove a connection that is idle from now on."""
        with self._lock:
            self._uses_by_address.get(address, {}).pop(connection, None)
            self._forget_if_unused(address)

    def count(self, address):
        """Return the ``UseCounts`` of an address."""
        with self._lock:
            return self._count(address)

    def counts_by_address(self, least=1):
        """Return the ``UseCounts`` of the addresses with many in use.

        Args:
            least: connections in use from which an address is returned.
        """
        with self._lock:
            counts = {
                address: self._count(address)
                for address, uses in list(self._uses_by_address.items())
                if len(uses) >= least or not uses
            }
        return {
            address: count
            for address, count in counts.items()
            if count.in_use >= least
        }

    def _count(self, address):
        uses = self._uses_by_address.get(address)
        if uses is None:
            return UseCounts()
        for connection in list(uses):
            if connection.is_closed:
                del uses[connection]
        self._forget_if_unused(address)
        return UseCounts(len(uses), sum(uses.values()))

    def _forget_if_unused(self, address):
        if not self._uses_by_address.get(address, True):
            del self._uses_by_address[address]
