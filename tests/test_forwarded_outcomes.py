"""Tests of what callers are told of requests that several VMs were asked."""

import types

from carobwood import errors
from carobwood_daemon.relay import vm_forwarder
import pytest


class _Peers:
    """Names VMs until none is left."""

    def __init__(self, count):
        self._ids = [f'front-{number}' for number in range(count)]

    def choose(self, asked_ids):
        """Return a VM that has not been asked, or None."""
        left = [vm_id for vm_id in self._ids if vm_id not in asked_ids]
        return types.SimpleNamespace(id=left[0]) if left else None

    def avoid(self, vm_id):
        """Remember nothing."""


class _Trace:
    """A trace without spans."""

    def span(self, name, **fields):
        """Return a context that does nothing."""
        return pytest.MonkeyPatch.context()


def _run(monkeypatch, *results):
    """Run a request of which each VM in turn makes one of some results."""
    left = list(results)

    def try_vm(*_):
        result = left.pop(0)
        if isinstance(result, Exception):
            raise result
        return result

    gate = types.SimpleNamespace(is_interrupted=False)
    forwarder = vm_forwarder.VmForwarder(
        types.SimpleNamespace(gate=gate), _Peers(len(results)), None, b''
    )
    monkeypatch.setattr(forwarder, '_try_vm', try_vm)
    caller = types.SimpleNamespace(has_started_response=False)
    route = types.SimpleNamespace(is_idempotent=True)
    request = types.SimpleNamespace(route=route)
    with pytest.raises(errors.CarobwoodError) as raised:
        forwarder.run(caller, request, _Trace())
    return raised.value


def _refusal():
    return errors.ForwardedRequestFailed(
        'the other VM has answered buffers_full', 503, errors.Outcome.NOT_RUN
    )


# A caller was told that its request had not run, which another VM may have
# run before: it broke off, and the next VM refused.
@pytest.mark.parametrize('last', (_refusal(), False))
def test_a_request_that_may_have_run_elsewhere_is_not_told_not_run(
    monkeypatch, last
):
    broken_off = errors.EndpointFailed('the other VM broke off')
    error = _run(monkeypatch, broken_off, last)
    assert error.outcome is errors.Outcome.UNKNOWN


def test_a_request_that_all_vms_refuse_is_told_not_run(monkeypatch):
    error = _run(monkeypatch, False, _refusal())
    assert error.outcome is errors.Outcome.NOT_RUN
