"""What keeps requests from an endpoint, and a look at all endpoints."""

import dataclasses
import enum

from . import fleet_loads
from . import placement


class Obstacle(enum.StrEnum):
    """Why an endpoint gets no request of this VM now.

    Attributes:
        DRAINED: it takes no new work, or another one has its address.
        LEAVING: it has said that it shuts down.
        OTHER_VERSION: its software version may not run the request, or gets
            none in a rollout now.
        NO_CONNECTION: this VM has all connections to it that it may have.
        BACKED_OFF: it has reset new connections of this VM.
        EJECTED: it gets no requests until a probe reaches it.
        UNAVAILABLE: it has asked for no requests for some time.
        NO_PERMIT: its rate limit leaves no request for this VM now.
        CHANGING_WEIGHTS: it loads weights, or has outdated or unknown ones.
        FULL: it has no place, or no memory for the prompt and the output.
        NO_ROOM_IN_TIME: the admission keeps its places for other requests,
            or it would answer late.
    """

    DRAINED = 'drained'
    LEAVING = 'leaving'
    OTHER_VERSION = 'other-version'
    NO_CONNECTION = 'no-connection'
    BACKED_OFF = 'backed-off'
    EJECTED = 'ejected'
    UNAVAILABLE = 'unavailable'
    NO_PERMIT = 'no-permit'
    CHANGING_WEIGHTS = 'changing-weights'
    FULL = 'full'
    NO_ROOM_IN_TIME = 'no-room-in-time'


@dataclasses.dataclass(frozen=True)
class Survey:
    """What a VM knows of the endpoints that may take a request.

    Attributes:
        loads_by_id: ``Load`` by endpoint id.
        obstacles_by_id: the ``Obstacle`` or None, by the id of each endpoint
            that may take the request now or later.
        candidates_by_id: the ``Candidate`` records by endpoint id, full ones
            included.
        choice: the ``Choice`` among them, or None.
    """

    loads_by_id: dict[str, fleet_loads.Load]
    obstacles_by_id: dict[str, Obstacle | None]
    candidates_by_id: dict[str, placement.Candidate]
    choice: placement.Choice | None
