"""Server side of the links, with one thread for each connection."""

import socket
import threading

from thrift.protocol import TCompactProtocol
from thrift import Thrift

from carobwood import errors
from carobwood import events
from carobwood.gen.links import FleetLink

from . import link_transport

HANDSHAKE_TIMEOUT_SECONDS = 2.0
IDLE_TIMEOUT_SECONDS = 30.0
BACKLOG = 128


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
        self._lock = threading.Lock()
        self._connections = set()
        self._thread = threading.Thread(
            target=self._accept, name='links', daemon=True
        )

    @property
    def port(self):
        """TCP port that the listener is bound to."""
        return self._listener.getsockname()[1]

    def start(self):
        """Start accepting connections."""
        self._thread.start()

    def stop(self):
        """Stop accepting and close all connections."""
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        self._thread.join()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            _shut_down(connection)

    def _accept(self):
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve,
                args=(connection,),
                name='link',
                daemon=True,
            ).start()

    def _serve(self, connection):
        with self._lock:
            self._connections.add(connection)
        try:
            self._serve_calls(connection)
        except errors.LinkRefused as error:
            events.emit(events.LINK_REFUSED, reason=error.detail)
        except (OSError, EOFError, Thrift.TException):
            pass
        except errors.CarobwoodError as error:
            events.emit(events.THREAD_FAILED, thread='link', error=str(error))
        finally:
            with self._lock:
                self._connections.discard(connection)
            connection.close()

    def _serve_calls(self, connection):
        transport = link_transport.accept(
            connection, self._secret, HANDSHAKE_TIMEOUT_SECONDS
        )
        transport.set_timeout(IDLE_TIMEOUT_SECONDS)
        protocol = TCompactProtocol.TCompactProtocolAccelerated(transport)
        while True:
            self._processor.process(protocol, protocol)


def _shut_down(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
