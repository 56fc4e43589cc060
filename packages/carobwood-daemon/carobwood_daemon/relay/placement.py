"""Choice of the endpoint for a request, by estimated cost in seconds.

Load pattern: prompts share long prefixes whose prefill costs far more than
the rest of the request. There are few engines, their KV cache memory fills
up before their slots do, and many entry VMs choose at the same moment.

A prefix is prefilled once and copied from there: an engine that lacks it
fetches it from the engine that has it cached, in a fraction of the time of
a prefill. A prefix that no engine has cached goes, among engines with
similar load, to its affinity engine, the first in the prefix's rendezvous
hash order. All VMs compute the same order, so VMs that choose at the same
moment choose the same engine. A second copy of a prefix evicts other
prefixes, so sending a request to an engine without the prefix costs more
than the time of the fetch.

While an engine prefills a long prompt, the streams that it generates stall
for several prefill chunks between two events. Long prompts therefore avoid
engines with many streams, and streams avoid engines that spend much of
their time on prefill.
"""

import dataclasses
import random

from . import fleet_loads

# Time that each running request adds to a decoding step of the others.
STEP_SECONDS_PER_REQUEST = 0.0015
# Speed at which an engine fetches cached tokens from another cache.
FETCH_TOKENS_PER_SECOND = 90_000
# Multiplies the cost of a fetch: the second copy of a prefix evicts other
# prefixes, which have to be prefilled again.
DUPLICATE_COPY_FACTOR = 6.0
# Output length from which a request counts as a stream.
MIN_STREAM_TOKENS = 100
# Prefill length from which concurrent streams stall too long: four prefill
# chunks, as many as there are steps between two events of a stream.
MIN_LONG_PREFILL_TOKENS = 6000
# Penalty of a long prefill for each stream that it would stall.
STREAM_STALL_PENALTY_SECONDS = 0.04
# Penalty of a stream on an engine that prefills all the time; scaled by the
# engine's share of time spent on prefill.
PREFILL_PENALTY_SECONDS = 0.4
# Discount for the affinity engine, as a fraction of the prefill time of the
# tokens that it lacks and no other cache has.
AFFINITY_DISCOUNT = 0.5
# Penalty for every other engine, as a fraction of the prefill time of the
# whole shared prefix. It makes second copies go unused until they are
# evicted.
NON_AFFINITY_PENALTY = 0.6
# Fraction of an engine's memory that may be reserved; the rest covers load
# reports that arrive late.
MAX_MEMORY_FRACTION = 0.85
# Penalty for an engine with older weights than the target version.
OLD_WEIGHTS_PENALTY_SECONDS = 0.15
# Penalty at a failure rate of 1; scaled by the failure rate.
FAILURE_PENALTY_SECONDS = 2.0
# Penalty for an endpoint in another data centre.
REMOTE_PENALTY_SECONDS = 0.002


@dataclasses.dataclass(frozen=True)
class Demand:
    """Tokens that a request makes an endpoint process.

    Attributes:
        shared_tokens: prompt tokens in the prefix shared with other
            requests.
        own_tokens: prompt tokens of this request alone.
        output_tokens: upper bound of the generated tokens.
    """

    shared_tokens: int = 0
    own_tokens: int = 0
    output_tokens: int = 0

    @property
    def is_stream(self):
        """Whether the output is long enough to count as a stream."""
        return self.output_tokens >= MIN_STREAM_TOKENS

    @property
    def total_tokens(self):
        """Tokens of the prompt and the output."""
        return self.shared_tokens + self.own_tokens + self.output_tokens


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that may be assigned to a request, as known now.

    Attributes:
        endpoint: the ``Endpoint``.
        load: load in flight there, from all VMs.
        slots: maximum number of concurrent requests.
        kv_cache_tokens: KV cache capacity in tokens, or 0 for a plain
            service.
        cached_tokens: tokens of the request's shared prefix that are
            recorded as cached there.
        has_affinity: whether it is the prefix's affinity endpoint, the
            first in rendezvous hash order.
        has_old_weights: whether its weights are older than the target
            version.
        failure_rate: decaying share of recent requests that failed there.
        is_remote: whether it is in another data centre than this VM.
        prefill_share: share of its time spent on prefill.
        weights_version: weights version of its cached blocks.
        prefill_speed: prompt tokens that it prefills in a second.
    """

    endpoint: object
    load: fleet_loads.Load
    slots: int
    kv_cache_tokens: int = 0
    cached_tokens: int = 0
    has_affinity: bool = False
    has_old_weights: bool = False
    failure_rate: float = 0.0
    is_remote: bool = False
    prefill_share: float = 0.0
    weights_version: int = 0
    prefill_speed: float = fleet_loads.PREFILL_TOKENS_PER_SECOND

    def fits(self, demand):
        """Return whether it has capacity for a ``Demand`` now."""
        if self.load.running >= self.slots:
            return False
        if not self.kv_cache_tokens:
            return True
        needed = (
            self.load.kv_cache_tokens
            + demand.own_tokens
            + demand.output_tokens
        )
        return needed <= self.kv_cache_tokens * MAX_MEMORY_FRACTION


@dataclasses.dataclass(frozen=True)
class Choice:
    """A chosen endpoint and the load that the request adds to it.

    Attributes:
        candidate: the chosen ``Candidate``.
        load: the ``Load`` to reserve.
    """

    candidate: Candidate
    load: fleet_loads.Load

    def fetched_tokens(self, demand):
        """Return the cached tokens of a ``Demand`` that it fetches."""
        prompt_tokens = demand.shared_tokens + demand.own_tokens
        known_tokens = self.candidate.cached_tokens + self.load.prefill_tokens
        return prompt_tokens - known_tokens


def choose(candidates, demand, source=random):
    """Choose the candidate with the lowest cost.

    Args:
        candidates: ``Candidate`` records.
        demand: the ``Demand``.
        source: random source that breaks ties.

    Returns:
        The ``Choice``, or None if no candidate has capacity now.
    """
    fitting = [c for c in candidates if c.fits(demand)]
    if not fitting:
        return None
    # Breaks ties at random; otherwise all VMs would choose the same one.
    source.shuffle(fitting)
    return best_of(fitting, candidates, demand)


def best_of(fitting, candidates, demand):
    """Choose the candidate with the lowest cost, the first of equals.

    Args:
        fitting: ``Candidate`` records to choose from; they have capacity.
        candidates: all ``Candidate`` records, from which cached tokens may
            be fetched.
        demand: the ``Demand``.

    Returns:
        The ``Choice``.
    """
    peer_tokens_by_version = {}
    for candidate in candidates:
        version = candidate.weights_version
        peer_tokens_by_version[version] = max(
            candidate.cached_tokens, peer_tokens_by_version.get(version, 0)
        )
    best = min(
        fitting,
        key=lambda c: _cost_seconds(
            c, demand, peer_tokens_by_version[c.weights_version]
        ),
    )
    peer_tokens = peer_tokens_by_version[best.weights_version]
    return Choice(best, load_of(best, demand, peer_tokens))


def load_of(candidate, demand, peer_tokens=0):
    """Return the ``Load`` that a request adds to a candidate.

    Args:
        candidate: the ``Candidate``.
        demand: the ``Demand``.
        peer_tokens: most shared tokens cached on any engine with the same
            weights; they can be fetched instead of prefilled.
    """
    available_tokens = max(peer_tokens, candidate.cached_tokens)
    prefill = demand.shared_tokens - available_tokens + demand.own_tokens
    return fleet_loads.Load(
        1,
        demand.own_tokens + demand.output_tokens,
        prefill,
        int(demand.is_stream),
    )


def _cost_seconds(candidate, demand, peer_tokens):
    """Return the cost of a candidate.

    It is the estimated time to the first token plus the penalties.

    Args:
        candidate: the ``Candidate``.
        demand: the ``Demand``.
        peer_tokens: most shared tokens cached on any candidate with the
            same weights.
    """
    fetched = max(0, peer_tokens - candidate.cached_tokens)
    missing = demand.shared_tokens - candidate.cached_tokens - fetched
    if candidate.has_affinity:
        missing *= 1 - AFFINITY_DISCOUNT
    tokens = candidate.load.prefill_tokens + demand.own_tokens + missing
    seconds = tokens / candidate.prefill_speed
    seconds += DUPLICATE_COPY_FACTOR * fetched / FETCH_TOKENS_PER_SECOND
    seconds += candidate.load.running * STEP_SECONDS_PER_REQUEST
    if not candidate.kv_cache_tokens:
        seconds += candidate.load.running / candidate.slots
    if not candidate.has_affinity:
        shared_seconds = demand.shared_tokens / candidate.prefill_speed
        seconds += NON_AFFINITY_PENALTY * shared_seconds
    if tokens - candidate.load.prefill_tokens >= MIN_LONG_PREFILL_TOKENS:
        seconds += STREAM_STALL_PENALTY_SECONDS * candidate.load.streams
    if demand.is_stream:
        seconds += PREFILL_PENALTY_SECONDS * candidate.prefill_share
    if candidate.has_old_weights:
        seconds += OLD_WEIGHTS_PENALTY_SECONDS
    if candidate.is_remote:
        seconds += REMOTE_PENALTY_SECONDS
    return seconds + candidate.failure_rate * FAILURE_PENALTY_SECONDS
