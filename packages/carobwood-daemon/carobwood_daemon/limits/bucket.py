"""A token bucket on the monotonic clock."""

import time


class Bucket:
    """Tokens that arrive at a rate up to a capacity.

    Not safe for several threads by itself.

    Attributes:
        rate: tokens a second.
        capacity: most tokens that it holds.
    """

    def __init__(self, rate, capacity, clock=time.monotonic):
        self.rate = rate
        self.capacity = capacity
        self._clock = clock
        self._tokens = 0.0
        self._filled_at = clock()

    @property
    def tokens(self):
        """Tokens held now."""
        self._fill()
        return self._tokens

    def take(self, amount):
        """Take tokens if all of them are there.

        Returns:
            0.0 if they were taken, else seconds until they could be.
        """
        self._fill()
        if amount <= self._tokens:
            self._tokens -= amount
            return 0.0
        return (amount - self._tokens) / self.rate

    def put_back(self, amount):
        """Return tokens that were taken and not used, up to the cap."""
        self._fill()
        self._tokens = min(self.capacity, self._tokens + amount)

    def charge(self, amount):
        """Take tokens even below zero, as a debt on later ones."""
        self._fill()
        self._tokens -= amount

    def resize(self, rate, capacity):
        """Change rate and capacity; tokens above the new cap are lost."""
        self._fill()
        self.rate = rate
        self.capacity = capacity
        self._tokens = min(self._tokens, capacity)

    def _fill(self):
        now = self._clock()
        gained = (now - self._filled_at) * self.rate
        self._tokens = min(self.capacity, self._tokens + gained)
        self._filled_at = now
