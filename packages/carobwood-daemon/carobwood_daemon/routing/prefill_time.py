"""Prefill time per token, estimated from the responses of engines."""

import threading

INITIAL_SECONDS_PER_TOKEN = 0.0001
# Requests with fewer uncached tokens are ignored.
MIN_UNCACHED_TOKENS = 512
# Weight of a new sample in the exponential moving average.
SAMPLE_WEIGHT = 0.1


class PrefillTimeEstimator:
    """Exponential moving averages of prefill seconds per token, by pool.

    Callers pass only requests that found no other request of this VM on
    their engine. Together with the minimum of ``MIN_UNCACHED_TOKENS`` this
    keeps queueing time out of the estimate.
    """

    def __init__(self):
        self._lock = threading.Lock()
        self._seconds_by_pool = {}

    def seconds_per_token(self, pool_id):
        """Return the average of a pool, or the initial estimate."""
        return self._seconds_by_pool.get(pool_id, INITIAL_SECONDS_PER_TOKEN)

    def has_estimate(self, pool_id):
        """Return whether a pool has an average from at least one sample."""
        return pool_id in self._seconds_by_pool

    def add_sample(self, pool_id, uncached_tokens, seconds):
        """Update the average of a pool with one request.

        Args:
            pool_id: id of the pool.
            uncached_tokens: prompt tokens that were not cached.
            seconds: time from sending the request to its first token.
        """
        if uncached_tokens < MIN_UNCACHED_TOKENS:
            return
        sample = seconds / uncached_tokens
        with self._lock:
            previous = self._seconds_by_pool.get(pool_id, sample)
            average = previous + SAMPLE_WEIGHT * (sample - previous)
            self._seconds_by_pool[pool_id] = average
