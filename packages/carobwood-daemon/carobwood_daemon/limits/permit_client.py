"""Requests for permits to the VMs that grant them."""

import threading

from carobwood import clocks
from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..routing import rendezvous

from . import endpoint_permits

# A permit that took longer to arrive is not used, as the VM may have been
# paused meanwhile.
MAX_CALL_SECONDS = 0.15
# Time for which a VM that did not answer is not asked.
AVOID_SECONDS = 2.0
# VMs that are asked for one permit, at most.
MAX_GRANTORS = 2


class PermitClient:
    """Asks the VM that grants the permits of an endpoint.

    All VMs rank the same candidates: VMs that take no callers first, as
    they are loaded less, and by rendezvous hashing among themselves.
    """

    def __init__(self, permit_table, directory, links, clock=clocks.now):
        """Create the client.

        Args:
            permit_table: the ``PermitTable`` of this VM.
            directory: the ``Directory``.
            links: the ``Links``.
            clock: function that returns the monotonic time in seconds.
        """
        self._permit_table = permit_table
        self._directory = directory
        self._links = links
        self._clock = clock
        self._lock = threading.Lock()
        self._avoided_until_by_id = {}

    def request(self, endpoint, statement):
        """Ask for a permit to send one request to an endpoint.

        Args:
            endpoint: the ``Endpoint``.
            statement: the newest ``LimitStatement`` that this VM knows.

        Returns:
            The ``PermitDecision``.

        Raises:
            LinkFailed: no VM that grants permits has answered in time.
        """
        own_id = self._directory.own_vm.id
        for vm in self._grantors(endpoint):
            if vm.id == own_id:
                return self._permit_table.request(
                    endpoint.id, endpoint.incarnation, own_id, statement
                )
            try:
                return self._call(vm, endpoint, statement)
            except errors.LinkFailed as error:
                self._avoid(vm)
                events.emit(
                    events.PERMIT_CALL_FAILED,
                    endpoint=endpoint.id,
                    vm=vm.id,
                    reason=error.detail,
                )
        raise errors.LinkFailed('no VM grants permits')

    def _grantors(self, endpoint):
        now = self._clock()
        with self._lock:
            avoided_until_by_id = dict(self._avoided_until_by_id)
        live = [
            vm
            for vm in self._directory.vms()
            if not vm.is_silent(now)
            and avoided_until_by_id.get(vm.id, now) <= now
        ]
        ranked = rendezvous.rank(endpoint.id.encode('utf-8'), live)
        ranked.sort(key=lambda vm: vm.takes_callers)
        return ranked[:MAX_GRANTORS]

    def _call(self, vm, endpoint, statement):
        started_at = self._clock()
        request = ttypes.PermitRequest(
            endpoint.id,
            endpoint.incarnation,
            self._directory.own_vm.id,
            int(1000 * (started_at - statement.said_at)),
            statement.per_second,
        )
        reply = self._links.to(vm.link_address).call(
            'take_permit', request, MAX_CALL_SECONDS, MAX_CALL_SECONDS
        )
        now = self._clock()
        if now - started_at > MAX_CALL_SECONDS:
            raise errors.LinkFailed(f'{vm.id}: the permit came too late')
        return endpoint_permits.PermitDecision(
            reply.granted,
            reply.over,
            reply.wait_ms / 1000,
            endpoint_permits.LimitStatement(
                reply.per_second, now - reply.age_ms / 1000
            ),
        )

    def _avoid(self, vm):
        with self._lock:
            self._avoided_until_by_id[vm.id] = self._clock() + AVOID_SECONDS


def handle_request(permit_table, request):
    """Decide on a ``PermitRequest`` that another VM has sent.

    Args:
        permit_table: the ``PermitTable`` of this VM.
        request: the thrift ``PermitRequest``.

    Returns:
        The thrift ``PermitReply``.
    """
    now = clocks.now()
    decision = permit_table.request(
        request.endpoint_id,
        request.incarnation,
        request.vm_id,
        endpoint_permits.LimitStatement(
            request.per_second, now - request.age_ms / 1000
        ),
    )
    return ttypes.PermitReply(
        decision.is_granted,
        decision.is_over,
        int(1000 * decision.wait),
        int(1000 * (now - decision.statement.said_at)),
        decision.statement.per_second,
    )
