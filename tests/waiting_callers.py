"""Replay of a burst of requests for streams on full engines."""

import dataclasses
import types

import relay_builders as builders

from carobwood_daemon.relay import caller_patience
from carobwood_daemon.relay import placement
from carobwood_daemon.relay import wait_queue

STEP_SECONDS = 0.05
DEADLINE_SECONDS = 15.0
PATIENCE_SECONDS = 2.4
TARGET_SECONDS = 0.6


@dataclasses.dataclass
class Outcomes:
    """How many requests ended in each way.

    Attributes:
        placed: requests that an engine took.
        refused: requests that were refused.
        left: requests whose caller left before.
    """

    placed: int = 0
    refused: int = 0
    left: int = 0


def replay_burst(callers, seconds_per_place):
    """Queue requests that come at once, and place them one by one.

    Args:
        callers: number of requests.
        seconds_per_place: time after which an engine has room for one more.

    Returns:
        The ``Outcomes``.
    """
    clock = builders.Clock()
    queue = wait_queue.WaitQueue(clock)
    leaves_at = clock.now + PATIENCE_SECONDS
    request = types.SimpleNamespace(
        caller_leaves_at=leaves_at,
        demand=placement.Demand(6000, 2000, 50),
    )
    entries = [
        queue.enqueue(
            'engines',
            1,
            clock.now + TARGET_SECONDS,
            clock.now + DEADLINE_SECONDS,
            latest_end=caller_patience.latest_wait_end(request),
        )
        for _ in range(callers)
    ]
    outcomes = Outcomes()
    place_at = clock.now + seconds_per_place
    while entries:
        clock.advance(STEP_SECONDS)
        for entry in list(entries):
            if clock.now >= leaves_at:
                outcomes.left += 1
            elif queue.seconds_left(entry) <= 0:
                outcomes.refused += 1
            elif clock.now >= place_at and queue.is_first(entry):
                outcomes.placed += 1
                place_at += seconds_per_place
            else:
                continue
            entries.remove(entry)
            queue.remove(entry)
    return outcomes
