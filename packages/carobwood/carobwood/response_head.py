"""Heads of responses, which count only once they are complete.

``http.client`` takes the end of a connection for the end of the head, and a
length or an encoding that it cannot read for none. A response that broke off
there would look like a whole one with an empty or a short body. It also takes
any number below 1000 for a status, in any form that Python reads as a number.
Its header parser ends a head at a line that it cannot read, and forgets the
fields after that line, those of the framing among them.
"""

import http.client
import re

from . import http_grammar

# Bytes of a malformed line that its error quotes.
MAX_QUOTED_BYTES = 100
_END_OF_HEAD = (b'\r\n', b'\n')
_LENGTH = re.compile(r'[0-9]{1,18}')


class BadFieldLine(http.client.HTTPException):
    """A line should be a field and is none.

    Its bytes are not quoted: callers get the text of the error.
    """


class _HeadLines:
    """Reads lines for ``http.client``, and checks those of each head.

    Attributes:
        has_ended: whether the last line ended a head.
    """

    def __init__(self, reader):
        self._reader = reader
        # Lines of the current head that have been read.
        self._line_count = 0
        self.has_ended = False

    def readline(self, limit=-1):
        """Return the next line; see ``io.IOBase.readline``.

        Raises:
            http.client.BadStatusLine: it should be a status line and is none.
            BadFieldLine: it should be a field and is none.
        """
        line = self._reader.readline(limit)
        self.has_ended = self._line_count > 0 and line in _END_OF_HEAD
        if self._line_count == 0:
            _check_status_line(line)
        elif line.endswith(b'\n') and not self.has_ended:
            line = self._normalize_field_line(line)
        self._line_count = 0 if self.has_ended else self._line_count + 1
        return line

    def _normalize_field_line(self, line):
        """Return the line of a field without the whitespace around its value.

        ``http.client`` compares values with the whitespace behind them.
        """
        field = http_grammar.parse_field_line(line)
        if field is None:
            raise BadFieldLine(f'line {self._line_count + 1} of a head')
        return b'%s: %s\r\n' % field

    def close(self):
        """Close the reader."""
        self._reader.close()


def _check_status_line(line):
    # An empty one is the end of the connection.
    if line and not http_grammar.is_status_line(line):
        raise http.client.BadStatusLine(repr(line[:MAX_QUOTED_BYTES]))


class StrictResponse(http.client.HTTPResponse):
    """A response that is refused if its head is truncated or ambiguous."""

    def begin(self):
        """Read the head, and any interim ones (1xx) before it.

        Raises:
            http.client.IncompleteRead: the connection ended in the head.
            http.client.HTTPException: the head is malformed, or does not
                say where the body ends.
        """
        reader = self.fp
        lines = _HeadLines(reader)
        self.fp = lines
        try:
            self._read_final_head(lines)
        finally:
            if self.fp is lines:
                self.fp = reader
        self._check_framing()

    def _read_final_head(self, lines):
        while True:
            super().begin()
            if not lines.has_ended:
                raise http.client.IncompleteRead(b'')
            if self.status == http.client.SWITCHING_PROTOCOLS:
                raise http.client.HTTPException('no upgrade was asked for')
            if self.status >= http.client.OK:
                return
            # The final head comes next: the interim one is forgotten.
            self.headers = self.msg = None

    def _check_framing(self):
        encodings = self.headers.get_all('Transfer-Encoding', [])
        if encodings and [e.strip().lower() for e in encodings] != ['chunked']:
            raise http.client.HTTPException('unknown Transfer-Encoding')
        lengths = self.headers.get_all('Content-Length', [])
        if encodings and lengths:
            raise http.client.HTTPException('two framings of one body')
        if len(set(lengths)) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
            raise http.client.HTTPException('malformed Content-Length')
