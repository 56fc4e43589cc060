"""Health checks of endpoints over a new connection."""

import contextlib

from carobwood import errors

from ..entry import bounded_call

HEALTH_PATH = '/health'
PROBE_TIMEOUT_SECONDS = 1.0
MAX_ANSWER_BYTES = 256 * 1024


def is_healthy(endpoint, timeout=PROBE_TIMEOUT_SECONDS):
    """Tell whether an endpoint passes a health check.

    Args:
        endpoint: the ``Endpoint``.
        timeout: seconds for the whole check.

    Returns:
        Whether it answers ``HEALTH_PATH`` with status 200.
    """
    call = bounded_call.Call('GET', endpoint.address, HEALTH_PATH)
    bounds = bounded_call.CallBounds(timeout, MAX_ANSWER_BYTES)
    try:
        with contextlib.closing(bounded_call.HttpCaller()) as caller:
            answer = caller.call(call, bounds)
    except errors.EngineCallFailed:
        return False
    return answer.status == 200
