"""Checks of request paths."""

import re
import urllib.parse

from carobwood import errors

MAX_PATH_BYTES = 4096

_ALLOWED = re.compile(r"^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$")


def split_target(target):
    """Split a request target into path and query.

    Args:
        target: the raw target of the request line.

    Returns:
        The path and the query without its question mark.

    Raises:
        AmbiguousPath: the path changes under normalisation, so another
            server could understand it differently.
        MalformedRequest: the target is no path.
    """
    path, _, query = target.partition('?')
    if len(target) > MAX_PATH_BYTES:
        raise errors.MalformedRequest('the path is too long')
    if not path.startswith('/') or not _ALLOWED.match(path):
        raise errors.MalformedRequest('the path has characters not allowed')
    if not query.isascii() or not query.isprintable() or ' ' in query:
        raise errors.MalformedRequest('the query has characters not allowed')
    _check_segments(path)
    return path, query


def _check_segments(path):
    for segment in path.split('/')[1:-1]:
        if not segment:
            raise errors.AmbiguousPath('the path has an empty segment')
    for segment in path.split('/'):
        decoded = urllib.parse.unquote(segment, errors='replace')
        if decoded in ('.', '..'):
            raise errors.AmbiguousPath('the path has a dot segment')
        if '/' in decoded or '\\' in decoded or '\0' in decoded:
            raise errors.AmbiguousPath('the path has an encoded separator')
        if '%' in decoded:
            raise errors.AmbiguousPath('the path is encoded twice')
        if ';' in segment:
            raise errors.AmbiguousPath('the path has parameters')
