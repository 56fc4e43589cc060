"""Bodies of requests: decoding of chunks, and what is left unread.

A request is often answered before its body was read: it has no route, no
key, or the VM is stopping. What is left of the body must not be taken for
the next request, and must not be there when the connection is closed: the
kernel would send a reset, which can destroy the answer.
"""

import fcntl
import io
import re
import socket
import struct
import sys
import termios

from cheroot import makefile

from carobwood import errors

from . import bounded_reader

# Bytes of a body that are read at once.
READ_BYTES = 64 * 1024
# Bounds on reading what is left of a body.
MAX_DRAIN_SECONDS = 1.0
MAX_DRAIN_BYTES = 16 * 1024 * 1024
# Bounds on the line of a chunk's size with its extension, and on a trailer.
MAX_SIZE_LINE_BYTES = 4096
MAX_TRAILER_BYTES = 16 * 1024

_SIZE_LINE = re.compile(rb'^([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n$')


class ConnectionReader(makefile.StreamReader):
    """Buffered reader of a connection, whose next reads may be bounded."""

    def __init__(self, sock, buffer_bytes):
        """Create the reader of a connected socket.

        Args:
            sock: the socket, which the reader does not own.
            buffer_bytes: size of the buffer.
        """
        super().__init__(sock, 'rb', buffer_bytes)
        self._raw = bounded_reader.BoundedReader(sock)
        self._socket = sock
        self._timeout = None

    @property
    def received_bytes(self):
        """Number of bytes that were read from the socket."""
        return self._raw.received_bytes

    def count_buffered_bytes(self):
        """Return the number of bytes that were read ahead."""
        with self._raw.without_reads():
            try:
                return len(self.peek(1))
            except (OSError, ValueError):
                # Nothing is buffered, or the reader is closed.
                return 0

    def bound(self, seconds, size=sys.maxsize):
        """Bound all following reads; see ``BoundedReader.bound``."""
        self._timeout = self._socket.gettimeout()
        self._raw.bound(seconds, size)

    def bound_head(self, seconds):
        """Bound the reads of a head, which may pause for as long.

        What has come in time is read later too, as this VM may have been held
        up meanwhile.

        Args:
            seconds: time within which the head must come.
        """
        self.bound(seconds)
        self._socket.settimeout(seconds)
        self._raw.takes_late = True

    def release(self):
        """End the bound and restore the socket's timeout."""
        self._raw.release()
        self._socket.settimeout(self._timeout)


class ChunkedBody:
    """Decodes a chunked body strictly and reads it to its very end.

    The end includes the trailer, whose fields are dropped. No more of the
    body is kept than what a read asks for.

    Attributes:
        is_complete: whether the end has been read.
    """

    def __init__(self, rfile, max_bytes):
        """Create the decoder.

        Args:
            rfile: the ``ConnectionReader``.
            max_bytes: limit of the decoded body, 0 for none.
        """
        self.is_complete = False
        self._rfile = rfile
        self._max_bytes = max_bytes
        self._announced_bytes = 0
        self._chunk_bytes_left = 0
        self._is_ended = False

    def read(self, size=-1):
        """Return decoded bytes: fewer than asked for only at the end.

        Args:
            size: number of bytes, or -1 for all.

        Raises:
            MalformedRequest, BodyTooLarge: the body is refused.
            OSError: the connection failed, or a bound is exceeded.
        """
        decoded = io.BytesIO()
        while not self._is_ended:
            wanted = READ_BYTES
            if size >= 0:
                wanted = min(wanted, size - decoded.tell())
            if not wanted:
                break
            # Nothing is read after a failure: it would be misunderstood.
            self._is_ended = True
            decoded.write(self._read_part(wanted))
            self._is_ended = self.is_complete
        return decoded.getvalue()

    def _read_part(self, size):
        """Return up to a number of bytes of a chunk; none at the end."""
        if not self._chunk_bytes_left:
            self._begin_chunk()
        if self.is_complete:
            return b''
        wanted = min(size, self._chunk_bytes_left)
        part = self._rfile.read(wanted)
        self._chunk_bytes_left -= len(part)
        if len(part) < wanted:
            raise errors.MalformedRequest('a chunk is shorter than its size')
        if not self._chunk_bytes_left and self._rfile.read(2) != b'\r\n':
            raise errors.MalformedRequest('a chunk is longer than its size')
        return part

    def _begin_chunk(self):
        size = self._read_size()
        if not size:
            self._skip_trailer()
            self.is_complete = True
            return
        self._announced_bytes += size
        if self._max_bytes and self._announced_bytes > self._max_bytes:
            raise errors.BodyTooLarge('the body exceeds the size limit')
        self._chunk_bytes_left = size

    def _read_size(self):
        line = self._rfile.readline(MAX_SIZE_LINE_BYTES)
        match = _SIZE_LINE.match(line)
        if match is None:
            raise errors.MalformedRequest('the size of a chunk is malformed')
        return int(match[1], 16)

    def _skip_trailer(self):
        bytes_left = MAX_TRAILER_BYTES
        while bytes_left > 0:
            line = self._rfile.readline(bytes_left)
            if line == b'\r\n':
                return
            if not line.endswith(b'\r\n'):
                break
            bytes_left -= len(line)
        raise errors.MalformedRequest('the trailer is malformed or too long')


def drain(body, rfile):
    """Read what is left of a body, within the bounds.

    Args:
        body: the ``ChunkedBody`` or cheroot's ``KnownLengthRFile``.
        rfile: the ``ConnectionReader`` that it reads.

    Returns:
        Whether the body was read to its end.
    """
    if is_complete(body):
        return True
    rfile.bound(MAX_DRAIN_SECONDS, MAX_DRAIN_BYTES)
    try:
        while body.read(READ_BYTES):
            pass
    except (OSError, ValueError, errors.CarobwoodError):
        return False
    finally:
        rfile.release()
    return is_complete(body)


def is_complete(body):
    """Tell whether a body has been read to its end."""
    if isinstance(body, ChunkedBody):
        return body.is_complete
    return not body.remaining


def discard_input(sock, rfile):
    """Discard what a peer still sends until it closes, within the bounds.

    Args:
        sock: the socket; it is not written to any more.
        rfile: the ``ConnectionReader`` of the socket.
    """
    try:
        sock.shutdown(socket.SHUT_WR)
        rfile.bound(MAX_DRAIN_SECONDS, MAX_DRAIN_BYTES)
        while rfile.read1(READ_BYTES):
            pass
    except (OSError, ValueError):
        # The connection has failed, or the peer goes on sending.
        return


def count_unread_bytes(sock):
    """Return the number of bytes that the kernel holds for a socket."""
    try:
        count = fcntl.ioctl(sock, termios.FIONREAD, struct.pack('i', 0))
    except (OSError, ValueError):
        return 0
    return struct.unpack('i', count)[0]
