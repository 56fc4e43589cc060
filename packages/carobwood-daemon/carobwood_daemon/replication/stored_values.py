"""Values that were stored in files, which may hold anything."""

import contextlib

import msgspec

from carobwood import errors


@contextlib.contextmanager
def decoding(name):
    """Turn the failure to decode a stored value into a typed error.

    A value whose checksum fits may still be undecodable: another build may
    have written it.

    Args:
        name: path or name of what is decoded, for the error.

    Raises:
        LogDamaged: the value cannot be decoded.
    """
    try:
        yield
    except (msgspec.DecodeError, RecursionError) as error:
        raise errors.LogDamaged(f'{name} cannot be read: {error}') from error
