"""Requests and answers as the relay sees them, free of wire names."""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class PromptPart:
    """A part of a prompt, in the prompt's order.

    Attributes:
        id: name of the content, the same wherever it is shared.
        tokens: its length.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RoutingHints:
    """What a caller tells of its request besides path and body.

    Attributes:
        request_id: the caller's id of this attempt, or empty.
        key: the caller's key, or empty.
        deadline: seconds that the caller will wait, or None.
        model: model that is asked for, or empty.
        parts: parts of the prompt; the last one is the request's own.
        prompt_tokens: length of the prompt, or None if not told.
        output_tokens: bound on what is generated.
        resume_id: last event that the caller has, or empty.
    """

    request_id: str = ''
    key: str = dataclasses.field(default='', repr=False)
    deadline: float | None = None
    model: str = ''
    parts: tuple[PromptPart, ...] = ()
    prompt_tokens: int | None = None
    output_tokens: int = 0
    resume_id: str = ''


@dataclasses.dataclass(frozen=True)
class Dispatch:
    """What the relay adds when it sends a request to an endpoint.

    Attributes:
        endpoint_id: only this endpoint shall run it.
        customer: name of the customer, or empty.
        time_left: seconds that the endpoint may take.
        salt: name of the wall around cached parts, or empty.
        weights_version: only these weights shall run it; 0 for any.
        fetch_from: address to fetch cached parts from, or empty.
        save_to: address of a store to save read parts to, or empty.
        urgency: rank within the endpoint, 0 first, or None.
        resume_id: last event that was passed on, or empty.
    """

    endpoint_id: str
    customer: str
    time_left: float
    salt: str = ''
    weights_version: int = 0
    fetch_from: str = ''
    save_to: str = ''
    urgency: int | None = None
    resume_id: str = ''


@dataclasses.dataclass(frozen=True)
class AnswerHead:
    """What the head of an endpoint's answer tells.

    Attributes:
        status: HTTP status.
        endpoint_id: the endpoint that answers, if it says so, or empty.
        request_id: id of the request that it answers, or empty.
        has_not_run: whether the endpoint states that it did not run it.
        is_stamped: whether an endpoint has signed it.
        weights_version: weights of the endpoint, or 0.
        idle_seconds: how long the connection may idle, or None.
        closes: whether the connection ends with the answer.
        is_event_stream: whether the body is a stream of events.
    """

    status: int
    endpoint_id: str
    request_id: str
    has_not_run: bool
    is_stamped: bool
    weights_version: int
    idle_seconds: float | None
    closes: bool
    is_event_stream: bool


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """What an engine says of itself when asked.

    Attributes:
        weights_by_model: version of the weights, by model.
        is_busy: whether it carries out an order.
        accepted_orders: orders that it accepted since its start.
    """

    weights_by_model: dict[str, int]
    is_busy: bool
    accepted_orders: int


@dataclasses.dataclass(frozen=True)
class CacheChange:
    """A part that came into a cache or left it.

    Attributes:
        is_added: whether it came.
        salt: the wall that it was cached under.
        part_id: its content.
    """

    is_added: bool
    salt: str
    part_id: str


@dataclasses.dataclass(frozen=True)
class CacheNews:
    """Changes of a cache since a position.

    Attributes:
        boot: tells starts of the cache's process apart.
        next_position: where the next changes begin.
        changes: the ``CacheChange`` records, oldest first.
        has_gap: whether some changes before them are lost.
    """

    boot: int
    next_position: int
    changes: tuple[CacheChange, ...]
    has_gap: bool = False


class RunPolicy(enum.Enum):
    """What becomes of an engine's runs when its weights change."""

    FINISH_FIRST = 'finish-first'
    BREAK_OFF = 'break-off'
    GO_ON = 'go-on'


@dataclasses.dataclass(frozen=True)
class WeightsOrder:
    """An order to an engine to change its weights.

    Attributes:
        endpoint_id: the engine that is meant.
        address: its ``host:port``.
        model: the model.
        version: the weights to load.
        holder: name of the only VM that gives orders now.
        fence: number that grows with each holder.
        accepted_orders: orders that the engine must have accepted before.
        run_policy: what becomes of its runs.
    """

    endpoint_id: str
    address: str
    model: str
    version: int
    holder: str
    fence: int
    accepted_orders: int
    run_policy: RunPolicy
