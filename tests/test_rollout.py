"""Tests of which engines a rollout orders to load weights, and when."""

import dataclasses
import types

import builders
from carobwood import document as documents
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_table
from carobwood_daemon.orders import rollout
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import state_store
import pytest
import yaml

OWN = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, True)
OLD, NEW = '2026-11', '2027-01'


def _put_document(version, weights):
    fields = yaml.safe_load(builders.document_text())
    fields['models'][0]['weights_version'] = weights
    text = yaml.safe_dump(fields)
    return commands.PutDocument(
        f'operation {version}',
        'production',
        fleet_state.compress_text(text),
        documents.digest_text(text),
        version - 1,
        'operator',
    )


class RolloutFixture:
    """A rollout on a leader whose commands are applied at once."""

    def __init__(self, weights_by_engine):
        self.store = state_store.StateStore()
        self.leads = True
        replica = types.SimpleNamespace(holds_lease=lambda: self.leads)
        replica_runner = types.SimpleNamespace(
            is_running=True, replica=replica
        )
        self.directory = directory.Directory(OWN, ())
        for engine_id, weights in weights_by_engine.items():
            self.directory.merge_endpoint(
                endpoint_table.Endpoint(
                    engine_id,
                    1,
                    1,
                    '',
                    'bole',
                    'engines',
                    'production',
                    weights,
                )
            )
        for version, weights in enumerate((OLD, NEW), 1):
            self.apply(_put_document(version, weights))
        self.rollout = rollout.Rollout(
            replica_runner, self.store, self.directory, self
        )

    def submit(self, command, timeout):
        """Commit a command, as the proposer does."""
        return self.apply(command)

    def apply(self, command):
        """Apply a command to the state."""
        version = self.store.version + 1
        fleet, result = self.store.fleet.apply(version, command)
        self.store.update(fleet, ())
        return result

    @property
    def ordered(self):
        """Ids of the engines with a pending order."""
        orders = self.store.fleet.pending_orders()
        return [order.endpoint_id for order in orders]

    def finish(self):
        """Let the ordered engines load and announce the new weights."""
        for order in self.store.fleet.pending_orders():
            endpoint = self.directory.find_endpoint(order.endpoint_id)
            self.directory.merge_endpoint(
                dataclasses.replace(
                    endpoint,
                    sequence=endpoint.sequence + 1,
                    weights_version=order.argument,
                )
            )
            self.apply(commands.FinishOrder(order.fencing_number, 'done', ''))


@pytest.mark.parametrize(
    'count, at_once', [(2, 1), (3, 1), (5, 1), (6, 2), (30, 2)]
)
def test_only_some_of_the_engines_are_ordered_at_a_time(count, at_once):
    fixture = RolloutFixture({f'engine-{n}': OLD for n in range(count)})
    steps = 0
    while True:
        fixture.rollout.run_once()
        fixture.rollout.run_once()
        if not fixture.ordered:
            break
        assert len(fixture.ordered) <= at_once
        fixture.finish()
        steps += 1
    weights = {e.weights_version for e in fixture.directory.endpoints()}
    assert weights == {NEW}
    assert steps == -(-count // at_once)


def test_the_only_engine_is_not_ordered():
    fixture = RolloutFixture({'engine-1': OLD})
    fixture.rollout.run_once()
    assert fixture.ordered == []


def test_weights_that_an_operator_loaded_are_kept():
    fixture = RolloutFixture({'engine-1': '2027-07', 'engine-2': NEW})
    fixture.rollout.run_once()
    assert fixture.ordered == []


def test_only_the_leader_orders():
    fixture = RolloutFixture({'engine-1': OLD, 'engine-2': OLD})
    fixture.leads = False
    fixture.rollout.run_once()
    assert fixture.ordered == []


def test_a_refused_engine_is_not_ordered_again_at_once():
    fixture = RolloutFixture({'engine-1': OLD, 'engine-2': OLD})
    fixture.rollout.run_once()
    refused = fixture.store.fleet.pending_orders()[0]
    fixture.apply(
        commands.FinishOrder(refused.fencing_number, 'refused', 'busy')
    )
    fixture.rollout.run_once()
    assert fixture.ordered == [
        engine
        for engine in ('engine-1', 'engine-2')
        if engine != refused.endpoint_id
    ]
