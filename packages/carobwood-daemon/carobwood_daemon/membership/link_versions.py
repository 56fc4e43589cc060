"""Versions of the link protocol: which ones two VMs share.

A VM writes the range of versions that it speaks into its nonce, under a code
keyed with the fleet's secret. Builds without ranges take the nonce for random
bytes and send such ones; they speak one version. The proofs of the handshake
cover both nonces, so that nobody can change or remove a range on its way.
"""

import dataclasses
import hmac
import secrets
import struct

from carobwood import errors

NONCE_BYTES = 16

_FRESH_BYTES = 10
_CODE_BYTES = 4
_CODE_LABEL = b'versions'
_NONCE = struct.Struct(f'>{_FRESH_BYTES}sBB{_CODE_BYTES}s')
# Bytes of the nonce that its code covers.
_CODED_BYTES = NONCE_BYTES - _CODE_BYTES


@dataclasses.dataclass(frozen=True)
class VersionRange:
    """The versions of the protocol that a build speaks.

    Attributes:
        lowest: the first one, at most 255.
        highest: the last one, at most 255.
    """

    lowest: int
    highest: int

    def __str__(self):
        return f'{self.lowest} to {self.highest}'

    def __contains__(self, version):
        return self.lowest <= version <= self.highest


# All that builds without ranges speak.
UNRANGED = VersionRange(5, 5)


def hello_version(versions):
    """Return the version that the hello of a build names.

    Builds without ranges compare it with theirs; others ignore it.
    """
    if UNRANGED.highest in versions:
        return UNRANGED.highest
    return versions.highest


def make_nonce(versions, secret):
    """Return fresh bytes that tell the holders of the secret of a range.

    Args:
        versions: the ``VersionRange``.
        secret: the fleet's shared secret, as bytes.
    """
    fresh = secrets.token_bytes(_FRESH_BYTES)
    code = bytes(_CODE_BYTES)
    nonce = _NONCE.pack(fresh, versions.lowest, versions.highest, code)
    return nonce[:_CODED_BYTES] + _code(nonce, secret)


def read_range(nonce, named_version, secret):
    """Return the ``VersionRange`` of the VM that has sent a hello.

    Args:
        nonce: the nonce of its hello.
        named_version: the version of its hello.
        secret: the fleet's shared secret, as bytes.
    """
    _, lowest, highest, code = _NONCE.unpack(nonce)
    if hmac.compare_digest(code, _code(nonce, secret)):
        return VersionRange(lowest, highest)
    return VersionRange(named_version, named_version)


def choose(own, other):
    """Return the highest version that two builds share.

    Args:
        own: the ``VersionRange`` of this VM.
        other: the same of the other VM.

    Raises:
        LinkRefused: they share none.
    """
    version = min(own.highest, other.highest)
    if version not in own or version not in other:
        raise errors.LinkRefused(
            f'link protocol versions {other}, this VM speaks {own}'
        )
    return version


def _code(nonce, secret):
    coded = nonce[:_CODED_BYTES]
    return hmac.digest(secret, _CODE_LABEL + coded, 'sha256')[:_CODE_BYTES]
