"""Engines with several models, of which each has weights of its own."""

import dataclasses
import json

from carobwood import clocks
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import foreign_records
from carobwood_daemon.relay import candidates
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.relay import messages
from carobwood_daemon.relay import model_records
from carobwood_daemon.relay import weights_records
from carobwood_platform import dialect
import msgspec
import pytest

import relay_builders as builders
import relay_test_fleet

OTHER = 'reckoning'
AHEAD_SECONDS = 3600.0
MODELS = [{'name': builders.MODEL}, {'name': OTHER}]
BOTH = {builders.MODEL: 1, OTHER: 1}
REPORTED = {builders.MODEL: 2, OTHER: 1}


class WeightsVm:
    """What one VM knows of engines, and the records that it exchanges."""

    def __init__(self, clock):
        self.weights = engine_weights.EngineWeights(clock)
        self.envelopes = foreign_records.ForeignRecords(clock)
        self.reports = weights_records.WeightsRecords(self.weights)
        self.news_count = 0
        model_records.ModelRecords(
            self.weights, self.envelopes, self._count_news
        )

    def _count_news(self):
        self.news_count += 1

    def send(self, other):
        """Send all that it knows to another VM."""
        other.envelopes.merge(self.pack())
        report = self.reports.to_thrift('engine-1')
        other.reports.merge([report] if report else [])

    def pack(self):
        """Return its envelopes as they are sent."""
        records = self.envelopes.records()
        return [self.envelopes.to_thrift(record.id) for record in records]

    def versions(self, endpoint):
        """Return an engine's versions of both models."""
        names = (builders.MODEL, OTHER)
        return [self.weights.version(endpoint, name) for name in names]


@pytest.fixture
def clock():
    """Return a clock that stands still.

    It is ahead of the clock by which reports are sent, so that no load ends
    while a test runs.
    """
    return builders.Clock(clocks.now() + AHEAD_SECONDS)


@pytest.fixture
def vms(clock):
    """Return three VMs."""
    return [WeightsVm(clock) for _ in range(3)]


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    """Yield a fleet whose engines have two models each."""
    folder = tmp_path_factory.mktemp('several-models')
    with relay_test_fleet.RelayTestFleet(folder) as test_fleet:
        fields = builders.configuration_fields(2)
        for service in fields['services']:
            if service.get('engine'):
                service['engine']['models'] = MODELS
        for engine in test_fleet.engines:
            engine.other_versions[OTHER] = 1
        test_fleet.keep_announcing()
        body = json.dumps(fields).encode()
        assert test_fleet.fleet.control('PUT', '/v1/config', body).status
        yield test_fleet


def _name_weights(fleet, model, version):
    request = {'model': model, 'version': version}
    reply = fleet.fleet.control('POST', '/v1/version-put', request)
    assert reply.status == 200


def _await_versions(fleet, model, wanted):
    relay_test_fleet.await_reply(
        lambda: [engine.versions()[model] for engine in fleet.engines],
        lambda versions: versions == [wanted, wanted],
    )


def _await_served(fleet, model):
    for number in range(2):
        relay_test_fleet.await_reply(
            lambda number=number: fleet.fleet.ask(
                '/checks/x', number=number, X_Carobwood_Model=model
            ),
            lambda reply: reply.status == 200,
        )


# The second of two models was never loaded, and its requests ended with 503:
# an engine's version of the first one counted for both.
def test_new_weights_of_two_models_are_loaded_and_served(fleet):
    _name_weights(fleet, builders.MODEL, 2)
    _name_weights(fleet, OTHER, 2)
    _await_versions(fleet, builders.MODEL, 2)
    _await_versions(fleet, OTHER, 2)
    _await_served(fleet, builders.MODEL)
    _await_served(fleet, OTHER)


# A model far behind the other one, whose number it would have to pass.
def test_a_model_with_lower_numbers_is_loaded_and_served(fleet):
    _name_weights(fleet, builders.MODEL, 40)
    _await_versions(fleet, builders.MODEL, 40)
    _name_weights(fleet, OTHER, 3)
    _await_versions(fleet, OTHER, 3)
    _await_served(fleet, OTHER)


# A model whose orders fail paused the engine for all of its models, and came
# first each time that it was tried again.
def test_refused_orders_for_one_model_hold_no_other_up(fleet):
    for engine in fleet.engines:
        engine.refused_models.add(builders.MODEL)
    _name_weights(fleet, builders.MODEL, 50)
    relay_test_fleet.await_reply(
        lambda: [order['version'] for order in fleet.engines[0].orders],
        lambda versions: 50 in versions,
    )
    _name_weights(fleet, OTHER, 4)
    _await_versions(fleet, OTHER, 4)
    _await_served(fleet, OTHER)


def test_each_model_has_a_version_of_its_own_at_other_vms(vms):
    writer, reader, third = vms
    endpoint = builders.endpoint()
    writer.weights.record_models(endpoint, REPORTED)
    writer.send(reader)
    reader.send(third)
    assert third.versions(endpoint) == [2, 1]
    assert third.news_count == 2
    # An announcement has the first model's version only.
    third.weights.record_version(endpoint, 7)
    assert third.versions(endpoint) == [2, 1]
    restarted = builders.endpoint(incarnation=2)
    assert third.versions(restarted) == [0, 0]


# Other VMs took the version of the model that was loaded for the other one's.
def test_the_end_of_a_load_changes_one_model(vms):
    leader, reader, _ = vms
    endpoint = builders.endpoint()
    leader.weights.record_version(endpoint, 1)
    leader.weights.record_models(endpoint, BOTH)
    leader.weights.record_load_model(endpoint, (3, 1), OTHER)
    leader.weights.record_report(endpoint.id, 1, (3, 1), 0, True)
    leader.send(reader)
    assert reader.weights.is_loading(endpoint, OTHER)
    # Orders leave the requests for other models alone.
    assert not reader.weights.is_loading(endpoint, builders.MODEL)
    leader.weights.record_models(endpoint, {builders.MODEL: 1, OTHER: 9})
    leader.weights.record_report(endpoint.id, 1, (3, 2), 0, False)
    leader.send(reader)
    assert not reader.weights.is_loading(endpoint, OTHER)
    assert reader.versions(endpoint) == [1, 9]


# The load of one model seemed to have ended with an announcement of another.
def test_an_announcement_ends_no_load_of_another_model(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_version(endpoint, 1)
    vm.weights.record_models(endpoint, BOTH)
    vm.weights.record_load_model(endpoint, (3, 1), OTHER)
    vm.weights.record_report(endpoint.id, 1, (3, 1), 0, True)
    vm.weights.record_version(endpoint, 2)
    assert vm.weights.is_loading(endpoint, OTHER)
    vm.weights.record_models(endpoint, {builders.MODEL: 2, OTHER: 2})
    assert not vm.weights.is_loading(endpoint, OTHER)


def test_a_load_of_an_unknown_model_concerns_all_of_them(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_models(endpoint, BOTH)
    vm.weights.record_load_model(endpoint, (3, 1), OTHER)
    vm.weights.record_report(endpoint.id, 1, (3, 2), 0, True)
    assert vm.weights.is_loading(endpoint, OTHER)
    assert vm.weights.is_loading(endpoint, builders.MODEL)


# Earlier builds pass envelopes on, but the reports and announcements that they
# write themselves name no model.
def test_what_earlier_builds_report_counts_for_no_model_by_name(vms, clock):
    writer, reader, _ = vms
    endpoint = builders.endpoint()
    earlier = foreign_records.ForeignRecords(clock)
    writer.weights.record_models(endpoint, REPORTED)
    earlier.merge(writer.pack())
    reader.envelopes.merge(
        [earlier.to_thrift(record.id) for record in earlier.records()]
    )
    reader.reports.merge([ttypes.WeightsNews(endpoint.id, 1, 5, 1, 30, False)])
    assert reader.versions(endpoint) == [2, 1]


def test_an_earlier_build_without_envelopes_is_followed_as_before(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_version(endpoint, 2)
    assert vm.versions(endpoint) == [2, 2]
    # A rejection has the engine asked, which names its models.
    vm.weights.record_models(endpoint, REPORTED)
    assert vm.versions(endpoint) == [2, 1]


def test_nothing_is_sent_for_an_engine_with_a_single_model(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_version(endpoint, 1)
    vm.weights.record_models(endpoint, {builders.MODEL: 2})
    vm.weights.record_version(endpoint, 3, builders.MODEL)
    vm.weights.record_version(endpoint, 4)
    assert vm.pack() == []
    assert vm.weights.version(endpoint, builders.MODEL) == 4


def test_a_version_is_announced_again_before_its_time_ends(vms, clock):
    writer, reader, late = vms
    endpoint = builders.endpoint()
    lifetime = model_records.VERSION_LIFETIME_SECONDS
    for step in range(6):
        announced = dataclasses.replace(endpoint, sequence=step)
        writer.weights.record_models(announced, REPORTED)
        writer.send(reader)
        clock.advance(lifetime / 3)
        for vm in (writer, reader):
            vm.envelopes.review(True)
    reader.send(late)
    assert late.versions(endpoint) == [2, 1]


def test_an_unchanged_announcement_sends_nothing(vms):
    vm = vms[0]
    sent = []
    vm.envelopes.on_change(sent.append)
    for sequence in range(5):
        endpoint = builders.endpoint(sequence=sequence)
        vm.weights.record_models(endpoint, REPORTED)
    assert len(sent) == len(REPORTED)


def test_an_unreadable_body_is_passed_on_and_changes_nothing(vms):
    writer, reader, _ = vms
    for kind in (model_records.VERSION_KIND, model_records.LOAD_KIND):
        writer.envelopes.write(
            foreign_records.ForeignRecord(kind, 'x', 1, 1, 60_000, b'\xc1')
        )
    reader.envelopes.merge(writer.pack())
    assert len(reader.pack()) == 2
    assert reader.news_count == 0


def test_the_models_of_an_engine_are_bounded(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_models(endpoint, BOTH)
    for number in range(2 * engine_weights.MAX_MODELS):
        vm.weights.record_version(endpoint, 1, f'model-{number}')
    known = vm.weights.versions_by_model(endpoint)
    assert len(known) == engine_weights.MAX_MODELS
    vm.weights.record_version(endpoint, 8, OTHER)
    assert vm.weights.version(endpoint, OTHER) == 8


def test_an_engine_without_a_model_has_no_version_of_it(vms):
    vm = vms[0]
    endpoint = builders.endpoint()
    vm.weights.record_models(endpoint, BOTH)
    assert vm.weights.version(endpoint, 'a third one') == 0


# Blocks that one model has cached counted as the other one's.
def test_the_cached_blocks_of_two_models_are_told_apart():
    salts = {_salt(MODELS, model) for model in (builders.MODEL, OTHER)}
    assert len(salts) == 2
    # Those of a single model keep the salt that they have.
    assert _salt(MODELS[:1], builders.MODEL) == 'v2'


def _salt(models, model):
    fields = builders.configuration_fields(1)
    for service in fields['services']:
        if service.get('engine'):
            service['engine']['models'] = models
    configuration = dialect.PlatformDialect().parse_configuration(
        json.dumps(fields).encode()
    )
    request = builders.admitted_request(
        messages.RequestMetadata('r-1', model=model),
        configuration.routes[0],
        configuration=configuration,
    )
    return candidates.salt_of(request, 2)


def test_envelopes_are_within_the_bounds_of_earlier_builds(vms):
    vm = vms[0]
    endpoint = builders.endpoint(
        incarnation=2**62 - 1, sequence=2**62 - 1, name='e' * 255
    )
    vm.weights.record_models(
        endpoint, {'m' * 255: 2**31 - 1, 'n' * 255: 2**62 - 1}
    )
    [packed] = vm.pack()
    record = msgspec.msgpack.decode(packed, type=foreign_records.ForeignRecord)
    assert record.number < 2**63
    assert len(packed) <= foreign_records.MAX_RECORD_BYTES
