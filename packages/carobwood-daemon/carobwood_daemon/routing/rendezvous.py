"""Rendezvous hashing: the same choice on every VM, without talk.

Thaler and Ravishankar, "Using Name-Based Mappings to Increase Hit
Rates", 1998.
"""

import hashlib


def rank(key, endpoints):
    """Return endpoints in the key's order of preference.

    Args:
        key: bytes that name what is placed.
        endpoints: objects with an ``id``.
    """
    return sorted(
        endpoints,
        key=lambda endpoint: _weight(key, endpoint.id),
        reverse=True,
    )


def _weight(key, endpoint_id):
    data = key + endpoint_id.encode('utf-8')
    return hashlib.blake2b(data, digest_size=8).digest()
