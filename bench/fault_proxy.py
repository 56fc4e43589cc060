"""A TCP proxy that injects network faults, with a rule per source."""

import contextlib
import dataclasses
import enum
import socket
import struct
import threading
import time

BLOCK_BYTES = 64 * 1024


class Fault(enum.Enum):
    """What happens to the connections from a source.

    Attributes:
        NONE: data is forwarded.
        RESET: open connections are reset, and new ones when accepted.
        BLACKHOLE: connections stay open, but all data is discarded.
        BLACKHOLE_EXISTING: as BLACKHOLE, but only on connections that are open
            when the rule is set.
    """

    NONE = 'none'
    RESET = 'cut'
    BLACKHOLE = 'silent'
    BLACKHOLE_EXISTING = 'silent on existing connections'


@dataclasses.dataclass(frozen=True)
class FaultRule:
    """How connections from a source are treated.

    Attributes:
        fault: the fault.
        delay_seconds: time to wait before each received block is forwarded.
        reset_after_bytes: number of bytes sent to the client after which a
            connection is reset and the rule removed, or None.
    """

    fault: Fault = Fault.NONE
    delay_seconds: float = 0.0
    reset_after_bytes: int | None = None


class FaultProxy:
    """Forwards connections to a target and applies rules to them.

    The rule for a connection depends on the IP address that it comes
    from.

    Attributes:
        address: ``host:port`` to connect to instead of the target.
        target: host and port that connections are forwarded to.
    """

    def __init__(self, target, host='127.0.0.1'):
        target_host, _, target_port = target.rpartition(':')
        self.target = (target_host, int(target_port))
        self._lock = threading.Lock()
        self._rules_by_source = {}
        self._connections = set()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = f'{host}:{self._listener.getsockname()[1]}'
        threading.Thread(target=self._accept, daemon=True).start()

    def set_rule(self, rule, source=''):
        """Set a rule and apply it to the open connections it concerns.

        Args:
            rule: the ``FaultRule``.
            source: IP address, or '' for the default rule of sources
                without a rule of their
                own; it is applied to all open connections.
        """
        with self._lock:
            self._rules_by_source[source] = rule
            connections = list(self._connections)
        for connection in connections:
            if source in ('', connection.source):
                connection.apply(rule)

    def close(self):
        """Close the listener and all connections."""
        # Closing alone leaves the thread that accepts waiting.
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.reset()

    def rule_for(self, source):
        """Return the rule for a source address."""
        with self._lock:
            default = self._rules_by_source.get('', FaultRule())
            return self._rules_by_source.get(source, default)

    def discard_connection(self, connection):
        """Remove a closed connection from the open ones."""
        with self._lock:
            self._connections.discard(connection)

    def _accept(self):
        while True:
            try:
                client_socket, peer = self._listener.accept()
            except OSError:
                return
            source = peer[0]
            if self.rule_for(source).fault is Fault.RESET:
                _reset(client_socket)
                continue
            threading.Thread(
                target=self._connect, args=(client_socket, source), daemon=True
            ).start()

    def _connect(self, client_socket, source):
        try:
            server_socket = socket.create_connection(self.target, 5)
        except OSError:
            _reset(client_socket)
            return
        server_socket.settimeout(None)
        connection = _Connection(self, client_socket, server_socket, source)
        with self._lock:
            self._connections.add(connection)
        connection.start()


class _Connection:
    """One proxied connection with a thread for each direction."""

    def __init__(self, proxy, client_socket, server_socket, source):
        self.source = source
        self._proxy = proxy
        self._client_socket = client_socket
        self._server_socket = server_socket
        self._discards_data = False
        for tcp_socket in (client_socket, server_socket):
            tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self):
        """Start forwarding in both directions."""
        directions = (
            (self._client_socket, self._server_socket),
            (self._server_socket, self._client_socket),
        )
        for direction in directions:
            threading.Thread(
                target=self._forward, args=direction, daemon=True
            ).start()

    def apply(self, rule):
        """Apply a new rule to this open connection."""
        if rule.fault is Fault.RESET:
            self.reset()
        elif rule.fault in (Fault.BLACKHOLE, Fault.BLACKHOLE_EXISTING):
            # Once data has been discarded the byte stream has a gap, so
            # the connection never forwards again.
            self._discards_data = True

    def reset(self):
        """Reset the client's and the server's connection."""
        _reset(self._client_socket)
        _reset(self._server_socket)
        self._proxy.discard_connection(self)

    def _forward(self, from_socket, to_socket):
        forwarded_bytes = 0
        while True:
            try:
                data = from_socket.recv(BLOCK_BYTES)
            except OSError:
                data = b''
            rule = self._proxy.rule_for(self.source)
            if rule.fault is Fault.BLACKHOLE:
                self._discards_data = True
            if self._discards_data:
                if not data:
                    return
                continue
            if not data:
                _shutdown_write(to_socket)
                self._proxy.discard_connection(self)
                return
            if rule.delay_seconds:
                time.sleep(rule.delay_seconds)
            if (
                rule.reset_after_bytes is not None
                and to_socket is self._client_socket
            ):
                data = data[: rule.reset_after_bytes - forwarded_bytes]
            if not self._send(to_socket, data):
                return
            forwarded_bytes += len(data)
            if (
                forwarded_bytes == rule.reset_after_bytes
                and to_socket is self._client_socket
            ):
                self._proxy.set_rule(FaultRule(), self.source)
                self.reset()
                return

    def _send(self, to_socket, data):
        try:
            to_socket.sendall(data)
        except OSError:
            self.reset()
            return False
        return True


def _reset(tcp_socket):
    # A linger time of zero makes close() send RST instead of FIN.
    try:
        linger = struct.pack('ii', 1, 0)
        tcp_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        tcp_socket.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    tcp_socket.close()


def _shutdown_write(tcp_socket):
    try:
        tcp_socket.shutdown(socket.SHUT_WR)
    except OSError:
        pass
