"""Server side of the links: a selector for idle connections and a pool.

A fleet has many connections to this VM and few calls at a time. An idle
connection takes no thread; a worker serves a call once it begins to arrive.
"""

import concurrent.futures
import os
import queue
import selectors
import socket
import threading

from thrift.protocol import TCompactProtocol
from thrift import Thrift

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import FleetLink

from . import link_transport

HANDSHAKE_TIMEOUT_SECONDS = 2.0
# Time for the rest of a call to arrive, and for its reply to be sent.
CALL_TIMEOUT_SECONDS = 5.0
IDLE_TIMEOUT_SECONDS = 30.0
IDLE_CHECK_SECONDS = 5.0
BACKLOG = 512
# Calls served at once; long polls and proposals wait in their worker.
MAX_WORKERS = 64
# Handshakes and calls that wait for a worker; beyond this, connections are
# closed, and their callers use another VM.
MAX_PENDING = 1024
# Wake-ups of the selector that are handled at once.
MAX_WAKE_UPS = 4096


class LinkServer:
    """Accepts connections from other VMs and serves their calls.

    A connection on which no call arrives within ``IDLE_TIMEOUT_SECONDS``
    is closed.
    """

    def __init__(self, address, secret, handler):
        self._secret = secret
        self._processor = FleetLink.Processor(handler)
        self._listener = socket.create_server(
            (address.host, address.port), backlog=BACKLOG
        )
        self._workers = concurrent.futures.ThreadPoolExecutor(
            MAX_WORKERS, thread_name_prefix='link'
        )
        self._lock = threading.Lock()
        self._connections = set()
        # The connections that a worker is serving.
        self._served = set()
        self._pending = 0
        self._stopped = False
        # Connections whose call has been served, for the selector's thread.
        self._idle = queue.SimpleQueue()
        self._wake_reader, self._wake_writer = os.pipe()
        os.set_blocking(self._wake_reader, False)
        os.set_blocking(self._wake_writer, False)
        self._selector = selectors.DefaultSelector()
        self._selector.register(self._listener, selectors.EVENT_READ)
        self._selector.register(self._wake_reader, selectors.EVENT_READ)
        self._thread = threading.Thread(
            target=self._run, name='links', daemon=True
        )

    @property
    def port(self):
        """TCP port that the listener is bound to."""
        return self._listener.getsockname()[1]

    def start(self):
        """Start accepting connections."""
        self._thread.start()

    def stop(self):
        """Stop accepting and close all connections.

        Those that a worker is serving are closed when it returns.
        """
        with self._lock:
            if self._stopped:
                return
            self._stopped = True
            self._wake()
        if self._thread.is_alive():
            # Otherwise it was never started, and nothing was accepted.
            self._thread.join()
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._close_selector()
        with self._lock:
            served = list(self._served)
            others = self._connections - self._served
        for connection in served:
            connection.shut_down()
        for connection in others:
            self._close(connection)

    def _close_selector(self):
        self._listener.close()
        self._selector.close()
        os.close(self._wake_reader)
        os.close(self._wake_writer)

    def _wake(self):
        """Wake the selector's thread; the lock is held."""
        try:
            os.write(self._wake_writer, b'\0')
        except BlockingIOError:
            # The pipe is full of wake-ups that are not handled yet.
            pass

    def _run(self):
        checked_at = clocks.now()
        while not self._stopped:
            ready = self._selector.select(IDLE_CHECK_SECONDS)
            for key, _ in ready:
                if key.fileobj is self._listener:
                    self._accept()
                elif key.fileobj == self._wake_reader:
                    self._watch_idle()
                else:
                    self._selector.unregister(key.fileobj)
                    self._submit(key.data)
            if clocks.now() - checked_at >= IDLE_CHECK_SECONDS:
                checked_at = clocks.now()
                self._close_idle(checked_at)

    def _accept(self):
        try:
            accepted, _ = self._listener.accept()
        except OSError as error:
            events.emit(events.LINK_REFUSED, reason=repr(error))
            return
        connection = _Connection(accepted)
        with self._lock:
            self._connections.add(connection)
        self._submit(connection)

    def _watch_idle(self):
        """Wait for the next calls on connections that have been served."""
        try:
            os.read(self._wake_reader, MAX_WAKE_UPS)
        except BlockingIOError:
            pass
        while not self._idle.empty():
            connection = self._idle.get()
            connection.idle_since = clocks.now()
            try:
                self._selector.register(
                    connection.socket, selectors.EVENT_READ, connection
                )
            except (ValueError, KeyError, OSError):
                self._close(connection)

    def _close_idle(self, now):
        watched = [
            key.data
            for key in list(self._selector.get_map().values())
            if key.data is not None
        ]
        for connection in watched:
            if now - connection.idle_since > IDLE_TIMEOUT_SECONDS:
                self._selector.unregister(connection.socket)
                self._close(connection)

    def _submit(self, connection):
        with self._lock:
            is_refused = self._pending >= MAX_PENDING
            self._pending += not is_refused
        if is_refused:
            events.emit(events.LINK_REFUSED, reason='too many calls wait')
            self._close(connection)
            return
        try:
            self._workers.submit(self._serve, connection)
        except RuntimeError:
            # The server has been stopped meanwhile.
            self._close(connection)

    def _serve(self, connection):
        """Serve the handshake or the call that has begun to arrive."""
        with self._lock:
            if self._stopped:
                return
            self._served.add(connection)
        try:
            if connection.protocol is None:
                connection.shake_hands(self._secret)
            else:
                self._processor.process(
                    connection.protocol, connection.protocol
                )
                connection.drop_received()
        except errors.LinkRefused as error:
            events.emit(events.LINK_REFUSED, reason=error.detail)
            self._close(connection)
        except (OSError, EOFError, Thrift.TException):
            self._close(connection)
        except Exception as error:
            events.emit(events.THREAD_FAILED, thread='link', error=repr(error))
            self._close(connection)
        else:
            self._await_next_call(connection)
        finally:
            with self._lock:
                self._pending -= 1

    def _await_next_call(self, connection):
        """Pass a connection that was served to the selector's thread."""
        with self._lock:
            if not self._stopped:
                self._served.discard(connection)
                self._idle.put(connection)
                self._wake()
                return
        self._close(connection)

    def _close(self, connection):
        with self._lock:
            self._connections.discard(connection)
            self._served.discard(connection)
        connection.socket.close()
        connection.drop_received()


class _Connection:
    """A connection from another VM.

    Attributes:
        socket: the accepted socket.
        protocol: thrift protocol over it, or None before the handshake.
        idle_since: time at which it began to wait for a call.
    """

    def __init__(self, accepted):
        self.socket = accepted
        self.protocol = None
        self.idle_since = 0.0

    def shake_hands(self, secret):
        """Authenticate the other VM."""
        transport = link_transport.accept(
            self.socket, secret, HANDSHAKE_TIMEOUT_SECONDS
        )
        transport.set_timeout(CALL_TIMEOUT_SECONDS)
        self.protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)

    def drop_received(self):
        """Drop the call that was received last."""
        if self.protocol is not None:
            self.protocol.trans.drop_received()

    def shut_down(self):
        """End a call that a worker is serving."""
        try:
            self.socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
