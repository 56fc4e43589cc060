"""Endpoints that end what they have while the next instance listens."""

import pytest
import relay_builders as builders
import relay_test_fleet

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
DEADLINE_MS = '15000'


@pytest.fixture
def fleet(tmp_path):
    """Yield a fleet with one engine, which may be tried once."""
    fleet = relay_test_fleet.RelayTestFleet(tmp_path, ('v1',))
    fields = builders.configuration_fields()
    for service in fields['services']:
        service['health_path'] = builders.HEALTH_PATH
    for route in fields['routes']:
        if route['name'] == 'captions':
            route['max_attempts'] = 1
    changes = {'routes': fields['routes'], 'services': fields['services']}
    assert fleet.configure(2, **changes).status == 200
    relay_test_fleet.await_reply(
        lambda: {
            vm._shared.configuration_store.configuration.version
            for vm in fleet.fleet.vms
        },
        lambda versions: versions == {2},
    )
    yield fleet
    fleet.stop()


def _vm(fleet):
    """Return the first entry VM."""
    return fleet.fleet.vms[len(fleet.fleet.control_ports)]


def _find(fleet, engine):
    """Return the ``Endpoint`` that the first entry VM knows, or None."""
    return _vm(fleet).directory.find_endpoint(engine.name)


def _ask(fleet, path):
    return fleet.fleet.ask(path, X_Carobwood_Deadline_Ms=DEADLINE_MS)


# A stream was cut although its endpoint, which had announced that it leaves,
# went on with it: the next instance listened at its address already.
def test_a_stream_of_a_predecessor_outlives_its_silence(fleet):
    engine = fleet.engines[0]

    def hand_listener_over():
        fleet.announce(engine, state='draining')
        relay_test_fleet.await_reply(
            lambda: _find(fleet, engine), lambda known: known.leaving
        )
        engine.stop()
        engine.instance_id = f'{engine.name}-anew'
        engine.restart()

    engine.on_pause = hand_listener_over
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(engine.requests) == 1


# An endpoint at whose address another one had answered once, and which went on
# after that, lost each stream that was silent for a second.
def test_an_endpoint_that_answers_again_keeps_its_streams(fleet):
    engine = fleet.engines[0]
    engine.instance_id = f'{engine.name}-anew'
    _vm(fleet).pool.close_idle(engine.address)
    _ask(fleet, '/captions/x')
    assert _find(fleet, engine) is None
    engine.instance_id = engine.name
    # Only news that differ from what is known reach all VMs at once.
    for state in ('draining', 'ready'):
        fleet.announce(engine, state=state)
    relay_test_fleet.await_reply(
        lambda: _find(fleet, engine),
        lambda known: known is not None and not known.leaving,
    )
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)


# An endpoint that was dropped for the answer of another one, and went on
# announcing itself without a change, got no requests from that VM any more.
def test_an_endpoint_that_goes_on_is_known_again_without_a_change(fleet):
    engine = fleet.engines[0]
    engine.instance_id = f'{engine.name}-anew'
    _vm(fleet).pool.close_idle(engine.address)
    _ask(fleet, '/captions/x')
    assert _find(fleet, engine) is None
    engine.instance_id = engine.name

    def announce_and_find():
        fleet.announce(engine)
        return _find(fleet, engine)

    relay_test_fleet.await_reply(
        announce_and_find, lambda known: known is not None
    )
    reply = _ask(fleet, '/captions/x')
    assert reply.status == 200
