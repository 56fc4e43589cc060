"""Tests of a fleet whose data folders are damaged or full."""

import pathlib
import random
import resource
import signal
import uuid

import builders
import fleet as fleets

FULL_DISK_BYTES = 256 * 1024


def _apply_document(world, vm_id, number, expected_version):
    return world.call_operator_api(
        vm_id,
        '/v1/documents/apply',
        environment='production',
        text=builders.document_text(
            retention={'claim_seconds': 5000 + number}
        ),
        operation_id=uuid.uuid4().hex,
        expected_version=expected_version,
    )[0]


def test_incomplete_log_tail_is_truncated_and_a_flipped_bit_stops_the_start(
    world,
):
    world.start_fleet(('bole', 'kirkos', 'arada'))
    world.configure()
    for number in range(5):
        status = _apply_document(world, 'vm1', number, 1 + number)
        assert status == 200
    vm = world.vms_by_id['vm3']
    world.stop_vm('vm3', signal.SIGKILL)
    segment = pathlib.Path(vm.data_folder) / 'log.00000001'
    undamaged = segment.read_bytes()
    segment.write_bytes(undamaged[:-7])
    world.start_vm('vm3')
    fleets.wait_until(
        lambda: world.document_versions().get('vm3') == 6, 'vm3 to catch up'
    )
    assert '"log-tail-cut"' in vm.read_log()
    world.stop_vm('vm3', signal.SIGKILL)
    damaged = bytearray(segment.read_bytes())
    damaged[len(damaged) // 3] ^= 0x01
    segment.write_bytes(damaged)
    world.start_vm('vm3')
    assert vm.process.wait(20) == 1
    assert 'carobwoodd: log_damaged' in vm.read_log()
    assert segment.read_bytes() == bytes(damaged)
    assert _apply_document(world, 'vm1', 9, 6) == 200


def test_full_disk_rejects_changes_but_requests_are_served(world):
    world.start_fleet(('bole',))
    world.configure()
    world.start_engine('engine-1')
    world.await_endpoints(['engine-1'])
    vm = world.vms_by_id['vm1']
    # The limit applies to each file that the daemon writes, also to its
    # log output. The segment is made the largest, so that only writes to
    # it fail.
    padding = random.Random(1).randbytes(FULL_DISK_BYTES).hex()
    world.configure(f'{builders.document_text()}# {padding}\n')
    size = pathlib.Path(vm.data_folder, 'log.00000001').stat().st_size
    assert size > FULL_DISK_BYTES
    _limit_file_size(vm.process.pid, size + 100)
    assert _apply_document(world, 'vm1', 1, 2) == 504
    assert world.chat().status == 200
    assert world.document_versions() == {'vm1': 2}
    assert '"disk-failed"' in vm.read_log()
    _limit_file_size(vm.process.pid, resource.RLIM_INFINITY)

    def is_accepted():
        return (
            _apply_document(world, 'vm1', 2, world.document_versions()['vm1'])
            == 200
        )

    fleets.wait_until(is_accepted, 'changes to be accepted again')
    before = world.document_versions()['vm1']
    world.stop_vm('vm1', signal.SIGKILL)
    world.start_vm('vm1')
    world.await_ready()
    assert world.document_versions()['vm1'] == before


def _limit_file_size(pid, limit):
    hard = resource.RLIM_INFINITY
    resource.prlimit(pid, resource.RLIMIT_FSIZE, (limit, hard))
