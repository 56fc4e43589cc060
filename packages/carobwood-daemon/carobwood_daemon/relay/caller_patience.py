"""How long a request may wait until its caller leaves.

Load pattern: a burst of several times the usual load for some seconds, with
all engines full. Callers of a stream leave seconds before the deadline if its
first event does not come. Those that are refused while they are there may try
another VM.
"""

import math

from . import fleet_loads

# Time for a refusal to reach the caller.
REFUSAL_SECONDS = 0.1


def latest_wait_end(request):
    """Return when the wait of a request ends at the latest.

    An engine that took it then would still prefill its prompt in time.

    Args:
        request: the ``AdmittedRequest``, to which no response has begun.

    Returns:
        The monotonic time; infinite if it is not known when the caller
        leaves.
    """
    prefill_seconds = (
        request.demand.own_tokens / fleet_loads.PREFILL_TOKENS_PER_SECOND
    )
    return request.caller_leaves_at - prefill_seconds - REFUSAL_SECONDS


def log_seconds(seconds):
    """Return the seconds until a caller leaves for the log, None if unknown.

    Args:
        seconds: the seconds, or infinity.
    """
    return round(seconds, 3) if math.isfinite(seconds) else None
