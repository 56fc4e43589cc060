"""Property tests of snapshots that are cut or have flipped bits.

A snapshot gives ``LogDamaged`` and changes nothing, or a state that takes
further commands and can be stored again.
"""

import functools

from carobwood import errors
from carobwood_daemon.replication import applier
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import frames
from carobwood_daemon.replication import log as logs
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import msgspec
import pytest
import replication_builders as builders

EXAMPLES = 100
TEXT = fleet_state.compress_text('environment: production')
COMMANDS = (
    commands.ChangeVoters(builders.MEMBERS[:1], builders.MEMBERS[1:]),
    commands.RegisterVm('vm1', 'bole'),
    commands.PutDocument('op1', 'production', TEXT, 'digest', 0, 'amy'),
    commands.PutDocument('op2', 'production', TEXT, 'digest', 7, 'amy'),
    commands.IssueKey('op3', 'production', 'abyssinia', 'ab' * 32),
    commands.WithdrawKey('cd' * 32),
    commands.DrainEndpoint('op4', 'engine-1', True),
    commands.PlaceOrder('op5', 'engine-1', 'set-role', 'decode', 'amy'),
    commands.FinishOrder(8, 'done', ''),
    commands.PutConfiguration(3, b'content'),
    commands.NameWeights('ruling', 2),
    commands.HoldOrders('vm1', 1, 1, ''),
    commands.ForgetVm('op6', 'vm2'),
    commands.OpenClaim('c1', 'abyssinia', 'key-1', 'digest', 100),
    commands.SettleClaim('c1', 'abyssinia', 'key-1', 201, (), b'answer'),
    commands.OpenClaim('c2', 'abyssinia', 'key-2', 'digest', 100),
    commands.AdvanceTime(5000),
)


def _apply_all(machine):
    first = machine.index + 1
    for index, command in enumerate(COMMANDS, start=first):
        machine.apply(logs.Entry(index, 1, commands.encode(command)), command)


@functools.cache
def _filled_snapshot():
    machine = state_machine.StateMachine()
    _apply_all(machine)
    return machine.snapshot()


def _flip(content, position, bit):
    flipped = bytearray(content)
    flipped[position] ^= 1 << bit
    return bytes(flipped)


def _each_flip(content):
    for position in range(len(content)):
        yield _flip(content, position, position % 8)


def _restored(data):
    """Return the ``StateMachine`` of a snapshot, None if it is refused."""
    machine = state_machine.StateMachine()
    empty = machine.snapshot()
    try:
        machine.restore(data)
    except errors.LogDamaged:
        assert machine.snapshot() == empty
        return None
    return machine


def _is_read_by_store(data):
    """Return whether a ``StateStore`` takes over the snapshot of another."""
    store = state_store.StateStore()
    try:
        store.update_by_snapshot(data)
    except errors.LogDamaged:
        assert store.fleet == fleet_state.FleetState()
        return False
    store.snapshot()
    return True


@pytest.fixture
def folder(tmp_path):
    """Return a data folder that holds a snapshot."""
    opened = data_folder.DataFolder(tmp_path)
    opened.write('snapshot', _filled_snapshot())
    yield opened
    opened.close()


def _recover(folder):
    """Start a replica from a data folder; return its ``StateMachine``."""
    machine = state_machine.StateMachine()
    replica = builders.build_replica(
        logs.MemoryLog(), store=stable_store.DiskStableStore(folder)
    )
    applier.Applier(replica, machine, lambda *_: None).recover()
    return machine


def test_an_undamaged_snapshot_is_read():
    assert _restored(_filled_snapshot()).snapshot() == _filled_snapshot()
    store = state_store.StateStore()
    store.update(_restored(_filled_snapshot()).fleet, ())
    assert _is_read_by_store(store.snapshot())


def test_a_snapshot_that_is_cut_at_any_byte_is_refused():
    data = _filled_snapshot()
    for end in range(len(data)):
        assert _restored(data[:end]) is None, end


def test_a_snapshot_of_a_store_that_is_cut_at_any_byte_is_refused():
    store = state_store.StateStore()
    store.update(_restored(_filled_snapshot()).fleet, ())
    data = store.snapshot()
    for end in range(len(data)):
        assert not _is_read_by_store(data[:end]), end


def test_a_snapshot_with_a_flipped_bit_at_any_byte_is_usable_or_refused():
    for data in _each_flip(_filled_snapshot()):
        machine = _restored(data)
        if machine is not None:
            _apply_all(machine)
            assert _restored(machine.snapshot()) is not None


def test_a_snapshot_of_a_store_with_a_flipped_bit_is_usable_or_refused():
    store = state_store.StateStore()
    store.update(_restored(_filled_snapshot()).fleet, ())
    for data in _each_flip(store.snapshot()):
        _is_read_by_store(data)


def _filled_machine():
    machine = state_machine.StateMachine()
    machine.restore(_filled_snapshot())
    return machine


def _filled_store():
    store = state_store.StateStore()
    store.update(_filled_machine().fleet, ())
    return store


def _check_refused(data):
    """Check that a machine and a store refuse a snapshot and keep theirs."""
    machine = _filled_machine()
    with pytest.raises(errors.LogDamaged):
        machine.restore(data)
    assert machine.snapshot() == _filled_snapshot()
    store = _filled_store()
    before = store.snapshot()
    with pytest.raises(errors.LogDamaged):
        store.update_by_snapshot(data)
    assert store.snapshot() == before


# First bytes of a map in MessagePack.
_MAP_BYTES = [bytes([code]) for code in (*range(0x80, 0x90), 0xDE, 0xDF)]
_LEAVES = (
    st.none() | st.booleans() | st.integers(-9, 9) | st.floats(allow_nan=False)
)
_LEAVES |= st.text(max_size=4) | st.binary(max_size=4)
_VALUES = st.recursive(
    _LEAVES,
    lambda values: (
        st.lists(values, max_size=4)
        | st.dictionaries(st.text(max_size=4), values, max_size=4)
    ),
    max_leaves=12,
)


def _begins_map(data):
    return data[:1] in _MAP_BYTES


@settings(max_examples=EXAMPLES)
@given(st.binary(max_size=60))
def test_random_bytes_are_no_snapshot(data):
    assert _restored(data) is None
    _is_read_by_store(data)
    # Each field of a store's snapshot may be missing, as in those of earlier
    # builds, so that an empty map is one.
    if not _begins_map(data):
        _check_refused(data)


@settings(max_examples=EXAMPLES)
@given(_VALUES.filter(lambda value: not isinstance(value, dict)))
def test_a_random_value_is_no_snapshot(value):
    _check_refused(msgspec.msgpack.encode(value))


@settings(max_examples=EXAMPLES)
@given(st.dictionaries(st.text(max_size=4), _VALUES, max_size=4))
def test_a_random_map_is_no_snapshot_of_a_machine(value):
    assert _restored(msgspec.msgpack.encode(value)) is None


@pytest.mark.parametrize(
    'name', state_machine.StateMachineSnapshot.__struct_fields__
)
def test_a_snapshot_without_a_field_is_refused(name):
    fields = msgspec.msgpack.decode(_filled_snapshot())
    del fields[name]
    assert _restored(msgspec.msgpack.encode(fields)) is None


@settings(max_examples=EXAMPLES)
@given(st.data())
def test_a_snapshot_with_a_random_field_is_usable_or_refused(data):
    fields = msgspec.msgpack.decode(_filled_snapshot())
    name = data.draw(st.sampled_from(sorted(fields)))
    fields[name] = data.draw(_VALUES)
    content = msgspec.msgpack.encode(fields)
    machine = _filled_machine()
    try:
        machine.restore(content)
    except errors.LogDamaged:
        assert machine.snapshot() == _filled_snapshot()
        return
    _apply_all(machine)
    assert _restored(machine.snapshot()) is not None


@pytest.mark.parametrize('kind', ['cut', 'flipped'])
def test_a_snapshot_file_that_is_damaged_at_any_byte_ends_the_start(
    kind, folder
):
    file = folder.path / 'snapshot'
    content = file.read_bytes()
    assert _recover(folder).snapshot() == _filled_snapshot()
    damaged = {
        'cut': [content[:end] for end in range(len(content))],
        'flipped': list(_each_flip(content)),
    }
    for part in damaged[kind]:
        file.write_bytes(part)
        with pytest.raises(errors.LogDamaged):
            _recover(folder)
        assert file.read_bytes() == part


@pytest.mark.parametrize(
    'damage', [lambda d: d[:-1], lambda d: d[:10], lambda d: b'\x93' + d]
)
def test_a_snapshot_whose_checksum_fits_and_that_cannot_be_read_ends_the_start(
    damage, folder
):
    folder.write('snapshot', damage(_filled_snapshot()))
    with pytest.raises(errors.LogDamaged):
        _recover(folder)


def test_a_start_reads_and_decodes_its_snapshot_once(folder, monkeypatch):
    steps = []
    scan_frames = frames.scan_frames
    restore = state_machine.StateMachine.restore

    def count_scan(data):
        steps.append('scan')
        return scan_frames(data)

    def count_restore(machine, data):
        steps.append('restore')
        restore(machine, data)

    monkeypatch.setattr(frames, 'scan_frames', count_scan)
    monkeypatch.setattr(state_machine.StateMachine, 'restore', count_restore)
    _recover(folder)
    assert steps == ['scan', 'restore']
