"""Requests for permits to the VMs that grant them."""

from carobwood import clocks
from carobwood import errors
from carobwood.gen.links import ttypes

from ..routing import rendezvous

from . import endpoint_permits

# VMs that are asked for one permit, at most.
MAX_GRANTORS = 2


class PermitClient:
    """Asks the VM that grants the permits of an endpoint.

    All VMs rank the same candidates: VMs that take no callers first, as
    they are loaded less, and by rendezvous hashing among themselves.
    """

    def __init__(self, permit_table, vm_calls, clock=clocks.now):
        """Create the client.

        Args:
            permit_table: the ``PermitTable`` of this VM.
            vm_calls: the ``VmCalls``.
            clock: function that returns the monotonic time in seconds.
        """
        self._permit_table = permit_table
        self._vm_calls = vm_calls
        self._clock = clock

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
        own_id = self._vm_calls.own_vm.id
        for vm in self._grantors(endpoint):
            if vm.id == own_id:
                return self._permit_table.request(
                    endpoint.id, endpoint.incarnation, own_id, statement
                )
            try:
                return self._call(vm, endpoint, statement)
            except errors.LinkFailed:
                continue
        raise errors.LinkFailed('no VM grants permits')

    def _grantors(self, endpoint):
        ranked = rendezvous.rank(
            endpoint.id.encode('utf-8'), self._vm_calls.available_vms()
        )
        ranked.sort(key=lambda vm: vm.takes_callers)
        return ranked[:MAX_GRANTORS]

    def _call(self, vm, endpoint, statement):
        request = ttypes.PermitRequest(
            endpoint.id,
            endpoint.incarnation,
            self._vm_calls.own_vm.id,
            int(1000 * (self._clock() - statement.said_at)),
            statement.per_second,
        )
        reply = self._vm_calls.call(vm, 'take_permit', request)
        return endpoint_permits.PermitDecision(
            reply.granted,
            reply.over,
            reply.wait_ms / 1000,
            endpoint_permits.LimitStatement(
                reply.per_second, self._clock() - reply.age_ms / 1000
            ),
        )


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
