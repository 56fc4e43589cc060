"""Heads of responses, which count only once they are complete.

``http.client`` takes the end of a connection for the end of the head, and a
length or an encoding that it cannot read for none. A response that broke off
there would look like a whole one with an empty or a short body.
"""

import http.client
import re

_END_OF_HEAD = (b'\r\n', b'\n')
_LENGTH = re.compile(r'[0-9]{1,18}')


class _HeadLines:
    """Reads lines for ``http.client`` and notes how the last one ended."""

    def __init__(self, reader):
        self._reader = reader
        self.has_ended = False

    def readline(self, limit=-1):
        """Return the next line; see ``io.IOBase.readline``."""
        line = self._reader.readline(limit)
        self.has_ended = line in _END_OF_HEAD
        return line

    def close(self):
        """Close the reader."""
        self._reader.close()


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
        if len(set(lengths)) > 1 or not all(map(_LENGTH.fullmatch, lengths)):
            raise http.client.HTTPException('malformed Content-Length')
