"""What a wait of the tests' fleet tells when it times out."""

import control_processes
import fleet as fleets
import pytest


def _time_out(condition, what):
    raise TimeoutError(f'timed out waiting for {what}')


def test_the_error_of_a_wait_shows_the_log_of_its_vm(tmp_path, monkeypatch):
    monkeypatch.setattr(fleets, 'wait_until', _time_out)
    with fleets.Fleet(tmp_path) as fleet:
        vm = fleet.plan_vm('vm1', 'bole')
        vm.log_path.write_text('the last words of vm1')
        with pytest.raises(TimeoutError) as raised:
            fleet.await_ready()
    assert 'vm1 to be ready; vm1 is not started' in str(raised.value)
    assert 'the last words of vm1' in str(raised.value)


def test_an_error_shows_the_logs_of_a_fleet_of_relay_vms(
    tmp_path, monkeypatch
):
    monkeypatch.setattr(control_processes.ProcessVm, 'start', lambda vm: None)
    (tmp_path / 'core-0.log').write_text('the last words of core-0')
    with pytest.raises(AssertionError) as raised:
        with control_processes.ProcessFleet(tmp_path, 1):
            raise AssertionError('unexpected last reply: 0')
    control, entry = raised.value.__notes__
    assert 'core-0 is not started' in control
    assert 'the last words of core-0' in control
    assert 'front-0 is not started' in entry
