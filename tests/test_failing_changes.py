"""Tests that one change that cannot be taken over does not stop the others."""

import relay_builders
import replication_builders as builders

from carobwood import listeners
from carobwood import threads
from carobwood_daemon.relay import configuration_store
from carobwood_daemon.relay import engine_weights
from carobwood_daemon.replication import applier
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
from carobwood_platform import dialect

COMMAND_OF_A_NEWER_BUILD = b'\x82\xa4type\xa6Future\xa4name\xa1x'
DAMAGED_DOCUMENT = commands.PutDocument(
    'op', 'production', b'not compressed', 'digest', 0, 'operator'
)
# Field values of the right type that no build has checked.
DAMAGED_CLAIM = commands.OpenClaim('c1', 'bole', 'key', 'digest', None)


def _raise(*args):
    raise TypeError('cannot be taken over')


def _replica(payloads):
    replica = builders.build_replica(logs.MemoryLog(), builders.MEMBERS[:1])
    entries = [
        logs.Entry(index, 1, payload)
        for index, payload in enumerate(payloads, start=2)
    ]
    replica.log.append(entries)
    replica.log.record_commit(entries[-1].index)
    return replica


# One configuration that was committed and could not be applied ended all
# changes and reads of the fleet.
def test_commands_after_one_that_cannot_be_applied_are_applied():
    replica = _replica(
        [
            COMMAND_OF_A_NEWER_BUILD,
            commands.encode(DAMAGED_DOCUMENT),
            commands.encode(relay_builders.put_configuration(3)),
        ]
    )
    store = state_store.StateStore()
    store.add_change_listener(_raise)
    applied = applier.Applier(
        replica, state_machine.StateMachine(), store.update
    )
    applied.recover()
    assert store.fleet.configuration.version == 3
    assert store.version == replica.log.last.index
    assert replica.applied_index == replica.log.last.index


def test_a_vm_without_replica_applies_the_commands_after_an_unknown_one():
    store = state_store.StateStore()
    store.update_by_deltas(
        [
            (1, COMMAND_OF_A_NEWER_BUILD),
            (2, commands.encode(relay_builders.put_configuration(3))),
        ]
    )
    assert store.fleet.configuration.version == 3
    # A VM of the newer build gets the command as it was.
    assert store.deltas_after(0)[0] == (1, COMMAND_OF_A_NEWER_BUILD)


def test_a_command_that_cannot_be_applied_gets_no_result():
    replica = builders.build_replica(logs.MemoryLog(), builders.MEMBERS[:1])
    builders.elect(replica, 1)
    proposals = replica._append_proposals([commands.encode(DAMAGED_DOCUMENT)])
    with replica.changed:
        replica.advance_commit_index()
    applied = applier.Applier(
        replica, state_machine.StateMachine(), lambda fleet, deltas: None
    )
    while applied._apply_batch():
        pass
    assert proposals[0].done.is_set()
    assert proposals[0].result is None


def test_a_batch_that_was_interrupted_is_completed():
    replica = _replica([commands.encode(relay_builders.put_configuration(3))])
    published = []
    failures = [MemoryError(), None]

    def publish(fleet, deltas):
        error = failures.pop(0)
        if error is not None:
            raise error
        published.append((fleet.configuration.version, list(deltas)))

    applied = applier.Applier(replica, state_machine.StateMachine(), publish)
    with replica.changed:
        replica.set_commit_index(2)
    steps = iter([applied._apply_batch, applied._apply_batch])
    threads.repeat(lambda: next(steps, lambda: False)())
    assert [version for version, deltas in published] == [3]
    assert [index for index, payload in published[0][1]] == [2]
    assert replica.applied_index == 2


def test_a_listener_that_fails_does_not_keep_a_configuration_from_the_others():
    store = state_store.StateStore()
    followed = configuration_store.ConfigurationStore(
        store, dialect.PlatformDialect(), engine_weights.EngineWeights()
    )
    seen = []
    followed.add_change_listener(_raise)
    followed.add_change_listener(lambda new: seen.append(new.version))
    followed.on_first_configuration(lambda: seen.append('first'))
    for index in (1, 2):
        command = relay_builders.put_configuration(index)
        store.update_by_deltas([(index, commands.encode(command))])
    assert seen == [1, 'first', 2]
    assert followed.failed_listener_calls == 2


def test_listeners_are_called_in_the_order_in_which_they_were_added():
    calls = []
    subject = listeners.Listeners('a test')
    subject.add(lambda value: calls.append(('first', value)))
    subject.add(lambda value: calls.append(('second', value)))
    subject.notify(5)
    assert calls == [('first', 5), ('second', 5)]
    assert not subject.failed_calls


class _SlowDialect(dialect.PlatformDialect):
    """A dialect at which something happens while it parses.

    Attributes:
        while_parsing: called once, at the next configuration.
    """

    def __init__(self):
        super().__init__()
        self.while_parsing = None

    def parse_committed_configuration(self, content):
        """Parse a configuration; see ``Dialect``."""
        happens, self.while_parsing = self.while_parsing, None
        if happens:
            happens()
        return super().parse_committed_configuration(content)


# A VM went back to an older configuration: a snapshot was parsed while newer
# changes were taken over.
def test_a_configuration_is_not_replaced_by_one_that_was_parsed_longer():
    store = state_store.StateStore()
    slow = _SlowDialect()
    followed = configuration_store.ConfigurationStore(
        store, slow, engine_weights.EngineWeights()
    )
    seen = []
    followed.add_change_listener(lambda new: seen.append(new.version))

    def put(version):
        command = commands.encode(relay_builders.put_configuration(version))
        store.update_by_deltas([(version, command)])

    slow.while_parsing = lambda: put(2)
    put(1)
    assert followed.configuration.version == 2
    assert seen == [2]
