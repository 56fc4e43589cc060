"""Tests of control VMs that are gone for good, over processes.

Another one loses its disk after that. One loss at a time is tolerated.
"""

import shutil
import signal

import control_processes
import fleet as fleets
import pytest
import relay_test_fleet

FIRST_VMS = 3
LOST = 0
KEPT = 1


class _Fleet(control_processes.ProcessFleet):
    """Three control VMs, and successors that are not started yet."""

    def __enter__(self):
        for vm in (*self.control_vms[:FIRST_VMS], self.entry_vm):
            vm.start()
        return self

    def start_successor(self, number):
        """Start a VM with an empty disk, and wait until it is a member."""
        vm = self.control_vms[number]
        vm.fields['first_start'] = False
        vm.start()
        relay_test_fleet.await_reply(
            self.member_names, lambda names: vm.name in names
        )
        relay_test_fleet.await_reply(
            lambda: self.read_version(number), lambda version: version > 0
        )

    def stop(self, number):
        """Stop a VM as planned, and wait for its end."""
        vm = self.control_vms[number]
        vm.process.send_signal(signal.SIGTERM)
        assert vm.process.wait(relay_test_fleet.WAIT_SECONDS) == 0

    def lose_disk(self, number):
        """Kill a VM and start it without its files."""
        vm = self.control_vms[number]
        vm.kill()
        shutil.rmtree(vm.folder)
        vm.folder.mkdir()
        vm.start()

    def change(self, number, version):
        """Change the configuration through one VM until it is acknowledged."""
        fleets.wait_until(
            lambda: self.put_configuration(number, version) == 200,
            'the acknowledgement',
        )


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet with a configuration, whose disks work."""
    with _Fleet(tmp_path, FIRST_VMS + 2) as processes:
        for vm in processes.control_vms:
            vm.folder.mkdir(exist_ok=True)
        processes.change(KEPT, 1)
        yield processes


# No change was acknowledged and no configuration read any more: a control VM
# was replaced as planned, and another one lost its disk seconds later.
def test_a_disk_is_lost_after_a_planned_replacement(fleet):
    fleet.start_successor(3)
    fleet.stop(2)
    fleet.lose_disk(LOST)
    fleet.change(KEPT, 2)
    assert fleet.read_version(3) in (1, 2)


# The same with two replacements in a row, without any fault.
def test_two_control_vms_are_replaced_in_a_row(fleet):
    fleet.start_successor(3)
    fleet.start_successor(4)
    fleet.stop(2)
    fleet.stop(LOST)
    fleet.change(KEPT, 2)
    fleet.lose_disk(3)
    fleet.change(KEPT, 3)


# A stopped VM that is started again after it has handed its vote over must
# become a member, and may be needed for the quorum next.
def test_a_control_vm_that_handed_its_vote_over_comes_back(fleet):
    fleet.start_successor(3)
    fleet.stop(2)
    fleet.change(KEPT, 2)
    fleet.control_vms[2].start()
    relay_test_fleet.await_reply(
        lambda: fleet.read_version(2), lambda version: version == 2
    )
    relay_test_fleet.await_reply(
        fleet.member_names, lambda names: 'core-2' in names
    )
    fleet.stop(3)
    fleet.lose_disk(LOST)
    fleet.change(KEPT, 3)
