"""Digests that identify cached blocks, the same on every VM.

A block is one shared segment of a prompt as it is cached under a salt.
"""

import hashlib

from ..routing import prefix


def block_digest(salt, segment_id):
    """Return the digest of a block, ``DIGEST_BYTES`` bytes long.

    Caches store each block separately and use it if all preceding blocks
    of the prompt are cached too. The digest therefore does not depend on
    the preceding blocks.

    Args:
        salt: cache salt of the block; equal segments under different salts
            are different blocks.
        segment_id: id of the prompt segment's content.
    """
    identity = f'{salt}\0{segment_id}'.encode('utf-8')
    return hashlib.blake2b(identity, digest_size=prefix.DIGEST_BYTES).digest()
