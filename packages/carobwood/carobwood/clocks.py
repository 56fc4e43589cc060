"""The clock for timeouts and leases."""

import time


def now():
    """Return the seconds of a monotonic clock that includes suspensions.

    The clock goes on while the VM is suspended, so a lease that expires
    during a suspension counts as expired afterwards. Changes to the
    time of day have no effect.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
