"""Room for one more request on an engine.

Load pattern: a surge of a less urgent kind of 2 to 4 times what the engines
can serve. An engine that takes all that its slots allow prefills prompts for
seconds before the first event of any request, so that all of them are late.

A request goes to an engine only if its first event can still come in time
there, and only if places remain for the more urgent ones. The work that an
engine holds ahead of a less urgent request is bounded by what a more urgent
one can wait for.
"""

import dataclasses
import math

# Standard deviations of the number of more urgent requests for which places
# are kept.
RESERVE_DEVIATIONS = 2.0
# Largest part of an engine's places that is kept for more urgent requests.
MAX_RESERVED_FRACTION = 1 / 6
# Largest part that is kept for them beside what may have come since the last
# report, so that old reports leave room to the others.
MAX_KEPT_FRACTION = 0.5
# Part of the time to the first event of the most urgent request that work of
# less urgent ones may take.
MAX_WORK_AHEAD_FRACTION = 0.25


@dataclasses.dataclass(frozen=True)
class EngineState:
    """What is known of an engine.

    Attributes:
        slots: requests that it processes concurrently.
        running: requests in flight there, from all VMs.
        prefill_tokens: prompt tokens that it still has to prefill.
        prefill_speed: prompt tokens that it prefills in a second.
    """

    slots: int
    running: int
    prefill_tokens: int
    prefill_speed: float

    def first_event_seconds(self, tokens):
        """Return the expected time to a request's first event.

        Args:
            tokens: prompt tokens of the request to be prefilled.
        """
        return (self.prefill_tokens + tokens) / self.prefill_speed


@dataclasses.dataclass(frozen=True)
class Terms:
    """Terms under which a request goes to an engine.

    Attributes:
        seconds_left: seconds until its first event is late.
        reserved_places: places of an engine that are left free.
        max_ahead_seconds: longest time to its first event that leaves the
            engine free for the most urgent requests.
        limit_fraction: part of an engine's slots that is used.
    """

    seconds_left: float
    reserved_places: int = 0
    max_ahead_seconds: float = math.inf
    limit_fraction: float = 1.0


def reserved_places(mean_per_engine, slots):
    """Return how many places of an engine are kept for urgent requests.

    Their mean number is in the load of the engine already; what is kept is
    for its variation.

    Args:
        mean_per_engine: mean number of more urgent requests on an engine.
        slots: requests that the engine processes concurrently.
    """
    places = math.ceil(RESERVE_DEVIATIONS * math.sqrt(mean_per_engine))
    return min(places, int(slots * MAX_RESERVED_FRACTION))


def kept_places(reserved, unseen, slots):
    """Return how many places are not shared with less urgent requests.

    Args:
        reserved: places that are reserved for more urgent requests.
        unseen: more urgent requests that may have come unseen.
        slots: requests that the engine processes concurrently.
    """
    return min(reserved + unseen, slots * MAX_KEPT_FRACTION)


def is_in_time(engine, tokens, terms):
    """Return whether a first event would come in time from an engine."""
    return engine.first_event_seconds(tokens) <= terms.seconds_left


def has_place(engine, tokens, terms):
    """Return whether an engine has a place for a request, in time or not.

    Args:
        engine: the ``EngineState``.
        tokens: prompt tokens of the request to be prefilled.
        terms: the ``Terms``.
    """
    limit = max(1, math.floor(engine.slots * terms.limit_fraction))
    if engine.running >= limit - min(terms.reserved_places, limit - 1):
        return False
    if not engine.prefill_tokens:
        # A prompt of any size passes an engine that has none to prefill.
        return True
    return engine.first_event_seconds(tokens) <= terms.max_ahead_seconds
