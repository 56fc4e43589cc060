"""The state machine: a snapshot at any point changes nothing."""

import random

import builders
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import log
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
import pytest

SEEDS = range(6)
LENGTH = 300
TEXT = fleet_state.compress_text(builders.document())


def _random_command(source, number):
    name = f'n{source.randrange(12)}'
    digest = f'{source.randrange(40):064x}'
    operation = f'op{source.randrange(LENGTH)}'
    return source.choice(
        [
            commands.NoOperation(),
            commands.AdvanceTime(source.randrange(50)),
            commands.IssueKey(operation, 'production', name, digest),
            commands.WithdrawKey(digest),
            commands.DrainEndpoint(operation, name, source.random() < 0.5),
            commands.RegisterVm(name, 'bole'),
            commands.ForgetVm(operation, name),
            commands.PlaceOrder(operation, name, 'set-role', 'x', 'op'),
            commands.FinishOrder(source.randrange(LENGTH), 'done', ''),
            commands.OpenClaim(f'c{number}', 'c', name, 'd', 100),
            commands.SettleClaim(f'c{number - 3}', 'c', name, 201, (), b'a'),
            commands.ReleaseClaim(f'c{number - 2}', 'c', name),
            commands.HoldOrders(name, source.randrange(4), number, ''),
            commands.PutDocument(
                operation,
                'production',
                TEXT,
                'digest',
                source.randrange(6),
                'op',
            ),
        ]
    )


def _history(seed):
    source = random.Random(seed)
    return [
        log.Entry(n, 1, commands.encode(_random_command(source, n)))
        for n in range(1, LENGTH + 1)
    ]


def _apply(state, entries):
    for entry in entries:
        state.apply(entry, commands.decode_command(entry.payload))


def _state(state):
    # The order of claims and of remembered operations counts, because
    # the oldest are dropped first.
    return (
        state.index,
        state.fleet,
        list(state.fleet.results_by_operation),
        state.claims.time_ms,
        list(state.claims.claims_by_request.items()),
    )


@pytest.mark.parametrize('seed', SEEDS)
def test_a_snapshot_and_the_rest_give_the_same_state(seed):
    entries = _history(seed)
    whole = state_machine.StateMachine()
    _apply(whole, entries)
    for cut in random.Random(seed).sample(range(LENGTH), 10):
        first = state_machine.StateMachine()
        _apply(first, entries[:cut])
        second = state_machine.StateMachine()
        second.restore(first.snapshot())
        _apply(second, entries[cut:])
        assert _state(second) == _state(whole)


@pytest.mark.parametrize('seed', SEEDS)
def test_followers_reach_the_state_by_deltas_from_any_version(seed):
    entries = _history(seed)
    leader = state_machine.StateMachine()
    store = state_store.StateStore()
    source = random.Random(seed)
    followers = [state_store.StateStore() for _ in range(3)]
    seen = [0, 0, 0]
    for entry in entries:
        command = commands.decode_command(entry.payload)
        leader.apply(entry, command)
        if state_machine.is_fleet_command(command):
            store.offer(leader.fleet, [(entry.index, entry.payload)])
        number = source.randrange(3)
        _follow(followers[number], store)
        assert followers[number].version >= seen[number]
        seen[number] = followers[number].version
    for follower in followers:
        _follow(follower, store)
        assert follower.fleet == store.fleet


def _follow(follower, store):
    deltas = store.deltas_after(follower.version)
    if deltas is None:
        follower.offer_snapshot(store.snapshot())
    else:
        follower.offer_deltas(deltas)
        # What comes late or twice changes nothing.
        follower.offer_deltas(deltas[:1])
