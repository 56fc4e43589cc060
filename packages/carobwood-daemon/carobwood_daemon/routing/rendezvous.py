"""Rendezvous (highest random weight) hashing.

All VMs rank the same endpoints in the same order without communicating.
See Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib


def rank(key, endpoints):
    """Return endpoints in the key's order of preference.

    Args:
        key: bytes that identify the item to be assigned to an endpoint.
        endpoints: objects with an ``id``.

    Returns:
        List of the endpoints, the most preferred one first.
    """
    return sorted(
        endpoints,
        key=lambda endpoint: _weight(key, endpoint.id),
        reverse=True,
    )


def rank_names(key, names):
    """Return names in the key's order of preference; see ``rank``."""
    return sorted(names, key=lambda name: _weight(key, name), reverse=True)


def _weight(key, endpoint_id):
    data = key + endpoint_id.encode('utf-8')
    return hashlib.blake2b(data, digest_size=8).digest()
