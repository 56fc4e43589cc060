"""Trials at an endpoint that cannot be asked and is silent for a while."""

import threading

from carobwood_daemon.relay import silence_failover
import pytest
import relay_builders as builders
import relay_test_fleet

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
DEADLINE_MS = '15000'
MAX_ATTEMPTS = 3


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet whose engines are of a service without a health path."""
    started = relay_test_fleet.RelayTestFleet(tmp_path)
    started.keep_announcing()
    fields = builders.configuration_fields()
    del fields['services'][0]['engine']
    for route in fields['routes']:
        if route['name'] == 'captions':
            route['max_attempts'] = MAX_ATTEMPTS
    changes = {'routes': fields['routes'], 'services': fields['services']}
    assert started.configure(2, **changes).status == 200
    relay_test_fleet.await_reply(
        lambda: [
            vm._shared.configuration_store.configuration.version
            for vm in started.fleet.vms
        ],
        lambda versions: set(versions) == {2},
    )
    yield started
    started.stop()


# A second trial at the same endpoint counted as a further endpoint, and none
# was tried again although the first one stayed silent.
def test_trials_at_one_endpoint_count_once(fleet, monkeypatch):
    ends_freeze = threading.Event()
    leave = silence_failover.SilenceFailover._leave_other
    left_ids = []

    def freeze_other(headers, path, body):
        for engine in fleet.engines:
            if not engine.requests and not left_ids:
                engine.ends_freeze = ends_freeze

    def leave_and_thaw(self, sent, *reasons):
        left_ids.append(sent.assignment.endpoint.id)
        if len(left_ids) == MAX_ATTEMPTS - 1:
            for engine in fleet.engines:
                engine.ends_freeze = None
            ends_freeze.set()
        return leave(self, sent, *reasons)

    monkeypatch.setattr(
        silence_failover.SilenceFailover, '_leave_other', leave_and_thaw
    )
    for engine in fleet.engines:
        engine.on_run = freeze_other
    reply = fleet.fleet.ask(
        '/captions/stall-after-2', X_Carobwood_Deadline_Ms=DEADLINE_MS
    )
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(left_ids) == MAX_ATTEMPTS - 1
    assert len(set(left_ids)) == 1
