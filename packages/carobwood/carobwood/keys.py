"""Callers' API keys, of which only the digests are stored."""

import dataclasses
import hashlib
import re
import secrets

KEY_BITS = 256
KEY_PREFIX = 'cbw-'

_KEY_PATTERN = re.compile(r'^cbw-[A-Za-z0-9_-]{43}$')
_KEY_ID_HEX_DIGITS = 16


@dataclasses.dataclass(frozen=True)
class IssuedKey:
    """A newly issued key.

    Attributes:
        secret: the key in clear text; shown once and never stored.
        digest: hexadecimal SHA-256 of the secret.
    """

    secret: str = dataclasses.field(repr=False)
    digest: str

    @property
    def key_id(self):
        """Short id of the key, which is not secret."""
        return key_id_of(self.digest)


def issue_key():
    """Return a new ``IssuedKey`` of 256 random bits."""
    secret = KEY_PREFIX + secrets.token_urlsafe(KEY_BITS // 8)
    return IssuedKey(secret, digest_key(secret))


def digest_key(secret):
    """Return the hexadecimal SHA-256 digest of a key."""
    return hashlib.sha256(secret.encode('ascii')).hexdigest()


def key_id_of(digest):
    """Return the short id of the key with this digest."""
    return digest[:_KEY_ID_HEX_DIGITS]


def is_well_formed(secret):
    """Tell whether a string has the format of a key."""
    return _KEY_PATTERN.match(secret) is not None
