"""Property tests of stored files: cut, flipped and random content.

Each file gives a value or ``LogDamaged``, whether or not its checksum fits.
"""

import itertools
import pathlib
import struct
import tempfile

from carobwood import errors
from carobwood_daemon.membership import contact_persister
from carobwood_daemon.membership import directory
from carobwood_daemon.membership import endpoint_persister
from carobwood_daemon.membership import prefix_cache_persister
from carobwood_daemon.membership import withdrawals
from carobwood_daemon.relay import past_usage
from carobwood_daemon.relay import usage_persister
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import frames
from carobwood_daemon.replication import log
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import state_machine
from carobwood_daemon.replication import state_store
from carobwood_daemon.routing import prefix_cache_index
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest
import relay_builders as builders

EXAMPLES = 150
# Examples of tests that write files.
FILE_EXAMPLES = 60
PAYLOADS = st.lists(st.binary(min_size=1, max_size=20), max_size=4)
OWN_VM = directory.Vm('vm1', 'bole', '127.0.0.1:1', '', 1, True)


def _flip(content, position, bit):
    flipped = bytearray(content)
    flipped[position % len(flipped)] ^= 1 << bit
    return bytes(flipped)


def _damages(content):
    """Return a strategy of cut, flipped, longer and random content."""
    position = st.integers(0, len(content) - 1)
    return (
        position.map(lambda end: content[:end])
        | st.builds(_flip, st.just(content), position, st.integers(0, 7))
        | st.binary(max_size=60)
        | st.binary(max_size=30).map(lambda junk: content + junk)
        | st.just(content + content)
        | st.just(content + b'\0' * 64)
    )


def _write_log(folder):
    disk = disk_log.DiskLog(folder)
    for index in (1, 2, 3):
        disk.append([log.Entry(index, 1, b'entry %d' % index)])
        disk.flush()
    disk.compact(log.Position(1, 1))
    disk.close()


def _read_log(folder):
    disk = disk_log.DiskLog(folder)
    disk.close()


def _write_state(folder):
    store = stable_store.DiskStableStore(folder)
    store.store_hard_state(stable_store.HardState(3, 'vm2'))
    store.store_snapshot(state_machine.StateMachine().snapshot())


def _read_snapshot(folder):
    data = stable_store.DiskStableStore(folder).load_snapshot()
    if data is not None:
        state_machine.StateMachine().restore(data)


def _persisters(folder):
    known_fleet = directory.Directory(OWN_VM, ())
    known_fleet.merge_endpoint(builders.endpoint('engine-1'))
    usage = past_usage.PastUsageTable(8.0)
    usage.add_report('vm2', 1, {'abyssinia': (3, 4)})
    store = state_store.StateStore()
    store.record_contact(1.0)
    index = prefix_cache_index.PrefixCacheIndex()
    index.record_use(builders.endpoint('engine-1'), (b'a' * 12,))
    return {
        persister.file: persister
        for persister in (
            endpoint_persister.EndpointPersister(folder, known_fleet),
            usage_persister.UsagePersister(folder, usage),
            contact_persister.ContactPersister(folder, store),
            prefix_cache_persister.PrefixCachePersister(folder, index),
        )
    }


READERS_BY_FILE = {
    'identity': lambda folder: None,
    'base': _read_log,
    'log.00000001': _read_log,
    'ballot': lambda f: stable_store.DiskStableStore(f).load_hard_state(),
    'snapshot': _read_snapshot,
    'withdrawn': withdrawals.Withdrawals,
    'endpoints': lambda folder: _persisters(folder)['endpoints'].load(),
    'spending': lambda folder: _persisters(folder)['spending'].load(),
    'contact': lambda folder: _persisters(folder)['contact'].load(),
    'placements': lambda folder: _persisters(folder)['placements'].load(),
}


def _write_whole_folder(path):
    folder = data_folder.DataFolder(path)
    _write_log(folder)
    _write_state(folder)
    withdrawals.Withdrawals(folder).add({'ab' * 32})
    for persister in _persisters(folder).values():
        assert persister.save()
    folder.close()


def _contents():
    with tempfile.TemporaryDirectory() as path:
        _write_whole_folder(path)
        return {
            name: (pathlib.Path(path) / name).read_bytes()
            for name in READERS_BY_FILE
        }


CONTENTS_BY_FILE = _contents()


def _read_back(name, content):
    """Read a file as a VM that starts does; return whether it was valid."""
    with tempfile.TemporaryDirectory() as path:
        for other, whole in CONTENTS_BY_FILE.items():
            (pathlib.Path(path) / other).write_bytes(whole)
        (pathlib.Path(path) / name).write_bytes(content)
        try:
            folder = data_folder.DataFolder(path)
        except errors.LogDamaged:
            return False
        try:
            READERS_BY_FILE[name](folder)
        except errors.LogDamaged:
            return False
        finally:
            folder.close()
    return True


@pytest.mark.parametrize('name', READERS_BY_FILE)
def test_an_undamaged_file_is_read(name):
    assert _read_back(name, CONTENTS_BY_FILE[name])


@pytest.mark.parametrize('name', READERS_BY_FILE)
@settings(max_examples=FILE_EXAMPLES)
@given(st.data())
def test_a_damaged_file_is_read_or_refused(name, data):
    _read_back(name, data.draw(_damages(CONTENTS_BY_FILE[name])))


@pytest.mark.parametrize('name', READERS_BY_FILE)
@settings(max_examples=FILE_EXAMPLES)
@given(st.data())
def test_a_file_of_another_content_is_read_or_refused(name, data):
    payload = frames.scan_frames(CONTENTS_BY_FILE[name]).payloads[0]
    other = data.draw(_damages(payload))
    _read_back(name, frames.pack_frame(other))


@pytest.mark.parametrize('name', READERS_BY_FILE)
def test_a_file_that_is_cut_at_any_byte_is_read_or_refused(name):
    content = CONTENTS_BY_FILE[name]
    for end in range(len(content)):
        _read_back(name, content[:end])


@settings(max_examples=EXAMPLES)
@given(PAYLOADS, st.data())
def test_frames_that_are_cut_give_those_that_are_whole(payloads, data):
    packed = list(map(frames.pack_frame, payloads))
    content = b''.join(packed)
    end = data.draw(st.integers(0, len(content)))
    ends = list(itertools.accumulate(map(len, packed)))
    whole_count = sum(frame_end <= end for frame_end in ends)
    valid_bytes = ends[whole_count - 1] if whole_count else 0
    scan = frames.scan_frames(content[:end])
    assert scan == frames.Scan(
        tuple(payloads[:whole_count]), valid_bytes, None
    )


@settings(max_examples=EXAMPLES)
@given(PAYLOADS.filter(bool), st.integers(0, 500), st.integers(0, 7))
def test_a_flipped_bit_costs_the_last_frame_or_is_told(
    payloads, position, bit
):
    content = b''.join(map(frames.pack_frame, payloads))
    scan = frames.scan_frames(_flip(content, position, bit))
    assert list(scan.payloads) == payloads[: len(scan.payloads)]
    is_last = len(scan.payloads) == len(payloads) - 1
    assert is_last or scan.damaged_at is not None


class _CountedBytes(bytes):
    """Bytes that count how many of them slices have copied."""

    copied = 0

    def __getitem__(self, key):
        """Return a slice."""
        part = super().__getitem__(key)
        self.copied += len(part)
        return part


def test_a_torn_payload_of_magic_numbers_is_not_copied_for_each_of_them():
    content = _CountedBytes(b'?' + frames.MAGIC * 2000)
    frames.scan_frames(content)
    assert content.copied <= 2 * len(content)


def _headers(count):
    """Return headers whose payloads would end a byte before the last one."""
    size = count * frames.HEADER_BYTES
    return b''.join(
        frames.MAGIC + struct.pack('>II', max(0, size - end - 1), 0)
        for end in range(frames.HEADER_BYTES, size + 1, frames.HEADER_BYTES)
    )


# A start checked all the rest of a torn frame for each header in a body.
def test_headers_in_a_torn_payload_are_checked_within_a_bound(monkeypatch):
    checked = []
    crc32 = frames.zlib.crc32

    def count(data):
        checked.append(len(data))
        return crc32(data)

    torn = frames.pack_frame(_headers(4000))[:-1]
    content = frames.pack_frame(b'first') + torn
    monkeypatch.setattr(frames.zlib, 'crc32', count)
    scan = frames.scan_frames(content)
    assert list(scan.payloads) == [b'first']
    assert sum(checked) <= (frames.SEARCH_FACTOR + 2) * len(content)


def test_a_few_headers_in_a_torn_payload_are_no_damage():
    scan = frames.scan_frames(frames.pack_frame(_headers(200))[:-1])
    assert scan == frames.Scan((), 0, None)


# Such an entry would have been applied again and again, and none after it.
def test_a_command_with_a_deeply_nested_field_is_decoded():
    nested = b'\x91' * 200_000 + b'\xc0'
    payload = b'\x82\xa4type\xabNoOperation\xa1x' + nested
    assert commands.decode_command(payload) == commands.UnknownCommand()


@settings(max_examples=EXAMPLES)
@given(_damages(commands.encode(commands.NoOperation())))
def test_each_command_of_the_log_is_decoded(payload):
    commands.decode_command(payload)
