"""Choice of an engine by estimated cost among a few that are drawn at random.

Load pattern: what a VM knows of an engine's load is some tenths of a second
old, and dozens of VMs choose at once. If all of them take the engine with
the lowest cost, the same engine is overrun until they hear of it, and then
another one, while the rest idle.

Each VM draws a few engines and takes the one with the lowest cost of these,
so VMs that choose at the same moment choose different ones (Mitzenmacher,
"How Useful Is Old Information?", 2000). The prefix's affinity engine and
engines that have most of it cached are among them, so it stays on few
engines. Another one takes it on when those are loaded for longer than a
further copy costs. A prefix so gets as many engines as its demand needs, and
loses them as they evict what goes unused.
"""

import random

from . import placement

# Engines that are drawn of those that have most of the prefix cached, beside
# its affinity engine.
HOLDER_SAMPLES = 2
# Engines that are drawn of all the others.
OTHER_SAMPLES = 2


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
    return placement.best_of(_draw(fitting), candidates, demand)


def _draw(candidates):
    """Return the first candidates of each kind, of a shuffled list."""
    most_tokens = max(candidate.cached_tokens for candidate in candidates)
    drawn = []
    holders = []
    others = []
    for candidate in candidates:
        if candidate.has_affinity:
            drawn.append(candidate)
        elif candidate.cached_tokens == most_tokens > 0:
            holders.append(candidate)
        else:
            others.append(candidate)
    drawn += holders[:HOLDER_SAMPLES]
    return drawn + others[:OTHER_SAMPLES]
