"""Runs load with faults and checks the guarantees given to callers.

The fleet has three real daemons, all voters, behind fault proxies, fake
engines and a fake order service. The model traffic has the profile
``abyssinia``, with a fixed random seed; orders are sent beside it and
repeated until answered. Faults are injected one after another at fixed
times. The exit code is 1 if a guarantee was violated.
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

import engine_policies
import plots
import proxied_fleet

RUN_SECONDS = 34.0
ORDERS_PER_SECOND = 4.0
ORDER_ATTEMPTS = 4
SERVICE_ID = 'booth-orders'
POISON_TEXT = 'poison-this-engine'
RESULT_PATH = engine_policies.RESULTS_FOLDER / 'faults.json'
PLOT_PATH = engine_policies.RESULTS_FOLDER / 'faults.png'
ORDER_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class ScheduledFault:
    """A fault, or its repair, at a fixed time of the run.

    Attributes:
        offset_seconds: seconds from the start of the run.
        name: label for the plot.
        inject: function without arguments that causes it.
    """

    offset_seconds: float
    name: str
    inject: object


@dataclasses.dataclass
class Order:
    """An order to the service and the responses to it.

    Attributes:
        key: idempotency key of the order.
        answers: pairs of HTTP status and ``Carobwood-Outcome``, one for
            each attempt.
    """

    key: str
    answers: list = dataclasses.field(default_factory=list)


class FailoverCaller(engine_policies.Caller):
    """Sends the request of one arrival.

    If a VM refuses the connection it tries the next one, as a load
    balancer does.
    """

    def run(self):
        """Send the request at the arrival time and record the result."""
        time.sleep(max(0.0, self._start_time - time.monotonic()))
        record = self._record
        for number in range(engine_policies.VM_COUNT):
            vm = (record.arrival.vm + number) % engine_policies.VM_COUNT
            arrival = dataclasses.replace(record.arrival, vm=vm)
            try:
                self._send(*self._trial.choose_target(arrival, {}))
                return
            except ConnectionRefusedError:
                continue
            except (OSError, http.client.HTTPException) as error:
                record.failure = type(error).__name__
                return
        record.failure = 'no VM'


class FaultTrial(engine_policies.PolicyTrial):
    """Three voters in three data centres, engines and an order service.

    Attributes:
        voters: number of voters among the VMs.
    """

    voters = 3

    def __init__(self, fleet, profile):
        super().__init__(fleet, profile, 'expected-time')
        fleet.start_service(SERVICE_ID)
        fleet.await_endpoints([SERVICE_ID])

    def order(self, vm, key):
        """Send an order through a VM and return status and outcome.

        Args:
            vm: number of the VM.
            key: idempotency key of the order.

        Returns:
            HTTP status and ``Carobwood-Outcome``, or 0 and ``lost`` if
            there is no complete response.
        """
        address = self._fleet.vms_by_id[f'vm{vm}'].caller_address
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
    """Sends one order and retries it through the next VM until answered."""

    def __init__(self, trial, order, start_time, first_vm):
        super().__init__(daemon=True)
        self._trial = trial
        self._order = order
        self._start_time = start_time
        self._first_vm = first_vm

    def run(self):
        """Send until the order is answered or the attempts are used up."""
        time.sleep(max(0.0, self._start_time - time.monotonic()))
        for number in range(ORDER_ATTEMPTS):
            vm = (self._first_vm + number) % engine_policies.VM_COUNT
            answer = self._trial.order(vm, self._order.key)
            self._order.answers.append(answer)
            if answer[0] in (200, 201):
                return
            time.sleep(ORDER_RETRY_SECONDS)


class FaultInjector(threading.Thread):
    """Injects the faults at their times.

    Attributes:
        faults: the ``ScheduledFault`` list, in order of time.
        trial: the ``FaultTrial``; set before the thread starts.
    """

    def __init__(self, fleet, profile, start):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._profile = profile
        self._start_time = start
        self.faults = [
            ScheduledFault(5.0, 'engine crashes', self._crash_engine),
            ScheduledFault(8.0, 'engine restarts', self._restart_engine),
            ScheduledFault(11.0, 'vm2 is cut off', self._cut_off_vm2),
            ScheduledFault(15.0, 'links are restored', fleet.heal),
            ScheduledFault(18.0, 'leader is killed', self._kill_leader),
            ScheduledFault(
                20.0, 'killed VM restarts', self._restart_killed_vms
            ),
            ScheduledFault(24.0, 'all VMs restart', self._restart_all_vms),
            ScheduledFault(29.0, 'poison request', self._send_poison_request),
        ]
        self._killed_vm_ids = []
        self._poisoned = threading.Event()

    def run(self):
        """Wait for the time of each fault and inject it."""
        for fault in self.faults:
            due_at = self._start_time + fault.offset_seconds
            time.sleep(max(0.0, due_at - time.monotonic()))
            fault.inject()

    def _crash_engine(self):
        self._fleet.stop_stand_in('engine-0', signal.SIGKILL)

    def _restart_engine(self):
        engine_policies.start_engine(self._fleet, 'engine-0', 0)

    def _cut_off_vm2(self):
        self._fleet.partition([['vm2'], ['vm0', 'vm1']])

    def _kill_leader(self):
        for vm_id in list(self._fleet.vms_by_id):
            status = self._fleet.status(vm_id)
            if status and status['role'] == 'leader':
                self._fleet.stop_vm(vm_id, signal.SIGKILL)
                self._killed_vm_ids.append(vm_id)
                return

    def _restart_killed_vms(self):
        for vm_id in self._killed_vm_ids:
            self._fleet.start_vm(vm_id)

    def _restart_all_vms(self):
        for vm in self._fleet.vms_by_id.values():
            vm.process.kill()
        for vm_id, vm in self._fleet.vms_by_id.items():
            vm.process.wait()
            self._fleet.start_vm(vm_id)

    def _send_poison_request(self):
        record = engine_policies.RequestRecord(
            engine_policies.Arrival(0.0, 0, POISON_TEXT, 0)
        )
        for vm in range(engine_policies.VM_COUNT):
            record.arrival = dataclasses.replace(record.arrival, vm=vm)
            caller = FailoverCaller(self.trial, record, time.monotonic())
            caller.run()


def _run(fleet, profile):
    trial = FaultTrial(fleet, profile)
    start = time.monotonic() + 0.5
    injector = FaultInjector(fleet, profile, start)
    injector.trial = trial
    records = [
        engine_policies.RequestRecord(arrival)
        for arrival in engine_policies.generate_arrivals(profile, RUN_SECONDS)
    ]
    rng = random.Random(engine_policies.SEED)
    count = int(RUN_SECONDS * ORDERS_PER_SECOND)
    orders = [Order(f'order-{number}') for number in range(count)]
    threads = [injector]
    threads += [FailoverCaller(trial, record, start) for record in records]
    threads += [
        OrderCaller(
            trial,
            order,
            start + rng.uniform(0, RUN_SECONDS),
            rng.randrange(engine_policies.VM_COUNT),
        )
        for order in orders
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    runs = fleet.get_stand_in_json(SERVICE_ID, '/runs')['runs']
    running_engines = sum(
        process.poll() is None
        for name, process in fleet.stand_ins_by_id.items()
        if name != SERVICE_ID
    )
    return injector.faults, records, orders, runs, running_engines


def _summarise(profile, records, orders, runs, running_engines):
    greedy_customer = len(profile.customers) - 1
    served = [r for r in records if r.status == 200 and r.is_complete]
    first_token_times = [record.first_token_seconds for record in served]
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
    prompt_tokens = sum(record.prompt_tokens for record in served)
    return {
        'requests': len(records),
        'whole': len(served),
        'hit_rate': round(
            sum(r.cached_tokens for r in served) / prompt_tokens, 4
        ),
        'p50_ms': round(
            engine_policies.percentile(first_token_times, 50) * 1000
        ),
        'p95_ms': round(
            engine_policies.percentile(first_token_times, 95) * 1000
        ),
        'p99_ms': round(
            engine_policies.percentile(first_token_times, 99) * 1000
        ),
        'not_whole': dict(failures),
        'refused_inside_rate': sum(
            r.status == 429 and r.arrival.customer != greedy_customer
            for r in records
        ),
        'orders': len(orders),
        'orders_answered': answered,
        'orders_not_run': len(not_run),
        'engines_lost_to_poison': profile.engines - running_engines,
        'violations': {
            'streams_that_end_silently': sum(
                r.status == 200
                and not (r.is_complete or r.failure or r.has_error_event)
                for r in records
            ),
            'orders_run_twice': sum(count > 1 for count in runs.values()),
            'not_run_but_ran': sum(runs.get(o.key, 0) > 0 for o in not_run),
            'engines_lost_beyond_two': max(
                0, profile.engines - running_engines - 2
            ),
        },
    }


def main():
    """Run the load with faults; print, store and plot the figures.

    Returns:
        The exit code: 1 if a guarantee was violated, else 0.
    """
    argparse.ArgumentParser(description=__doc__).parse_args()
    profile = engine_policies.TRAFFIC_PROFILES[0]
    with proxied_fleet.ProxiedFleet() as fleet:
        faults, *results = _run(fleet, profile)
    figures = _summarise(profile, *results)
    print(json.dumps(figures, indent=2))
    pathlib.Path(RESULT_PATH).write_text(json.dumps(figures, indent=2) + '\n')
    plots.plot_faults(results[0], faults, PLOT_PATH)
    return 1 if any(figures['violations'].values()) else 0


if __name__ == '__main__':
    sys.exit(main())
