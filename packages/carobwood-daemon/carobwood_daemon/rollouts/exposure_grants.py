"""The rights of this VM to send requests to versions that are being tried.

A right ends by this VM's own clock, counted from before it was asked for. So
a VM that stood still or is cut off has none left when it goes on.
"""

import dataclasses
import math

# Stands for the number of requests of a grant whose share alone decides.
NO_COUNT = -1
# Time over which the rate of a service's requests is averaged.
RATE_SECONDS = 2.0
# Least rate that is assumed, so that a unit is not kept for requests that do
# not come.
MIN_RATE = 0.5


@dataclasses.dataclass(frozen=True)
class Grant:
    """The right to send requests to the target version of a rollout.

    Attributes:
        rollout: log index of the rollout's order.
        requests: number of requests, or ``NO_COUNT``.
        share: share of the VM's requests, from 0 to 1.
        ends_at: time on this VM's clock at which it ends.
    """

    rollout: int
    requests: int
    share: float
    ends_at: float


@dataclasses.dataclass
class _Units:
    """Requests of one grant that were not sent yet."""

    left: int
    ends_at: float


class RateMeter:
    """The rate of events, as an average over the last seconds."""

    def __init__(self):
        self._sum = 0.0
        self._noted_at = 0.0

    def note(self, now):
        """Count one event."""
        self._sum = self._decayed_sum(now) + 1.0
        self._noted_at = now

    def rate(self, now):
        """Return the events per second."""
        return self._decayed_sum(now) / RATE_SECONDS

    def _decayed_sum(self, now):
        age = max(0.0, now - self._noted_at)
        return self._sum * math.exp(-age / RATE_SECONDS)


class ExposureGrants:
    """The grants of one rollout that this VM holds.

    Grants of a number of requests add up. Of those that give a share, the
    latest one counts, and while it does, only it: a share of 0 takes all
    rights back.
    """

    def __init__(self):
        self._units = []
        self._share = 0.0
        self._share_ends_at = -math.inf

    def add(self, grant):
        """Add a ``Grant``."""
        if grant.requests == NO_COUNT:
            if grant.ends_at >= self._share_ends_at:
                self._share = grant.share
                self._share_ends_at = grant.ends_at
        elif grant.requests > 0:
            self._units.append(_Units(grant.requests, grant.ends_at))
            self._units.sort(key=lambda units: units.ends_at)

    def has_right(self, now):
        """Return whether a request may be sent to the target version."""
        if self.has_share(now):
            return self._share > 0.0
        return self.units_left(now) > 0

    def is_taken_back(self, now):
        """Return whether the owner has granted a share of 0."""
        return self.has_share(now) and self._share == 0.0

    def has_share(self, now):
        """Return whether a share is granted, even one of 0."""
        return now < self._share_ends_at

    def units_left(self, now):
        """Return the number of requests that may still be sent."""
        self._drop_ended(now)
        return sum(units.left for units in self._units)

    def share(self, now, rate):
        """Return the share of the next requests that go to the target.

        The requests that are granted are spread over the time until their
        grants end.

        Args:
            now: the current time.
            rate: requests per second of this VM to the service.
        """
        if self.has_share(now):
            return self._share
        self._drop_ended(now)
        share = sum(
            units.left / (max(rate, MIN_RATE) * (units.ends_at - now))
            for units in self._units
        )
        return min(1.0, share)

    def take(self, now):
        """Use the right to send one request; return whether there was one."""
        if self.has_share(now):
            return self._share > 0.0
        self._drop_ended(now)
        if not self._units:
            return False
        self._units[0].left -= 1
        return True

    def _drop_ended(self, now):
        self._units = [
            units
            for units in self._units
            if units.left > 0 and now < units.ends_at
        ]
