"""How long an endpoint's system may acknowledge nothing.

Load pattern: a sound endpoint is stopped for some seconds while bodies that
its system has no room for are sent to it. Its system answers each probe of
its closed window, but Linux ends the connection once the probes have gone on
for ``TCP_USER_TIMEOUT``, answered or not.

So the timeout is lifted while the window is closed and probes are answered. A
host that is gone acknowledges nothing, or leaves some probes unanswered.
"""

import socket
import struct

# A connection ends if sent bytes, keep-alive probes included, are not
# acknowledged in this time. A sound endpoint may be silent for a second or so,
# which must not end a request; an idle connection is replaced at no cost.
IN_USE_MS = 3000
IDLE_MS = 1500
# Period of the looks at the window of a connection that is waited for.
LOOK_SECONDS = 1.0
# Probes without an answer, one after the other, after which a host is gone.
# The system of one that is there may leave out an answer.
MAX_UNANSWERED_PROBES = 3

_NO_TIMEOUT = 0
# Of ``struct tcp_info`` of Linux: unanswered probes, segments that are sent
# and not acknowledged, and bytes that are not sent.
_TCP_INFO = struct.Struct('=3xB20xI116xI')


def set_idle(sock, is_idle):
    """Set the timeout of a connection that begins or ends to be idle."""
    _set(sock, IDLE_MS if is_idle else IN_USE_MS)


def follow_window(sock):
    """Set the timeout of a connection in use by the state of its window."""
    is_held = _is_held_by_window(sock)
    _set(sock, _NO_TIMEOUT if is_held else IN_USE_MS)


def _is_held_by_window(sock):
    """Return whether only the closed window of a host holds bytes back."""
    try:
        info = sock.getsockopt(
            socket.IPPROTO_TCP, socket.TCP_INFO, _TCP_INFO.size
        )
    except OSError:
        return False
    if len(info) < _TCP_INFO.size:
        # An old system.
        return False
    unanswered_probes, unacknowledged, unsent_bytes = _TCP_INFO.unpack(info)
    is_answered = unanswered_probes < MAX_UNANSWERED_PROBES
    return unsent_bytes > 0 and not unacknowledged and is_answered


def _set(sock, milliseconds):
    try:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
        )
    except OSError:
        # The connection has ended, as its next use shows.
        pass
