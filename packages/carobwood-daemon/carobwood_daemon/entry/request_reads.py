"""Ends the reading of requests that have not arrived when a VM stops.

A caller that sends slowly, or not at all, would hold the stop up beyond its
time, in which the requests in flight are still answered.
"""

import contextlib
import socket
import threading


class RequestReads:
    """The connections of a listener from which requests are being read.

    Attributes:
        is_ended: whether what has not arrived is not waited for any more.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._connections = set()
        self.is_ended = False

    @contextlib.contextmanager
    def track(self, connection):
        """Let the reads of a context be ended.

        Args:
            connection: the ``cheroot.server.HTTPConnection``.
        """
        with self._lock:
            self._connections.add(connection)
            if self.is_ended:
                _end_input(connection)
        try:
            yield
        finally:
            with self._lock:
                self._connections.discard(connection)

    def end(self):
        """End all reads, those that begin later included.

        What has arrived can still be read.
        """
        with self._lock:
            self.is_ended = True
            for connection in self._connections:
                _end_input(connection)


def _end_input(connection):
    try:
        # That of an ``ssl.SSLSocket`` would end TLS, and the answer would be
        # sent in plain text.
        socket.socket.shutdown(connection.socket, socket.SHUT_RD)
    except OSError:
        # The connection has ended already.
        pass
