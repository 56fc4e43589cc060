"""Tests of requests that come before the configuration."""

import threading
import types
import zlib

import pytest
import relay_builders as build

from carobwood import errors
from carobwood import events
from carobwood_daemon.relay import admission
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import quota
from carobwood_daemon.relay import state
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_store
from carobwood_platform import dialect

BODY = b'prompt'


class Setting:
    """Admission of a VM that knows nothing yet."""

    def __init__(self):
        self.store = state_store.StateStore()
        made = dialect.PlatformDialect()
        self.state = state.RelayState(
            self.store, made, engine_weights.EngineWeights()
        )
        limits = quota.FleetQuota(build.tolerance(), True)
        self.state.on_change(lambda found: limits.adopt(found.customers))
        self.admission = admission.Admission(
            self.state,
            made,
            limits,
            types.SimpleNamespace(check=lambda fingerprint: None),
            lambda route: route.shares[0],
        )

    def configure(self, version=1):
        """Let a configuration arrive."""
        put = commands.PutConfiguration(
            version, zlib.compress(build.configuration_body(version))
        )
        fleet, _ = self.store.fleet.apply(version, put)
        self.store.offer(fleet, ((version, commands.encode(put)),))

    def admit(self, deadline_ms):
        """Admit a request."""
        headers = {
            'authorization': f'Bearer {build.KEY}',
            'x-carobwood-request-id': 'r-1',
            'x-carobwood-deadline-ms': str(deadline_ms),
        }
        caller = types.SimpleNamespace(
            headers=headers,
            host=build.HOST,
            path='/orders/x',
            method='POST',
            target='/orders/x',
            read_body=lambda: BODY,
        )
        return self.admission.admit(caller, admission.clocks.now())


@pytest.fixture
def lines(monkeypatch):
    """Give the list that log lines are added to, as event and fields."""
    written = []
    monkeypatch.setattr(
        events, 'emit', lambda event, **fields: written.append((event, fields))
    )
    return written


def test_a_request_waits_for_the_configuration_of_a_vm_that_starts(
    lines, monkeypatch
):
    monkeypatch.setattr(admission, 'CONFIGURATION_SECONDS', 60.0)
    setting = Setting()
    threading.Timer(0.01, setting.configure).start()
    assert setting.admit(60_000).route.name == 'orders'
    [fields] = [f for e, f in lines if e is events.CONFIGURATION_AWAITED]
    assert (fields['request_id'], fields['version']) == ('r-1', 1)


def test_it_is_refused_while_its_caller_has_time_to_ask_another_vm(
    lines, monkeypatch
):
    asked = []
    setting = Setting()
    monkeypatch.setattr(setting.state, 'await_configuration', asked.append)
    with pytest.raises(errors.ConfigurationMissing):
        setting.admit(100)
    with pytest.raises(errors.ConfigurationMissing):
        setting.admit(60_000)
    assert asked == [
        0.1 * admission.CONFIGURATION_SHARE,
        admission.CONFIGURATION_SECONDS,
    ]
    assert lines[-1][1]['version'] == 0


def test_a_configured_vm_lets_nobody_wait(lines):
    setting = Setting()
    setting.configure()
    setting.admit(60_000)
    assert events.CONFIGURATION_AWAITED not in [event for event, _ in lines]


def test_the_first_configuration_is_told_once():
    told = []
    setting = Setting()
    setting.state.on_first(lambda: told.append(True))
    setting.configure()
    setting.configure(2)
    assert told == [True]
    assert setting.state.configuration.version == 2
