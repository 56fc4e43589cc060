"""Health checks of endpoints over a new connection."""

import urllib3

HEALTH_PATH = '/health'
PROBE_TIMEOUT_SECONDS = 1.0


def is_healthy(endpoint, timeout=PROBE_TIMEOUT_SECONDS):
    """Tell whether an endpoint passes a health check.

    Args:
        endpoint: the ``Endpoint``.
        timeout: seconds for the connection, and for each read.

    Returns:
        Whether it answers ``HEALTH_PATH`` with status 200.
    """
    url = f'http://{endpoint.address}{HEALTH_PATH}'
    try:
        with urllib3.PoolManager(retries=False) as manager:
            response = manager.request('GET', url, timeout=timeout)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200
