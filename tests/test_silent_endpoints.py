"""Endpoints that are silent for a second or so and then go on."""

import threading

import fleet as fleets
import pytest
import relay_builders as builders
import relay_test_fleet

EVENTS = b''.join(b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, 6))
DEADLINE_MS = '15000'
STREAM_COUNT = 8


@pytest.fixture(scope='module')
def _lone_engine(tmp_path_factory):
    folder = tmp_path_factory.mktemp('lone')
    fleet = relay_test_fleet.RelayTestFleet(folder, ('v1',))
    fleet.keep_announcing()
    yield fleet
    fleet.stop()


@pytest.fixture
def lone_engine(_lone_engine):
    """Return a fleet with one engine and one plain endpoint."""
    _lone_engine.clear_requests()
    return _lone_engine


@pytest.fixture
def make_fleet(tmp_path):
    """Yield a function that starts a fleet, which is stopped at the end."""
    started = []

    def start(**options):
        fleet = relay_test_fleet.RelayTestFleet(tmp_path, **options)
        started.append(fleet)
        fleet.keep_announcing()
        return fleet

    yield start
    for fleet in started:
        fleet.stop()


def _ask(fleet, path, **headers):
    return fleet.fleet.ask(
        path, X_Carobwood_Deadline_Ms=DEADLINE_MS, **headers
    )


# The stream was given up before it was known that no other endpoint could go
# on with it.
@pytest.mark.parametrize(
    'path', ['pause-1300-after-2', 'pause-1800-after-0', 'pause-1800-late-0']
)
def test_a_short_silence_of_the_only_endpoint_cuts_no_stream(
    lone_engine, path
):
    reply = _ask(lone_engine, f'/captions/{path}')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(lone_engine.engine_requests) == 1


def _change_captions(fleet, **changes):
    """Change the route of the captions at all entry VMs."""
    routes = builders.configuration_fields()['routes']
    for route in routes:
        if route['name'] == 'captions':
            route.update(changes)
    assert fleet.configure(2, routes=routes).status == 200
    stores = [
        vm._shared.configuration_store
        for vm in fleet.fleet.vms[len(fleet.fleet.control_ports) :]
    ]
    relay_test_fleet.await_reply(
        lambda: {store.configuration.version for store in stores},
        lambda versions: versions == {2},
    )


def test_a_short_silence_of_all_endpoints_cuts_no_stream(make_fleet):
    fleet = make_fleet()
    _change_captions(fleet, max_attempts=3)
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)


def test_a_stream_without_a_retry_left_outlives_a_short_silence(make_fleet):
    fleet = make_fleet(retry_ratio=0.0, retry_slack=0.0)
    reply = _ask(fleet, '/captions/pause-1300-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 1


def _other_engine(fleet):
    """Return the engine that has got no request."""
    for engine in fleet.engines:
        if not engine.requests:
            return engine
    raise AssertionError('both engines have got requests')


class _Chosen:
    """Changes the engine that is not chosen as the other one runs."""

    def __init__(self, fleet, change):
        self._fleet = fleet
        self._change = change
        self._is_done = False
        for engine in fleet.engines:
            engine.on_run = self._run

    def _run(self, headers, path, body):
        if not self._is_done:
            self._is_done = True
            self._change(_other_engine(self._fleet))


def test_a_stream_outlives_a_silence_beside_an_engine_that_is_full(make_fleet):
    fleet = make_fleet()
    _Chosen(fleet, lambda engine: setattr(engine, 'retry_after', '1'))
    reply = _ask(fleet, '/captions/pause-1300-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)


def test_a_stream_outlives_a_silence_beside_an_engine_that_is_gone(make_fleet):
    fleet = make_fleet()
    _Chosen(fleet, lambda engine: engine.stop())
    reply = _ask(fleet, '/captions/pause-1300-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)


def test_a_late_answer_of_the_only_endpoint_is_passed_on(lone_engine):
    reply = lone_engine.fleet.ask('/lookups/late-1200')
    assert (reply.status, reply.body) == (200, b'whole')
    assert len(lone_engine.plain_endpoint.requests) == 1


# All streams of a silent endpoint went on at another one that was silent too,
# which used the retry budget up.
def test_streams_stay_where_they_are_if_all_endpoints_are_silent(make_fleet):
    fleet = make_fleet()
    all_sent = threading.Barrier(STREAM_COUNT)
    for engine in fleet.engines:
        engine.on_pause = all_sent.wait
    callers = [
        threading.Thread(
            target=_ask, args=(fleet, '/captions/pause-1400-after-2')
        )
        for _ in range(STREAM_COUNT)
    ]
    for caller in callers:
        caller.start()
    for caller in callers:
        caller.join()
    assert len(fleet.engine_requests) == STREAM_COUNT


# A request that an endpoint was running went to another service too, as a
# change of the configuration came during the silence.
def test_a_request_stays_with_its_service_if_the_configuration_changes(
    make_fleet,
):
    fleet = make_fleet(software_versions=('v1',))
    fleet.engines[0].on_run = lambda *_: _change_captions(
        fleet, service='orders'
    )
    reply = _ask(fleet, '/captions/pause-1800-late-0')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert fleet.plain_endpoint.requests == []


# The events of two runs were joined: a stream that can't be resumed was begun
# anew at another endpoint.
def test_a_stream_that_cannot_be_resumed_stays_at_its_endpoint(make_fleet):
    fleet = make_fleet()
    _change_captions(fleet, kind='safe', resumable=False, timeout_ms=15000)
    reply = _ask(fleet, '/captions/pause-8000-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 1


# The attempt was given up for another VM, which could not take the request.
def test_the_last_attempt_of_a_vm_that_is_cut_off_goes_on(
    make_fleet, monkeypatch
):
    fleet = make_fleet(software_versions=('v1',))
    _change_captions(fleet, max_attempts=1)
    entry_vms = fleet.fleet.vms[len(fleet.fleet.control_ports) :]

    def cut_off(*_request):
        for vm in entry_vms:
            monkeypatch.setattr(vm.reachability, '_cut_off_at', 1.0)

    fleet.engines[0].on_run = cut_off
    reply = _ask(fleet, '/captions/pause-1900-late-0')
    assert (reply.status, reply.body) == (200, EVENTS)


# The attempt was given up for another VM, although all of them were cut off.
def test_an_attempt_goes_on_if_no_other_vm_reaches_an_endpoint(
    make_fleet, monkeypatch
):
    fleet = make_fleet(software_versions=('v1',))
    entry_vms = fleet.fleet.vms[len(fleet.fleet.control_ports) :]

    def cut_off(*_request):
        for vm in entry_vms:
            monkeypatch.setattr(vm.reachability, '_cut_off_at', 1.0)
            vm.reachability._announce(True)

    fleet.engines[0].on_run = cut_off
    reply = _ask(fleet, '/captions/pause-1900-late-0')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 1


# An endpoint that had refused once was not asked again.
def test_an_endpoint_that_was_full_is_asked_again(make_fleet):
    fleet = make_fleet()
    refused = threading.Event()

    def refuse_once(engine):
        engine.retry_after = '1'

        def take_again():
            fleets.wait_until(lambda: engine.requests, 'the first request')
            engine.retry_after = ''
            refused.set()

        threading.Thread(target=take_again).start()

    _Chosen(fleet, refuse_once)
    reply = _ask(fleet, '/captions/stall-after-2')
    assert refused.is_set()
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 3


# An endpoint that was busy with a prompt counted as silent.
def test_a_stream_goes_on_at_an_endpoint_that_is_busy(make_fleet):
    fleet = make_fleet()
    busy = []

    def keep_busy(engine):
        busy.append(engine)

    _Chosen(fleet, keep_busy)
    paths = ['/captions/stall-after-2', '/captions/pause-9000-late-0']
    callers = [
        threading.Thread(target=_ask, args=(fleet, path)) for path in paths
    ]
    for caller in callers:
        caller.start()
        fleets.wait_until(lambda: busy, 'the first request')
    callers[0].join()
    resumed = [
        request
        for request in fleet.engine_requests
        if 'last-event-id' in request
    ]
    assert len(resumed) == 1
    callers[1].join()


# A look for another endpoint kept the answer back past its deadline.
def test_no_other_endpoint_is_tried_shortly_before_the_deadline(make_fleet):
    fleet = make_fleet()
    reply = fleet.fleet.ask(
        '/captions/pause-9000-late-0', X_Carobwood_Deadline_Ms='1700'
    )
    assert reply.status == 504
    assert len(fleet.engine_requests) == 1
