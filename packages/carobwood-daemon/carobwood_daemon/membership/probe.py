"""Questions to an endpoint over a new connection."""

import urllib3

HEALTH_PATH = '/health'
PROBE_TIMEOUT = 1.0


def is_alive(endpoint, timeout=PROBE_TIMEOUT):
    """Tell whether an endpoint answers its health path."""
    url = f'http://{endpoint.address}{HEALTH_PATH}'
    try:
        with urllib3.PoolManager(retries=False) as manager:
            answer = manager.request('GET', url, timeout=timeout)
    except urllib3.exceptions.HTTPError:
        return False
    return answer.status == 200
