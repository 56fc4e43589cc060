"""Ways of choosing an engine; all but one are baselines to compare with."""

import dataclasses
import itertools


@dataclasses.dataclass(frozen=True)
class ExpectedTime:
    """Least expected time to the first token."""


@dataclasses.dataclass(frozen=True)
class RoundRobin:
    """One engine after another.

    Attributes:
        numbers: counts the choices.
    """

    numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )


@dataclasses.dataclass(frozen=True)
class LeastLoaded:
    """The engine with the fewest known requests."""


@dataclasses.dataclass(frozen=True)
class PrefixHash:
    """The rendezvous choice of the prompt's first piece."""


POLICIES_BY_NAME = {
    'expected-time': ExpectedTime,
    'round-robin': RoundRobin,
    'least-loaded': LeastLoaded,
    'prefix-hash': PrefixHash,
}
