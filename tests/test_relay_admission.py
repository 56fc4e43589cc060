"""Tests of requests that arrive before the first configuration."""

import threading

import admission_builders
import pytest

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import admission
from carobwood_daemon.relay import forwarding_headers
from carobwood_daemon.relay import quota


@pytest.fixture
def log_lines(monkeypatch):
    """Give a list that collects log lines as (event, fields) pairs."""
    emitted = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: emitted.append((event, fields))
    )
    return emitted


def test_a_request_to_a_starting_vm_waits_for_the_configuration(
    log_lines, monkeypatch
):
    monkeypatch.setattr(admission, 'CONFIGURATION_WAIT_SECONDS', 60.0)
    setup = admission_builders.AdmissionSetup()
    threading.Timer(0.01, setup.configure).start()
    assert setup.admit(60_000).route.name == 'orders'
    [fields] = [f for e, f in log_lines if e is events.CONFIGURATION_AWAITED]
    assert (fields['request_id'], fields['version']) == ('r-1', 1)


def test_a_request_is_refused_while_its_caller_has_time_for_another_vm(
    log_lines, monkeypatch
):
    waited_seconds = []
    setup = admission_builders.AdmissionSetup()
    monkeypatch.setattr(
        setup.configuration_store, 'await_configuration', waited_seconds.append
    )
    with pytest.raises(errors.ConfigurationMissing):
        setup.admit(100)
    with pytest.raises(errors.ConfigurationMissing):
        setup.admit(60_000)
    assert waited_seconds == [
        0.1 * admission.CONFIGURATION_WAIT_SHARE,
        admission.CONFIGURATION_WAIT_SECONDS,
    ]
    assert log_lines[-1][1]['version'] == 0


def test_a_configured_vm_does_not_delay_requests(log_lines):
    setup = admission_builders.AdmissionSetup()
    setup.configure()
    setup.admit(60_000)
    assert events.CONFIGURATION_AWAITED not in [
        event for event, _ in log_lines
    ]


def test_a_request_to_a_restarted_vm_waits_for_the_usage_of_others(
    log_lines, monkeypatch
):
    monkeypatch.setattr(admission, 'CONFIGURATION_WAIT_SECONDS', 60.0)
    monkeypatch.setattr(quota, 'WARM_UP_SECONDS', 60.0)
    setup = admission_builders.AdmissionSetup(is_first_start=False)
    setup.configure()
    threading.Timer(0.01, setup.fleet_quota.note_usage_known).start()
    assert setup.admit(150_000).is_within_rate
    [fields] = [f for e, f in log_lines if e is events.USAGE_AWAITED]
    assert (fields['request_id'], fields['known']) == ('r-1', True)


def test_a_request_is_refused_if_the_usage_of_others_does_not_come(
    log_lines, monkeypatch
):
    monkeypatch.setattr(quota, 'WARM_UP_SECONDS', 60.0)
    setup = admission_builders.AdmissionSetup(is_first_start=False)
    setup.configure()
    with pytest.raises(errors.RateExceeded):
        setup.admit(1)
    [fields] = [f for e, f in log_lines if e is events.USAGE_AWAITED]
    assert not fields['known']


def test_the_first_configuration_is_announced_once():
    calls = []
    setup = admission_builders.AdmissionSetup()
    setup.configuration_store.on_first_configuration(
        lambda: calls.append(True)
    )
    setup.configure()
    setup.configure(2)
    assert calls == [True]
    assert setup.configuration_store.configuration.version == 2


def test_a_request_that_another_vm_has_admitted_is_not_charged_again(
    monkeypatch,
):
    setup = admission_builders.AdmissionSetup()
    setup.configure()
    charged = []
    admit = quota.FleetQuota.admit

    def record(fleet_quota, name, units):
        charged.append(units)
        return admit(fleet_quota, name, units)

    monkeypatch.setattr(quota.FleetQuota, 'admit', record)
    forwarded = forwarding_headers.ForwardedRequest('front-1', 0.5, True)
    request = setup.admit(60_000, forwarded)
    assert request.is_within_rate
    assert request.seconds_left <= 0.5
    assert charged == []
    setup.admit(60_000)
    assert len(charged) == 1


def test_a_caller_waits_no_longer_because_its_request_was_forwarded():
    setup = admission_builders.AdmissionSetup()
    setup.configure()
    forwarded = forwarding_headers.ForwardedRequest('front-1', 4.5, True)
    request = setup.admit(5000, forwarded)
    own = setup.admit(5000)
    assert own.first_arrived_at >= own.arrived_at
    assert request.first_arrived_at < own.arrived_at - 0.4


# Two VMs know different timeouts of a route during a change: a request without
# a deadline counted as having come long ago, and was refused.
@pytest.mark.parametrize('timeout_of_the_other', [5.0, 600.0])
def test_a_request_has_come_when_the_other_vm_says(
    monkeypatch, timeout_of_the_other
):
    setup = admission_builders.AdmissionSetup()
    setup.configure()
    now = admission.clocks.now()
    monkeypatch.setattr(admission.clocks, 'now', lambda: now)
    forwarded = forwarding_headers.ForwardedRequest(
        'front-1', timeout_of_the_other - 0.5, True, 0.5
    )
    request = setup.admit(None, forwarded)
    assert request.first_arrived_at == now - 0.5


def test_a_request_beyond_the_rate_stays_so_on_another_vm():
    setup = admission_builders.AdmissionSetup()
    setup.configure()
    forwarded = forwarding_headers.ForwardedRequest('front-1', 0.5, False)
    request = setup.admit(60_000, forwarded)
    assert request.priority == admission.LOWEST_PRIORITY
