"""Randomised faults with fixed seeds, checked against a written history.

No accepted change is lost, the version that a VM shows only grows, and
an order runs at most once, and not at all where a caller saw `not-run`.
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
ORDERERS = 3
PAUSE_SECONDS = 0.02


class History:
    """What callers and operators saw."""

    def __init__(self):
        self.lock = threading.Lock()
        self.accepted_keys = []
        self.versions_by_vm = {}
        self.reversions = []
        self.answers_by_order = {}

    def note_version(self, vm_id, version):
        """Record a version that a VM showed."""
        with self.lock:
            if version < self.versions_by_vm.get(vm_id, 0):
                self.reversions.append((vm_id, version))
            self.versions_by_vm[vm_id] = version

    def note_answer(self, order, answer):
        """Record an answer to a copy of an order."""
        with self.lock:
            self.answers_by_order.setdefault(order, []).append(answer)


def _issue_keys(world, history, stopped):
    source = random.Random(1)
    while not stopped.is_set():
        vm_id = source.choice(list(world.vms_by_id))
        digest = source.randbytes(32).hex()
        status, _ = world.operate(
            vm_id,
            '/v1/keys/issue',
            environment='production',
            customer=builders.CUSTOMER,
            digest=digest,
            operation_id=uuid.uuid4().hex,
        )
        if status == 200:
            history.accepted_keys.append(digest[:16])


def _watch(world, history, stopped):
    while not stopped.is_set():
        for vm_id in world.vms_by_id:
            status = world.status(vm_id)
            if status is not None:
                history.note_version(vm_id, status['version'])


def _order(world, history, stopped, number):
    source = random.Random(number)
    count = 0
    while not stopped.is_set():
        count += 1
        order = f'order-{number}-{count}'
        for _ in range(3):
            vm_id = source.choice(list(world.vms_by_id))
            history.note_answer(order, world.order(vm_id, order))
        stopped.wait(PAUSE_SECONDS)


def _fault(world, source):
    vm_ids = list(world.vms_by_id)
    match source.choice(FAULTS):
        case 'kill':
            _kill_and_start(world, [source.choice(vm_ids)])
        case 'kill leader':
            leader = world.leader()
            _kill_and_start(world, [leader] if leader else [])
        case 'cut':
            source.shuffle(vm_ids)
            size = source.randrange(1, VMS)
            world.cut([vm_ids[:size], vm_ids[size:]])
        case 'one way':
            rule = fault_proxy.Rule(fault_proxy.Fault.CUT)
            world.cut_one_way(*source.sample(vm_ids, 2), rule)
        case 'delay':
            rule = fault_proxy.Rule(delay=source.uniform(0.05, 0.5))
            for _ in range(4):
                world.cut_one_way(*source.sample(vm_ids, 2), rule)
        case 'reset':
            # In the middle of a message.
            rule = fault_proxy.Rule(reset_after=source.randrange(1, 3000))
            for _ in range(4):
                world.cut_one_way(*source.sample(vm_ids, 2), rule)
        case 'silent':
            groups = [vm_ids[:2], vm_ids[2:]]
            world.cut(groups, fault_proxy.Fault.SILENT)


def _kill_and_start(world, vm_ids):
    for vm_id in vm_ids:
        world.stop_vm(vm_id, signal.SIGKILL)
        world.start_vm(vm_id)


@pytest.mark.parametrize('seed', SEEDS)
def test_random_faults_break_no_promise(world, seed):
    source = random.Random(seed)
    world.start_fleet(('bole', 'kirkos', 'arada', 'yeka', 'bole'))
    world.configure()
    world.start_service('booth-orders')
    world.await_endpoints(['booth-orders'])
    history = History()
    stopped = threading.Event()
    duties = [(_issue_keys, ()), (_watch, ())]
    duties += [(_order, (number,)) for number in range(ORDERERS)]
    running = [
        world.pool.submit(duty, world, history, stopped, *arguments)
        for duty, arguments in duties
    ]
    for _ in range(ROUNDS):
        _fault(world, source)
        # Long enough for an election to fall into the fault.
        time.sleep(source.uniform(0.2, 2.0))
        world.heal()
    stopped.set()
    for duty in running:
        duty.result()
    _check(world, history)


def _check(world, history):
    vm_ids = list(world.vms_by_id)

    def agree():
        versions = {(world.status(v) or {}).get('version') for v in vm_ids}
        return len(versions) == 1 and None not in versions

    fleets.wait_until(agree, 'all VMs to agree', timeout=60)
    for vm_id in vm_ids:
        listed = world.client('key', 'list', vm_id=vm_id)
        known = {key['key_id'] for key in listed}
        assert set(history.accepted_keys) <= known
    assert history.accepted_keys
    assert not history.reversions
    runs = world.runs()
    assert runs and max(runs.values()) == 1
    for order, answers in history.answers_by_order.items():
        for answer in answers:
            if answer.status == 201:
                assert runs.get(order) == 1
        outcomes = [answer.outcome for answer in answers]
        if set(outcomes) == {'not-run'}:
            assert order not in runs
