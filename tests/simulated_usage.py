"""A customer that sends beyond its rate through a simulated fleet."""

import itertools

from carobwood_daemon.relay import quota
import gossip_fleet
import relay_builders as builders

UNITS_PER_REQUEST = 5
# Apart from the number of VMs, so that all of them get requests in turn.
STRIDE = 7


class SimulatedUsage:
    """Requests of one customer, and how many units of them are admitted.

    Attributes:
        admitted: (time, units) pairs.
        refused: the ``QuotaDecision`` on each refused request.
        bound: units that a window may hold.
    """

    def __init__(self, fleet, load_factor):
        """Create the customer.

        Args:
            fleet: the ``GossipFleet``.
            load_factor: multiple of its rate at which it sends.
        """
        self.admitted = []
        self.refused = []
        customer = builders.customer()
        tolerance = builders.tolerance()
        limit = tolerance.limit(customer.rate, customer.burst)
        self.bound = limit * (1 + tolerance.overshoot) + tolerance.slack
        self._customer = customer
        self._fleet = fleet
        units = load_factor * customer.rate * gossip_fleet.STEP_SECONDS
        self._requests_per_step = round(units / UNITS_PER_REQUEST)
        self._numbers = itertools.count()

    def send(self):
        """Send the requests of one step of the simulation."""
        vms = self._fleet.entry_vms()
        for _ in range(self._requests_per_step):
            vm = vms[STRIDE * next(self._numbers) % len(vms)]
            decision = vm.quota.admit(self._customer.name, UNITS_PER_REQUEST)
            if decision.verdict is quota.Verdict.REFUSED:
                self.refused.append(decision)
            else:
                now = self._fleet.clock.now
                self.admitted.append((now, UNITS_PER_REQUEST))

    def worst_window(self):
        """Return the most units that any window has held."""
        units_by_time = {}
        for at, units in self.admitted:
            units_by_time[at] = units_by_time.get(at, 0) + units
        return max(
            sum(
                units
                for at, units in units_by_time.items()
                if end - gossip_fleet.WINDOW_SECONDS < at <= end
            )
            for end in units_by_time
        )
