"""Orders of rollouts over VMs in processes of their own."""

import json
import signal

import builds
import fleet as fleets
import pytest
import rollout_site

RAMP_SECONDS = 2
OLD_COMMIT = 'd31b83c'


@pytest.fixture(name='site')
def _site(tmp_path):
    with rollout_site.RolloutSite(tmp_path, entry_vm_count=1) as site:
        yield site


def _ask(site, vm, method='POST', **changes):
    """Send an order to one VM, or ask it for the state; return the reply."""
    path = '/v1/rollouts'
    if method == 'GET':
        path = f'{path}/{rollout_site.SERVICE}'
    fields = {
        'service': rollout_site.SERVICE,
        'to': rollout_site.TARGET,
        'ramp_s': RAMP_SECONDS,
    }
    body = json.dumps({**fields, **changes}).encode()
    return site.processes.call_control(vm, method, path, body)


def _order_on(site, vm, **changes):
    """Send an order to one VM until it decides; return the status."""

    def decide():
        status = _ask(site, vm, **changes).status
        return None if status in (0, 503) else status

    return fleets.wait_until(decide, 'a decision')


def test_an_order_is_taken_once_and_acknowledged_by_all(site):
    first, *others = site.processes.control_vms
    assert _order_on(site, first, service='nothing') == 400
    assert _order_on(site, first, to=rollout_site.FORMER) == 400
    assert site.read_state() == ''
    assert _order_on(site, first) == 200
    site.add_endpoints(rollout_site.TARGET)
    for vm in others:
        assert _order_on(site, vm) == 200
        assert _order_on(site, vm, to='v3') == 409
    site.kill(site.processes.control_vms)
    assert _order_on(site, first) == 200
    assert site.await_end() == 'succeeded'
    site.stop_endpoints(rollout_site.FORMER)
    for vm in site.processes.control_vms:
        assert _order_on(site, vm) == 200
    assert site.read_state() == 'succeeded'


def test_no_order_is_taken_beside_an_older_build(site, tmp_path):
    try:
        old = builds.prepare(OLD_COMMIT, tmp_path / 'builds')
    except builds.CommitMissing:
        pytest.skip(f'the clone lacks the commit {OLD_COMMIT}')
    [entry_vm] = site.processes.entry_vms
    control_vm = site.processes.control_vms[0]
    _replace(site, entry_vm, old)
    # An order that would be wrong anyway shows when the VM is known.
    fleets.wait_until(
        lambda: _ask(site, control_vm, service='nothing').status == 503,
        'a refusal',
    )
    assert _ask(site, control_vm).status == 503
    assert _ask(site, control_vm, 'GET').status == 503
    _replace(site, entry_vm, builds.Build(builds.WORKING_TREE, builds.ROOT))
    assert _order_on(site, control_vm) == 200


def _replace(site, vm, build):
    vm.stop(signal.SIGKILL)
    site.processes.start(vm.id, build)
    site.processes.await_ready(vm.id)
