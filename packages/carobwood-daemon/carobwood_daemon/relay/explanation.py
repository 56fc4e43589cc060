"""What a VM would do with a request now, and why.

The records of an answer to the operators, and the decision that follows from
what the VM knows. Nothing here reads or changes the VM's state.

Load pattern: load is at its worst, and operators ask why a request waits, is
refused or goes to a certain endpoint. The question must not add to it.
"""

import dataclasses
import enum
import math

from . import messages
from . import obstacles
from . import quota


class Decision(enum.StrEnum):
    """What would happen to a request.

    Attributes:
        SEND: it would be sent to the chosen endpoint.
        WAIT: it would wait for an endpoint.
        FORWARD: another VM would be asked, as this one reaches no endpoint.
        REFUSE: it would be refused as not run.
    """

    SEND = 'send'
    WAIT = 'wait'
    FORWARD = 'forward'
    REFUSE = 'refuse'


@dataclasses.dataclass(frozen=True)
class Query:
    """A request that is to be explained.

    Attributes:
        host: its host, without a port.
        path: its path, without a query.
        key_digest: SHA-256 of its key in hexadecimal, or empty.
        customer: name of the customer that it comes from, in place of a key,
            or empty.
        model: requested model, or empty.
        prompt_segments: segments of its prompt, the last one not shared.
        prompt_tokens: length of the prompt in tokens, or None if unknown.
        output_tokens: most tokens that may be generated.
    """

    host: str
    path: str
    key_digest: str = ''
    customer: str = ''
    model: str = ''
    prompt_segments: tuple[messages.PromptSegment, ...] = ()
    prompt_tokens: int | None = None
    output_tokens: int = 0


@dataclasses.dataclass(frozen=True)
class EndpointView:
    """What the VM knows of an endpoint, and whether it would be chosen.

    Attributes:
        endpoint_id: id of the endpoint.
        data_centre: its data centre.
        software_version: its software version, or empty.
        weights_version: version of its weights, or 0.
        obstacle: why it would not get the request, or empty.
        needs_permit: whether a request to it needs a permit, which is not
            asked for here.
        seconds_until_open: seconds until it takes requests of this VM.
        cost_seconds: estimated cost of sending the request there, or None
            if it is no candidate.
        cached_tokens: tokens of the prompt that it has cached.
        running: requests in flight there, from all VMs.
        slots: requests that it runs at once, or 0 if unknown.
        kv_cache_used_tokens: tokens in its KV cache.
        prefill_tokens: prompt tokens that it still has to prefill.
        news_age: seconds since it was last heard of.
    """

    endpoint_id: str
    data_centre: str
    software_version: str
    weights_version: int
    obstacle: str
    needs_permit: bool
    seconds_until_open: float
    cost_seconds: float | None
    cached_tokens: int
    running: int
    slots: int
    kv_cache_used_tokens: int
    prefill_tokens: int
    news_age: float


@dataclasses.dataclass(frozen=True)
class OverloadView:
    """State of the admission under overload for a request.

    Attributes:
        level: level of admission to the wait, 1 if fully open.
        limit_fraction: part of the engines' slots that is used.
        forecast_seconds: expected wait behind those that go before it.
        can_be_on_time: whether any engine can still answer it on time.
        is_worth_waiting: whether it is expected to get a place in time.
    """

    level: float
    limit_fraction: float
    forecast_seconds: float
    can_be_on_time: bool
    is_worth_waiting: bool


@dataclasses.dataclass(frozen=True)
class RolloutView:
    """The newest rollout of a service.

    Attributes:
        target_version: software version that the traffic moves to.
        phase: its phase.
        reason: why it has ended, or empty.
    """

    target_version: str
    phase: str
    reason: str


@dataclasses.dataclass(frozen=True)
class QuotaView:
    """What the customer's limit says to the request.

    Attributes:
        verdict: value of the ``Verdict``.
        units: units that it would take.
        level: units in the token bucket.
        recent: units admitted in the window.
        bound: units that the window may hold.
        retry_after: seconds after which a refused one would be admitted.
    """

    verdict: str
    units: int
    level: float
    recent: float
    bound: float
    retry_after: float


@dataclasses.dataclass(frozen=True)
class ServiceView:
    """What would happen to a request at one service of its route.

    Attributes:
        service: name of the service.
        share: part of the route's traffic that goes to it.
        decision: the ``Decision``.
        reason: code of the refusal or a word on the decision, or empty.
        endpoint_id: id of the chosen endpoint, or empty.
        waiting_ahead: waiting requests that would go before it.
        loads_age: age in seconds of the oldest report on loads in use.
        overload: the ``OverloadView``, or None without such an admission.
        rollout: the ``RolloutView``, or None.
        endpoints: an ``EndpointView`` for each endpoint of the service, the
            cheapest first.
    """

    service: str
    share: float
    decision: Decision
    reason: str
    endpoint_id: str
    waiting_ahead: int
    loads_age: float
    overload: OverloadView | None
    rollout: RolloutView | None
    endpoints: tuple[EndpointView, ...]


@dataclasses.dataclass(frozen=True)
class Explanation:
    """What a VM would do with a request now.

    Attributes:
        vm_id: id of the VM.
        data_centre: its data centre.
        configuration: version of the configuration in force there.
        route: name of the route.
        customer: name of the customer, or empty.
        priority: rank of the request, 0 first.
        quota: the ``QuotaView``, or None without a customer.
        services: a ``ServiceView`` for each service of the route.
    """

    vm_id: str
    data_centre: str
    configuration: int
    route: str
    customer: str
    priority: int
    quota: QuotaView | None
    services: tuple[ServiceView, ...]


@dataclasses.dataclass(frozen=True)
class Situation:
    """What the decision on a request rests on.

    Attributes:
        is_over_quota: whether the customer's limit refuses it.
        has_endpoint: whether any endpoint may take it, now or later.
        has_choice: whether an endpoint would be assigned now.
        waiting_ahead: waiting requests that would go before it.
        is_cut_off: whether the VM reaches no endpoint.
        opens_in_time: whether an endpoint takes requests before the longest
            wait ends.
        overload: the ``OverloadView``, or None.
    """

    is_over_quota: bool
    has_endpoint: bool
    has_choice: bool
    waiting_ahead: int
    is_cut_off: bool
    opens_in_time: bool
    overload: OverloadView | None


def decide(situation):
    """Return the ``Decision`` on a request and its reason.

    The order is that of the admission and of the assignment queue.

    Args:
        situation: the ``Situation``.
    """
    if situation.is_over_quota:
        return Decision.REFUSE, 'rate_exceeded'
    if situation.has_choice and not situation.waiting_ahead:
        return Decision.SEND, ''
    if not situation.has_endpoint:
        return Decision.REFUSE, 'no_endpoint'
    if situation.is_cut_off:
        return Decision.FORWARD, 'no_endpoint_reachable'
    if not situation.opens_in_time:
        return Decision.REFUSE, 'saturated'
    overload = situation.overload
    if overload is not None:
        if not overload.can_be_on_time or not overload.is_worth_waiting:
            return Decision.REFUSE, 'saturated'
    return Decision.WAIT, ''


def view_quota(decision, units):
    """Return the ``QuotaView`` of a ``QuotaDecision``."""
    return QuotaView(
        decision.verdict.value,
        units,
        round(decision.level, 1),
        round(decision.recent, 1),
        round(decision.bound, 1),
        round(decision.retry_after, 3),
    )


def is_over_quota(view):
    """Return whether a ``QuotaView``, or None, refuses a request."""
    return view is not None and view.verdict == quota.Verdict.REFUSED.value


def find_obstacle(endpoint_id, survey, demand, ids_with_room):
    """Return the ``Obstacle`` of an endpoint of a survey, or None.

    Args:
        endpoint_id: id of the endpoint.
        survey: the ``Survey`` of the request.
        demand: the ``Demand`` of the request.
        ids_with_room: ids of the endpoints on which the admission has room
            for it, or None if that is not limited.
    """
    obstacle = survey.obstacles_by_id[endpoint_id]
    if obstacle is not None:
        return obstacle
    candidate = survey.candidates_by_id.get(endpoint_id)
    if candidate is None:
        return obstacles.Obstacle.CHANGING_WEIGHTS
    if not candidate.fits(demand):
        return obstacles.Obstacle.FULL
    if ids_with_room is not None and endpoint_id not in ids_with_room:
        return obstacles.Obstacle.NO_ROOM_IN_TIME
    return None


def rank_of(view):
    """Return by what endpoints are ordered, the cheapest open one first."""
    cost = math.inf if view.cost_seconds is None else view.cost_seconds
    return bool(view.obstacle), cost, view.endpoint_id
