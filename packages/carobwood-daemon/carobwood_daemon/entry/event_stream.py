"""Checks the server-sent events of engines.

Engines number their events contiguously from 0 and end each stream with a
terminal event, as described in docs/design/engine-protocol.md.
"""

import dataclasses
import json

from carobwood import errors

TERMINAL_DATA = b'data: [DONE]'
MAX_EVENT_BYTES = 1024 * 1024

_EVENT_SEPARATOR = b'\n\n'


class EventStream:
    """Splits the bytes of a stream into events and checks their order.

    Attributes:
        last_id: id of the last event accepted, or -1.
        is_complete: whether the terminal event was accepted.
        usage: the ``Usage`` reported by the engine, or None.
    """

    def __init__(self):
        self.last_id = -1
        self.is_complete = False
        self.usage = None
        self._partial_event = bytearray()

    @property
    def has_partial_event(self):
        """Whether bytes of an incomplete event have come."""
        return bool(self._partial_event)

    def discard_partial_event(self):
        """Discard an incomplete event before resuming on another engine."""
        self._partial_event.clear()

    def feed(self, data):
        """Add received bytes and return the events that they complete.

        Args:
            data: bytes in the order of the stream.

        Returns:
            The bytes of the completed events, unchanged; empty if there are
            none.

        Raises:
            StreamBroken: an event is malformed, too large, out of order or
                follows the terminal event.
        """
        pending = self._partial_event
        # Only the new bytes are searched, and those of a cut separator.
        first_new = max(0, len(pending) - len(_EVENT_SEPARATOR) + 1)
        pending += data
        end = pending.rfind(_EVENT_SEPARATOR, first_new)
        if end < 0:
            if len(pending) > MAX_EVENT_BYTES:
                raise errors.StreamBroken('an event is too large')
            return b''
        complete = bytes(pending[: end + len(_EVENT_SEPARATOR)])
        del pending[: len(complete)]
        events = complete.split(_EVENT_SEPARATOR)
        # The item after the last separator is empty.
        events.pop()
        return self._check_events(events, complete)

    def _check_events(self, events, complete):
        expected = self.last_id
        is_complete = self.is_complete
        for event in events:
            expected += 1
            if is_complete:
                raise errors.StreamBroken(
                    'an event follows the terminal event'
                )
            if not event.startswith(b'id: %d\ndata: ' % expected):
                raise errors.StreamBroken('an event has an unexpected id')
            if event.endswith(TERMINAL_DATA):
                is_complete = True
            elif b'"usage"' in event:
                self._parse_usage_event(event)
        self.last_id = expected
        self.is_complete = is_complete
        return complete

    def _parse_usage_event(self, event):
        _, _, data = event.partition(b'\ndata: ')
        try:
            usage = json.loads(data).get('usage')
        except (ValueError, AttributeError, RecursionError) as error:
            raise errors.StreamBroken(
                'the data of an event is not valid JSON'
            ) from error
        if usage:
            self.usage = parse_usage(usage)


@dataclasses.dataclass(frozen=True)
class Usage:
    """Token counts of a request, as reported by the engine.

    Attributes:
        prompt_tokens: tokens of the prompt.
        completion_tokens: tokens generated.
        cached_tokens: prompt tokens that the engine had cached.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int

    @property
    def total_tokens(self):
        """Tokens charged to the customer."""
        return self.prompt_tokens + self.completion_tokens


def parse_usage(raw):
    """Return the ``Usage`` in a decoded JSON object, or None if invalid."""
    try:
        details = raw.get('prompt_tokens_details') or {}
        return Usage(
            int(raw['prompt_tokens']),
            int(raw['completion_tokens']),
            int(details.get('cached_tokens', 0)),
        )
    except (
        AttributeError,
        KeyError,
        OverflowError,
        TypeError,
        ValueError,
    ):
        return None


def format_error_event(error, event_id, request_id):
    """Return the bytes of the error event that ends an interrupted stream.

    Args:
        error: the ``CarobwoodError`` that interrupted the stream.
        event_id: id of the event.
        request_id: id of the request.
    """
    body = {
        'message': error.detail,
        'type': type(error).__name__,
        'code': error.code,
        'outcome': errors.Outcome.PARTIAL.value,
        'request_id': request_id,
    }
    data = json.dumps({'error': body})
    return f'id: {event_id}\nevent: error\ndata: {data}\n\n'.encode()
