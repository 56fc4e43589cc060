"""An attempt whose endpoint is silent, and what was begun elsewhere."""

import dataclasses
import enum

from . import endpoint_connections
from . import request_sender


class StayReason(enum.Enum):
    """Why a request stays at a silent endpoint.

    Attributes:
        UNREPEATABLE: it must not run twice, or the rest of its answer cannot
            come from another run.
        ATTEMPTS_USED: no further attempt is allowed.
        DEADLINE: too little time is left.
        STOPPED: the time of the VM's stop has ended.
        NOT_ADMITTED: it would not be admitted any more.
        NO_RETRY: the retry budget is used up.
        NO_PLACE: no other endpoint has room for it.
        OTHERS_SILENT: other endpoints are silent as well.
        UNREADY: another one has answered that it is not ready.
        UNREACHABLE: another one could not be connected to.
        LEAVING: another one began to leave.
        REFUSED: another one did not run it.
        FAILED: it failed at another one.
        RESUMED: the silent one went on before another one had answered.
    """

    UNREPEATABLE = 'unrepeatable'
    ATTEMPTS_USED = 'attempts'
    DEADLINE = 'deadline'
    STOPPED = 'stop'
    NOT_ADMITTED = 'configuration'
    NO_RETRY = 'budget'
    NO_PLACE = 'place'
    OTHERS_SILENT = 'silent'
    UNREADY = 'unready'
    UNREACHABLE = 'unreachable'
    LEAVING = 'leaving'
    REFUSED = 'refused'
    FAILED = 'failed'
    RESUMED = 'resumed'


@dataclasses.dataclass(frozen=True, eq=False)
class SilentAttempt:
    """The attempt whose endpoint is silent.

    Attributes:
        request: the ``AdmittedRequest``.
        sender: the ``RequestSender`` of the request.
        assignment: the ``Assignment`` of the attempt.
        excluded_ids: ids of endpoints that must not get the request.
        connection: the ``EndpointConnection``.
        has_partial_event: whether bytes of an incomplete event have come.
        last_event_id: id of the last event that the caller has, or empty.
        has_started: whether the caller has got a part of the stream.
        heard_at: monotonic time at which the silence began.
    """

    request: object
    sender: request_sender.RequestSender
    assignment: object
    excluded_ids: frozenset[str]
    connection: endpoint_connections.EndpointConnection
    has_partial_event: bool
    last_event_id: str
    has_started: bool
    heard_at: float

    @property
    def has_resumed(self):
        """Whether the endpoint reads or sends again."""
        if self.has_partial_event:
            # A stalled endpoint that sends a byte now and then.
            return False
        return self.connection.has_room or self.connection.has_bytes()


@dataclasses.dataclass(frozen=True, eq=False)
class StartedAttempt:
    """An attempt at another endpoint that has begun.

    Attributes:
        sent: the ``SentRequest``.
        response: its ``EndpointResponse``, or None if none has come yet.
    """

    sent: request_sender.SentRequest
    response: request_sender.EndpointResponse | None
