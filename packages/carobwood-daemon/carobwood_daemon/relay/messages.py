"""Requests, responses and calls of engines, without names of the wire.

A protocol adapter (see ``dialect``) translates them from and to the headers
and bodies of a platform.
"""

import dataclasses
import enum


@dataclasses.dataclass(frozen=True)
class PromptSegment:
    """A segment of a prompt that can be cached on its own.

    Attributes:
        id: identifier of the content, the same in all prompts that share
            the segment.
        tokens: length in tokens.
    """

    id: str
    tokens: int


@dataclasses.dataclass(frozen=True)
class RequestMetadata:
    """What the headers of a caller's request say about the request.

    Attributes:
        request_id: the caller's id of the request, or empty.
        api_key: the caller's API key, or empty.
        deadline: seconds that the caller waits for the response, or None.
        model: requested model, or empty.
        prompt_segments: segments of the prompt, in order; the last one is not
            shared with other requests.
        prompt_tokens: length of the prompt in tokens, or None if unknown.
        output_tokens: most tokens that may be generated.
        resume_id: id of the last event that the caller has received of
            the stream that it resumes, or empty.
        resumed_request_id: id of the request that brought the first event
            of that stream, or empty.
    """

    request_id: str = ''
    api_key: str = dataclasses.field(default='', repr=False)
    deadline: float | None = None
    model: str = ''
    prompt_segments: tuple[PromptSegment, ...] = ()
    prompt_tokens: int | None = None
    output_tokens: int = 0
    resume_id: str = ''
    resumed_request_id: str = ''


@dataclasses.dataclass(frozen=True)
class ForwardingMetadata:
    """What the relay adds to a request that it forwards to an endpoint.

    Attributes:
        endpoint_id: the only endpoint that may run the request.
        customer: name of the customer, or empty.
        time_left: seconds until the response is due.
        cache_salt: cache salt; cached prompt segments are shared only between
            requests with the same one. Empty for a plain service.
        weights_version: the only version of the model's weights that may
            run the request, or 0 for any.
        fetch_from: address of an engine or a KV cache store to fetch
            cached prompt segments from, or empty.
        save_to: address of a KV cache store to save computed prompt segments
            to, or empty.
        engine_priority: scheduling priority within the endpoint, 0 first, or
            None.
        resume_id: id of the last event that the caller has received of
            the stream to be resumed, or empty.
    """

    endpoint_id: str
    customer: str
    time_left: float
    cache_salt: str = ''
    weights_version: int = 0
    fetch_from: str = ''
    save_to: str = ''
    engine_priority: int | None = None
    resume_id: str = ''


@dataclasses.dataclass(frozen=True)
class RetryAfter:
    """How long an endpoint asks not to be sent requests.

    Attributes:
        seconds: the time, not negative, or None if it cannot be read.
    """

    seconds: float | None


@dataclasses.dataclass(frozen=True)
class RateLimit:
    """How many requests an endpoint takes from all VMs together.

    Attributes:
        per_second: requests per second, not negative, or None if the value
            cannot be read.
    """

    per_second: float | None


@dataclasses.dataclass(frozen=True)
class Brittleness:
    """How many requests an endpoint can reject in a second without falling.

    Attributes:
        rejections_per_second: the number, not negative, or None if the value
            cannot be read.
    """

    rejections_per_second: float | None


@dataclasses.dataclass(frozen=True)
class ResponseHead:
    """Status and headers of an endpoint's response.

    Attributes:
        status: HTTP status.
        endpoint_id: id of the endpoint that has responded, or empty.
        request_id: id of the request that the response is for, or empty.
        has_not_run: whether the endpoint states that it did not run the
            request.
        is_signed: whether an endpoint has signed the response.
        weights_version: version of the endpoint's weights, or 0.
        idle_timeout: the endpoint's idle timeout of the connection, or
            None.
        closes_connection: whether the endpoint closes the connection after the
            response.
        is_event_stream: whether the body is a stream of events.
        is_leaving: whether the endpoint says that it is shutting down.
        retry_after: the ``RetryAfter``, or None if it asks for nothing.
        rate_limit: the ``RateLimit``, or None if the endpoint names none.
        brittleness: the ``Brittleness``, or None if the endpoint names none.
    """

    status: int
    endpoint_id: str
    request_id: str
    has_not_run: bool
    is_signed: bool
    weights_version: int
    idle_timeout: float | None
    closes_connection: bool
    is_event_stream: bool
    is_leaving: bool = False
    retry_after: RetryAfter | None = None
    rate_limit: RateLimit | None = None
    brittleness: Brittleness | None = None


@dataclasses.dataclass(frozen=True)
class EngineReport:
    """State of an engine, as it reports it on request.

    Attributes:
        weights_by_model: version of the loaded weights, by model.
        is_busy: whether the engine is executing an order.
        accepted_orders: number of orders accepted since the engine's
            start.
    """

    weights_by_model: dict[str, int]
    is_busy: bool
    accepted_orders: int


@dataclasses.dataclass(frozen=True)
class CacheEvent:
    """A prompt segment that was added to a KV cache or removed from it.

    Attributes:
        is_added: whether the segment was added.
        cache_salt: cache salt that the segment is cached under.
        segment_id: id of the ``PromptSegment``.
    """

    is_added: bool
    cache_salt: str
    segment_id: str


@dataclasses.dataclass(frozen=True)
class CacheEventBatch:
    """Changes of a KV cache from a position on.

    Attributes:
        boot_epoch: number of the process start that the positions belong to.
        next_position: position of the next change.
        events: the ``CacheEvent`` records, oldest first.
        has_gap: whether changes before these are no longer available.
    """

    boot_epoch: int
    next_position: int
    events: tuple[CacheEvent, ...]
    has_gap: bool = False


class RunningRequestPolicy(enum.Enum):
    """What an engine does with running requests when its weights change.

    Attributes:
        DRAIN: it completes them before the change.
        ABORT: it aborts them.
        CONTINUE: it keeps them and continues them.
    """

    DRAIN = 'drain'
    ABORT = 'abort'
    CONTINUE = 'continue'


@dataclasses.dataclass(frozen=True)
class WeightsOrder:
    """An order to an engine to load another version of the weights.

    Attributes:
        endpoint_id: id of the engine; another one rejects the order.
        address: ``host:port`` of the engine.
        model: name of the model.
        version: version of the weights to load.
        holder: id of the VM that currently has the right to give orders.
        fencing_number: fencing number, which grows with each holder.
        accepted_orders: number of orders that the engine must have
            accepted before, or else it rejects this one.
        run_policy: what the engine does with its running requests.
    """

    endpoint_id: str
    address: str
    model: str
    version: int
    holder: str
    fencing_number: int
    accepted_orders: int
    run_policy: RunningRequestPolicy
