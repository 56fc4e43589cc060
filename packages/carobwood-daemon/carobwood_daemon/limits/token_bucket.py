"""Token bucket on the monotonic clock."""

from carobwood import clocks


class TokenBucket:
    """A token bucket that refills at a fixed rate up to a capacity.

    Not thread-safe: callers serialize access.

    Attributes:
        rate: refill rate in tokens per second.
        capacity: maximum number of tokens in the bucket.
    """

    def __init__(self, rate, capacity, clock=clocks.now):
        self.rate = rate
        self.capacity = capacity
        self._clock = clock
        self._tokens = 0.0
        self._filled_at = clock()

    @property
    def tokens(self):
        """Tokens currently available; negative after an overdraft."""
        self._fill()
        return self._tokens

    def take(self, amount):
        """Take tokens if enough of them are available.

        Returns:
            0.0 if the tokens were taken, otherwise the seconds until enough
            tokens are available.
        """
        self._fill()
        if amount <= self._tokens:
            self._tokens -= amount
            return 0.0
        return (amount - self._tokens) / self.rate

    def put_back(self, amount):
        """Return unused tokens; tokens above the capacity are discarded."""
        self._fill()
        self._tokens = min(self.capacity, self._tokens + amount)

    def charge(self, amount):
        """Take tokens unconditionally; the balance may become negative."""
        self._fill()
        self._tokens -= amount

    def resize(self, rate, capacity):
        """Change rate and capacity; tokens above the capacity are lost."""
        self._fill()
        self.rate = rate
        self.capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def _fill(self):
        now = self._clock()
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + gained)
        self._filled_at = now
