"""Connections of a listener that no worker serves just then.

A connection takes a worker once bytes of a request have come on it.
"""

import select

from cheroot import connections

from . import request_body


class ListenerConnections(connections.ConnectionManager):
    """Accepts connections and watches those that are idle."""

    def stop(self):
        """Stop the selector, accept what waits and close the listener.

        The kernel resets connections that were not accepted. cheroot would
        connect to the listener before it closes it.
        """
        super().stop()
        if self.server.socket is None:
            return
        # A TLS handshake would be waited for.
        if self.server.ssl_adapter is None:
            self._accept_all()
        self.server.socket.close()
        self.server.socket = None

    def _accept_all(self):
        poller = select.poll()
        poller.register(self.server.socket, select.POLLIN)
        for _ in range(self.server.request_queue_size):
            if not poller.poll(0):
                return
            connection = super()._from_server_socket(self.server.socket)
            if connection is not None:
                self.server.process_conn(connection)

    def _from_server_socket(self, server_socket):
        """Accept a connection; return it if a request has begun to come."""
        connection = super()._from_server_socket(server_socket)
        if connection is None or self._has_begun(connection):
            return connection
        self.put(connection)
        return None

    def _has_begun(self, connection):
        # What OpenSSL has decrypted is not seen here.
        return (
            self.server.ssl_adapter is not None
            or request_body.count_unread_bytes(connection.socket) > 0
        )
