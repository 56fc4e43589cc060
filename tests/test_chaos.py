"""Injects random faults with fixed seeds and checks a recorded history.

No accepted change is lost, the version that a VM reports never decreases,
and an order runs at most once, and not at all if every answer to it has
the outcome `not-run`.
"""

import random
import signal
import threading
import time
import uuid

import builders
import fault_proxy
import fleet as fleets
import pytest

SEEDS = (11, 12, 13)
FAULTS = (
    'kill',
    'kill leader',
    'cut',
    'one way',
    'silent',
    'delay',
    'reset',
)
ROUNDS = 8
VMS = 5
ORDER_THREADS = 3
ORDER_PAUSE_SECONDS = 0.02


class History:
    """What callers and operators observed during the faults.

    Attributes:
        lock: guards the versions and answers, which several threads write;
            only one thread writes the key ids.
        accepted_key_ids: ids of the keys whose issue was acknowledged.
        versions_by_vm: latest version that each VM reported.
        version_decreases: VMs and versions of each decrease.
        answers_by_order: all answers to each order, in order of receipt.
    """

    def __init__(self):
        self.lock = threading.Lock()
        self.accepted_key_ids = []
        self.versions_by_vm = {}
        self.version_decreases = []
        self.answers_by_order = {}

    def record_version(self, vm_id, version):
        """Record the version of the replicated state that a VM reported."""
        with self.lock:
            if version < self.versions_by_vm.get(vm_id, 0):
                self.version_decreases.append((vm_id, version))
            self.versions_by_vm[vm_id] = version

    def record_answer(self, order, answer):
        """Record the answer to one attempt of an order."""
        with self.lock:
            self.answers_by_order.setdefault(order, []).append(answer)


def _issue_keys(world, history, stop_requested):
    rng = random.Random(1)
    while not stop_requested.is_set():
        vm_id = rng.choice(list(world.vms_by_id))
        digest = rng.randbytes(32).hex()
        status, _ = world.call_operator_api(
            vm_id,
            '/v1/keys/issue',
            environment='production',
            customer=builders.CUSTOMER,
            digest=digest,
            operation_id=uuid.uuid4().hex,
        )
        if status == 200:
            history.accepted_key_ids.append(digest[:16])


def _record_versions(world, history, stop_requested):
    while not stop_requested.is_set():
        for vm_id in world.vms_by_id:
            status = world.status(vm_id)
            if status is not None:
                history.record_version(vm_id, status['version'])


def _place_orders(world, history, stop_requested, number):
    rng = random.Random(number)
    count = 0
    while not stop_requested.is_set():
        count += 1
        order = f'order-{number}-{count}'
        for _ in range(3):
            vm_id = rng.choice(list(world.vms_by_id))
            history.record_answer(order, world.place_order(vm_id, order))
        stop_requested.wait(ORDER_PAUSE_SECONDS)


def _inject_fault(world, rng):
    vm_ids = list(world.vms_by_id)
    match rng.choice(FAULTS):
        case 'kill':
            _restart_vms(world, [rng.choice(vm_ids)])
        case 'kill leader':
            leader = world.leader()
            _restart_vms(world, [leader] if leader else [])
        case 'cut':
            rng.shuffle(vm_ids)
            size = rng.randrange(1, VMS)
            world.partition([vm_ids[:size], vm_ids[size:]])
        case 'one way':
            rule = fault_proxy.FaultRule(fault_proxy.Fault.RESET)
            world.set_link_rule(*rng.sample(vm_ids, 2), rule)
        case 'delay':
            rule = fault_proxy.FaultRule(delay_seconds=rng.uniform(0.05, 0.5))
            for _ in range(4):
                world.set_link_rule(*rng.sample(vm_ids, 2), rule)
        case 'reset':
            # The byte count lets the reset fall in the middle of a message.
            rule = fault_proxy.FaultRule(
                reset_after_bytes=rng.randrange(1, 3000)
            )
            for _ in range(4):
                world.set_link_rule(*rng.sample(vm_ids, 2), rule)
        case 'silent':
            groups = [vm_ids[:2], vm_ids[2:]]
            world.partition(groups, fault_proxy.Fault.BLACKHOLE)


def _restart_vms(world, vm_ids):
    for vm_id in vm_ids:
        world.stop_vm(vm_id, signal.SIGKILL)
        world.start_vm(vm_id)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_faults_break_no_promise(world, seed):
    rng = random.Random(seed)
    world.start_fleet(('bole', 'kirkos', 'arada', 'yeka', 'bole'))
    world.configure()
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])
    history = History()
    stop_requested = threading.Event()
    tasks = [(_issue_keys, ()), (_record_versions, ())]
    tasks += [(_place_orders, (number,)) for number in range(ORDER_THREADS)]
    futures = [
        world.pool.submit(task, world, history, stop_requested, *arguments)
        for task, arguments in tasks
    ]
    for _ in range(ROUNDS):
        _inject_fault(world, rng)
        # Long enough for an election to take place during the fault.
        time.sleep(rng.uniform(0.2, 2.0))
        world.heal()
    stop_requested.set()
    for future in futures:
        future.result()
    _check_history(world, history)


def _check_history(world, history):
    vm_ids = list(world.vms_by_id)

    def have_same_version():
        versions = {(world.status(v) or {}).get('version') for v in vm_ids}
        return len(versions) == 1 and None not in versions

    fleets.wait_until(
        have_same_version, 'all VMs to report the same version', timeout=60
    )
    for vm_id in vm_ids:
        listed = world.run_client('key', 'list', vm_id=vm_id)
        listed_key_ids = {key['key_id'] for key in listed}
        assert set(history.accepted_key_ids) <= listed_key_ids
    assert history.accepted_key_ids
    assert not history.version_decreases
    runs = world.run_counts()
    assert runs and max(runs.values()) == 1
    for order, answers in history.answers_by_order.items():
        for answer in answers:
            if answer.status == 201:
                assert runs.get(order) == 1
        outcomes = [answer.outcome for answer in answers]
        if set(outcomes) == {'not-run'}:
            assert order not in runs
