"""Health checks of endpoints over a new connection."""

import contextlib
import enum
import http

from carobwood import errors

from ..entry import bounded_call

HEALTH_PATH = '/health'
PROBE_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 256 * 1024


class Health(enum.Enum):
    """Result of a health check.

    Attributes:
        SOUND: the endpoint passes it.
        SILENT: it took the connection and did not answer in time.
        FAILED: it could not be connected to, or failed the check.
    """

    SOUND = 'sound'
    SILENT = 'silent'
    FAILED = 'failed'


def is_healthy(endpoint, timeout=PROBE_TIMEOUT_SECONDS):
    """Tell whether an endpoint passes a health check.

    Args:
        endpoint: the ``Endpoint``.
        timeout: seconds for the whole check.

    Returns:
        Whether it answers ``HEALTH_PATH`` with status 200.
    """
    return check_health(endpoint, timeout) is Health.SOUND


def check_health(endpoint, timeout=PROBE_TIMEOUT_SECONDS):
    """Return the ``Health`` of an endpoint; see ``is_healthy``."""
    try:
        status = request_health(endpoint, timeout)
    except errors.CallOutOfBounds as error:
        return Health.SILENT if error.bound == 'deadline' else Health.FAILED
    except errors.EngineCallFailed:
        return Health.FAILED
    return Health.SOUND if status == http.HTTPStatus.OK else Health.FAILED


def request_health(endpoint, timeout):
    """Return the HTTP status of the answer to a health check.

    Args:
        endpoint: the ``Endpoint``.
        timeout: seconds for the whole check.

    Raises:
        EngineCallFailed: no whole answer was received.
    """
    call = bounded_call.Call('GET', endpoint.address, HEALTH_PATH)
    bounds = bounded_call.CallBounds(timeout, MAX_ANSWER_BYTES)
    with contextlib.closing(bounded_call.HttpCaller()) as caller:
        return caller.call(call, bounds).status
