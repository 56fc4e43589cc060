"""Pool of idle connections to endpoints, or to other VMs.

Load pattern: several endpoints lose power without closing their connections,
and others start at their addresses. A request that goes to one of these on a
connection that its predecessor had is reset, which costs an attempt and a
retry. So a connection is reused only for the instance that it was made for.
"""

import dataclasses
import threading

import urllib3
from urllib3 import connection as urllib3_connection

from carobwood import addresses
from carobwood import clocks
from carobwood import errors

from ..entry import connect_errors

from . import endpoint_connections

# A connection is made within milliseconds. If it takes longer, the endpoint
# is down or the first packet was lost, and another endpoint responds sooner.
CONNECT_TIMEOUT_SECONDS = 0.15
# Idle time after which a connection is not reused.
MAX_IDLE_SECONDS = 6.0
# Fraction of the endpoint's own idle timeout during which a connection is
# reused, so that the endpoint does not close it while a request is sent.
IDLE_TIMEOUT_SHARE = 0.6
# Idle connections that are kept per endpoint.
MAX_IDLE_PER_ADDRESS = 16
# What making a connection can raise.
_CONNECT_FAILURES = (OSError, urllib3.exceptions.HTTPError)


@dataclasses.dataclass(frozen=True)
class _IdleConnection:
    """A connection that may be reused until it expires.

    Attributes:
        expires_at: monotonic time from which it is not reused.
        connection: the ``EndpointConnection``.
        instance: see ``ConnectionPool.acquire``.
    """

    expires_at: float
    connection: object
    instance: object


class ConnectionPool:
    """Idle connections to endpoints, by address.

    Attributes:
        tells_resets: whether an endpoint that resets a new connection counts
            as one that has too many, and not as one that is gone.
    """

    tells_resets = False

    def __init__(self, clock=clocks.now, on_result=None):
        """Create an empty pool.

        Args:
            clock: function that returns the monotonic time in seconds.
            on_result: called with an address and whether a new connection to
                it was made, or None.
        """
        self._clock = clock
        self._on_result = on_result or (lambda address, is_made: None)
        self._lock = threading.Lock()
        # Lists of ``_IdleConnection``, most recently used last.
        self._idle_by_address = {}
        self._is_closed = False

    def acquire(
        self,
        address,
        may_reuse=True,
        timeout=CONNECT_TIMEOUT_SECONDS,
        instance=None,
    ):
        """Return a connection, an idle one if one is reusable.

        Args:
            address: ``host:port`` of the endpoint.
            may_reuse: whether an idle connection may be reused.
            timeout: seconds in which a new connection must be made.
            instance: what tells the instance that is expected to listen
                there from earlier ones, such as ``Endpoint.instance``.

        Returns:
            The ``EndpointConnection``.

        Raises:
            EndpointUnreachable: no connection could be made.
            DescriptorsUsedUp: this process can make none.
            LocalPortsUsedUp: this VM can make none to the endpoint.
        """
        while may_reuse:
            upstream = self._take_idle(address, instance)
            if upstream is None:
                break
            if upstream.is_reusable():
                upstream.set_idle(False)
                upstream.is_new = False
                return upstream
            upstream.close()
        return self.connect(address, timeout)

    def connect(self, address, timeout):
        """Return a new connection; see ``acquire``."""
        try:
            connection = self._connect_with_room(address, timeout)
        except errors.DescriptorsUsedUp:
            raise
        except errors.EndpointUnreachable as error:
            self._note_not_made(address, error)
            raise
        self._on_result(address, True)
        return connection

    def full_addresses(self):
        """Return the addresses to which this VM may open no connection."""
        return frozenset()

    def seconds_until_open(self, address):
        """Return the seconds for which no new connection may be opened."""
        return 0.0

    def note_reset(self, address):
        """Record that a new connection was reset before an answer."""

    def note_accepted(self, address):
        """Record that an endpoint has answered on a new connection."""

    def _note_not_made(self, address, error):
        self._on_result(address, False)

    def _connect_with_room(self, address, timeout):
        try:
            return _connect(address, timeout)
        except errors.LocalPortsUsedUp:
            # The port of a closed connection stays in use for a while.
            raise
        except errors.DescriptorsUsedUp:
            self._close_all_idle()
            return _connect(address, timeout)

    def release(self, address, upstream, idle_seconds, instance=None):
        """Keep a connection for reuse, or close it if it is not reusable.

        Args:
            address: ``host:port`` of the endpoint.
            upstream: the ``EndpointConnection``, whose response was read to
                its end.
            idle_seconds: the endpoint's own idle timeout, or None if it
                announced none.
            instance: see ``acquire``.
        """
        limit = self._max_idle_seconds(idle_seconds)
        if limit <= 0 or not upstream.is_reusable():
            upstream.close()
            return
        upstream.set_idle(True)
        expires_at = self._clock() + limit
        with self._lock:
            idle = self._idle_by_address.setdefault(address, [])
            idle.append(_IdleConnection(expires_at, upstream, instance))
            kept = 0 if self._is_closed else self._max_kept(address)
            surplus = idle[: max(0, len(idle) - kept)]
            del idle[: len(surplus)]
        for oldest in surplus:
            oldest.connection.close()

    def _max_idle_seconds(self, idle_seconds):
        if idle_seconds is None:
            return MAX_IDLE_SECONDS
        return min(MAX_IDLE_SECONDS, idle_seconds * IDLE_TIMEOUT_SHARE)

    def _max_kept(self, address):
        """Return how many idle connections to an address are kept."""
        return MAX_IDLE_PER_ADDRESS

    def close(self):
        """Close the idle connections, and others once they are released."""
        with self._lock:
            self._is_closed = True
        self._close_all_idle()

    def _close_all_idle(self):
        with self._lock:
            addresses_in_use = list(self._idle_by_address)
        for address in addresses_in_use:
            self.close_idle(address)

    def close_idle(self, address):
        """Close the idle connections to an address."""
        with self._lock:
            idle = self._idle_by_address.pop(address, [])
        for entry in idle:
            entry.connection.close()

    def close_expired(self):
        """Close the connections whose idle time has expired."""
        now = self._clock()
        expired = []
        with self._lock:
            for address, idle in list(self._idle_by_address.items()):
                expired += [e for e in idle if e.expires_at <= now]
                remaining = [e for e in idle if e.expires_at > now]
                self._idle_by_address[address] = remaining
                if not remaining:
                    del self._idle_by_address[address]
        for entry in expired:
            entry.connection.close()

    def _take_idle(self, address, instance):
        now = self._clock()
        with self._lock:
            idle = self._idle_by_address.get(address)
            while idle:
                newest = idle.pop()
                if newest.expires_at > now and newest.instance == instance:
                    return newest.connection
                newest.connection.close()
        return None


def _connect(address, timeout):
    parsed = addresses.parse_address(address)
    connection = urllib3_connection.HTTPConnection(
        parsed.host,
        parsed.port,
        timeout=timeout,
        socket_options=endpoint_connections.SOCKET_OPTIONS,
    )
    try:
        connection.connect()
    except _CONNECT_FAILURES as error:
        connection.close()
        raise connect_errors.make_error(error) from error
    return endpoint_connections.EndpointConnection(parsed, connection.sock)
