"""Traffic of gossip by the size of the fleet, in simulated time.

The VMs exchange real messages in one process, as in tests/gossip_fleet.py.
Requests arrive at 3.2 a second and entry VM; each loads one of 59 engines
for a second, names one of 1,600 prefixes and is charged to one of 19
customers.
"""

import argparse
import pathlib
import random
import sys

TESTS = pathlib.Path(__file__).parents[1] / 'tests'
sys.path.insert(0, str(TESTS))

from carobwood_daemon.relay import fleet_loads  # noqa: E402
from carobwood_daemon.routing import prefix  # noqa: E402
import gossip_fleet  # noqa: E402
import relay_builders as builders  # noqa: E402

REQUESTS_PER_VM_SECOND = 3.2
ENGINES = 59
PREFIXES = 1600
CUSTOMERS = 19
WARM_UP_SECONDS = 6.0
MEASURED_SECONDS = 8.0


class _Patch:
    """Replaces attributes for the life of the process."""

    def setattr(self, target, name, value):
        """Set an attribute; see pytest's ``MonkeyPatch``."""
        setattr(target, name, value)


class Load:
    """Requests that arrive at the entry VMs of a fleet."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._random = random.Random(1)
        self._releases = []
        self._engines = [
            builders.endpoint(f'i-{n:08x}') for n in range(ENGINES)
        ]
        customers = [
            builders.customer(f'customer-{n}', rate=1e6, burst=1e6)
            for n in range(CUSTOMERS)
        ]
        for vm in fleet.entry_vms():
            vm.quota.set_limits(customers)

    def step(self):
        """Send the requests of one step of the simulation."""
        now = self._fleet.clock.now
        while self._releases and self._releases[0][0] <= now:
            self._releases.pop(0)[1].release()
        chance = REQUESTS_PER_VM_SECOND * gossip_fleet.STEP_SECONDS
        for vm in self._fleet.entry_vms():
            if self._random.random() < chance:
                self._send(vm, now)

    def _send(self, vm, now):
        engine = self._random.choice(self._engines)
        number = self._random.randrange(PREFIXES)
        block = number.to_bytes(prefix.DIGEST_BYTES, 'big')
        vm.prefix_cache_index.record_use(engine, (block,))
        customer = self._random.randrange(CUSTOMERS)
        vm.quota.admit(f'customer-{customer}', 9200)
        load = fleet_loads.Load(1, 2900, 2900)
        self._releases.append((now + 1.0, vm.loads.reserve(engine.id, load)))


def measure(entry_vms, data_centres):
    """Print the traffic of the VMs of a fleet.

    Args:
        entry_vms: number of entry VMs.
        data_centres: number of data centres, with a control VM each.
    """
    fleet = gossip_fleet.GossipFleet(_Patch(), data_centres, entry_vms)
    load = Load(fleet)
    fleet.run(WARM_UP_SECONDS, load.step)
    for vm in fleet.vms_by_id.values():
        vm.calls = vm.served = vm.sent_bytes = vm.received_bytes = 0
    fleet.run(MEASURED_SECONDS, load.step)
    for name, vms in (
        ('entry', fleet.entry_vms()),
        ('control', fleet.core_vms()),
    ):
        count = len(vms) * MEASURED_SECONDS
        sent = sum(vm.sent_bytes for vm in vms) / count
        received = sum(vm.received_bytes for vm in vms) / count
        calls = sum(vm.calls + vm.served for vm in vms) / count
        print(
            f'{entry_vms} entry VMs, {data_centres} data centres: {name} VM '
            f'sends {sent:.0f} B/s, receives {received:.0f} B/s, '
            f'{calls:.1f} calls/s'
        )


def main():
    """Measure fleets of the given sizes."""
    parser = argparse.ArgumentParser(description=__doc__.split('\n')[0])
    parser.add_argument(
        'entry_vms', nargs='*', type=int, default=[24, 96, 194]
    )
    parser.add_argument('--data-centres', type=int, default=6)
    arguments = parser.parse_args()
    for entry_vms in arguments.entry_vms:
        measure(entry_vms, arguments.data_centres)


if __name__ == '__main__':
    main()
