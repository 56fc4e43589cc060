"""Names of cached parts of prompts, the same on every VM."""

import hashlib

from ..routing import prefix


def name_of(salt, part_id):
    """Return the name of a part under a wall, ``DIGEST_BYTES`` long.

    Caches keep each part by itself and use it if all parts before it are
    there too, so the name does not depend on these.

    Args:
        salt: the wall that it is cached under.
        part_id: name of its content.
    """
    named = f'{salt}\0{part_id}'.encode('utf-8')
    return hashlib.blake2b(named, digest_size=prefix.DIGEST_BYTES).digest()
