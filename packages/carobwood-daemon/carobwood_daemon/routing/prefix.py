"""Chained hashes of a prompt's pieces."""

import dataclasses
import hashlib
import json

PIECE_TOKENS = 2048
BYTES_PER_TOKEN_ID = 4
DIGEST_BYTES = 12


@dataclasses.dataclass(frozen=True)
class Scope:
    """What a cached prefix belongs to; nothing matches across scopes.

    Attributes:
        environment: environment of the document.
        customer: id of the customer.
        model: id of the model.
        weights_version: version of the weights.
        adapter: name of the adapter, or an empty string.
    """

    environment: str
    customer: str
    model: str
    weights_version: str
    adapter: str

    def seed(self):
        """Return the hash that all chains of the scope start from."""
        fields = json.dumps(dataclasses.astuple(self)).encode('utf-8')
        return hashlib.blake2b(fields, digest_size=DIGEST_BYTES).digest()


@dataclasses.dataclass(frozen=True)
class Prompt:
    """A prompt as far as routing needs it.

    Attributes:
        tokens: upper bound of its tokens.
        chain: hashes h_i = H(h_{i-1}, piece_i) of its whole pieces,
            with a last partial piece included as one.
    """

    tokens: int
    chain: tuple[bytes, ...]


def hash_text(scope, text, bytes_per_token):
    """Return the ``Prompt`` of a text.

    Args:
        scope: the ``Scope``.
        text: the prompt as bytes.
        bytes_per_token: lower bound of bytes a token.
    """
    piece_bytes = int(PIECE_TOKENS * bytes_per_token)
    tokens = int(len(text) / bytes_per_token) + 1
    return Prompt(tokens, _chain(scope.seed(), text, piece_bytes))


def hash_token_ids(scope, token_ids):
    """Return the ``Prompt`` of a list of token ids."""
    data = b''.join(
        token.to_bytes(BYTES_PER_TOKEN_ID, 'big') for token in token_ids
    )
    piece_bytes = PIECE_TOKENS * BYTES_PER_TOKEN_ID
    chain = _chain(scope.seed(), data, piece_bytes)
    return Prompt(len(token_ids), chain)


def _chain(seed, data, piece_bytes):
    hashes = []
    previous = seed
    for start in range(0, max(1, len(data)), piece_bytes):
        piece = data[start : start + piece_bytes]
        previous = hashlib.blake2b(
            previous + piece, digest_size=DIGEST_BYTES
        ).digest()
        hashes.append(previous)
    return tuple(hashes)
