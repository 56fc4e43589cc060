"""Validates the paths of requests."""

import re
import urllib.parse

from carobwood import errors

MAX_TARGET_BYTES = 4096

_ALLOWED_PATH = re.compile(r"^/[A-Za-z0-9._~!$&'()*+,;=:@%/-]*$")


def split_target(target):
    """Split a request target into path and query.

    Args:
        target: the target of the request line as received.

    Returns:
        The path, and the query without its question mark.

    Raises:
        AmbiguousPath: normalisation would change the path, so that
            another server could resolve it to another resource.
        MalformedRequest: the target is too long, is not a path or has
            characters that are not allowed.
    """
    path, _, query = target.partition('?')
    if len(target) > MAX_TARGET_BYTES:
        raise errors.MalformedRequest('the request target is too long')
    if not path.startswith('/') or not _ALLOWED_PATH.match(path):
        raise errors.MalformedRequest(
            'the path has characters that are not allowed'
        )
    if not query.isascii() or not query.isprintable() or ' ' in query:
        raise errors.MalformedRequest(
            'the query has characters that are not allowed'
        )
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
            raise errors.AmbiguousPath(
                'the path has an encoded slash, backslash or null'
            )
        if '%' in decoded:
            raise errors.AmbiguousPath('the path is percent-encoded twice')
        if ';' in segment:
            raise errors.AmbiguousPath(
                'the path has a segment with parameters'
            )
