"""Bodies of answers, read in as large parts as have come.

The framing follows RFC 9112: chunked, by length, or until the end of
the connection.
"""

import abc
import http.client

READ_BYTES = 64 * 1024
MAX_SIZE_LINE_BYTES = 1024

_LINE_END = b'\r\n'


class AnswerBody(abc.ABC):
    """The body of an answer.

    Reads raise ``OSError`` or ``http.client.HTTPException`` if the body
    breaks off.
    """

    def __init__(self, reader):
        self._reader = reader

    @property
    def has_rest(self):
        """Whether bytes that follow the body have been taken with it."""
        return False

    @property
    def is_complete(self):
        """Whether the end is known without another read."""
        return False

    @abc.abstractmethod
    def read_available(self):
        """Return the bytes at hand, or empty bytes at the end."""


class UntilEndBody(AnswerBody):
    """A body that ends with the connection."""

    def read_available(self):
        """See ``AnswerBody``."""
        return self._reader.read1(READ_BYTES)


class LengthBody(AnswerBody):
    """A body of a declared length."""

    def __init__(self, reader, length):
        super().__init__(reader)
        self._missing = length

    @property
    def is_complete(self):
        """See ``AnswerBody``."""
        return self._missing == 0

    def read_available(self):
        """See ``AnswerBody``."""
        if self._missing == 0:
            return b''
        data = self._reader.read1(min(READ_BYTES, self._missing))
        if not data:
            raise http.client.IncompleteRead(b'', self._missing)
        self._missing -= len(data)
        return data


class ChunkedBody(AnswerBody):
    """A chunked body; many small chunks are joined to one part."""

    def __init__(self, reader):
        super().__init__(reader)
        self._raw = b''
        self._missing = 0
        self._is_last_seen = False
        self._is_finished = False

    @property
    def has_rest(self):
        """See ``AnswerBody``."""
        return bool(self._raw)

    @property
    def is_complete(self):
        """See ``AnswerBody``."""
        return self._is_finished

    def read_available(self):
        """See ``AnswerBody``."""
        while not self._is_finished:
            data = self._reader.read1(READ_BYTES)
            if not data:
                raise http.client.IncompleteRead(b'')
            self._raw += data
            joined = b''
            if not self._is_last_seen:
                joined = b''.join(self._take_chunks())
            if self._is_last_seen:
                self._take_trailer()
            if joined:
                return joined
        return b''

    def _take_trailer(self):
        if self._raw.startswith(_LINE_END):
            self._raw = self._raw[len(_LINE_END) :]
            self._is_finished = True
            return
        _, separator, rest = self._raw.partition(_LINE_END + _LINE_END)
        if separator:
            self._raw = rest
            self._is_finished = True

    def _take_chunks(self):
        raw = self._raw
        position = 0
        while position < len(raw):
            if self._missing == 0:
                size, position = self._take_size(raw, position)
                if size is None:
                    break
                if size == 0:
                    self._is_last_seen = True
                    break
                # The line end behind the chunk counts as part of it.
                self._missing = size + len(_LINE_END)
            part = raw[position : position + self._missing]
            position += len(part)
            self._missing -= len(part)
            yield self._strip_line_end(part)
        self._raw = raw[position:]

    def _take_size(self, raw, position):
        end = raw.find(_LINE_END, position)
        if end < 0:
            if len(raw) - position > MAX_SIZE_LINE_BYTES:
                raise http.client.LineTooLong('chunk size')
            return None, position
        digits = raw[position:end].partition(b';')[0].strip()
        if not digits or len(digits) > 12 or not digits.isalnum():
            raise http.client.IncompleteRead(b'')
        return int(digits, 16), end + len(_LINE_END)

    def _strip_line_end(self, part):
        # Bytes of the line end that this part holds: all of it, half of
        # it, or none yet.
        excess = len(_LINE_END) - self._missing
        if excess <= 0:
            return part
        if excess >= len(part):
            return b''
        return part[:-excess]


def open_body(response):
    """Return the ``AnswerBody`` of an ``http.client.HTTPResponse``."""
    if response.fp is None:
        return LengthBody(None, 0)
    if response.chunked:
        return ChunkedBody(response.fp)
    if response.length is not None:
        return LengthBody(response.fp, response.length)
    return UntilEndBody(response.fp)
