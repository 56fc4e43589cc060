"""Token bucket and sliding window of one customer on this VM.

While a customer is beyond its rate, all VMs would admit its requests as soon
as the bucket refills, until they hear of each other. Each VM therefore
assumes that the others have admitted as much since their last reports as it
has itself, in proportion to the usage that they had reported.
"""

import collections

from . import reporting_vms

# Limit of what is assumed, as a multiple of the reported usage of that time.
MAX_UNSEEN_FACTOR = 2.0
# Seconds over which a VM compares its own usage with that of the others.
RATIO_SECONDS = 1.5


class CustomerQuota:
    """Token bucket and sliding window of one customer.

    Attributes:
        rate: units per second that refill the bucket.
        burst: capacity of the bucket in units.
        level: units in the bucket; negative after usage beyond the rate.
        refilled_at: time of the last refill.
        local_total: units that this VM has admitted since its start.
        local_entries: (time, units) pairs of this VM in the window.
        fleet_entries: (time, units) pairs of all VMs in the window.
        recent: sum of the units in ``fleet_entries``.
    """

    def __init__(self, customer, level, now, is_warming_up=False):
        self.rate = customer.rate
        self.burst = customer.burst
        self.level = level
        self.refilled_at = now
        self.local_total = 0
        self.local_entries = collections.deque()
        self.fleet_entries = collections.deque()
        self.recent = 0
        self._started_at = now
        # Whether the level still holds the units of a whole window.
        self._is_warming_up = is_warming_up
        # Units above the burst that the end of the warm-up has cut off.
        self._cut_units = 0.0

    def advance(self, now, window, share, is_warmed_up):
        """Refill the bucket and drop entries that have left the window.

        Args:
            now: the current time.
            window: length of the window in seconds.
            share: part of the rate that this VM may use.
            is_warmed_up: whether the warm-up after a restart is over. Until
                then the level may exceed the burst.
        """
        accrued = self.rate * share * max(0.0, now - self.refilled_at)
        self.level += accrued
        if is_warmed_up:
            self._cap_level()
        if now > self._started_at + window:
            self._cut_units = 0.0
        self.refilled_at = now
        for entries in (self.fleet_entries, self.local_entries):
            while entries and entries[0][0] < now - window:
                _, units = entries.popleft()
                if entries is self.fleet_entries:
                    self.recent -= units

    def _cap_level(self):
        if self._is_warming_up:
            self._is_warming_up = False
            self._cut_units = max(0.0, self.level - self.burst)
        self.level = min(self.burst, self.level)

    def consume(self, now, units):
        """Take units out of the bucket and add them to the window."""
        self.level -= units
        self.fleet_entries.append((now, units))
        self.recent += units

    def consume_past(self, reported_at, units_by_second):
        """Consume units that were admitted before a report.

        After a restart, the level includes the units of a whole window to
        pay for such usage, and the end of the warm-up cuts it down to the
        burst. Usage that comes later is paid first out of what was cut off,
        so that the level is the same as if it had come in time.

        Args:
            reported_at: time of the report.
            units_by_second: units in each second before the report, the
                latest second first.
        """
        for age, units in enumerate(units_by_second):
            self.consume(reported_at - age, units)
        paid_units = min(self._cut_units, sum(units_by_second))
        self._cut_units -= paid_units
        self.level += paid_units
        # ``advance`` drops entries from the front, so they must be ordered
        # by time.
        self.fleet_entries = collections.deque(sorted(self.fleet_entries))

    def local_units_by_second(self, now):
        """Return the units admitted here per second, the latest first."""
        units_by_age = collections.Counter()
        for consumed_at, units in self.local_entries:
            units_by_age[int(now - consumed_at)] += units
        ages = [age for age, units in units_by_age.items() if units]
        count = max(ages, default=-1) + 1
        return tuple(units_by_age[age] for age in range(count))

    def consume_locally(self, now, units):
        """Consume units for a request that this VM admits."""
        self.consume(now, units)
        self.local_entries.append((now, units))
        self.local_total += units

    def unseen(
        self, now, other_vm_count, report_age=reporting_vms.SPREAD_SECONDS
    ):
        """Return the units that others may have admitted but not reported.

        Args:
            now: the current time.
            other_vm_count: number of other VMs that report.
            report_age: age of their reports in seconds, at least
                ``reporting_vms.SPREAD_SECONDS``.
        """
        # How the usage is spread shows in the time that the reports cover.
        covered_until = now - (report_age - reporting_vms.SPREAD_SECONDS)
        started_at = covered_until - RATIO_SECONDS
        own_units = _units_since(self.local_entries, started_at)
        if own_units <= 0:
            return 0.0
        unconfirmed = _units_since(self.local_entries, now - report_age)
        all_units = _units_since(self.fleet_entries, started_at)
        other_units = max(0, all_units - own_units)
        own_units -= _units_since(self.local_entries, covered_until)
        ratio = other_vm_count
        if own_units > 0:
            ratio = min(other_vm_count, other_units / own_units)
        # A few large requests of this VM do not tell much of the others.
        usual = other_units * report_age / RATIO_SECONDS
        return min(ratio * unconfirmed, MAX_UNSEEN_FACTOR * usual)

    def set_limits(self, customer):
        """Apply the customer's rate and burst if they have changed."""
        if (customer.rate, customer.burst) != (self.rate, self.burst):
            self.level = min(self.level, customer.burst)
        self.rate = customer.rate
        self.burst = customer.burst

    def seconds_until_freed(self, now, window, excess):
        """Return the seconds until the window has dropped enough units.

        Args:
            now: the current time.
            window: length of the window in seconds.
            excess: units that must leave the window.
        """
        for consumed_at, units in self.fleet_entries:
            excess -= units
            if excess <= 0:
                return max(0.0, consumed_at + window - now)
        return window


def _units_since(entries, started_at):
    """Return the units of (time, units) pairs after a time."""
    units = 0
    for consumed_at, consumed in reversed(entries):
        if consumed_at < started_at:
            break
        units += consumed
    return units
