"""Reads response bodies in pieces as large as the bytes that are available.

The framing follows RFC 9112: chunked, by ``Content-Length``, or until
the connection closes.
"""

import abc
import enum
import http.client

from . import clocks
from . import http_grammar

READ_BYTES = 64 * 1024
MAX_CHUNK_SIZE_LINE_BYTES = 1024
# Bounds of what may follow the last chunk. Past them, the body has ended:
# its content is whole, and the connection is not used again.
MAX_TRAILER_BYTES = 16 * 1024
MAX_TRAILER_SECONDS = 1.0

_CRLF = b'\r\n'


class BadChunk(http.client.HTTPException):
    """A chunk has another size than it declares, or declares none."""


class BadTrailer(http.client.HTTPException):
    """What follows the last chunk is no trailer."""


class Framing(enum.Enum):
    """How the end of a body is found (RFC 9112, 6.3).

    Attributes:
        LENGTH: after the number of bytes that the head declares.
        CHUNKED: after the last chunk.
        UNTIL_CLOSE: where the connection closes. A body that was
            truncated without a reset looks complete.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    UNTIL_CLOSE = 'until-close'


class ResponseBody(abc.ABC):
    """The body of a response.

    Reads raise ``OSError``, ``ValueError`` or
    ``http.client.HTTPException`` if the body is truncated or malformed.

    Attributes:
        framing: the ``Framing`` of the body.
        declared_length: length of the body in bytes, or None.
    """

    framing = None
    declared_length = None

    def __init__(self, reader):
        self._reader = reader

    @property
    def has_surplus_bytes(self):
        """Whether bytes beyond the body have been read, once it has ended.

        They may also still come, if the end was not waited for.
        """
        return False

    @property
    def is_complete(self):
        """Whether the end of the body has been reached for certain."""
        return False

    @property
    def has_ended(self):
        """Whether there is nothing more to read."""
        return self.is_complete

    @property
    def trailer_seconds_left(self):
        """Seconds to wait for what follows the content.

        None while content is missing.
        """
        return None

    def give_up_trailer(self):
        """Wait no longer for what follows the content."""

    @abc.abstractmethod
    def read_available(self):
        """Read once, and return the bytes of the body that have come.

        Blocks until the read has bytes. They may be none of the body, so
        that empty bytes do not mean its end; see ``has_ended``.
        """


class UntilEndBody(ResponseBody):
    """A body that ends when the connection closes."""

    framing = Framing.UNTIL_CLOSE

    def __init__(self, reader):
        super().__init__(reader)
        self._has_ended = False

    @property
    def has_ended(self):
        """See ``ResponseBody``."""
        return self._has_ended

    def read_available(self):
        """See ``ResponseBody``."""
        data = self._reader.read1(READ_BYTES)
        self._has_ended = not data
        return data


class LengthBody(ResponseBody):
    """A body whose length is declared by ``Content-Length``."""

    framing = Framing.LENGTH

    def __init__(self, reader, length):
        super().__init__(reader)
        self.declared_length = length
        self._remaining = length

    @property
    def is_complete(self):
        """See ``ResponseBody``."""
        return self._remaining == 0

    def read_available(self):
        """See ``ResponseBody``."""
        if self._remaining == 0:
            return b''
        data = self._reader.read1(min(READ_BYTES, self._remaining))
        if not data:
            raise http.client.IncompleteRead(b'', self._remaining)
        self._remaining -= len(data)
        return data


class ChunkedBody(ResponseBody):
    """A chunked body.

    Chunks that arrive together are returned as one piece, so that a
    stream of small chunks takes few reads. The trailer is discarded. A body
    whose connection ends in it is truncated, and one whose trailer has a line
    that is no field is malformed: other bytes may have come in the place of
    the body's end. One whose trailer exceeds its bounds is whole.
    """

    framing = Framing.CHUNKED

    def __init__(self, reader):
        super().__init__(reader)
        # Bytes of an incomplete size line or line of the trailer, or what
        # follows the trailer.
        self._buffer = b''
        self._remaining = 0
        self._trailer_bytes = 0
        # Monotonic time until which the trailer is read, or None.
        self._trailer_ends_at = None
        self._is_complete = False

    @property
    def has_surplus_bytes(self):
        """See ``ResponseBody``; a trailer may still come."""
        return bool(self._buffer) or not self._is_complete

    @property
    def is_complete(self):
        """See ``ResponseBody``."""
        return self._is_complete

    @property
    def has_ended(self):
        """See ``ResponseBody``."""
        return self._is_complete or self._exceeds_trailer_bounds

    @property
    def trailer_seconds_left(self):
        """See ``ResponseBody``."""
        if self._trailer_ends_at is None:
            return None
        return max(0.0, self._trailer_ends_at - clocks.now())

    def give_up_trailer(self):
        """See ``ResponseBody``."""
        self._trailer_ends_at = clocks.now()

    @property
    def _exceeds_trailer_bounds(self):
        return (
            self._trailer_bytes > MAX_TRAILER_BYTES
            or self.trailer_seconds_left == 0.0
        )

    def read_available(self):
        """See ``ResponseBody``."""
        if self.has_ended:
            return b''
        data = self._reader.read1(READ_BYTES)
        if not data:
            raise http.client.IncompleteRead(b'')
        if self._trailer_ends_at is not None:
            self._consume_trailer(data)
            return b''
        self._buffer += data
        return b''.join(self._consume_chunks())

    def _consume_trailer(self, data):
        self._trailer_bytes += len(data)
        buffer = self._buffer + data
        position = 0
        while not self._is_complete:
            end = buffer.find(_CRLF, position)
            if end < 0:
                break
            line = buffer[position : end + len(_CRLF)]
            position += len(line)
            self._is_complete = line == _CRLF
            if not self._is_complete:
                _check_trailer_line(line)
        self._buffer = buffer[position:]

    def _begin_trailer(self, data):
        self._trailer_ends_at = clocks.now() + MAX_TRAILER_SECONDS
        self._buffer = b''
        self._consume_trailer(data)

    def _consume_chunks(self):
        buffer = self._buffer
        position = 0
        while position < len(buffer):
            if self._remaining == 0:
                size, position = self._parse_size_line(buffer, position)
                if size is None:
                    break
                if size == 0:
                    self._begin_trailer(buffer[position:])
                    return
                # The CRLF that follows the chunk data is counted with it.
                self._remaining = size + len(_CRLF)
            piece = buffer[position : position + self._remaining]
            position += len(piece)
            self._remaining -= len(piece)
            yield self._strip_trailing_crlf(piece)
        self._buffer = buffer[position:]

    def _parse_size_line(self, buffer, position):
        end = buffer.find(_CRLF, position)
        if end < 0:
            if len(buffer) - position > MAX_CHUNK_SIZE_LINE_BYTES:
                raise http.client.LineTooLong('chunk size')
            return None, position
        size = http_grammar.parse_chunk_size(buffer[position:end])
        if size is None:
            raise BadChunk('its size is malformed')
        return size, end + len(_CRLF)

    def _strip_trailing_crlf(self, piece):
        # Number of bytes of the CRLF received so far, and of those in the
        # piece. Both are 0 while chunk data is missing.
        received = max(0, len(_CRLF) - self._remaining)
        count = min(received, len(piece))
        if count == 0:
            return piece
        if piece[-count:] != _CRLF[received - count : received]:
            raise BadChunk('no CRLF follows its data')
        return piece[:-count]


def _check_trailer_line(line):
    if http_grammar.parse_field_line(line) is None:
        raise BadTrailer('a line is no field')


def open_body(response):
    """Return the ``ResponseBody`` for an ``http.client.HTTPResponse``."""
    if response.fp is None:
        return LengthBody(None, 0)
    if response.chunked:
        return ChunkedBody(response.fp)
    if response.length is not None:
        return LengthBody(response.fp, response.length)
    return UntilEndBody(response.fp)


def read_parts(body):
    """Yield the parts of a whole body; see ``ResponseBody`` for errors.

    Args:
        body: the ``ResponseBody``.

    Raises:
        BadTrailer: the trailer exceeds its bounds.
    """
    while not body.has_ended:
        yield body.read_available()
    if body.framing is Framing.CHUNKED and not body.is_complete:
        raise BadTrailer('it does not end')
