"""Endpoints assigned to requests, and what is logged of the choice."""

import dataclasses

from . import engine_speeds
from . import fleet_loads

# Leading bytes of a block digest that are logged; enough to tell the blocks
# in one day's log apart.
LOGGED_DIGEST_BYTES = 4


@dataclasses.dataclass(frozen=True, eq=False)
class Assignment:
    """An endpoint assigned to a request, with its capacity reserved.

    Attributes:
        endpoint: the ``Endpoint``.
        reservation: the ``Reservation`` of the request's load there.
        cache_salt: cache salt, which separates the cached blocks of different
            weights versions and isolated customers; empty for a plain
            service.
        weights_version: weights version of the engine, or 0 if unknown or
            a plain service.
        block_digests: digests of the prompt's shared segments under the
            salt, in prompt order.
        fetch_from: address of an engine or store with more of the shared
            prefix in its cache, or empty.
        save_to: address of the store to which the engine saves the shared
            prefix, or empty.
        decision_inputs: values on which the choice was based, as log line
            fields.
        work: the ``PromptWork`` until the first event, or None for a plain
            service.
    """

    endpoint: object
    reservation: fleet_loads.Reservation
    cache_salt: str
    weights_version: int
    block_digests: tuple[bytes, ...]
    fetch_from: str
    save_to: str
    decision_inputs: dict
    work: engine_speeds.PromptWork | None = None


def summarise_segments(request, block_digests):
    """Return [abbreviated digest, tokens] of each shared segment."""
    return [
        [digest[:LOGGED_DIGEST_BYTES].hex(), segment.tokens]
        for digest, segment in zip(
            block_digests, request.metadata.prompt_segments, strict=False
        )
    ]


def decision_inputs(chosen, candidates):
    """Return the values behind a choice, as log line fields."""
    return {
        'candidates': len(candidates),
        'running': chosen.load.running,
        'unread': chosen.load.prefill_tokens,
        'streams': chosen.load.streams,
        'reading': round(chosen.prefill_share, 2),
        'cached': chosen.cached_tokens,
        'home': chosen.has_affinity,
    }
