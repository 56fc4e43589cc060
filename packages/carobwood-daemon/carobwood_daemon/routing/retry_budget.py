"""Retry budget, which limits retries to a small fraction of requests."""

import threading

# Retries that each request adds to the budget.
RETRIES_PER_REQUEST = 0.1
MAX_BALANCE = 20.0


class RetryBudget:
    """Budget of retries that all requests of this VM share.

    Each request adds ``RETRIES_PER_REQUEST`` to the balance, and each retry
    costs one. Callers do not charge the first retry of a request, which
    goes to another endpoint. Further retries are charged, so that a fault
    of all endpoints does not multiply the load on them.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._balance = MAX_BALANCE

    def add_request(self):
        """Add the contribution of one request to the budget."""
        with self._lock:
            self._balance = min(
                MAX_BALANCE, self._balance + RETRIES_PER_REQUEST
            )

    def may_spend(self):
        """Return whether the budget allows a retry now."""
        with self._lock:
            return self._balance >= 1.0

    def try_spend(self):
        """Take one retry from the budget.

        Returns:
            Whether the budget allows the retry.
        """
        with self._lock:
            if self._balance < 1.0:
                return False
            self._balance -= 1.0
            return True
