"""Client side of the links: calls to other VMs over authenticated TCP."""

import threading

from thrift.protocol import TCompactProtocol
from thrift import Thrift

from carobwood import addresses
from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import FleetLink

from . import link_transport

CALL_TIMEOUT_SECONDS = 1.0
CONNECT_TIMEOUT_SECONDS = 1.0
IDLE_LIMIT_SECONDS = 2.0


class Link:
    """Connection pool for calls to one VM.

    A connection serves one call at a time. One that failed, timed out or
    was idle for ``IDLE_LIMIT_SECONDS`` is closed and never reused.
    """

    def __init__(self, address, secret, source='', clock=clocks.now):
        self.address = address
        self._secret = secret
        self._source = source
        self._clock = clock
        self._lock = threading.Lock()
        self._idle = []
        self._is_closed = False

    def call(
        self,
        method,
        message,
        timeout=CALL_TIMEOUT_SECONDS,
        connect_timeout=CONNECT_TIMEOUT_SECONDS,
    ):
        """Call a method of ``FleetLink``.

        Args:
            method: the method's name.
            message: its thrift argument.
            timeout: seconds that each socket operation may wait.
            connect_timeout: the same for those of a new connection.

        Returns:
            The thrift reply.

        Raises:
            LinkFailed: no reply arrived; the call may have taken effect.
        """
        connection = self._acquire(connect_timeout)
        try:
            connection.transport.set_timeout(timeout)
            reply = getattr(connection.client, method)(message)
        except (OSError, EOFError, Thrift.TException) as error:
            connection.transport.close()
            self._close_idle()
            raise errors.LinkFailed(
                f'{self.address} {method}: {error!r}'
            ) from error
        except BaseException:
            connection.transport.close()
            raise
        connection.transport.drop_received()
        self._release(connection)
        return reply

    def close(self):
        """Close all connections, those in use once their call has ended."""
        with self._lock:
            self._is_closed = True
        self._close_idle()

    def _close_idle(self):
        with self._lock:
            idle, self._idle = self._idle, []
        for connection in idle:
            connection.transport.close()

    def _acquire(self, connect_timeout):
        now = self._clock()
        with self._lock:
            while self._idle:
                connection = self._idle.pop()
                if now - connection.used_at < IDLE_LIMIT_SECONDS:
                    return connection
                connection.transport.close()
        return _Connection(
            self.address, self._secret, self._source, connect_timeout
        )

    def _release(self, connection):
        connection.used_at = self._clock()
        with self._lock:
            if not self._is_closed:
                self._idle.append(connection)
                return
        connection.transport.close()


class Links:
    """Links to all VMs, by address."""

    def __init__(self, secret, source=''):
        """Prepare the links.

        Args:
            secret: the fleet's shared secret, as bytes.
            source: local IP address that connections are bound to, or
                empty.
        """
        self._secret = secret
        self._source = source
        self._lock = threading.Lock()
        self._links_by_address = {}
        self._is_closed = False

    def to(self, address):
        """Return the ``Link`` to an address of the form ``host:port``."""
        with self._lock:
            link = self._links_by_address.get(address)
            if link is None:
                parsed = addresses.parse_address(address)
                link = Link(parsed, self._secret, self._source)
                if self._is_closed:
                    link.close()
                self._links_by_address[address] = link
            return link

    def close(self):
        """Close the connections of all links; see ``Link.close``."""
        with self._lock:
            self._is_closed = True
            links = list(self._links_by_address.values())
        for link in links:
            link.close()


class _Connection:
    """One connection and its thrift client.

    Attributes:
        transport: the ``LinkTransport``.
        client: the thrift client of ``FleetLink``.
        used_at: time of the end of its last call, in seconds.
    """

    def __init__(self, address, secret, source, connect_timeout):
        self.transport = link_transport.connect(
            address, secret, connect_timeout, source
        )
        protocol = TCompactProtocol.TCompactProtocolAccelerated(self.transport)
        self.client = FleetLink.Client(protocol)
        self.used_at = 0.0
