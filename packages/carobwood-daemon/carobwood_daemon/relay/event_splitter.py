"""Splits the bytes of an event stream into complete events.

The format is that of server-sent events (WHATWG HTML, 9.2): an empty line
ends an event, and a line ``id:`` gives its id.
"""

import re

from carobwood import errors

# Bound of an incomplete event, which is kept in memory.
MAX_EVENT_BYTES = 1024 * 1024

_EVENT_END = b'\n\n'
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)


class EventSplitter:
    """Buffers an incomplete event until the rest of it has arrived.

    As only complete events are forwarded, an interrupted stream can be
    resumed at another endpoint after the last of them.

    Attributes:
        last_id: id of the last complete event that was returned, or empty.
    """

    def __init__(self):
        self.last_id = ''
        self._buffer = b''

    def feed(self, data):
        """Add bytes and return the events that are complete, unchanged.

        Raises:
            EndpointFailed: an event exceeds ``MAX_EVENT_BYTES``.
        """
        buffer = self._buffer + data
        end = buffer.rfind(_EVENT_END)
        if len(buffer) - max(0, end) > MAX_EVENT_BYTES:
            raise errors.EndpointFailed('an event exceeds the size limit')
        if end < 0:
            self._buffer = buffer
            return b''
        end += len(_EVENT_END)
        complete, self._buffer = buffer[:end], buffer[end:]
        ids = _ID_LINE.findall(complete)
        if ids:
            self.last_id = ids[-1].strip().decode('latin-1')
        return complete

    def flush(self):
        """Return the buffered bytes at the end of the stream."""
        remaining, self._buffer = self._buffer, b''
        return remaining

    def discard_partial(self):
        """Drop an incomplete event before another endpoint resumes."""
        self._buffer = b''
