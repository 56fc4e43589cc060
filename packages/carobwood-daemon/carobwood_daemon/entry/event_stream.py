"""Server-sent events of engines: numbered, contiguous, terminated.

The engines' protocol is described in docs/design/engine-protocol.md.
"""

import dataclasses
import json

from carobwood import errors

TERMINAL_DATA = b'data: [DONE]'
MAX_EVENT_BYTES = 1024 * 1024

_SEPARATOR = b'\n\n'


class EventStream:
    """Splits an engine's bytes into events and checks their numbers.

    Attributes:
        last_id: number of the last event that passed, or -1.
        is_complete: whether the terminal event has passed.
        usage: the engine's account of tokens, or None.
    """

    def __init__(self):
        self.last_id = -1
        self.is_complete = False
        self.usage = None
        self._pending = b''

    def restart(self):
        """Drop a partial event, to continue with another engine."""
        self._pending = b''

    def feed(self, data):
        """Take bytes and return the whole events among them.

        Args:
            data: bytes as they came.

        Returns:
            The bytes of the new events, unchanged and whole.

        Raises:
            StreamBroken: an event is out of order or malformed.
        """
        pending = self._pending + data
        end = pending.rfind(_SEPARATOR)
        if end < 0:
            if len(pending) > MAX_EVENT_BYTES:
                raise errors.StreamBroken('an event is too large')
            self._pending = pending
            return b''
        whole = pending[: end + len(_SEPARATOR)]
        self._pending = pending[end + len(_SEPARATOR) :]
        events = whole.split(_SEPARATOR)
        # What follows the last separator is empty.
        events.pop()
        return self._pass(events, whole)

    def _pass(self, events, whole):
        expected = self.last_id
        is_complete = self.is_complete
        for event in events:
            expected += 1
            if is_complete:
                raise errors.StreamBroken('an event follows the last one')
            if not event.startswith(b'id: %d\ndata: ' % expected):
                raise errors.StreamBroken('an event is out of order')
            if event.endswith(TERMINAL_DATA):
                is_complete = True
            elif b'"usage"' in event:
                self._note_usage(event)
        self.last_id = expected
        self.is_complete = is_complete
        return whole

    def _note_usage(self, event):
        _, _, data = event.partition(b'\ndata: ')
        try:
            usage = json.loads(data).get('usage')
        except (ValueError, AttributeError) as error:
            raise errors.StreamBroken('an event is no JSON') from error
        if usage:
            self.usage = parse_usage(usage)


@dataclasses.dataclass(frozen=True)
class Usage:
    """An engine's account of a request.

    Attributes:
        prompt_tokens: tokens of the prompt.
        completion_tokens: tokens generated.
        cached_tokens: prompt tokens that were not computed again.
    """

    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int

    @property
    def total_tokens(self):
        """Tokens charged to the customer."""
        return self.prompt_tokens + self.completion_tokens


def parse_usage(raw):
    """Return the ``Usage`` of a decoded JSON object, or None."""
    try:
        details = raw.get('prompt_tokens_details') or {}
        return Usage(
            int(raw['prompt_tokens']),
            int(raw['completion_tokens']),
            int(details.get('cached_tokens', 0)),
        )
    except (AttributeError, KeyError, TypeError, ValueError):
        return None


def error_event(error, event_id, request_id):
    """Return the event that ends a broken stream explicitly."""
    body = {
        'message': error.detail,
        'type': type(error).__name__,
        'code': error.code,
        'outcome': errors.Outcome.PARTIAL.value,
        'request_id': request_id,
    }
    data = json.dumps({'error': body})
    return f'id: {event_id}\nevent: error\ndata: {data}\n\n'.encode()
