"""Tests of the operations on rollouts, over a replicated state in memory."""

import dataclasses

from carobwood import errors
from carobwood_daemon.membership import directory as directories
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import state_machine
from carobwood_daemon.rollouts import operations
from carobwood_daemon.routing import software_versions
from carobwood_platform import dialect
import pytest
import relay_builders
import rollout_builders as builders

ORDER = operations.RolloutOrder(builders.SERVICE, 'v2', 10_000)


class Fleet:
    """A control VM whose proposals are committed at once.

    Attributes:
        clock: the simulated clock.
        directory: the ``Directory``.
        configuration: the configuration in force on the VM.
        operations: the ``RolloutOperations``.
        has_quorum: whether proposals are committed.
    """

    def __init__(self):
        self.clock = relay_builders.Clock()
        self.directory = directories.Directory(
            builders.vm('core-0'), (), self.clock
        )
        self.configuration = dialect.PlatformDialect().parse_configuration(
            relay_builders.configuration_body()
        )
        self.has_quorum = True
        self.committed_version = 0
        self._machine = state_machine.StateMachine()
        self._versions = software_versions.SoftwareVersionHistory(
            self.directory, lambda: True, self.clock
        )
        self.operations = operations.RolloutOperations(
            self, self.directory, self, self._versions, frozenset, self.clock
        )

    @property
    def records(self):
        """The records of rollouts by service."""
        return self._machine.fleet.rollouts_by_service

    def submit(self, command, timeout):
        """Commit a command."""
        del timeout
        if not self.has_quorum:
            raise errors.ChangeUncertain('no quorum')
        if isinstance(command, commands.ReadConfiguration):
            return commands.ConfigurationHeld(self.committed_version, b'')
        fleet = self._machine.fleet
        if isinstance(command, commands.ReadRollout):
            return self._machine._apply(None, command)
        self._machine.fleet, result = fleet.apply(fleet.version + 1, command)
        return result

    def serve(self, *versions):
        """Announce an endpoint of each version for a while."""
        for version in versions:
            endpoint = relay_builders.endpoint(
                f'e-{version}', software_version=version
            )
            self.directory.merge_endpoint(endpoint)
        for _ in range(10):
            self.clock.advance(1.0)
            self._versions.sample()


@pytest.fixture
def fleet():
    """Return a fleet whose endpoints run v1."""
    fleet = Fleet()
    fleet.serve('v1')
    return fleet


def test_an_order_is_committed_and_can_be_read(fleet):
    fleet.operations.start(ORDER)
    held = fleet.operations.read(builders.SERVICE)
    assert (held.target_version, held.phase) == ('v2', 'canary')


def test_the_same_order_again_changes_nothing(fleet):
    fleet.operations.start(ORDER)
    before = fleet.records
    fleet.operations.start(ORDER)
    assert fleet.records == before


def test_an_accepted_order_is_taken_again_when_only_its_version_is_left():
    fleet = Fleet()
    fleet.serve()
    fleet.operations.start(ORDER)
    fleet.serve('v2')
    fleet.operations.start(ORDER)
    assert fleet.operations.read(builders.SERVICE).index == 1


def test_a_vm_that_has_just_started_takes_no_version_for_a_new_one():
    fleet = Fleet()
    with pytest.raises(errors.ChangeUncertain):
        fleet.operations.start(ORDER)
    assert fleet.records == {}


def test_a_version_that_is_the_only_one_in_force_is_refused(fleet):
    order = dataclasses.replace(ORDER, target_version='v1')
    with pytest.raises(errors.RolloutInvalid) as raised:
        fleet.operations.start(order)
    assert raised.value.field == 'to'
    assert fleet.records == {}


def test_another_version_is_refused_while_a_rollout_runs(fleet):
    fleet.operations.start(ORDER)
    order = dataclasses.replace(ORDER, target_version='v3')
    with pytest.raises(errors.RolloutConflict):
        fleet.operations.start(order)


def test_an_unknown_service_is_refused(fleet):
    order = dataclasses.replace(ORDER, service='nothing')
    fleet.committed_version = fleet.configuration.version
    with pytest.raises(errors.RolloutInvalid) as raised:
        fleet.operations.start(order)
    assert raised.value.field == 'service'


def test_a_vm_without_the_newest_configuration_refuses_no_service(fleet):
    order = dataclasses.replace(ORDER, service='nothing')
    fleet.committed_version = fleet.configuration.version + 1
    with pytest.raises(errors.ChangeUncertain):
        fleet.operations.start(order)
    fleet.configuration = None
    with pytest.raises(errors.ConfigurationMissing):
        fleet.operations.start(ORDER)


def test_no_order_is_taken_beside_a_vm_of_an_older_build(fleet):
    old = builders.vm('front-1', features=frozenset())
    fleet.directory.note_message(old, 0)
    with pytest.raises(errors.FeatureMissing):
        fleet.operations.start(ORDER)
    assert fleet.records == {}


def test_nothing_is_told_without_a_quorum(fleet):
    fleet.has_quorum = False
    for call in (
        lambda: fleet.operations.start(ORDER),
        lambda: fleet.operations.read(builders.SERVICE),
    ):
        with pytest.raises(errors.ChangeUncertain):
            call()


def test_a_service_without_a_rollout_has_none_to_read(fleet):
    with pytest.raises(errors.RolloutMissing):
        fleet.operations.read(builders.SERVICE)


# A cancel that met a change of phase had no effect and told no error.
def test_a_rollout_that_moves_on_meanwhile_is_cancelled(fleet, monkeypatch):
    fleet.operations.start(ORDER)
    held = fleet.operations.read(builders.SERVICE)
    fleet.submit(
        commands.AdvanceRollout(
            builders.SERVICE, held.index, 'shifting', held.phase, ''
        ),
        1.0,
    )
    monkeypatch.setattr(fleet.operations, 'read', lambda service: held)
    held = fleet.operations.cancel(builders.SERVICE, 'ada')
    assert (held.phase, held.reason) == ('rolled-back', 'cancelled by ada')


def test_a_cancelled_rollout_is_rolled_back_once(fleet):
    fleet.operations.start(ORDER)
    held = fleet.operations.cancel(builders.SERVICE, 'ada')
    assert (held.phase, held.reason) == ('rolled-back', 'cancelled by ada')
    again = fleet.operations.cancel(builders.SERVICE, 'eve')
    assert again == held
