"""A server that serves each connection on a thread of its own."""

import contextlib
import socket
import threading

BACKLOG = 128


class AcceptingEndpoint:
    """Accepts connections; subclasses serve them.

    Attributes:
        address: ``host:port`` that it listens on.
    """

    def __init__(self, receive_buffer_bytes=None):
        """Start the server.

        Args:
            receive_buffer_bytes: size of the receive buffer of each
                connection, or None for the default.
        """
        self._listener = socket.socket()
        if receive_buffer_bytes is not None:
            self._listener.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self._listener.bind(('127.0.0.1', 0))
        self._listener.listen(BACKLOG)
        self.address = '127.0.0.1:%d' % self._listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self):
        """Accept no further connection."""
        # Closing alone leaves the thread that accepts waiting.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def serve(self, connection):
        """Serve a connection until it ends, and close it."""
        raise NotImplementedError

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()
