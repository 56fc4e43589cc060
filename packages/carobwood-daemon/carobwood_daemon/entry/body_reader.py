"""Reads a request's body within the VM's memory and within a time."""

import io
import sys

from carobwood import clocks
from carobwood import errors

from . import request_body


def read(body, rfile, reservation, seconds, limit=sys.maxsize):
    """Return a whole body.

    It is kept once; what is read of it is taken from the VM's memory.

    Args:
        body: the ``ChunkedBody`` or cheroot's ``KnownLengthRFile``.
        rfile: the ``ConnectionReader`` that it reads.
        reservation: the ``BufferReservation`` of the body.
        seconds: time within which the body must end.
        limit: largest size in bytes.

    Raises:
        BodyTimeout: it has not ended within the time.
        BuffersFull: no memory is left for it.
        MalformedRequest: it cannot be decoded, or the connection failed.
        BodyTooLarge: it exceeds the limit, or that of the listener.
    """
    ends_at = clocks.now() + seconds
    content = io.BytesIO()
    rfile.bound(seconds)
    try:
        while part := body.read(request_body.READ_BYTES):
            if content.tell() + len(part) > limit:
                raise errors.BodyTooLarge(f'the body exceeds {limit} bytes')
            reservation.extend(len(part))
            content.write(part)
    except (OSError, ValueError) as error:
        if isinstance(error, TimeoutError) and clocks.now() >= ends_at:
            raise errors.BodyTimeout(
                'the body did not end within the time of the request'
            ) from error
        raise errors.MalformedRequest(
            'the request body cannot be read'
        ) from error
    finally:
        rfile.release()
    return content.getvalue()
