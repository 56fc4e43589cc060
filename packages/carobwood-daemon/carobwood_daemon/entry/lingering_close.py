"""Closes connections on which a last answer has just been sent.

A connection that is closed while a request is on its way ends with a reset,
which may destroy the answer before its caller has read it (RFC 9112, section
9.6).
"""

import select
import socket
import threading

from carobwood import clocks
from carobwood import events
from carobwood import threads

from . import request_body

# Time for which the close by the other side is awaited.
LINGER_SECONDS = request_body.MAX_DRAIN_SECONDS
# Period of looking for further connections.
PERIOD_SECONDS = 0.05


class LingeringCloses:
    """Half-closed connections of a listener, and what still comes on them."""

    def __init__(self):
        self._lock = threading.Lock()
        # Monotonic time at which each connection is closed in any case.
        self._ends_at_by_connection = {}
        self._is_running = False

    def add(self, connection):
        """End what is sent on a connection, and close it later.

        Args:
            connection: the ``StoppingConnection``; its socket does not block.
        """
        if connection.socket.fileno() < 0:
            # It was closed before.
            return
        _end_output(connection.socket)
        ends_at = clocks.now() + LINGER_SECONDS
        with self._lock:
            self._ends_at_by_connection[connection] = ends_at
            is_running, self._is_running = self._is_running, True
        if not is_running:
            self._start()

    def _start(self):
        thread = threads.BoundedThread(
            target=self._run, name='lingering-close', daemon=True
        )
        try:
            thread.start()
        except (RuntimeError, MemoryError) as error:
            events.emit(
                events.THREAD_REFUSED, thread=thread.name, error=repr(error)
            )
            self._end_all()

    def _run(self):
        while self._keeps_running():
            self._close_ended()

    def _keeps_running(self):
        with self._lock:
            self._is_running = bool(self._ends_at_by_connection)
            return self._is_running

    def _close_ended(self):
        with self._lock:
            ends_at_by_connection = dict(self._ends_at_by_connection)
        readable = _find_readable(ends_at_by_connection)
        now = clocks.now()
        for connection, ends_at in ends_at_by_connection.items():
            has_ended = connection in readable and not _discard(
                connection.socket
            )
            if has_ended or now >= ends_at:
                self._close(connection)

    def _end_all(self):
        with self._lock:
            self._is_running = False
            connections = list(self._ends_at_by_connection)
        for connection in connections:
            self._close(connection)

    def _close(self, connection):
        with self._lock:
            self._ends_at_by_connection.pop(connection, None)
        connection.close_at_once()


def _find_readable(connections):
    """Return those of some connections on which something has come.

    It is waited for, up to ``PERIOD_SECONDS``.
    """
    poller = select.poll()
    by_descriptor = {}
    for connection in connections:
        by_descriptor[connection.socket.fileno()] = connection
        poller.register(connection.socket, select.POLLIN)
    ready = poller.poll(PERIOD_SECONDS * 1000)
    return {by_descriptor[descriptor] for descriptor, _ in ready}


def _end_output(sock):
    try:
        # That of an ``ssl.SSLSocket`` would forget its TLS.
        socket.socket.shutdown(sock, socket.SHUT_WR)
    except OSError:
        # The connection has ended already.
        pass


def _discard(sock):
    """Discard what has come; return whether more may come."""
    try:
        return bool(socket.socket.recv(sock, request_body.READ_BYTES))
    except BlockingIOError:
        return True
    except OSError:
        return False
