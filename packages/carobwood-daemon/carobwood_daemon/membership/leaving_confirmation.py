"""Confirms that the fleet will not forget that an endpoint is leaving.

Load pattern: an endpoint tells one control VM that it leaves, and stops
telling once that is acknowledged. The VM may be killed, frozen, cut off or
lose its disk right after the acknowledgement.
"""

import concurrent.futures
import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

# Time in which the other VMs have to save it. An endpoint waits for a second
# and then tells another VM.
CONFIRM_SECONDS = 0.7
# Endpoints whose confirmation is remembered.
MAX_CONFIRMED = 4096


class LeavingConfirmation:
    """Has control VMs save that an endpoint leaves."""

    def __init__(self, directory, send_endpoint, tolerated_losses):
        """Create the confirmation.

        Args:
            directory: the ``Directory``.
            send_endpoint: see ``Gossip.send_endpoint``.
            tolerated_losses: number of control VMs that may be lost at the
                same time.
        """
        self._directory = directory
        self._send_endpoint = send_endpoint
        self._tolerated_losses = tolerated_losses
        self._lock = threading.Lock()
        # Keys are (id, incarnation); a dict keeps the order.
        self._confirmed = {}

    def confirm(self, endpoint):
        """Return once enough control VMs have saved that it leaves.

        Args:
            endpoint: the leaving ``Endpoint``, as the directory has it.

        Raises:
            LeavingUnconfirmed: too few have saved it in time.
        """
        key = (endpoint.id, endpoint.incarnation)
        if key in self._confirmed:
            return
        started_at = clocks.now()
        vms = _control_vms(self._directory.vms())
        live = [vm for vm in vms if not vm.is_silent(started_at)]
        holders = []
        # With too few of them alive there is nothing to wait for.
        if self._are_enough(live, vms):
            holders = self._collect_holders(endpoint, live, vms)
        is_confirmed = self._are_enough(holders, vms)
        events.emit(
            events.LEAVING_CONFIRMED
            if is_confirmed
            else events.LEAVING_UNCONFIRMED,
            endpoint=endpoint.id,
            incarnation=endpoint.incarnation,
            holders=sorted(vm.id for vm in holders),
            seconds=round(clocks.now() - started_at, 4),
        )
        if not is_confirmed:
            raise errors.LeavingUnconfirmed(
                'too few control VMs have saved that the endpoint leaves'
            )
        self._remember(key)

    def _collect_holders(self, endpoint, live, vms):
        """Return the VMs that have saved it, as soon as they are enough.

        Args:
            endpoint: the leaving ``Endpoint``.
            live: the VMs that are asked.
            vms: all known VMs that could save it.
        """
        executor = concurrent.futures.ThreadPoolExecutor(len(live))
        vms_by_call = {
            executor.submit(self._send_endpoint, endpoint, vm): vm
            for vm in live
        }
        holders = []
        try:
            for call in concurrent.futures.as_completed(
                vms_by_call, CONFIRM_SECONDS
            ):
                if call.result():
                    holders.append(vms_by_call[call])
                if self._are_enough(holders, vms):
                    break
        except concurrent.futures.TimeoutError:
            # The holders so far are returned.
            pass
        finally:
            executor.shutdown(wait=False)
        return holders

    def _are_enough(self, holders, vms):
        # A VM that has just started knows no VMs but those of its settings.
        fleet_size = max(len(vms), len(self._directory.seeds))
        return are_enough(holders, vms, fleet_size, self._tolerated_losses)

    def _remember(self, key):
        with self._lock:
            self._confirmed[key] = None
            while len(self._confirmed) > MAX_CONFIRMED:
                del self._confirmed[next(iter(self._confirmed))]


def are_enough(holders, vms, fleet_size, tolerated_losses):
    """Return whether a fact outlives the losses that are tolerated.

    These are a number of VMs, or all VMs of one data centre.

    Args:
        holders: the ``Vm`` records of those that have saved the fact.
        vms: the known VMs that could save it.
        fleet_size: number of such VMs, unknown ones included.
        tolerated_losses: number of VMs that may be lost.
    """
    if len(holders) < min(tolerated_losses + 1, fleet_size):
        return False
    data_centres = {vm.data_centre for vm in vms}
    return len({vm.data_centre for vm in holders}) >= min(2, len(data_centres))


def _control_vms(vms):
    """Return the VMs with a disk, or all if none has one."""
    return [vm for vm in vms if vm.has_disk] or vms
