"""Chained hashes of the blocks of a prompt.

A prompt is split into blocks of about ``BLOCK_TOKENS`` tokens. The hash of a
block also covers all blocks before it, so that equal hashes mean equal
prefixes.
"""

import dataclasses
import hashlib
import json

BLOCK_TOKENS = 2048
BYTES_PER_TOKEN_ID = 4
DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True)
class Scope:
    """Scope of a cached prefix; hashes of different scopes never match.

    Attributes:
        environment: environment of the document.
        customer: id of the customer.
        model: id of the model.
        weights_version: version of the model weights.
        adapter: name of the adapter, or an empty string.
    """

    environment: str
    customer: str
    model: str
    weights_version: str
    adapter: str

    def seed(self):
        """Return the initial hash of the chain, which identifies the scope."""
        fields = json.dumps(dataclasses.astuple(self)).encode('utf-8')
        return hashlib.blake2b(fields, digest_size=DIGEST_BYTES).digest()


@dataclasses.dataclass(frozen=True)
class Prompt:
    """Length and block hashes of a prompt.

    Attributes:
        tokens: upper bound of the number of tokens.
        block_hashes: block hashes h_i = H(h_{i-1}, block_i), including the
            hash of a partial last block.
    """

    tokens: int
    block_hashes: tuple[bytes, ...]


def hash_text(scope, text, bytes_per_token):
    """Return the ``Prompt`` of a text.

    Args:
        scope: the ``Scope``.
        text: the prompt as bytes.
        bytes_per_token: lower bound of the bytes per token.
    """
    block_bytes = int(BLOCK_TOKENS * bytes_per_token)
    tokens = int(len(text) / bytes_per_token) + 1
    return Prompt(tokens, _hash_blocks(scope.seed(), text, block_bytes))


def hash_token_ids(scope, token_ids):
    """Return the ``Prompt`` of a list of token ids.

    Args:
        scope: the ``Scope``.
        token_ids: the prompt as integers below 2**32.
    """
    data = b''.join(
        token.to_bytes(BYTES_PER_TOKEN_ID, 'big') for token in token_ids
    )
    block_bytes = BLOCK_TOKENS * BYTES_PER_TOKEN_ID
    block_hashes = _hash_blocks(scope.seed(), data, block_bytes)
    return Prompt(len(token_ids), block_hashes)


def _hash_blocks(seed, data, block_bytes):
    hashes = []
    previous = seed
    for start in range(0, max(1, len(data)), block_bytes):
        block = data[start : start + block_bytes]
        previous = hashlib.blake2b(
            previous + block, digest_size=DIGEST_BYTES
        ).digest()
        hashes.append(previous)
    return tuple(hashes)
