"""Failures of connections to endpoints, and what they tell."""

import errno
import http.client
import socket

import urllib3

from carobwood import errors

# Exceptions that urllib3 and http.client raise if a connection fails.
CONNECTION_ERRORS = (
    urllib3.exceptions.HTTPError,
    http.client.HTTPException,
    OSError,
    ValueError,
)
TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.TimeoutError)
# Error numbers of a lack of this process or its system.
_SHORTAGES = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


def make_error(error):
    """Return the error to raise for a connection that could not be made.

    Args:
        error: the exception of the system or of urllib3.

    Returns:
        A ``DescriptorsUsedUp`` if this VM lacks something, else an
        ``EndpointUnreachable``.
    """
    numbers = _system_errors(error)
    if numbers.intersection(_SHORTAGES):
        return errors.DescriptorsUsedUp(
            'this VM can open no further connection'
        )
    # EADDRNOTAVAIL also stands for an address that no connection can go to.
    if errno.EADDRNOTAVAIL in numbers and not has_local_port():
        return errors.LocalPortsUsedUp('this VM has no local port left')
    unreachable = errors.EndpointUnreachable(
        f'connecting to the endpoint failed: {type(error).__name__}'
    )
    unreachable.is_timeout = is_timeout(error)
    return unreachable


def has_local_port():
    """Return whether the system can still give a local port.

    A connection gets a port that others may have for other addresses. If
    none is left for one address, all are in use.
    """
    try:
        with socket.socket() as sock:
            sock.bind(('', 0))
    except OSError as error:
        return error.errno != errno.EADDRINUSE
    return True


def is_timeout(error):
    """Tell whether an endpoint was only silent to a connection.

    Args:
        error: the exception of the system or of urllib3.
    """
    # urllib3 derives its error of a refused connection from that of a timeout.
    is_refused = isinstance(error, urllib3.exceptions.NewConnectionError)
    return isinstance(error, TIMEOUT_ERRORS) and not is_refused


def is_reset(error):
    """Tell whether an endpoint accepted a connection and reset it at once.

    A port without a listener refuses the connection instead.

    Args:
        error: the exception of the system or of urllib3.
    """
    return errno.ECONNRESET in _system_errors(error)


def _system_errors(error):
    """Return the error numbers of an exception and of its cause."""
    # urllib3 raises an error of its own from that of the system.
    return {
        cause.errno
        for cause in (error, error.__cause__)
        if isinstance(cause, OSError)
    }
