"""Choice of an engine by estimated cost among a few that are drawn at random.

Load pattern: what a VM knows of an engine's load is some tenths of a second
old, and dozens of VMs choose at once. If all of them take the engine with
the lowest cost, the same engine is overrun until they hear of it, and then
another one, while the rest idle.

Each VM draws a few engines and takes the one with the lowest cost of these,
so VMs that choose at the same moment choose different ones (Mitzenmacher,
"How Useful Is Old Information?", 2000). Some of those drawn have the prefix
cached, so it stays on few engines; the others take it on when those are
loaded for longer than another copy costs. A prefix so gets as many engines
as its demand needs, and loses them as they evict what goes unused.
"""

import random

from . import placement

# Engines that are drawn of those that have the prefix cached, or are its
# affinity engine.
HOLDER_SAMPLES = 2
# Engines that are drawn in all.
SAMPLES = 4


def choose(candidates, demand, source=random):
    """Choose the candidate with the lowest cost of a random sample.

    Args:
        candidates: ``Candidate`` records.
        demand: the ``Demand``.
        source: random source.

    Returns:
        The ``Choice``, or None if no candidate has capacity now.
    """
    fitting = [c for c in candidates if c.fits(demand)]
    if not fitting:
        return None
    source.shuffle(fitting)
    holders = [c for c in fitting if c.cached_tokens or c.has_affinity]
    others = [c for c in fitting if not (c.cached_tokens or c.has_affinity)]
    drawn = holders[:HOLDER_SAMPLES]
    drawn += others[: SAMPLES - len(drawn)]
    return placement.best_of(drawn, candidates, demand)
