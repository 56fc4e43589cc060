"""Tests of who knows which software version began a stream."""

import types

import pytest
import relay_builders as builders

from carobwood import errors
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import stream_origin_links
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import stream_resumption
from carobwood_daemon.routing import software_versions
from carobwood_daemon.routing import stream_origins

LIFETIME = software_versions.LIFETIME_SECONDS
KEY = stream_origins.StreamKey('bole', 'r-1')
ORIGIN = stream_origins.StreamOrigin('engines', 'v1')


def _vm(name, takes_callers=False):
    return directory.Vm(
        name, 'bole', f'{name}:7000', '', 1, not takes_callers, takes_callers
    )


class TickingClock(builders.Clock):
    """A clock whose periodic functions are called while it advances."""

    def __init__(self, now=1000.0):
        super().__init__(now)
        self._functions = []

    def on_tick(self, function):
        """Call a function in the period in which versions are sampled."""
        self._functions.append(function)

    def advance(self, seconds):
        """Advance the clock."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            step = software_versions.SAMPLE_PERIOD_SECONDS
            self.now = min(ends_at, self.now + step)
            for function in self._functions:
                function()

    def stand_still(self, seconds):
        """Advance the clock without a call, as if the VM were paused."""
        self.now += seconds


class ControlVm:
    """A control VM that keeps streams, as a reporter or finder calls it."""

    def __init__(self, clock):
        self.clock = clock
        self.is_up = True
        self.incarnation = 1
        self.restart()

    def restart(self):
        """Lose all streams."""
        self.incarnation += 1
        self.table = stream_origins.StreamOriginTable(self.clock)
        endpoints = types.SimpleNamespace(
            on_endpoint_change=lambda listener: None, endpoints=lambda: []
        )
        self.history = software_versions.SoftwareVersionHistory(
            endpoints, lambda: True, self.clock
        )
        self.clock.on_tick(self.history.sample)
        self.keeper = stream_origin_links.StreamOriginKeeper(
            self.table, self.history, self.incarnation
        )


class Fleet:
    """Control VMs, and the calls of one entry VM to them.

    Attributes:
        clock: the ``Clock``.
        control_vms_by_id: the ``ControlVm`` objects.
        calls: ids and methods of the calls.
    """

    def __init__(self, names=('core-0', 'core-1', 'core-2')):
        # Ages are told by the clock of the process.
        self.clock = TickingClock(stream_origins.clocks.now())
        self.control_vms_by_id = {
            name: ControlVm(self.clock) for name in names
        }
        self.calls = []
        self.own_vm = _vm('front-0', True)
        self.table = stream_origins.StreamOriginTable(self.clock)
        self.reporter = stream_origin_links.StreamOriginReporter(
            self.table, self
        )
        self.finder = stream_origin_links.StreamOriginFinder(self)

    def known_vms(self):
        """Return all VMs."""
        return [self.own_vm, *map(_vm, self.control_vms_by_id)]

    def available_control_vms(self):
        """Return the control VMs that are up."""
        return [
            _vm(name)
            for name, vm in self.control_vms_by_id.items()
            if vm.is_up
        ]

    def call(self, vm, method, message):
        """Call a keeper."""
        self.calls.append((vm.id, method))
        control_vm = self.control_vms_by_id[vm.id]
        if not control_vm.is_up:
            raise errors.LinkFailed(vm.id)
        return getattr(control_vm.keeper, method)(message)

    def knowing_ids(self):
        """Return the ids of the control VMs that know the stream."""
        return {
            name
            for name, vm in self.control_vms_by_id.items()
            if vm.table.find(KEY)
        }


@pytest.fixture
def fleet():
    """Return a fleet of three control VMs that know no stream."""
    return Fleet()


def test_a_table_keeps_the_first_record_for_a_while():
    clock = builders.Clock()
    table = stream_origins.StreamOriginTable(clock)
    table.add(KEY, ORIGIN)
    table.add(KEY, stream_origins.StreamOrigin('engines', 'v2'))
    assert table.find(KEY) == ORIGIN
    other_customer = stream_origins.StreamKey('arada', 'r-1')
    assert table.find(other_customer) is None
    clock.advance(stream_origins.LIFETIME_SECONDS + 1)
    assert table.find(KEY) is None


def test_a_table_is_bounded(monkeypatch):
    monkeypatch.setattr(stream_origins, 'MAX_STREAMS', 10)
    table = stream_origins.StreamOriginTable(builders.Clock())
    for number in range(25):
        table.add(stream_origins.StreamKey('bole', f'r-{number}'), ORIGIN)
    assert len(table.records_after(0, 100)) == 10


def test_two_control_vms_learn_of_a_stream(fleet):
    fleet.table.add(KEY, ORIGIN)
    fleet.reporter.send_records()
    assert len(fleet.knowing_ids()) == 2
    assert fleet.finder.ask(KEY, 'engines')[0] == ORIGIN


def test_a_stream_is_sent_once_and_not_again(fleet):
    fleet.table.add(KEY, ORIGIN)
    fleet.reporter.send_records()
    sent = []
    fleet.call = lambda vm, method, report: (
        sent.extend(report.streams),
        ttypes.StreamReportReply(fleet.control_vms_by_id[vm.id].incarnation),
    )[1]
    fleet.reporter.send_records()
    assert sent == []


def test_restarted_control_vms_get_the_streams_again(fleet):
    fleet.table.add(KEY, ORIGIN)
    fleet.reporter.send_records()
    for vm in fleet.control_vms_by_id.values():
        vm.restart()
    assert fleet.knowing_ids() == set()
    # The reply to the first report tells that they have been restarted.
    fleet.reporter.send_records()
    fleet.reporter.send_records()
    assert len(fleet.knowing_ids()) == 2


def test_another_control_vm_takes_the_place_of_one_that_is_lost(fleet):
    fleet.table.add(KEY, ORIGIN)
    fleet.reporter.send_records()
    lost, other = sorted(fleet.knowing_ids())
    fleet.control_vms_by_id[lost].is_up = False
    fleet.reporter.send_records()
    assert len(fleet.knowing_ids() - {lost}) == 2
    fleet.control_vms_by_id[other].is_up = False
    assert fleet.finder.ask(KEY, 'engines')[0] == ORIGIN


def _view(*versions, seconds=LIFETIME):
    return software_versions.VersionView(frozenset(versions), seconds)


@pytest.mark.parametrize(
    'own, views, version',
    [
        (_view('v1'), [_view('v1'), _view('v1')], 'v1'),
        # Another version has served lately, somewhere.
        (_view('v1'), [_view('v1'), _view('v1', 'v2')], None),
        (_view('v2', seconds=1.0), [_view('v1'), _view('v1')], None),
        (_view('v1'), [_view('v1'), _view('v2', seconds=1.0)], None),
        # A majority has not looked for long enough, or is out of reach.
        (_view('v1'), [_view('v1'), _view('v1', seconds=9.0)], None),
        (_view('v1'), [_view('v1')], None),
        (_view('v1'), [], None),
        (_view(), [_view(), _view()], None),
    ],
)
def test_one_version_is_concluded_only_if_no_other_served(own, views, version):
    found = stream_resumption.conclude_version(own, views, 3, LIFETIME)
    assert found == version


@pytest.mark.parametrize(
    'looked, max_age, version',
    [(29.0, 30.0, None), (30.0, 30.0, 'v1'), (LIFETIME, 1000.0, 'v1')],
)
def test_control_vms_need_to_have_looked_since_the_stream_can_have_begun(
    looked, max_age, version
):
    views = [_view('v1', seconds=looked)] * 2
    found = stream_resumption.conclude_version(views[0], views, 3, max_age)
    assert found == version


def test_a_version_counts_for_a_while_after_its_last_engine():
    clock = TickingClock()
    listeners = []
    known = [builders.endpoint(software_version='v1')]
    history = software_versions.SoftwareVersionHistory(
        types.SimpleNamespace(
            on_endpoint_change=listeners.append, endpoints=lambda: known
        ),
        lambda: True,
        clock,
    )
    clock.on_tick(history.sample)
    history.sample()
    known.clear()
    listeners[0](builders.endpoint('engine-2', software_version='v2'))
    clock.advance(LIFETIME)
    assert history.view('engines').versions == {'v1', 'v2'}
    clock.advance(1.0)
    assert history.view('engines').versions == frozenset()
    assert history.view('engines').seconds == LIFETIME


# Streams were taken up at another software version: a VM that had stood still
# or was cut off had missed that engines of a new version had joined.
def test_a_vm_that_stood_still_has_not_looked_since():
    clock = TickingClock()
    control_vm = ControlVm(clock)
    clock.advance(30.0)
    assert control_vm.history.view('engines').seconds == 30.0
    clock.stand_still(software_versions.MAX_GAP_SECONDS + 0.1)
    assert control_vm.history.view('engines').seconds == 0.0
    clock.advance(1.0)
    assert control_vm.history.view('engines').seconds <= 1.0


def test_a_vm_that_is_cut_off_has_not_looked_meanwhile():
    clock = TickingClock()
    contacts = [True]
    history = software_versions.SoftwareVersionHistory(
        types.SimpleNamespace(
            on_endpoint_change=lambda listener: None, endpoints=lambda: []
        ),
        lambda: contacts[0],
        clock,
    )
    clock.on_tick(history.sample)
    clock.advance(30.0)
    contacts[0] = False
    clock.advance(5.0)
    contacts[0] = True
    clock.advance(4.0)
    assert history.view('engines').seconds <= 4.0


class Finder:
    """A finder that answers from a list, and then with its last entry."""

    def __init__(self, *answers):
        self.answers = list(answers)
        self.count = 0

    def ask(self, key, service):
        """Return the next answer."""
        self.count += 1
        if len(self.answers) > 1:
            return self.answers.pop(0)
        return self.answers[0]

    @staticmethod
    def count_control_vms():
        """Return the number of control VMs."""
        return 3


class Resumption:
    """A ``StreamResumption`` with a finder and its own view."""

    def __init__(self, finder, own_view=None):
        self.finder = finder
        self.waited = []
        self.table = stream_origins.StreamOriginTable()
        self.resumption = stream_resumption.StreamResumption(
            self.table,
            finder,
            types.SimpleNamespace(
                view=lambda service: own_view or _view('v1', 'v2')
            ),
            self.waited.append,
        )

    def resolve(self, **changes):
        """Resolve a request that resumes the stream."""
        return self.resumption.resolve(_request(**changes))


def _request(seconds_left=10.0, services=('engines',), **metadata):
    fields = {
        'request_id': 'r-2',
        'resume_id': '3',
        'resumed_request_id': 'r-1',
    }
    shares = [types.SimpleNamespace(service=name) for name in services]
    request = builders.admitted_request(
        messages.RequestMetadata(**{**fields, **metadata}),
        route=types.SimpleNamespace(
            is_resumable=True, weighted_services=shares, timeout=15.0
        ),
        seconds_left=seconds_left,
    )
    return request


def test_a_request_that_resumes_nothing_goes_to_any_version():
    resumption = Resumption(Finder((None, [])))
    request = resumption.resolve(resume_id='')
    assert request.software_version is None
    assert resumption.finder.count == 0


def test_a_stream_that_began_here_needs_no_search():
    resumption = Resumption(Finder((None, [])))
    resumption.table.add(KEY, ORIGIN)
    assert resumption.resolve().software_version == 'v1'
    assert resumption.finder.count == 0


def test_a_stream_whose_record_is_on_its_way_is_found():
    resumption = Resumption(Finder((None, [_view('v1', 'v2')]), (ORIGIN, [])))
    assert resumption.resolve().software_version == 'v1'
    assert len(resumption.waited) == 1


def test_a_vm_that_knows_no_control_vms_yet_searches_on():
    missing = [(None, [])] * 5
    resumption = Resumption(
        Finder(*missing, (ORIGIN, [])), _view('v2', seconds=0.1)
    )
    assert resumption.resolve().software_version == 'v1'
    assert len(resumption.waited) == 5


def test_a_search_leaves_most_of_the_remaining_time():
    resumption = Resumption(Finder((None, [])), _view('v2', seconds=0.1))
    with pytest.raises(errors.StreamVersionUnknown):
        resumption.resolve(seconds_left=1.0)
    assert sum(resumption.waited) <= 0.3


@pytest.mark.parametrize('resumed_id', ['', 'r-unknown'])
def test_a_stream_of_an_unknown_version_is_refused(resumed_id):
    resumption = Resumption(Finder((None, [_view('v1', 'v2')] * 3)))
    with pytest.raises(errors.StreamVersionUnknown) as raised:
        resumption.resolve(resumed_request_id=resumed_id)
    assert raised.value.outcome is errors.Outcome.NOT_RUN
    assert raised.value.retry_after


def test_an_unknown_stream_goes_on_while_one_version_has_served():
    resumption = Resumption(
        Finder((None, [_view('v1')] * 3)), _view('v1', seconds=1.0)
    )
    assert resumption.resolve().software_version == 'v1'


def test_a_stream_goes_on_at_its_service_if_the_route_still_has_it():
    resumption = Resumption(Finder((ORIGIN, [])))
    both = resumption.resolve(services=('others', 'engines'))
    assert both.service == 'engines'
    with pytest.raises(errors.StreamVersionUnknown):
        resumption.resolve(services=('others',))
