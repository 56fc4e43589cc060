"""Pool of connections to endpoints whose limits this VM shares with others.

Load pattern: see ``connection_shares``, which decides how many connections are
opened and kept. An endpoint may also take a connection and reset it at once.
After such a reset new connections are watched for a moment before anything is
written to them: a request of which nothing was sent goes elsewhere.
"""

import collections

from carobwood import errors

from ..entry import connect_errors

from . import connection_pool
from . import connection_shares
from . import endpoint_connections
from . import open_connections

# Time for which a new connection is watched before it is used, if the
# endpoint has reset one lately. A reset comes within a round trip.
WATCH_SECONDS = 0.005
# Idle time after which a connection is not reused, if the endpoint announces
# that it keeps connections for longer. Few are kept, so each is kept longer.
MAX_ANNOUNCED_IDLE_SECONDS = 30.0


class SharedConnectionPool(connection_pool.ConnectionPool):
    """Connections to endpoints, within this VM's shares of their limits."""

    tells_resets = True

    def __init__(self, shares, metrics, on_result=None, **options):
        """Create an empty pool.

        Args:
            shares: the ``ConnectionShares``.
            metrics: the ``Metrics``.
            on_result: see ``ConnectionPool``.
            **options: further arguments of ``ConnectionPool``.
        """
        super().__init__(on_result=on_result, **options)
        self._shares = shares
        self._metrics = metrics
        self._in_use = open_connections.OpenConnections()
        # Kinds of endpoints whose gauges are set.
        self._kinds = set()

    def acquire(
        self,
        address,
        may_reuse=True,
        timeout=connection_pool.CONNECT_TIMEOUT_SECONDS,
        instance=None,
    ):
        """See ``ConnectionPool``."""
        connection = super().acquire(address, may_reuse, timeout, instance)
        counts = self._in_use.add(address, connection, may_reuse)
        self._shares.note_use(address, counts.reusing)
        return connection

    def connect(self, address, timeout):
        """See ``ConnectionPool``; an idle connection gives way to this one."""
        self._make_room(address)
        connection = super().connect(address, timeout)
        if self._shares.is_wary(address):
            self._check_kept(address, connection)
        return connection

    def release(self, address, upstream, idle_seconds, instance=None):
        """See ``ConnectionPool``."""
        self._in_use.remove(address, upstream)
        super().release(address, upstream, idle_seconds, instance)

    def full_addresses(self):
        """See ``ConnectionPool``."""
        busy = self._in_use.counts_by_address(connection_shares.MIN_IN_USE)
        return frozenset(
            address
            for address, counts in busy.items()
            if counts.in_use >= self._shares.max_in_use(address)
        )

    def seconds_until_open(self, address):
        """See ``ConnectionPool``."""
        return self._shares.seconds_until_open(address)

    def note_reset(self, address):
        """See ``ConnectionPool``; idle connections are given back."""
        self._metrics.count('connections.reset')
        open_count = self._in_use.count(address).in_use
        open_count += self._idle_count(address)
        self._shares.note_reset(address, open_count)
        self.close_idle(address)

    def note_accepted(self, address):
        """See ``ConnectionPool``."""
        self._shares.note_accepted(address)

    def close_expired(self):
        """See ``ConnectionPool``; also follows limits and the fleet's size."""
        self._shares.refresh()
        super().close_expired()
        self._report()

    def _check_kept(self, address, connection):
        """Check that an endpoint doesn't reset a connection at once.

        Raises:
            EndpointUnreachable: it has; nothing was sent.
        """
        result = connection.wait(None, WATCH_SECONDS)
        if result is endpoint_connections.WaitResult.TIMED_OUT:
            return
        connection.close()
        error = errors.EndpointUnreachable(
            'the endpoint reset a connection at once'
        )
        error.is_reset = True
        self.note_reset(address)
        raise error

    def _note_not_made(self, address, error):
        error.is_reset = connect_errors.is_reset(error.__cause__)
        if not error.is_reset:
            super()._note_not_made(address, error)
            return
        # The endpoint is there: it has answered.
        self.note_reset(address)

    def _make_room(self, address):
        """Close idle connections that a new one would exceed the share by."""
        allowed = self._shares.max_in_use(address)
        in_use = self._in_use.count(address).in_use
        with self._lock:
            idle = self._idle_by_address.get(address, [])
            surplus = max(0, in_use + len(idle) + 1 - allowed)
            oldest = idle[: min(surplus, len(idle))]
            del idle[: len(oldest)]
        for entry in oldest:
            entry.connection.close()

    def _max_idle_seconds(self, idle_seconds):
        if idle_seconds is None:
            return connection_pool.MAX_IDLE_SECONDS
        return min(
            MAX_ANNOUNCED_IDLE_SECONDS,
            idle_seconds * connection_pool.IDLE_TIMEOUT_SHARE,
        )

    def _max_kept(self, address):
        in_use = self._in_use.count(address).in_use
        return self._shares.max_idle(address, in_use)

    def _idle_count(self, address):
        with self._lock:
            return len(self._idle_by_address.get(address, ()))

    def _report(self):
        """Set the gauges of open connections by kind of endpoint."""
        counts_by_kind = collections.Counter(dict.fromkeys(self._kinds, 0))
        for address, counts in self._in_use.counts_by_address().items():
            counts_by_kind[self._shares.kind(address)] += counts.in_use
        with self._lock:
            for address, idle in self._idle_by_address.items():
                counts_by_kind[self._shares.kind(address)] += len(idle)
        del counts_by_kind['']
        self._kinds = set(counts_by_kind)
        for kind, count in counts_by_kind.items():
            self._metrics.gauge(f'connections.open.{kind}', count)
