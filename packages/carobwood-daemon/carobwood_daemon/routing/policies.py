"""Policies for selecting an engine.

``ExpectedTime`` is the policy for production. The others are baselines that
benchmarks compare it with.
"""

import dataclasses
import itertools


@dataclasses.dataclass(frozen=True)
class ExpectedTime:
    """Selects the engine with the least expected time to first token."""


@dataclasses.dataclass(frozen=True)
class RoundRobin:
    """Selects the engines in rotation.

    Attributes:
        numbers: iterator that numbers the selections.
    """

    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


@dataclasses.dataclass(frozen=True)
class LeastLoaded:
    """Selects the engine with the fewest known requests."""


@dataclasses.dataclass(frozen=True)
class PrefixHash:
    """Selects by rendezvous hashing of the prompt's first block."""


POLICIES_BY_NAME = {
    'expected-time': ExpectedTime,
    'round-robin': RoundRobin,
    'least-loaded': LeastLoaded,
    'prefix-hash': PrefixHash,
}
