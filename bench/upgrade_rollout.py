"""Replaces VMs one after the other, and disturbs others in between."""

import dataclasses
import signal

# Shares of the VMs that are killed instead of stopped when they are replaced.
KILLED_SHARE = 0.2
PAUSE_RANGE_SECONDS = (0.5, 3.0)
SETTLE_SECONDS = 1.0
# Time after which a fault no longer excuses what callers see.
CONTACT_SECONDS = 3.0
# Faults between two replacements, each equally likely.
FAULTS = ('none', 'kill', 'pause', 'stop')


@dataclasses.dataclass(frozen=True)
class Replacement:
    """The replacement of a VM and the fault that follows it.

    Attributes:
        vm_id: ID of the replaced VM.
        is_killed: whether it is killed instead of stopped.
        fault: one of ``FAULTS``.
        fault_vm_id: ID of the VM that the fault concerns.
        pause_seconds: length of a pause.
    """

    vm_id: str
    is_killed: bool
    fault: str
    fault_vm_id: str
    pause_seconds: float


def draw_replacements(rng, vm_ids, fault_vm_ids):
    """Return replacements of some VMs in random order.

    Args:
        rng: random numbers.
        vm_ids: IDs of the VMs that are replaced.
        fault_vm_ids: IDs of the VMs that faults concern.
    """
    order = list(vm_ids)
    rng.shuffle(order)
    return [
        Replacement(
            vm_id,
            rng.random() < KILLED_SHARE,
            rng.choice(FAULTS),
            rng.choice(fault_vm_ids),
            rng.uniform(*PAUSE_RANGE_SECONDS),
        )
        for vm_id in order
    ]


class Rollout:
    """Carries replacements out."""

    def __init__(self, processes, endpoints, records, stopped):
        """Create a rollout.

        Args:
            processes: the ``RelayProcesses``.
            endpoints: the ``Endpoints``.
            records: the ``Records``.
            stopped: event that ends the run.
        """
        self._processes = processes
        self._endpoints = endpoints
        self._records = records
        self._stopped = stopped

    def run(self, replacements, build):
        """Replace VMs by those of a ``Build``."""
        for replacement in replacements:
            number = signal.SIGTERM
            if replacement.is_killed:
                number = signal.SIGKILL
            self.restart(replacement.vm_id, number, build)
            self._endpoints.replace_one()
            self._settle()
            self._disturb(replacement)
            self._settle()

    def _disturb(self, replacement):
        vm = self._processes.vms_by_id[replacement.fault_vm_id]
        match replacement.fault:
            case 'kill':
                self.restart(vm.id, signal.SIGKILL, vm.build)
            case 'stop':
                self.restart(vm.id, signal.SIGTERM, vm.build)
            case 'pause':
                self.pause(vm, replacement.pause_seconds)

    def restart(self, vm_id, number, build):
        """End a VM by a signal, and start it with a ``Build``."""
        self.restart_together([vm_id], number, build)

    def restart_together(self, vm_ids, number, build):
        """End all of some VMs by a signal before one is started again."""
        self._note_ended()
        disruptions = [
            self._records.begin_disruption(
                vm_id,
                f'{signal.Signals(number).name}, then {build.name}',
                number == signal.SIGTERM,
            )
            for vm_id in vm_ids
        ]
        for vm_id in vm_ids:
            self._processes.vms_by_id[vm_id].stop(number)
        for vm_id in vm_ids:
            self._processes.start(vm_id, build)
        for vm_id, disruption in zip(vm_ids, disruptions, strict=True):
            self._processes.await_ready(vm_id)
            disruption.end()

    def pause(self, vm, seconds):
        """Stop a VM's process for some time, and wait until it is ready."""
        # Another thread may restart the VM meanwhile.
        process = vm.process
        disruption = self._records.begin_disruption(
            vm.id, f'SIGSTOP for {seconds:.1f} s', False
        )
        process.send_signal(signal.SIGSTOP)
        self._stopped.wait(seconds)
        process.send_signal(signal.SIGCONT)
        self._processes.await_ready(vm.id)
        disruption.end()

    def _settle(self):
        seconds = SETTLE_SECONDS
        if not self._records.disruptions[-1].is_planned:
            seconds += CONTACT_SECONDS
        self._stopped.wait(seconds)
        self._note_ended()

    def _note_ended(self):
        for vm in self._processes.vms_by_id.values():
            if vm.has_ended_by_itself:
                self._records.ended_by_themselves.append(vm.id)
                vm.is_expected_to_run = False
