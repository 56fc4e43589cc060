"""Reads from a socket with a bound on time and size.

A peer that sends a byte now and then resets the timeout of each read, and
one that sends without end never lets a read time out.
"""

import contextlib
import io
import select
import socket
import ssl

from carobwood import clocks

# A timeout of 0 would make the socket non-blocking.
_MIN_SECONDS = 0.001
_PEEK = socket.MSG_PEEK | socket.MSG_DONTWAIT


class BoundedReader(io.RawIOBase):
    """Raw reader of a socket whose next bytes may be bounded.

    Without a bound, reads use the socket's own timeout.

    Attributes:
        received_bytes: number of bytes that were read from the socket.
        takes_late: whether bytes that have come are read after the time.
    """

    def __init__(self, sock):
        """Create the reader of a connected socket, which it does not own."""
        super().__init__()
        self._socket = sock
        self._ends_at = None
        self._await_input = None
        self._bytes_left = 0
        self.received_bytes = 0
        self.takes_late = False

    def bound(self, seconds, size, await_input=None):
        """Bound all following reads together.

        Args:
            seconds: time within which they must end.
            size: number of bytes that they may read.
            await_input: called before each read with the seconds that are
                left, or None; it may wait for input, and raise an error.
        """
        self.takes_late = False
        self._await_input = await_input
        self._ends_at = clocks.now() + seconds
        self._bytes_left = size

    def release(self):
        """End the bound."""
        self._ends_at = None
        self._await_input = None
        self.takes_late = False

    @contextlib.contextmanager
    def without_reads(self):
        """Have all reads of a context fail; the bound holds after it."""
        kept = self._ends_at, self._bytes_left, self._await_input
        takes_late = self.takes_late
        self.bound(0, 0)
        try:
            yield
        finally:
            self._ends_at, self._bytes_left, self._await_input = kept
            self.takes_late = takes_late

    def readable(self):
        """Return True; see ``io.RawIOBase``."""
        return True

    def readinto(self, buffer):
        """Read into a buffer; see ``io.RawIOBase``.

        Raises:
            OSError: the connection failed, or the bound is exceeded.
        """
        if self._ends_at is None:
            return self._receive(buffer)
        seconds_left = self._ends_at - clocks.now()
        if seconds_left <= 0 and self.takes_late and self._has_come():
            seconds_left = _MIN_SECONDS
        if seconds_left <= 0:
            raise TimeoutError('the bytes did not end within the time')
        if self._bytes_left <= 0:
            raise OSError('the bytes did not end within the size')
        if self._await_input is not None:
            self._await_input(seconds_left)
            seconds_left = max(_MIN_SECONDS, self._ends_at - clocks.now())
        timeout = self._socket.gettimeout()
        if timeout is None or timeout > seconds_left:
            self._socket.settimeout(seconds_left)
        count = self._receive(memoryview(buffer)[: self._bytes_left])
        self._bytes_left -= count or 0
        return count

    def _has_come(self):
        """Whether a read needs no wait."""
        if isinstance(self._socket, ssl.SSLSocket) and self._socket.pending():
            return True
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        return bool(poller.poll(0))

    def _receive(self, buffer):
        if isinstance(self._socket, ssl.SSLSocket) and self._has_tls_ended():
            return 0
        try:
            count = self._socket.recv_into(buffer)
        except BlockingIOError:
            return None
        self.received_bytes += count
        return count

    def _has_tls_ended(self):
        """Wait for input; return whether there will be none.

        Once OpenSSL has read the end of the input, it refuses to send. The
        end is therefore looked for in the socket before.
        """
        if self._socket.pending():
            return False
        timeout = self._socket.gettimeout()
        poller = select.poll()
        poller.register(self._socket, select.POLLIN)
        if not poller.poll(None if timeout is None else 1000 * timeout):
            raise TimeoutError('timed out')
        try:
            # Reads the bytes of the TCP connection, below TLS.
            return not socket.socket.recv(self._socket, 1, _PEEK)
        except BlockingIOError:
            return False
