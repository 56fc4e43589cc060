"""Grammar of the lines of HTTP/1 messages.

Source: RFC 9110, sections 5.1, 5.5 and 5.6.2; RFC 9112, sections 2.2, 4, 5
and 7.1. A line of a head may end with LF alone. Line folding is refused, as a
proxy may do.
"""

import re

# HTAB, SP, VCHAR and obs-text.
_TEXT = rb'[\t\x20-\x7e\x80-\xff]*'
_TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]+"
_LINE_END = rb'\r?\n'
_WHITESPACE = b' \t'
# A reason may be missing with the space before it.
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] [1-5][0-9]{2}( ' + _TEXT + rb')?' + _LINE_END
)
# More digits than the largest size of any body needs are refused.
_CHUNK_SIZE = re.compile(rb'([0-9A-Fa-f]{1,12})[ \t]*(;' + _TEXT + rb')?')
_FIELD_NAME = re.compile(_TOKEN)
_FIELD_LINE = re.compile(rb'(' + _TOKEN + rb'):(' + _TEXT + rb')' + _LINE_END)


def is_status_line(line):
    """Tell whether bytes are the status line of a response.

    Args:
        line: bytes of the line, with its end.
    """
    return _STATUS_LINE.fullmatch(line) is not None


def is_field_name(name):
    """Tell whether bytes are the name of a field."""
    return _FIELD_NAME.fullmatch(name) is not None


def parse_field_line(line):
    """Return the name and the value of a field, or None if it is malformed.

    Args:
        line: bytes of the line, with its end.

    Returns:
        Both as bytes; the value is without the whitespace around it.
    """
    match = _FIELD_LINE.fullmatch(line)
    if match is None:
        return None
    return match[1], match[2].strip(_WHITESPACE)


def parse_chunk_size(line):
    """Return the size that begins a chunk, or None if it is malformed.

    Args:
        line: bytes of the line, without its end.

    Returns:
        The size in bytes; extensions are left out.
    """
    match = _CHUNK_SIZE.fullmatch(line)
    return None if match is None else int(match[1], 16)
