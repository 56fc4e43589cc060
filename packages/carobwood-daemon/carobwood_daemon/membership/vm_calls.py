"""Short calls to other VMs, on the path of a caller's request."""

import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events

# Longest time for a call. A reply that took longer is not used, as this VM
# may have been paused meanwhile.
MAX_CALL_SECONDS = 0.15
# Least time for a second call after one that failed at once.
MIN_RETRY_SECONDS = 0.03
# Time for which a VM that did not answer is not called.
AVOID_SECONDS = 2.0


class VmCalls:
    """Calls VMs, and avoids those that have not answered lately."""

    def __init__(
        self,
        directory,
        links,
        clock=clocks.now,
        avoid_seconds=AVOID_SECONDS,
    ):
        """Create the caller.

        Args:
            directory: the ``Directory``.
            links: the ``Links``.
            clock: function that returns the monotonic time in seconds.
            avoid_seconds: time for which a VM that did not answer is not
                called.
        """
        self._avoid_seconds = avoid_seconds
        self._directory = directory
        self._links = links
        self._clock = clock
        self._lock = threading.Lock()
        self._avoided_until_by_id = {}

    @property
    def own_vm(self):
        """The ``Vm`` that describes this VM."""
        return self._directory.own_vm

    def known_vms(self):
        """Return all known VMs, silent ones included, this one first."""
        return self._directory.vms()

    def available_vms(self):
        """Return the VMs that are alive and not avoided, this one first."""
        now = self._clock()
        with self._lock:
            avoided_until_by_id = dict(self._avoided_until_by_id)
        return [
            vm
            for vm in self._directory.vms()
            if not vm.is_silent(now)
            and avoided_until_by_id.get(vm.id, now) <= now
        ]

    def available_control_vms(self):
        """Return the other VMs of these that take no callers."""
        return [
            vm
            for vm in self.available_vms()
            if not vm.takes_callers and vm.id != self.own_vm.id
        ]

    def call(self, vm, method, message):
        """Call a method of ``FleetLink`` on a VM.

        Args:
            vm: the ``Vm``.
            method: the method's name.
            message: its thrift argument.

        Returns:
            The thrift reply.

        Raises:
            LinkFailed: no reply arrived within ``MAX_CALL_SECONDS``; the
                call may have taken effect.
        """
        started_at = self._clock()
        try:
            reply = self._call_with_retry(vm, method, message, started_at)
        except errors.LinkFailed as error:
            with self._lock:
                self._avoided_until_by_id[vm.id] = (
                    self._clock() + self._avoid_seconds
                )
            events.emit(
                events.VM_CALL_FAILED,
                vm=vm.id,
                method=method,
                reason=error.detail,
            )
            raise
        if self._clock() - started_at > MAX_CALL_SECONDS:
            raise errors.LinkFailed(f'{vm.id} {method}: the reply is too old')
        return reply

    def _call_with_retry(self, vm, method, message, started_at):
        """Call a VM, and again if an idle connection has been reset.

        The methods are idempotent, or cost no more than an unused permit.
        """
        link = self._links.to(vm.link_address)
        try:
            return link.call(
                method, message, MAX_CALL_SECONDS, MAX_CALL_SECONDS
            )
        except errors.LinkFailed:
            left = MAX_CALL_SECONDS - (self._clock() - started_at)
            if left < MIN_RETRY_SECONDS:
                raise
            # The failure has closed the other idle connections.
            return link.call(method, message, left, left)
