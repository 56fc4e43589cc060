"""Reads response bodies in pieces as large as the bytes that are available.

The framing follows RFC 9112: chunked, by ``Content-Length``, or until
the connection closes.
"""

import abc
import enum
import http.client

READ_BYTES = 64 * 1024
MAX_CHUNK_SIZE_LINE_BYTES = 1024

_CRLF = b'\r\n'


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
    """

    framing = None

    def __init__(self, reader):
        self._reader = reader

    @property
    def has_surplus_bytes(self):
        """Whether bytes beyond the body have been read, once it has ended."""
        return False

    @property
    def is_complete(self):
        """Whether the end of the body has been reached for certain."""
        return False

    @abc.abstractmethod
    def read_available(self):
        """Return the bytes available, or empty bytes at the end.

        Blocks until at least one byte of the body has arrived.
        """


class UntilEndBody(ResponseBody):
    """A body that ends when the connection closes."""

    framing = Framing.UNTIL_CLOSE

    def read_available(self):
        """See ``ResponseBody``."""
        return self._reader.read1(READ_BYTES)


class LengthBody(ResponseBody):
    """A body whose length is declared by ``Content-Length``."""

    framing = Framing.LENGTH

    def __init__(self, reader, length):
        super().__init__(reader)
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
    stream of small chunks takes few reads.
    """

    framing = Framing.CHUNKED

    def __init__(self, reader):
        super().__init__(reader)
        self._buffer = b''
        self._remaining = 0
        self._has_seen_last_chunk = False
        self._has_ended = False

    @property
    def has_surplus_bytes(self):
        """See ``ResponseBody``."""
        return bool(self._buffer)

    @property
    def is_complete(self):
        """See ``ResponseBody``."""
        return self._has_ended

    def read_available(self):
        """See ``ResponseBody``."""
        while not self._has_ended:
            data = self._reader.read1(READ_BYTES)
            if not data:
                raise http.client.IncompleteRead(b'')
            self._buffer += data
            joined = b''
            if not self._has_seen_last_chunk:
                joined = b''.join(self._consume_chunks())
            if self._has_seen_last_chunk:
                self._consume_trailer()
            if joined:
                return joined
        return b''

    def _consume_trailer(self):
        if self._buffer.startswith(_CRLF):
            self._buffer = self._buffer[len(_CRLF) :]
            self._has_ended = True
            return
        _, separator, rest = self._buffer.partition(_CRLF + _CRLF)
        if separator:
            self._buffer = rest
            self._has_ended = True

    def _consume_chunks(self):
        buffer = self._buffer
        position = 0
        while position < len(buffer):
            if self._remaining == 0:
                size, position = self._parse_size_line(buffer, position)
                if size is None:
                    break
                if size == 0:
                    self._has_seen_last_chunk = True
                    break
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
        digits = buffer[position:end].partition(b';')[0].strip()
        if not digits or len(digits) > 12 or not digits.isalnum():
            raise http.client.IncompleteRead(b'')
        return int(digits, 16), end + len(_CRLF)

    def _strip_trailing_crlf(self, piece):
        # Number of bytes of the CRLF received so far. It is 0 or less while
        # chunk data is missing.
        crlf_bytes = len(_CRLF) - self._remaining
        if crlf_bytes <= 0:
            return piece
        if crlf_bytes >= len(piece):
            return b''
        return piece[:-crlf_bytes]


def open_body(response):
    """Return the ``ResponseBody`` for an ``http.client.HTTPResponse``."""
    if response.fp is None:
        return LengthBody(None, 0)
    if response.chunked:
        return ChunkedBody(response.fp)
    if response.length is not None:
        return LengthBody(response.fp, response.length)
    return UntilEndBody(response.fp)
