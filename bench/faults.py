"""Load with faults: what callers see, and whether a promise breaks.

Real daemons with three voters behind fault proxies, fake engines and a
fake order service. Abyssinia's shape of traffic, repeated orders beside
it, and one fault after another at fixed moments of a seeded sequence.
"""

import argparse
import collections
import dataclasses
import http.client
import json
import pathlib
import random
import signal
import sys
import threading
import time

import choice
import plots
import proxied_fleet

SECONDS = 34.0
ORDERS_PER_SECOND = 4.0
ORDER_TRIES = 4
SERVICE = 'booth-orders'
POISON = 'poison-this-engine'
RESULT = choice.RESULTS / 'faults.json'
PLOT = choice.RESULTS / 'faults.png'
RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class Fault:
    """A moment of the run.

    Attributes:
        at: seconds from the start.
        name: what happens.
        act: function that brings it about.
    """

    at: float
    name: str
    act: object


@dataclasses.dataclass
class Order:
    """An order and what its caller was told.

    Attributes:
        key: its idempotency key.
        answers: pairs of status and outcome, one for each try.
    """

    key: str
    answers: list = dataclasses.field(default_factory=list)


class Caller(choice.Caller):
    """Sends one arrival; goes on to the next VM as a balancer does."""

    def run(self):
        """Wait, send and record."""
        time.sleep(max(0.0, self._start_at - time.monotonic()))
        record = self._record
        for number in range(choice.VMS):
            vm = (record.arrival.vm + number) % choice.VMS
            arrival = dataclasses.replace(record.arrival, vm=vm)
            try:
                self._send(*self._arm.target(arrival, {}))
                return
            except ConnectionRefusedError:
                continue
            except (OSError, http.client.HTTPException) as error:
                record.failure = type(error).__name__
                return
        record.failure = 'no VM'


class FaultArm(choice.Arm):
    """Three voters in three data centres, engines and a service."""

    voters = 3

    def __init__(self, fleet, shape):
        super().__init__(fleet, shape, 'expected-time')
        fleet.start_service(SERVICE)
        fleet.await_endpoints([SERVICE])

    def order(self, vm, key):
        """Send an order through a VM and return status and outcome."""
        address = self._fleet.vms_by_id[f'vm{vm}'].caller
        host, _, port = address.partition(':')
        connection = http.client.HTTPConnection(host, int(port), timeout=15)
        headers = {
            'Authorization': f'Bearer {self._keys[0]}',
            'Idempotency-Key': key,
        }
        try:
            connection.request('POST', '/orders', b'{"prints": 1}', headers)
            answer = connection.getresponse()
            answer.read()
            return answer.status, answer.headers['Carobwood-Outcome']
        except (OSError, http.client.HTTPException):
            return 0, 'lost'
        finally:
            connection.close()


class OrderCaller(threading.Thread):
    """Sends one order, again through another VM until it is answered."""

    def __init__(self, arm, order, start_at, first_vm):
        super().__init__(daemon=True)
        self._arm = arm
        self._order = order
        self._start_at = start_at
        self._first_vm = first_vm

    def run(self):
        """Send until the order is answered or given up."""
        time.sleep(max(0.0, self._start_at - time.monotonic()))
        for number in range(ORDER_TRIES):
            vm = (self._first_vm + number) % choice.VMS
            answer = self._arm.order(vm, self._order.key)
            self._order.answers.append(answer)
            if answer[0] in (200, 201):
                return
            time.sleep(RETRY_SECONDS)


class Director(threading.Thread):
    """Brings the faults about at their moments."""

    def __init__(self, fleet, shape, start):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._shape = shape
        self._start_at = start
        self.faults = [
            Fault(5.0, 'engine crashes', self._crash_engine),
            Fault(8.0, 'engine comes back', self._start_engine),
            Fault(11.0, 'vm2 is cut off', self._cut),
            Fault(15.0, 'links heal', fleet.heal),
            Fault(18.0, 'leader is killed', self._kill_leader),
            Fault(20.0, 'it starts again', self._start_killed),
            Fault(24.0, 'all VMs restart', self._herd),
            Fault(29.0, 'poison request', self._poison),
        ]
        self._killed = []
        self._poisoned = threading.Event()

    def run(self):
        """Act at each moment."""
        for fault in self.faults:
            due_at = self._start_at + fault.at
            time.sleep(max(0.0, due_at - time.monotonic()))
            fault.act()

    def _crash_engine(self):
        self._fleet.stop_stand_in('engine-0', signal.SIGKILL)

    def _start_engine(self):
        choice.start_engine(self._fleet, 'engine-0', 0)

    def _cut(self):
        self._fleet.cut([['vm2'], ['vm0', 'vm1']])

    def _kill_leader(self):
        for vm_id in list(self._fleet.vms_by_id):
            status = self._fleet.status(vm_id)
            if status and status['role'] == 'leader':
                self._fleet.stop_vm(vm_id, signal.SIGKILL)
                self._killed.append(vm_id)
                return

    def _start_killed(self):
        for vm_id in self._killed:
            self._fleet.start_vm(vm_id)

    def _herd(self):
        for vm in self._fleet.vms_by_id.values():
            vm.process.kill()
        for vm_id, vm in self._fleet.vms_by_id.items():
            vm.process.wait()
            self._fleet.start_vm(vm_id)

    def _poison(self):
        record = choice.Record(choice.Arrival(0.0, 0, POISON, 0))
        for vm in range(choice.VMS):
            record.arrival = dataclasses.replace(record.arrival, vm=vm)
            caller = Caller(self.arm, record, time.monotonic())
            caller.run()


def _run(fleet, shape):
    arm = FaultArm(fleet, shape)
    start = time.monotonic() + 0.5
    director = Director(fleet, shape, start)
    director.arm = arm
    records = [
        choice.Record(arrival) for arrival in choice.arrivals(shape, SECONDS)
    ]
    source = random.Random(choice.SEED)
    count = int(SECONDS * ORDERS_PER_SECOND)
    orders = [Order(f'order-{number}') for number in range(count)]
    threads = [director]
    threads += [Caller(arm, record, start) for record in records]
    threads += [
        OrderCaller(
            arm,
            order,
            start + source.uniform(0, SECONDS),
            source.randrange(choice.VMS),
        )
        for order in orders
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = fleet.stand_in_get(SERVICE, '/runs')['runs']
    alive = sum(
        process.poll() is None
        for name, process in fleet.stand_ins_by_id.items()
        if name != SERVICE
    )
    return director.faults, records, orders, runs, alive


def _summarise(shape, records, orders, runs, alive):
    greedy = len(shape.customers) - 1
    served = [r for r in records if r.status == 200 and r.is_whole]
    firsts = [record.first_token_seconds for record in served]
    failures = collections.Counter(
        r.failure or str(r.status) for r in records if r not in served
    )
    answered = sum(
        any(status in (200, 201) for status, _ in order.answers)
        for order in orders
    )
    not_run = [
        order
        for order in orders
        if {outcome for _, outcome in order.answers} == {'not-run'}
    ]
    prompt = sum(record.prompt_tokens for record in served)
    return {
        'requests': len(records),
        'whole': len(served),
        'hit_rate': round(sum(r.cached_tokens for r in served) / prompt, 4),
        'p50_ms': round(choice.percentile(firsts, 50) * 1000),
        'p95_ms': round(choice.percentile(firsts, 95) * 1000),
        'p99_ms': round(choice.percentile(firsts, 99) * 1000),
        'not_whole': dict(failures),
        'refused_inside_rate': sum(
            r.status == 429 and r.arrival.customer != greedy for r in records
        ),
        'orders': len(orders),
        'orders_answered': answered,
        'orders_not_run': len(not_run),
        'engines_lost_to_poison': shape.engines - alive,
        'violations': {
            'streams_that_end_silently': sum(
                r.status == 200
                and not (r.is_whole or r.failure or r.has_error_event)
                for r in records
            ),
            'orders_run_twice': sum(count > 1 for count in runs.values()),
            'not_run_but_ran': sum(runs.get(o.key, 0) > 0 for o in not_run),
            'engines_lost_beyond_two': max(0, shape.engines - alive - 2),
        },
    }


def main():
    """Run the load with its faults; print, store and plot the figures."""
    argparse.ArgumentParser(description=__doc__).parse_args()
    shape = choice.SHAPES[0]
    with proxied_fleet.ProxiedFleet() as fleet:
        faults, *found = _run(fleet, shape)
    figures = _summarise(shape, *found)
    print(json.dumps(figures, indent=2))
    pathlib.Path(RESULT).write_text(json.dumps(figures, indent=2) + '\n')
    plots.plot_faults(found[0], faults, PLOT)
    return 1 if any(figures['violations'].values()) else 0


if __name__ == '__main__':
    sys.exit(main())
