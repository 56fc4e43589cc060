"""Log lines of connections on which a request may have got no answer.

A request that got no answer has no line of its own if its head was not read.
What is known then is the connection: which side closed it, at which byte, and
what this VM was doing. A request that crosses the close of a kept connection
leaves no byte here.
"""

import dataclasses
import socket
import threading

from carobwood import clocks
from carobwood import events

from . import request_body

# Lines per second at most; those beyond are counted in the next line.
MAX_LINES_PER_SECOND = 50
# Connections beyond that are named together, so many in a line.
PEERS_PER_LINE = 100
# Number of the state in Linux's ``tcp_info``.
_TCP_ESTABLISHED = 1


@dataclasses.dataclass(frozen=True)
class ConnectionEnd:
    """How a connection of a caller or of another VM ended.

    Attributes:
        peer: address and port of the other side.
        closed_by: ``peer`` if the other side had closed it, else ``vm``.
        cause: ``aborted`` (a response was broken off), ``input-discarded``
            (a request was answered or refused before its end), ``stop`` (the
            listener stops), or ``ended`` for anything else.
        answered: number of requests that were read and got a whole response.
        last_request_id: id of the request that was read last, or empty.
        received: number of bytes that were read.
        unanswered: number of them behind the last request with a response.
        unread: number of bytes that the kernel holds and nobody has read.
        sent: number of bytes of responses that were written.
        is_kept: whether another request could have followed.
    """

    peer: str
    closed_by: str
    cause: str
    answered: int
    last_request_id: str
    received: int
    unanswered: int
    unread: int
    sent: int
    is_kept: bool = False

    @property
    def is_unanswered(self):
        """Whether bytes of the other side got no answer."""
        return bool(self.unanswered or self.unread)

    @property
    def may_cross_request(self):
        """Whether the other side may have sent a request meanwhile."""
        return self.is_kept and self.closed_by == 'vm'


class ConnectionLog:
    """Logs the connections on which a request may have got no answer.

    The number of lines is bounded, whatever callers send. Connections that
    this VM closes are all named, those beyond the bound together.
    """

    def __init__(self, describe_vm=dict, clock=clocks.now):
        """Create the log of one listener.

        Args:
            describe_vm: function without arguments that returns the fields
                that tell what this VM is doing.
            clock: function that returns the monotonic time in seconds.
        """
        self._describe_vm = describe_vm
        self._clock = clock
        self._lock = threading.Lock()
        self._window_ends_at = 0.0
        self._lines_left = 0
        self._suppressed = 0
        self._closed_at_stop = 0
        self._unanswered_at_stop = 0
        self._left_out_peers = []
        self._has_stopped = False

    def note(self, end):
        """Log a ``ConnectionEnd`` if a request may have got no answer."""
        with self._lock:
            if end.cause == 'stop':
                self._closed_at_stop += 1
                self._unanswered_at_stop += end.is_unanswered
            if not end.is_unanswered and not end.may_cross_request:
                return
            has_line = self._take_line()
            if not has_line and end.may_cross_request:
                self._left_out_peers.append(end.peer)
            peers = self._take_peers(has_line or self._has_stopped)
            suppressed = self._suppressed
            if has_line:
                self._suppressed = 0
        self._name(peers)
        if has_line:
            self._emit(end, suppressed)

    def _emit(self, end, suppressed):
        event = events.CONNECTION_CLOSED
        if end.is_unanswered:
            event = events.CONNECTION_UNANSWERED
        events.emit(
            event,
            suppressed=suppressed,
            **dataclasses.asdict(end),
            **self._describe_vm(),
        )

    def note_stopped(self, port):
        """Log that the listener has stopped.

        Args:
            port: the port that it was bound to.
        """
        with self._lock:
            self._has_stopped = True
            peers = self._take_peers(True)
        self._name(peers)
        events.emit(
            events.LISTENER_STOPPED,
            port=port,
            closed=self._closed_at_stop,
            unanswered=self._unanswered_at_stop,
            **self._describe_vm(),
        )

    def _take_peers(self, takes_all):
        """Return the peers that are to be named now; call it with the lock."""
        if not takes_all and len(self._left_out_peers) < PEERS_PER_LINE:
            return []
        peers, self._left_out_peers = self._left_out_peers, []
        return peers

    def _name(self, peers):
        if peers:
            events.emit(
                events.CONNECTIONS_CLOSED, peers=peers, **self._describe_vm()
            )

    def _take_line(self):
        now = self._clock()
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._lines_left = MAX_LINES_PER_SECOND
        if not self._lines_left:
            self._suppressed += 1
            return False
        self._lines_left -= 1
        return True


def describe_end(connection, is_stopping):
    """Return the ``ConnectionEnd`` of a connection that is still open.

    Args:
        connection: the ``StoppingConnection``.
        is_stopping: whether its listener stops.
    """
    return ConnectionEnd(
        peer=peer_of(connection),
        closed_by=_find_closing_side(connection.socket),
        cause=_cause_of(connection, is_stopping),
        answered=connection.answered_requests,
        last_request_id=connection.last_request_id,
        received=connection.rfile.received_bytes,
        unanswered=connection.unanswered_bytes,
        unread=request_body.count_unread_bytes(connection.socket),
        sent=connection.wfile.bytes_written,
        is_kept=connection.is_kept,
    )


def peer_of(connection):
    """Return address and port of a connection's other side as text."""
    return f'{connection.remote_addr}:{connection.remote_port}'


def _find_closing_side(sock):
    """Return ``vm`` unless the other side has closed the connection.

    The state tells it even if this side does not read any more.
    """
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
    except OSError:
        return 'peer'
    return 'vm' if info and info[0] == _TCP_ESTABLISHED else 'peer'


def _cause_of(connection, is_stopping):
    if connection.is_aborted:
        return 'aborted'
    if connection.discards_input:
        return 'input-discarded'
    if is_stopping:
        return 'stop'
    return 'ended'
