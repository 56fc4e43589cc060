"""Chooses the VM that a VM without endpoints forwards a request to.

Load pattern: some VMs, also most of a data centre, reach no endpoint for
seconds. Their requests must not crowd one of the VMs that do, nor be passed to
one that is in the same trouble.

Each request goes to a VM at random, so that all that reach endpoints get the
same share, whatever data centre they are in. VMs say by gossip whether they
are cut off; one that has turned a request away is avoided for a while.
"""

import dataclasses
import random
import threading

from carobwood import clocks
from carobwood import events

# Time for which a VM that has taken no request is not asked again.
AVOID_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class CutOffState:
    """Whether a VM reaches no endpoint, as it has said itself.

    Attributes:
        incarnation: incarnation of the VM.
        number: number that grows with each change of the incarnation.
        is_cut_off: whether it reaches none.
    """

    incarnation: int
    number: int
    is_cut_off: bool

    @property
    def order(self):
        """Key that grows with each change of the VM."""
        return (self.incarnation, self.number)


class ForwardingPeers:
    """The entry VMs that may take requests of this one."""

    def __init__(self, directory, clock=clocks.now, choose=random.choice):
        """Create the table.

        Args:
            directory: the ``Directory`` of VMs.
            clock: function that returns the monotonic time in seconds.
            choose: function that chooses one item of a list.
        """
        self._directory = directory
        self._clock = clock
        self._choose = choose
        self._lock = threading.Lock()
        self._avoided_until_by_id = {}
        self._states_by_id = {}
        self._listeners = []

    def choose(self, excluded_ids):
        """Return a ``Vm`` that may take a request now, or None.

        Args:
            excluded_ids: ids of VMs that have not taken it.
        """
        candidates = self._find_candidates(excluded_ids)
        return self._choose(candidates) if candidates else None

    @property
    def has_candidate(self):
        """Whether any VM may take a request now."""
        return bool(self._find_candidates(frozenset()))

    def _find_candidates(self, excluded_ids):
        now = self._clock()
        own_id = self._directory.own_vm.id
        return [
            vm
            for vm in self._directory.entry_vms()
            if vm.id != own_id
            and vm.id not in excluded_ids
            and vm.forward_address
            and self._avoided_until_by_id.get(vm.id, now) <= now
            and not self._is_cut_off(vm)
        ]

    def avoid(self, vm_id):
        """Record that a VM has taken no request."""
        with self._lock:
            self._avoided_until_by_id[vm_id] = self._clock() + AVOID_SECONDS

    def on_change(self, listener):
        """Call ``listener(vm_id)`` after each change of a state."""
        self._listeners.append(listener)

    def find_state(self, vm_id):
        """Return the ``CutOffState`` of a VM, or None."""
        return self._states_by_id.get(vm_id)

    def set_own_state(self, is_cut_off):
        """Record whether this VM reaches no endpoint."""
        own_vm = self._directory.own_vm
        known = self._states_by_id.get(own_vm.id)
        number = known.number + 1 if known else 1
        self.merge(
            own_vm.id, CutOffState(own_vm.incarnation, number, is_cut_off)
        )

    def merge(self, vm_id, state):
        """Record what a VM has said of itself.

        Args:
            vm_id: id of the VM.
            state: the ``CutOffState``.
        """
        with self._lock:
            known = self._states_by_id.get(vm_id)
            if known is not None and known.order >= state.order:
                return
            self._states_by_id[vm_id] = state
        events.emit(events.PEER_CUT_OFF, vm=vm_id, is_cut_off=state.is_cut_off)
        for listener in self._listeners:
            listener(vm_id)

    def _is_cut_off(self, vm):
        state = self._states_by_id.get(vm.id)
        # A VM that has started again has said nothing yet.
        return (
            state is not None
            and state.is_cut_off
            and state.incarnation == vm.incarnation
        )
