"""The state of a window by which a connection is ended, or kept."""

import socket

import pytest
import relay_test_fleet

from carobwood_daemon.relay import user_timeout

# Offsets of fields of ``struct tcp_info``.
PROBES = 3
UNACKNOWLEDGED = 24
UNSENT = 144
SIZE = 256
GONE = user_timeout.MAX_UNANSWERED_PROBES


class _Socket:
    """A socket whose state a test makes up.

    Attributes:
        info: the ``struct tcp_info``, or None if the connection has failed.
        timeout: the value of ``TCP_USER_TIMEOUT``, or None before it is set.
    """

    def __init__(self, info):
        self.info = info
        self.timeout = None

    def getsockopt(self, level, option, size):
        """See ``socket.socket``."""
        assert (level, option) == (socket.IPPROTO_TCP, socket.TCP_INFO)
        if self.info is None:
            raise OSError('failed')
        return self.info[:size]

    def setsockopt(self, level, option, value):
        """See ``socket.socket``."""
        assert (level, option) == (
            socket.IPPROTO_TCP,
            socket.TCP_USER_TIMEOUT,
        )
        self.timeout = value


def _info(probes, unacknowledged, unsent):
    info = bytearray(SIZE)
    info[PROBES] = probes
    info[UNACKNOWLEDGED] = unacknowledged
    info[UNSENT] = unsent
    return bytes(info)


@pytest.mark.parametrize(
    'info, timeout',
    [
        (_info(0, 0, 9), 0),
        (_info(GONE - 1, 0, 9), 0),
        (_info(GONE, 0, 9), user_timeout.IN_USE_MS),
        (_info(0, 1, 9), user_timeout.IN_USE_MS),
        (_info(0, 0, 0), user_timeout.IN_USE_MS),
        (_info(0, 0, 9)[:UNSENT], user_timeout.IN_USE_MS),
        (None, user_timeout.IN_USE_MS),
    ],
    ids=[
        'closed window',
        'an answer left out',
        'host gone in a closed window',
        'host gone in an open window',
        'nothing to send',
        'old system',
        'failed connection',
    ],
)
def test_only_a_closed_window_of_a_host_that_is_there_lifts_the_timeout(
    info, timeout
):
    sock = _Socket(info)
    user_timeout.follow_window(sock)
    assert sock.timeout == timeout


def test_the_state_is_read_as_the_system_names_it():
    with socket.create_server(('127.0.0.1', 0)) as listener:
        with socket.create_connection(listener.getsockname()) as sender:
            receiver, _ = listener.accept()
            sender.setblocking(False)
            with pytest.raises(BlockingIOError):
                while sender.send(bytes(65536)):
                    pass
            relay_test_fleet.await_reply(
                lambda: _follow(sender), lambda timeout: timeout == 0
            )
            receiver.close()


def _follow(sender):
    """Follow the window of a socket, and return its timeout."""
    user_timeout.follow_window(sender)
    return sender.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT)
