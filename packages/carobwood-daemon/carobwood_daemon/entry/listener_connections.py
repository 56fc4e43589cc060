"""Connections of a listener that no worker serves just then.

A connection takes a worker once bytes of a request have come on it. While
descriptors run short, the connections that have been idle for longest make
room, and answers close their connections.
"""

import contextlib
import errno
import os
import resource
import select
import selectors
import time

from cheroot import connections

from carobwood import clocks
from carobwood import events

from . import last_handshakes
from . import request_body

# Share of the process's descriptors that is left for connections to
# endpoints and other VMs, and for files.
RESERVED_SHARE = 0.25
# Share of the idle connections that are closed to make room at once.
CLOSED_SHARE = 0.125
# Number of TLS handshakes at once; each takes memory.
MAX_HANDSHAKES = 512
# Time for which a connection must have been idle to make room, or to be closed
# by a stop that has time: its caller may be sending the next request on it.
MIN_IDLE_SECONDS = 1.0
# Pause while no descriptor is left and no connection is idle.
PAUSE_SECONDS = 0.05
# Time for which descriptors count as short, and between two log lines on it.
SHORTAGE_SECONDS = 1.0
# Connections that the kernel queues beyond the number that it is asked for.
QUEUE_SURPLUS = 1
# What accepting a connection raises if the process or the system is short.
_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class ListenerConnections(connections.ConnectionManager):
    """Accepts connections and watches those that are idle.

    Attributes:
        last_handshakes: the ``LastHandshakes`` of a stop.
    """

    def __init__(self, server):
        """See ``ConnectionManager``."""
        super().__init__(server)
        self._short_until = float('-inf')
        self._logged_at = float('-inf')
        self._closed_count = 0
        # Connections that shake hands. Workers take the steps; those that
        # have ended are dropped later.
        self._handshakes = set()
        self.last_handshakes = last_handshakes.LastHandshakes(
            server.process_conn
        )

    @property
    def can_add_keepalive_connection(self):
        """Whether a connection may be kept; see ``ConnectionManager``."""
        if clocks.now() < self._short_until:
            return False
        return super().can_add_keepalive_connection

    @property
    def awaits_requests(self):
        """Whether a caller may be sending a request on a kept connection."""
        idle_before = clocks.now() - MIN_IDLE_SECONDS
        return any(
            connection is not self.server
            and connection.answered_requests
            and connection.idle_since > idle_before
            for _, connection in list(self._selector.connections)
        )

    def stop(self):
        """Stop the selector, accept what waits and close the listener.

        The kernel resets connections that were not accepted. cheroot would
        connect to the listener before it closes it.
        """
        self._stop_requested = True
        with self._wake():
            super().stop()
        if self.server.socket is None:
            return
        self._accept_all()
        self.server.socket.close()
        self.server.socket = None

    @contextlib.contextmanager
    def _wake(self):
        """Wake the selector, which would notice a stop later by itself."""
        try:
            descriptor = os.eventfd(1)
        except OSError:
            # No descriptor is left: it notices the stop after its period.
            yield
            return
        self._selector.register(
            descriptor, selectors.EVENT_READ, data=self.server
        )
        try:
            yield
        finally:
            self._selector.unregister(descriptor)
            os.close(descriptor)

    def put(self, conn):
        """Watch an idle connection; see ``ConnectionManager``."""
        if not conn.is_shaking_hands:
            conn.idle_since = clocks.now()
        conn.idle_seconds = self.server.idle_seconds
        try:
            self._watch(conn)
        except Exception as error:
            # Raised on a worker, it would end the listener for good.
            events.emit(events.CONNECTION_FAILED, error=repr(error))
            conn.close()

    def _watch(self, conn):
        if conn.has_decrypted_input:
            # The selector sees only what is in the socket.
            self.server.process_conn(conn)
        elif conn.awaited_event == selectors.EVENT_READ:
            super().put(conn)
        else:
            self._selector.register(
                conn.socket.fileno(), conn.awaited_event, data=conn
            )

    def close(self):
        """Close the connections, once what has come on them is answered.

        The workers answer it side by side, and go on with handshakes.
        """
        for descriptor, connection in list(self._selector.connections):
            if connection is self.server:
                continue
            if self.last_handshakes.add(connection):
                self._selector.unregister(descriptor)
            elif connection.has_input:
                self._selector.unregister(descriptor)
                self.server.process_conn(connection)
        super().close()
        seconds = min(
            self.server.shutdown_timeout, request_body.MAX_DRAIN_SECONDS
        )
        self.last_handshakes.run(clocks.now() + seconds)

    def _run(self, expiration_interval):
        """Serve until the stop; see ``ConnectionManager``.

        cheroot's own loop counts by the time of day: a step back of that
        clock would halt the expiry of connections.
        """
        expires_at = clocks.now() + expiration_interval
        while not self._stop_requested:
            self._serve_ready(expiration_interval)
            if clocks.now() >= expires_at:
                self._expire(threshold=clocks.now())
                expires_at = clocks.now() + expiration_interval

    def _serve_ready(self, seconds):
        """Serve what comes next, if anything does within some seconds."""
        try:
            ready = list(self._selector.select(timeout=seconds))
        except OSError:
            self._remove_invalid_sockets()
            return
        if self._stop_requested:
            # ``stop`` and ``close`` answer what has come.
            return
        for descriptor, connection in ready:
            if connection is self.server:
                connection = self._from_server_socket(self.server.socket)
            else:
                self._selector.unregister(descriptor)
            if connection is not None:
                self.server.process_conn(connection)

    def _expire(self, threshold):
        """Close the connections that have been idle for too long.

        A lowered limit holds for those that are idle from then on.

        Args:
            threshold: the present time, by the monotonic clock.
        """
        self._drop_ended_handshakes()
        for descriptor, connection in list(self._selector.connections):
            if connection is self.server:
                continue
            # What has come is served in the next round.
            limit = max(connection.idle_seconds, self.server.idle_seconds)
            is_idle = threshold - connection.idle_since > limit
            if is_idle and not connection.has_input:
                self._selector.unregister(descriptor)
                connection.close()

    def _accept_all(self):
        ends_at = clocks.now() + self.server.shutdown_timeout
        # No further ones are queued: they could come after the last look.
        self.server.socket.listen(0)
        for _ in range(self.server.request_queue_size + QUEUE_SURPLUS):
            is_late = clocks.now() >= ends_at
            if is_late or not _is_readable(self.server.socket):
                return
            connection = self._accept(self.server.socket)
            if connection is None:
                continue
            if not self.last_handshakes.add(connection):
                self.server.process_conn(connection)

    def _from_server_socket(self, server_socket):
        """Accept a connection; return it if a request has begun to come."""
        if not self._has_room_for_handshake():
            time.sleep(PAUSE_SECONDS)
            return None
        connection = self._accept(server_socket)
        if connection is None or self._has_begun(connection):
            return connection
        self.put(connection)
        return None

    def _has_begun(self, connection):
        return request_body.count_unread_bytes(connection.socket) > 0

    def _accept(self, server_socket):
        try:
            connection = super()._from_server_socket(server_socket)
        except OSError as error:
            if error.errno not in _SHORTAGES:
                raise
            if not self._make_room(error.strerror):
                time.sleep(PAUSE_SECONDS)
            return None
        if connection is None:
            return None
        connection.idle_since = clocks.now()
        if connection.is_shaking_hands:
            self._handshakes.add(connection)
        if _is_reserved(connection.socket):
            self._make_room('reserve')
        return connection

    def _has_room_for_handshake(self):
        """Return whether another handshake may begin.

        Those that wait for longest are closed if there are too many.
        """
        if len(self._handshakes) >= MAX_HANDSHAKES:
            self._drop_ended_handshakes()
        if len(self._handshakes) >= MAX_HANDSHAKES:
            idle = self._find_idle(clocks.now() - MIN_IDLE_SECONDS)
            self._close_first(_select_shaking_hands(idle))
            self._drop_ended_handshakes()
        return len(self._handshakes) < MAX_HANDSHAKES

    def _drop_ended_handshakes(self):
        self._handshakes = {
            connection
            for connection in self._handshakes
            if connection.is_shaking_hands
        }

    def _make_room(self, reason):
        """Close connections that have been idle for longest.

        Returns:
            Whether one was idle.
        """
        now = clocks.now()
        self._short_until = now + SHORTAGE_SECONDS
        # At a stop all of them are closed.
        idle_before = now - MIN_IDLE_SECONDS if self.server.ready else now
        idle = self._find_idle(idle_before)
        # A kept connection may be about to get its next request.
        closed_count = self._close_first(_select_shaking_hands(idle) or idle)
        self._closed_count += closed_count
        self._log(reason, now)
        return closed_count > 0

    def _find_idle(self, idle_before):
        """Return idle connections, those that are idle for longest first."""
        idle = [
            connection
            for descriptor, connection in list(self._selector.connections)
            if connection is not self.server
            and connection.idle_since <= idle_before
            and not connection.has_input
            # A connection that has ended is closed in its turn.
            and not _is_readable(descriptor)
        ]
        return sorted(idle, key=lambda connection: connection.idle_since)

    def _close_first(self, idle):
        """Close the first ones of idle connections; return their number."""
        closed = idle[: int(len(idle) * CLOSED_SHARE) + 1]
        for connection in closed:
            self._selector.unregister(connection.socket.fileno())
            connection.lingers = False
            connection.close()
        return len(closed)

    def _log(self, reason, now):
        if now - self._logged_at < SHORTAGE_SECONDS:
            return
        self._logged_at = now
        events.emit(
            events.DESCRIPTORS_SHORT,
            port=self.server.bind_addr[1],
            limit=_descriptor_limit(),
            reason=reason,
            closed=self._closed_count,
        )
        self._closed_count = 0


def _select_shaking_hands(connections):
    return [each for each in connections if each.is_shaking_hands]


def _descriptor_limit():
    return resource.getrlimit(resource.RLIMIT_NOFILE)[0]


def _is_readable(descriptor):
    """Return whether a socket, or its descriptor, has input or its end."""
    poller = select.poll()
    poller.register(descriptor, select.POLLIN)
    return bool(poller.poll(0))


def _is_reserved(sock):
    """Return whether a socket has one of the last descriptors."""
    # The kernel gives the lowest number that is free.
    limit = _descriptor_limit()
    if limit == resource.RLIM_INFINITY:
        return False
    return sock.fileno() >= limit * (1 - RESERVED_SHARE)
