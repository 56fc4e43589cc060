"""Health checks of endpoints over a new connection."""

import contextlib
import enum

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
    call = bounded_call.Call('GET', endpoint.address, HEALTH_PATH)
    bounds = bounded_call.CallBounds(timeout, MAX_ANSWER_BYTES)
    try:
        with contextlib.closing(bounded_call.HttpCaller()) as caller:
            answer = caller.call(call, bounds)
    except errors.CallOutOfBounds as error:
        return Health.SILENT if error.bound == 'deadline' else Health.FAILED
    except errors.EngineCallFailed:
        return Health.FAILED
    return Health.SOUND if answer.status == 200 else Health.FAILED
