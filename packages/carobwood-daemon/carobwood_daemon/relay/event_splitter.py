"""Splits the bytes of an event stream into complete events.

The format is that of server-sent events (WHATWG HTML, 9.2): an empty line
ends an event, a line ``id:`` gives its id, and a line that begins with a
colon is a comment.
"""

import re

from carobwood import errors

from ..limits import buffer_budget

# Bound of an incomplete event, which is kept in memory.
MAX_EVENT_BYTES = 1024 * 1024
# Longer ids are not compared.
MAX_ID_DIGITS = 20

# A line ends with LF or CR LF.
_EVENT_END = re.compile(rb'\r?\n\r?\n')
MAX_EVENT_END_BYTES = 4
# What may follow the last event of a complete stream: comments, of which the
# last one may lack its line end, and empty lines.
_COMMENTS = re.compile(rb'(?:(?::[^\r\n]*)?\r?\n)*(?::[^\r\n]*)?\r?')
_ID_LINE = re.compile(rb'^id:[ ]?([^\r\n]*)', re.MULTILINE)
# The first line of a response. Lines of events begin with the field's name.
_STATUS_LINE = re.compile(rb'^HTTP/1\.[01] [0-9]', re.MULTILINE)


class EventSplitter:
    """Buffers an incomplete event until the rest of it has arrived.

    As only complete events are forwarded, an interrupted stream can be
    resumed at another endpoint after the last of them.

    Attributes:
        last_id: id of the last complete event that was returned, or empty.
    """

    def __init__(self, last_id='', buffers=None):
        """Create the splitter.

        Args:
            last_id: id of the last event that the caller has received before,
                or empty.
            buffers: the ``BufferBudget`` for incomplete events, or None for
                one without a limit.
        """
        self.last_id = last_id
        self._buffer = bytearray()
        buffers = buffers or buffer_budget.unlimited()
        self._reservation = buffers.reserve('event')

    @property
    def has_partial(self):
        """Whether bytes of an incomplete event have come."""
        return bool(self._buffer)

    def feed(self, data):
        """Add bytes and return the events that are complete, unchanged.

        Raises:
            EndpointFailed: an event exceeds ``MAX_EVENT_BYTES`` or what is
                left of the budget, its id is not above that of the event
                before, or the events hold the head of a response.
        """
        if not data:
            return b''
        complete = self._take_complete(data)
        self._reserve_partial()
        if _STATUS_LINE.search(complete):
            raise errors.EndpointFailed('the stream holds a response head')
        self.last_id = self._check_ids(complete)
        return complete

    def _take_complete(self, data):
        """Add bytes, and remove and return the events that are complete."""
        buffer = self._buffer
        # Only the new bytes are searched, and those of a cut line end.
        first_new = max(0, len(buffer) - MAX_EVENT_END_BYTES + 1)
        buffer += data
        end = 0
        for match in _EVENT_END.finditer(buffer, first_new):
            end = match.end()
        complete = bytes(buffer[:end])
        del buffer[:end]
        return complete

    def _reserve_partial(self):
        size = len(self._buffer)
        if size > MAX_EVENT_BYTES:
            raise errors.EndpointFailed('an event exceeds the size limit')
        self._reservation.release()
        if not self._reservation.try_extend(size):
            raise errors.EndpointFailed(
                'no memory is left to keep an incomplete event'
            )

    def _check_ids(self, events):
        """Return the id of the last event; all must increase.

        An endpoint that was asked to resume may have begun anew.
        """
        last_id = self.last_id
        for match in _ID_LINE.findall(events):
            event_id = match.strip().decode('latin-1')
            if _is_number(event_id) and _is_number(last_id):
                if int(event_id) <= int(last_id):
                    raise errors.EndpointFailed(
                        'the ids of the events do not increase'
                    )
            last_id = event_id
        return last_id

    def flush(self):
        """Return the bytes after the last event, at the end of the stream.

        Raises:
            EndpointFailed: the stream ends inside an event, so that it was
                broken off, however the body is framed.
        """
        if not _COMMENTS.fullmatch(self._buffer):
            raise errors.EndpointFailed(
                f'the stream ended inside an event, {len(self._buffer)} '
                'bytes after the last complete one'
            )
        remaining = bytes(self._buffer)
        self.discard_partial()
        return remaining

    def discard_partial(self):
        """Drop an incomplete event before another endpoint resumes."""
        self._buffer.clear()
        self._reservation.release()


def _is_number(event_id):
    return (
        event_id.isascii()
        and event_id.isdigit()
        and len(event_id) <= MAX_ID_DIGITS
    )
