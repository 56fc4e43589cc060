"""Records of kinds that this build does not know."""

import json

from carobwood.gen.links import ttypes
from carobwood_daemon.membership import foreign_records
from carobwood_daemon.membership import gossip_records
from hypothesis import given
from hypothesis import strategies as st
import msgspec
import pytest

import format_samples
import gossip_fleet
import record_formats
import relay_builders as builders

SECONDS_TO_SPREAD = 5.0
DATA_CENTRES = 3
ENTRY_VMS = 12
RECORDED = sorted(format_samples.SAMPLES.iterdir())

Record = foreign_records.ForeignRecord
RECORDS = st.builds(
    Record,
    st.sampled_from(['features', 'cost']),
    st.sampled_from(['a', 'b', 'c']),
    st.integers(0, 2),
    st.integers(0, 3),
    st.integers(-1, 10_000_000),
    st.binary(max_size=40),
)


@pytest.fixture
def lines(monkeypatch):
    """Give a list that collects log lines as (event, fields) pairs."""
    emitted = []
    monkeypatch.setattr(
        foreign_records.events,
        'emit',
        lambda event, **fields: emitted.append((event.name, fields)),
    )
    return emitted


def _record(kind='features', key='a', number=1, body=b'\0\xff', seconds=60.0):
    return Record(kind, key, 7, number, int(1000 * seconds), body)


def _encode(record):
    return msgspec.msgpack.encode(record)


def _bodies(table):
    return {record.id: record.body for record in table.records()}


def _send(source, target):
    """Pass all records of a table on to another one."""
    sent = [source.to_thrift(record.id) for record in source.records()]
    target.merge([data for data in sent if data is not None])


@pytest.fixture
def fleet(monkeypatch):
    return gossip_fleet.GossipFleet(monkeypatch, DATA_CENTRES, ENTRY_VMS)


def _held_bodies(fleet):
    return {
        vm_id: _bodies(vm.gossip.foreign_records)
        for vm_id, vm in fleet.vms_by_id.items()
    }


@pytest.mark.parametrize('writer', ['core-0', 'front-0', 'front-7'])
def test_a_fleet_passes_an_unknown_record_to_all_vms_as_it_is(fleet, writer):
    fleet.run(SECONDS_TO_SPREAD)
    record = _record()
    writing = fleet.vms_by_id[writer].gossip.foreign_records
    writing.merge([_encode(record)])
    fleet.run(SECONDS_TO_SPREAD)
    expected = {record.id: record.body}
    assert set(map(str, _held_bodies(fleet).values())) == {str(expected)}
    changed = _record(number=2, body=b'changed')
    writing.merge([_encode(changed)])
    fleet.run(SECONDS_TO_SPREAD)
    for held in _held_bodies(fleet).values():
        assert held == {record.id: b'changed'}


def test_a_vm_that_starts_later_or_was_cut_off_gets_unknown_records(fleet):
    fleet.run(SECONDS_TO_SPREAD)
    fleet.cut('dc-1')
    fleet.vms_by_id['front-0'].gossip.foreign_records.merge(
        [_encode(_record())]
    )
    fleet.run(SECONDS_TO_SPREAD)
    fleet.start('core-2')
    fleet.start('front-3')
    fleet.heal('dc-1')
    fleet.run(2 * SECONDS_TO_SPREAD)
    for held in _held_bodies(fleet).values():
        assert held == {('features', 'a'): b'\0\xff'}


def test_vms_behind_an_old_aggregator_get_unknown_records_after_its_upgrade(
    fleet,
):
    # A build before this one drops such records.
    for core in fleet.core_vms():
        core.gossip.foreign_records.merge = lambda records: None
    fleet.run(SECONDS_TO_SPREAD)
    writing = fleet.vms_by_id['front-0'].gossip.foreign_records
    writing.merge([_encode(_record())])
    fleet.run(SECONDS_TO_SPREAD)
    holders = [vm_id for vm_id, held in _held_bodies(fleet).items() if held]
    assert holders == ['front-0']
    for core in fleet.core_vms():
        fleet.start(core.own_vm.id)
        fleet.run(SECONDS_TO_SPREAD)
    for held in _held_bodies(fleet).values():
        assert held == {('features', 'a'): b'\0\xff'}


def test_an_unknown_record_ends_on_all_vms_and_does_not_come_back(fleet):
    fleet.run(SECONDS_TO_SPREAD)
    fleet.vms_by_id['front-0'].gossip.foreign_records.merge(
        [_encode(_record(seconds=10.0))]
    )
    fleet.run(SECONDS_TO_SPREAD)
    assert all(_held_bodies(fleet).values())
    fleet.run(10.0)
    assert not any(_held_bodies(fleet).values())
    fleet.run(SECONDS_TO_SPREAD)
    assert not any(_held_bodies(fleet).values())


def test_an_ended_record_leaves_the_log_of_changes(fleet):
    fleet.run(SECONDS_TO_SPREAD)
    vm = fleet.vms_by_id['core-0']
    exchange = vm.gossip._records
    size = len(exchange._log._changes_by_key)
    for number in range(20):
        record = _record(key=f'key-{number}', seconds=3.0)
        vm.gossip.foreign_records.merge([_encode(record)])
    fleet.run(2 * SECONDS_TO_SPREAD)
    assert len(exchange._log._changes_by_key) == size


@given(records=st.lists(RECORDS, max_size=30), order=st.randoms())
def test_tables_agree_on_the_newest_record_whatever_comes_first(
    records, order
):
    by_order = {(record.id, record.order): record for record in records}
    records = list(by_order.values())
    counted = [record for record in records if record.lifetime_ms > 0]
    newest = {}
    for record in sorted(counted, key=lambda record: record.order):
        newest[record.id] = record.body
    clock = builders.Clock()
    first = foreign_records.ForeignRecords(clock)
    second = foreign_records.ForeignRecords(clock)
    for table in (first, second):
        order.shuffle(records)
        table.merge(map(_encode, records))
        assert _bodies(table) == newest
    relayed = foreign_records.ForeignRecords(clock)
    _send(first, relayed)
    lasting = {
        record.id for record in first.records() if record.lifetime_ms >= 1000
    }
    assert _bodies(relayed) == {
        record_id: newest[record_id] for record_id in lasting
    }


@given(
    sizes=st.lists(st.integers(0, 400), max_size=40),
    keys=st.lists(st.integers(0, 9), min_size=40, max_size=40),
)
def test_a_table_stays_within_its_bounds(sizes, keys):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(foreign_records, 'MAX_RECORDS', 6)
        patch.setattr(foreign_records, 'MAX_BYTES', 900)
        patch.setattr(foreign_records, 'MAX_RECORD_BYTES', 300)
        clock = builders.Clock()
        table = foreign_records.ForeignRecords(clock)
        for number, (size, key) in enumerate(zip(sizes, keys, strict=False)):
            record = _record(key=str(key), number=number, body=bytes(size))
            table.merge([_encode(record)])
            held = table.records()
            assert len(held) <= 6
            assert sum(len(_encode(record)) for record in held) <= 900
            assert all(len(_encode(record)) <= 300 for record in held)
        clock.advance(61.0)
        table.review(True)
        assert table.records() == []
        table.merge([_encode(_record(body=bytes(250)))])
        assert len(table.records()) == 1


@given(data=st.binary(max_size=60))
def test_garbage_is_no_record(data):
    table = foreign_records.ForeignRecords(builders.Clock())
    table.merge([data, _encode(_record())])
    assert ('features', 'a') in _bodies(table)


def test_each_kind_and_each_reason_is_logged_once(lines):
    table = foreign_records.ForeignRecords(builders.Clock())
    for number in range(3):
        table.merge([_encode(_record(number=number))])
        table.merge([b'garbage', bytes(foreign_records.MAX_RECORD_BYTES + 1)])
    assert lines == [
        ('record-unknown', {'kind': 'features'}),
        ('record-refused', {'reason': 'unreadable'}),
        ('record-refused', {'reason': 'too large'}),
    ]


def test_a_full_table_says_so_once(lines, monkeypatch):
    monkeypatch.setattr(foreign_records, 'MAX_RECORDS', 2)
    table = foreign_records.ForeignRecords(builders.Clock())
    for key in 'abcd':
        table.merge([_encode(_record(key=key))])
    assert [record.key for record in table.records()] == ['a', 'b']
    assert lines == [
        ('record-unknown', {'kind': 'features'}),
        ('record-refused', {'reason': 'too many'}),
    ]
    # A newer record takes the place of the one that is held.
    table.merge([_encode(_record(key='b', number=2, body=b'new'))])
    assert _bodies(table)['features', 'b'] == b'new'


def test_an_envelope_with_more_than_it_may_have_is_refused():
    table = foreign_records.ForeignRecords(builders.Clock())
    fields = [*msgspec.structs.astuple(_record()), 'more']
    table.merge([msgspec.msgpack.encode(fields)])
    assert table.records() == []


def test_a_record_that_is_held_is_not_passed_on_again():
    table = foreign_records.ForeignRecords(builders.Clock())
    changed_ids = []
    table.on_change(changed_ids.append)
    for number in (2, 2, 1, 3):
        table.merge([_encode(_record(number=number))])
    assert changed_ids == [('features', 'a')] * 2


def test_a_record_loses_the_time_for_which_it_was_held():
    clock = builders.Clock()
    first = foreign_records.ForeignRecords(clock)
    second = foreign_records.ForeignRecords(clock)
    first.merge([_encode(_record(seconds=60.0))])
    clock.advance(20.0)
    _send(first, second)
    [record] = second.records()
    assert record.lifetime_ms == 40_000


@pytest.mark.parametrize('folder', RECORDED, ids=lambda path: path.name)
def test_messages_without_unknown_records_are_those_of_earlier_builds(folder):
    samples = json.loads((folder / record_formats.SAMPLES_FILE).read_text())
    for name in ('Records', 'GossipMessage', 'GossipReply'):
        message = record_formats._message_sample(getattr(ttypes, name))
        records = getattr(message, 'records', message)
        records.foreign = None
        record_formats.clear_added_fields(message)
        encoded = record_formats._encode_message(message)
        assert encoded.hex() == samples['messages'][name]['bytes']


def test_a_vm_without_unknown_records_sends_no_field_for_them(fleet):
    fleet.run(SECONDS_TO_SPREAD)
    exchange = fleet.vms_by_id['core-0'].gossip._records
    records, _ = exchange.read(None, lambda source: True, lambda source: True)
    assert records.vms
    assert records.foreign is None
    assert len(ttypes.Records.thrift_spec) == gossip_records.RECORD_KINDS + 1
