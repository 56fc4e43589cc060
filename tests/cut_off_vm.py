"""An entry VM that reaches no endpoint, so that others take its requests."""

import contextlib

from carobwood import errors
import pytest

# Position of the first entry VM behind the three control VMs.
FIRST_ENTRY_VM = 3


@contextlib.contextmanager
def cut_off(test_fleet, number):
    """Cut an entry VM off from all endpoints.

    Args:
        test_fleet: the ``RelayTestFleet``.
        number: index of the entry VM.
    """
    vm = test_fleet.fleet.vms[FIRST_ENTRY_VM + number]

    def refuse(address, timeout):
        vm.reachability.note(address, False)
        raise errors.EndpointUnreachable('cut off')

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(vm.pool, 'connect', refuse)
        for endpoint in (*test_fleet.engines, test_fleet.plain_endpoint):
            vm.pool.close_idle(endpoint.address)
        yield
