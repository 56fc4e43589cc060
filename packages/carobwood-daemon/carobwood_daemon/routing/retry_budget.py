"""A budget that keeps retries a small share of requests."""

import threading

SHARE = 0.1
CAPACITY = 20.0


class RetryBudget:
    """Each request pays in a share of a retry, each retry takes one.

    The first retry of a request is free: it has another endpoint to go
    to. Further ones come out of the budget, so that a fault that hits
    every endpoint does not multiply the load on them.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._balance = CAPACITY

    def note_request(self):
        """Pay in for a request."""
        with self._lock:
            self._balance = min(CAPACITY, self._balance + SHARE)

    def take(self):
        """Take a retry; tell whether there was one."""
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
