"""Tests of the state machine with random commands.

Replicas would diverge if a restored snapshot or a copy that is updated
command by command differed from the original state.
"""

import random

import builders
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import log
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
import pytest

SEEDS = range(6)
ENTRY_COUNT = 300
TEXT = fleet_state.compress_text(builders.document_text())


def _random_command(rng, number):
    name = f'n{rng.randrange(12)}'
    digest = f'{rng.randrange(40):064x}'
    operation = f'op{rng.randrange(ENTRY_COUNT)}'
    return rng.choice(
        [
            commands.NoOperation(),
            commands.AdvanceTime(rng.randrange(50)),
            commands.IssueKey(operation, 'production', name, digest),
            commands.WithdrawKey(digest),
            commands.DrainEndpoint(operation, name, rng.random() < 0.5),
            commands.RegisterVm(name, 'bole'),
            commands.ForgetVm(operation, name),
            commands.PlaceOrder(operation, name, 'set-role', 'x', 'op'),
            commands.FinishOrder(rng.randrange(ENTRY_COUNT), 'done', ''),
            commands.OpenClaim(f'c{number}', 'c', name, 'd', 100),
            commands.SettleClaim(f'c{number - 3}', 'c', name, 201, (), b'a'),
            commands.ReleaseClaim(f'c{number - 2}', 'c', name),
            commands.HoldOrders(name, rng.randrange(4), number, ''),
            commands.StartRollout(name, f'v{rng.randrange(3)}', 1000),
            commands.ReserveExposure(
                name, rng.randrange(ENTRY_COUNT), rng.randrange(99)
            ),
            commands.AdvanceRollout(
                name, rng.randrange(ENTRY_COUNT), 'succeeded', 'canary', ''
            ),
            commands.ReadRollout(name),
            commands.PutDocument(
                operation,
                'production',
                TEXT,
                'digest',
                rng.randrange(6),
                'op',
            ),
        ]
    )


def _random_entries(seed):
    rng = random.Random(seed)
    return [
        log.Entry(n, 1, commands.encode(_random_command(rng, n)))
        for n in range(1, ENTRY_COUNT + 1)
    ]


def _apply(state, entries):
    for entry in entries:
        state.apply(entry, commands.decode_command(entry.payload))


def _comparable_state(state):
    # The order of claims and of operation results is compared too,
    # because the oldest are dropped first.
    return (
        state.index,
        state.fleet,
        list(state.fleet.results_by_operation),
        state.claims.time_ms,
        list(state.claims.claims_by_request.items()),
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_restoring_a_snapshot_at_any_entry_gives_the_same_state(seed):
    entries = _random_entries(seed)
    expected = state_machine.StateMachine()
    _apply(expected, entries)
    for cut in random.Random(seed).sample(range(ENTRY_COUNT), 10):
        original = state_machine.StateMachine()
        _apply(original, entries[:cut])
        restored = state_machine.StateMachine()
        restored.restore(original.snapshot())
        _apply(restored, entries[cut:])
        assert _comparable_state(restored) == _comparable_state(expected)


@pytest.mark.parametrize('seed', SEEDS)
def test_state_stores_catch_up_from_any_version(seed):
    entries = _random_entries(seed)
    machine = state_machine.StateMachine()
    store = state_store.StateStore()
    rng = random.Random(seed)
    copies = [state_store.StateStore() for _ in range(3)]
    last_versions = [0, 0, 0]
    for entry in entries:
        command = commands.decode_command(entry.payload)
        machine.apply(entry, command)
        if state_machine.is_fleet_command(command):
            store.update(machine.fleet, [(entry.index, entry.payload)])
        number = rng.randrange(3)
        _update_copy(copies[number], store)
        assert copies[number].version >= last_versions[number]
        last_versions[number] = copies[number].version
    for copy in copies:
        _update_copy(copy, store)
        assert copy.fleet == store.fleet


def _update_copy(copy, store):
    deltas = store.deltas_after(copy.version)
    if deltas is None:
        copy.update_by_snapshot(store.snapshot())
    else:
        copy.update_by_deltas(deltas)
        # Commands that arrive again must have no effect.
        copy.update_by_deltas(deltas[:1])
