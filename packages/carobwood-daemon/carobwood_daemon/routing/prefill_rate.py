"""Seconds of prefill for each token, learnt from answers."""

import threading

INITIAL_SECONDS_PER_TOKEN = 0.0001
MIN_TOKENS = 512
WEIGHT = 0.1


class PrefillRates:
    """Moving averages by pool.

    Only requests that met no other request of this VM on their engine
    and missed many tokens count, so that waiting is not taken for work.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._seconds_by_pool = {}

    def seconds_per_token(self, pool_id):
        """Return the average of a pool, or the initial guess."""
        return self._seconds_by_pool.get(pool_id, INITIAL_SECONDS_PER_TOKEN)

    def is_known(self, pool_id):
        """Tell whether a pool's average was measured."""
        return pool_id in self._seconds_by_pool

    def note(self, pool_id, missing_tokens, seconds):
        """Learn from a first token that came after ``seconds``."""
        if missing_tokens < MIN_TOKENS:
            return
        measured = seconds / missing_tokens
        with self._lock:
            known = self._seconds_by_pool.get(pool_id, measured)
            average = known + WEIGHT * (measured - known)
            self._seconds_by_pool[pool_id] = average
