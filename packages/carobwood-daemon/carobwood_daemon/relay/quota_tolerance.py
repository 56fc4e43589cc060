"""By how much a customer's usage may exceed its limit."""

import dataclasses

# Part of the tolerance that a VM uses. The rest covers usage that is
# reported late, and units that starting VMs admit before they receive the
# usage of the others.
USABLE_TOLERANCE_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class QuotaTolerance:
    """By how much the usage in a window may exceed a customer's limit.

    Attributes:
        window: length of the sliding window in seconds.
        overshoot: allowed excess as a fraction of the limit.
        slack: allowed excess in units, in addition to ``overshoot``.
    """

    window: float
    overshoot: float
    slack: float

    def limit(self, rate, burst):
        """Return the units that rate and burst allow in a window."""
        return rate * self.window + burst

    def bound(self, rate, burst):
        """Return the units that a window may hold with the tolerance."""
        limit = self.limit(rate, burst)
        excess = self.overshoot * limit + self.slack
        return limit + USABLE_TOLERANCE_SHARE * excess
