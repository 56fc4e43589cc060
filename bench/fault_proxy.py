"""A TCP proxy that brings faults about, one rule for each direction."""

import dataclasses
import enum
import socket
import struct
import threading
import time

BLOCK_BYTES = 64 * 1024


class Fault(enum.Enum):
    """What happens to the bytes of a path."""

    NONE = 'none'
    CUT = 'cut'
    SILENT = 'silent'
    SILENT_OLD = 'silent on existing connections'


@dataclasses.dataclass(frozen=True)
class Rule:
    """How a path behaves.

    Attributes:
        fault: the fault.
        delay: seconds that each block is held back.
        reset_after: bytes after which one connection is reset, or None.
    """

    fault: Fault = Fault.NONE
    delay: float = 0.0
    reset_after: int | None = None


class FaultProxy:
    """Stands before a target; sources are told apart by their address.

    Attributes:
        address: ``host:port`` to connect to instead of the target.
        target: host and port behind it.
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
        """Set the rule for one source, or for all others."""
        with self._lock:
            self._rules_by_source[source] = rule
            connections = list(self._connections)
        for connection in connections:
            if source in ('', connection.source):
                connection.apply(rule)

    def close(self):
        """Close the listener and all connections."""
        self._listener.close()
        with self._lock:
            connections = list(self._connections)
        for connection in connections:
            connection.reset()

    def rule_of(self, source):
        """Return the rule for a source."""
        with self._lock:
            default = self._rules_by_source.get('', Rule())
            return self._rules_by_source.get(source, default)

    def forget(self, connection):
        """Drop a finished connection."""
        with self._lock:
            self._connections.discard(connection)

    def _accept(self):
        while True:
            try:
                near, peer = self._listener.accept()
            except OSError:
                return
            source = peer[0]
            if self.rule_of(source).fault is Fault.CUT:
                _reset(near)
                continue
            threading.Thread(
                target=self._open, args=(near, source), daemon=True
            ).start()

    def _open(self, near, source):
        try:
            far = socket.create_connection(self.target, 5)
        except OSError:
            _reset(near)
            return
        far.settimeout(None)
        connection = _Connection(self, near, far, source)
        with self._lock:
            self._connections.add(connection)
        connection.start()


class _Connection:
    """One proxied connection with a pump for each direction."""

    def __init__(self, proxy, near, far, source):
        self.source = source
        self._proxy = proxy
        self._near = near
        self._far = far
        self._is_mute = False
        for side in (near, far):
            side.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def start(self):
        """Start both pumps."""
        pairs = ((self._near, self._far), (self._far, self._near))
        for pair in pairs:
            threading.Thread(target=self._pump, args=pair, daemon=True).start()

    def apply(self, rule):
        """React to a new rule."""
        if rule.fault is Fault.CUT:
            self.reset()
        elif rule.fault in (Fault.SILENT, Fault.SILENT_OLD):
            # Bytes already swallowed are gone, so it stays mute for good.
            self._is_mute = True

    def reset(self):
        """Reset both sides."""
        _reset(self._near)
        _reset(self._far)
        self._proxy.forget(self)

    def _pump(self, source, sink):
        passed = 0
        while True:
            try:
                data = source.recv(BLOCK_BYTES)
            except OSError:
                data = b''
            rule = self._proxy.rule_of(self.source)
            if rule.fault is Fault.SILENT:
                self._is_mute = True
            if self._is_mute:
                if not data:
                    return
                continue
            if not data:
                _finish(sink)
                self._proxy.forget(self)
                return
            if rule.delay:
                time.sleep(rule.delay)
            if rule.reset_after is not None and sink is self._near:
                data = data[: rule.reset_after - passed]
            if not self._send(sink, data):
                return
            passed += len(data)
            if passed == rule.reset_after and sink is self._near:
                self._proxy.set_rule(Rule(), self.source)
                self.reset()
                return

    def _send(self, sink, data):
        try:
            sink.sendall(data)
        except OSError:
            self.reset()
            return False
        return True


def _reset(side):
    try:
        linger = struct.pack('ii', 1, 0)
        side.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        side.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    side.close()


def _finish(side):
    try:
        side.shutdown(socket.SHUT_WR)
    except OSError:
        pass
