"""TLS handshakes that go on as their listener stops."""

import selectors
import threading

from carobwood import clocks

# Period of looking for connections that a worker has given back.
PERIOD_SECONDS = 0.05


class LastHandshakes:
    """Connections of a stopping listener that shake hands, within a bound.

    Workers take the steps, and answer or refuse each that ends in time.
    """

    def __init__(self, serve):
        """Create it without connections.

        Args:
            serve: has a worker take the next step of a connection.
        """
        self._serve = serve
        self._lock = threading.Lock()
        self._connections = set()
        self._waiting = []
        self._has_ended = False

    def add(self, connection):
        """Let a connection go on with its handshake.

        Returns:
            Whether it may; the caller closes it if not.
        """
        with self._lock:
            if self._has_ended or not connection.is_shaking_hands:
                return False
            self._connections.add(connection)
            self._waiting.append(connection)
            return True

    def run(self, ends_at):
        """Let handshakes end until a monotonic time; close the others."""
        while clocks.now() < ends_at and self._are_left():
            self._serve_ready(ends_at)
        with self._lock:
            self._has_ended = True
            waiting, self._waiting = self._waiting, []
        for connection in waiting:
            connection.close()

    def _are_left(self):
        with self._lock:
            self._connections = {
                connection
                for connection in self._connections
                if connection.is_shaking_hands
            }
            return bool(self._connections)

    def _serve_ready(self, ends_at):
        with self._lock:
            waiting = list(self._waiting)
        seconds = min(PERIOD_SECONDS, max(0.0, ends_at - clocks.now()))
        for connection in _find_ready(waiting, seconds):
            with self._lock:
                self._waiting.remove(connection)
            self._serve(connection)


def _find_ready(connections, seconds):
    """Return the connections whose next step can be taken."""
    with selectors.PollSelector() as selector:
        for connection in connections:
            selector.register(connection.socket, connection.awaited_event)
        ready = {key.fileobj for key, _ in selector.select(seconds)}
    return [each for each in connections if each.socket in ready]
