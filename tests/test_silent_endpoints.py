"""Endpoints that are silent for a second or so and then go on."""

from concurrent import futures
import threading

from carobwood import errors
from carobwood import events
from carobwood_daemon.entry import silence
from carobwood_daemon.relay import silence_watch
from carobwood_platform import dialect
import common_silence
import fleet as fleets
import pytest
import relay_builders as builders
import relay_test_fleet


def _first_events(count):
    return b''.join(
        b'id: %d\ndata: %d\n\n' % (n, n) for n in range(1, count + 1)
    )


EVENTS = _first_events(5)
DEADLINE_MS = '15000'
STREAM_COUNT = 8
# Looks for another endpoint during a silence of all of them.
LOOKS_IN_SILENCE = 2


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
    _await_version(fleet, 2)


def _await_version(fleet, version):
    """Wait until all entry VMs have a version of the configuration."""
    stores = [
        vm._shared.configuration_store
        for vm in fleet.fleet.vms[len(fleet.fleet.control_ports) :]
    ]
    relay_test_fleet.await_reply(
        lambda: {store.configuration.version for store in stores},
        lambda versions: versions == {version},
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
def test_streams_stay_where_they_are_if_all_endpoints_are_silent(
    make_fleet, monkeypatch
):
    fleet = make_fleet()
    common = common_silence.CommonSilence(STREAM_COUNT, fleet.engines)
    looks = common_silence.watch_looks(monkeypatch, common)
    with futures.ThreadPoolExecutor(STREAM_COUNT) as callers:
        replies = [
            callers.submit(_ask, fleet, '/captions/common-silence')
            for _ in range(STREAM_COUNT)
        ]
        try:
            looks.await_each(STREAM_COUNT, LOOKS_IN_SILENCE)
            requests_in_silence = len(fleet.engine_requests)
        finally:
            common.end()
        found = [reply.result() for reply in replies]
    # A stream whose endpoint goes on later than the other one may move there.
    assert requests_in_silence == STREAM_COUNT
    for reply in found:
        count = reply.body.count(b'\n\n')
        # The first event, and the one after the silence.
        assert count >= 2
        assert (reply.status, reply.body) == (200, _first_events(count))


# A stream was given up for an endpoint that was silent too and then failed.
def test_a_stream_outlives_a_silence_beside_an_engine_that_is_frozen(
    make_fleet,
):
    fleet = make_fleet()
    ends_freeze = threading.Event()

    def freeze(engine):
        engine.ends_freeze = ends_freeze
        first = next(other for other in fleet.engines if other is not engine)
        first.on_end = lambda _headers: ends_freeze.set()

    _Chosen(fleet, freeze)
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 1


# A stream was given up although its engine sent events of others again.
def test_a_stream_stays_at_an_engine_that_is_awake_again(make_fleet):
    fleet = make_fleet()
    first, other = fleet.engines
    may_go_on = [threading.Event(), threading.Event()]
    pauses = iter(may_go_on)
    never_set = threading.Event()

    def fail_late(*_request):
        may_go_on[0].set()
        never_set.wait(2 * silence.TRIAL_SECONDS)
        may_go_on[1].set()
        raise ConnectionResetError

    first.on_pause = lambda: next(pauses).wait(relay_test_fleet.WAIT_SECONDS)
    other.on_run = fail_late
    other.retry_after = '1'
    with futures.ThreadPoolExecutor() as callers:
        replies = []
        for count in (1, 2):
            replies.append(
                callers.submit(_ask, fleet, '/captions/pause-0-after-2')
            )
            fleets.wait_until(lambda: len(first.requests) == count, 'a stream')
        other.retry_after = ''
        found = [reply.result() for reply in replies]
    assert [(reply.status, reply.body) for reply in found] == [
        (200, EVENTS)
    ] * 2


# The attempt was given up for an engine that answered with an error.
def test_an_attempt_outlives_a_silence_beside_an_engine_that_fails(make_fleet):
    fleet = make_fleet()
    _Chosen(fleet, lambda engine: setattr(engine, 'failure_status', 500))
    reply = _ask(fleet, '/captions/pause-2500-late-0')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 2


# An endpoint of a plain service has no report, and is asked for its health.
def test_any_answer_to_a_health_check_tells_that_an_endpoint_answers(
    lone_engine,
):
    endpoint = lone_engine.plain_endpoint
    platform = dialect.PlatformDialect()
    platform.request_health(endpoint.address, endpoint.name, '/full', 5.0)
    endpoint.ends_freeze = threading.Event()
    try:
        with pytest.raises(errors.EngineCallFailed):
            platform.request_health(
                endpoint.address, endpoint.name, '/full', 0.3
            )
    finally:
        endpoint.ends_freeze.set()
        endpoint.ends_freeze = None
        platform.close()


# A trial at an endpoint that can't be asked uses an attempt, as it may have
# run the request; the attempt at the first endpoint goes on.
@pytest.mark.parametrize('max_attempts', [2, 3])
def test_a_stream_outlives_a_silence_of_endpoints_that_cannot_be_asked(
    make_fleet, max_attempts
):
    fleet = make_fleet()
    fields = builders.configuration_fields()
    services = fields['services']
    del services[0]['engine']
    routes = fields['routes']
    for route in routes:
        if route['name'] == 'captions':
            route['max_attempts'] = max_attempts
    assert fleet.configure(2, routes=routes, services=services).status == 200
    _await_version(fleet, 2)
    ends_freeze = threading.Event()

    def freeze(engine):
        engine.ends_freeze = ends_freeze
        first = next(other for other in fleet.engines if other is not engine)
        first.on_end = lambda _headers: ends_freeze.set()

    _Chosen(fleet, freeze)
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    # The other one reads what it was sent once its freeze has ended.
    [run] = [engine for engine in fleet.engines if engine.on_end]
    assert len(run.requests) == 1


# An engine whose report names an error was taken for silent.
def test_a_stream_goes_on_at_an_engine_that_answers_with_an_error(make_fleet):
    fleet = make_fleet()
    _Chosen(fleet, lambda engine: setattr(engine, 'report_status', 503))
    reply = _ask(fleet, '/captions/stall-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 2


# A stream was given up for an engine that fell silent once it had answered.
def test_a_stream_outlives_a_silence_beside_an_engine_that_freezes(make_fleet):
    fleet = make_fleet()
    ends_freeze = threading.Event()

    def freeze(engine):
        engine.on_report = lambda: setattr(engine, 'ends_freeze', ends_freeze)
        first = next(other for other in fleet.engines if other is not engine)
        first.on_end = lambda _headers: ends_freeze.set()

    _Chosen(fleet, freeze)
    reply = _ask(fleet, '/captions/pause-2500-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    # The engine tells of the request once its freeze has ended.
    relay_test_fleet.await_reply(
        lambda: len(fleet.engine_requests), lambda count: count == 2
    )


# A silent endpoint kept the request although another one was at work on it.
def test_a_stream_goes_on_at_an_engine_that_takes_its_time(make_fleet):
    fleet = make_fleet()
    never_set = threading.Event()

    def take_time(engine):
        engine.on_run = lambda *_: never_set.wait(2 * silence.TRIAL_SECONDS)

    _Chosen(fleet, take_time)
    reply = _ask(fleet, '/captions/stall-after-2')
    assert (reply.status, reply.body) == (200, EVENTS)
    assert len(fleet.engine_requests) == 2


# The line of a hand-over named the first endpoint only.
@pytest.mark.parametrize('has_answered', [True, False])
def test_a_hand_over_is_logged_with_both_endpoints(
    make_fleet, monkeypatch, has_answered
):
    fleet = make_fleet()
    never_set = threading.Event()
    chosen = []
    lines = []
    emit = events.emit

    def capture(event, **fields):
        if event is events.ENDPOINT_SILENT:
            lines.append(fields)
        emit(event, **fields)

    def note(engine):
        chosen.append(engine.name)
        if not has_answered:
            engine.on_run = lambda *_: never_set.wait(
                2 * silence.TRIAL_SECONDS
            )

    monkeypatch.setattr(events, 'emit', capture)
    _Chosen(fleet, note)
    assert _ask(fleet, '/captions/stall-after-2').body == EVENTS
    line = lines[-1]
    assert (line['stays_for'], line['has_started']) == ('', True)
    assert (line['goes_to'], line['has_answered']) == (*chosen, has_answered)
    assert line['silent'] >= silence_watch.STALL_SECONDS


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
        def take_again():
            engine.retry_after = ''
            refused.set()

        engine.retry_after = '1'
        engine.on_refusal = take_again

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
