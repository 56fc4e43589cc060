"""Retry budget: how many requests may be sent to a further endpoint.

Load pattern: many endpoints reject or fail requests at once, and each retry
adds to the load that makes them fail.

The bound holds for all entry VMs together. Each VM uses its equal part of
the fixed number of retries, plus a share of the requests that it has seen.
"""

import collections
import threading

from carobwood import clocks

# Fraction of the bound that is used. The rest covers small shifts in time
# between the arrival of requests and their counts.
USED_FRACTION = 0.7


class FleetRetryBudget:
    """Retry budget of each service, within a sliding window."""

    def __init__(self, ratio, slack, window, count_vms, clock=clocks.now):
        """Create the budget.

        Args:
            ratio: retries allowed per request, over all VMs.
            slack: retries allowed in addition, over all VMs.
            window: length of the sliding window in seconds.
            count_vms: returns the number of entry VMs.
            clock: returns the time in seconds.
        """
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._count_vms = count_vms
        self._clock = clock
        self._lock = threading.Lock()
        self._requests_by_service = collections.defaultdict(collections.deque)
        self._retries_by_service = collections.defaultdict(collections.deque)

    def note_request(self, service):
        """Count a request for a service."""
        with self._lock:
            self._requests_by_service[service].append(self._clock())

    def may_spend(self, service):
        """Return whether a retry is left in a service's budget."""
        with self._lock:
            return self._has_retry(service)

    def try_spend(self, service):
        """Spend one retry from a service's budget if some is left.

        Returns:
            Whether the retry is allowed.
        """
        with self._lock:
            if not self._has_retry(service):
                return False
            self._retries_by_service[service].append(self._clock())
            return True

    def _has_retry(self, service):
        requests = self._recent(self._requests_by_service[service])
        retries = self._recent(self._retries_by_service[service])
        slack = self._slack / max(1, self._count_vms())
        allowed = USED_FRACTION * (self._ratio * len(requests) + slack)
        return len(retries) + 1 <= allowed

    def _recent(self, times):
        """Drop the times before the window and return the rest."""
        oldest = self._clock() - self._window
        while times and times[0] < oldest:
            times.popleft()
        return times
