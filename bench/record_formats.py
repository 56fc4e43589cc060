"""Writes one sample of each format that VMs of two builds share.

The formats are the messages between VMs, the commands and results of the
replicated log, the files of the data folder and the headers of forwarded
requests. The samples of one build are checked by another:

    record_formats.py write FOLDER
    record_formats.py check FOLDER

It runs on the code of the build that ``PYTHONPATH`` selects, so that it
imports nothing else of this repository. ``tests/data`` holds samples of
earlier builds, which ``format_samples.py`` records.
"""

import json
import pathlib
import shutil
import sys
import tempfile
import typing

import msgspec
from thrift.protocol import TCompactProtocol
from thrift import Thrift
from thrift.transport import TTransport

from carobwood.gen.links import FleetLink
from carobwood.gen.links import ttypes
from carobwood_daemon.membership import endpoint_persister
from carobwood_daemon.membership import link_transport
from carobwood_daemon.membership import prefix_cache_persister
from carobwood_daemon.relay import forwarding_headers
from carobwood_daemon.relay import usage_persister
from carobwood_daemon.replication import commands
from carobwood_daemon.replication import data_folder
from carobwood_daemon.replication import disk_log
from carobwood_daemon.replication import fleet_state
from carobwood_daemon.replication import log
from carobwood_daemon.replication import stable_store
from carobwood_daemon.replication import state_machine

# What builds of protocol version 5 have added since dc2e867, which does not
# know it. Messages of further methods, called only on VMs that know them:
ADDED_MESSAGES = frozenset(
    (
        'ExposureGrant',
        'RolloutReply',
        'RolloutReport',
        'SpeedNews',
        'VersionResults',
        'report_rollouts_args',
        'report_rollouts_result',
    )
)
# Commands and results of the log, which are proposed only once all VMs know
# them:
ADDED_LOG_CLASSES = frozenset(
    (
        'AdvanceRollout',
        'ReadRollout',
        'ReserveExposure',
        'RolloutHeld',
        'StartRollout',
    )
)
# Fields of ``FleetState``, which a build that does not know them drops:
ADDED_FIELDS = frozenset(('rollouts_by_service',))

# Optional fields of messages that builds of dc2e867 know, by message:
ADDED_MESSAGE_FIELDS = {
    'VmDescriptor': ('features',),
    'GossipMessage': ('speeds',),
    'GossipReply': ('speeds', 'leader_contact_ms'),
}

SAMPLES_FILE = 'formats.json'
DATA_FOLDER = 'data-folder'

_SECRET = b'secret-of-the-samples'
_TARGET = '/checks/x?y=1'
_FORWARDED = forwarding_headers.ForwardedRequest('front-1', 1.5, True)
_INTEGER = 7
_LAST_INDEX = 6
_BASE_INDEX = 2
_COMMIT_INDEX = 5
_TERM = 3
_PERSISTED_TYPES = {
    'endpoints': list[endpoint_persister.EndpointRecord],
    'spending': list[usage_persister.UsageRecord],
    'placements': list[prefix_cache_persister.CacheUpdateRecord],
}


def _message_classes():
    """Return the classes of thrift structs by name."""
    return {
        name: item
        for module in (ttypes, FleetLink)
        for name, item in vars(module).items()
        if hasattr(item, 'thrift_spec') and isinstance(item, type)
    }


def _log_classes():
    """Return the classes of commands and results by name."""
    unions = (commands.AnyCommand, commands.AnyResult)
    return {item.__name__: item for union in unions for item in union.__args__}


def _message_sample(message_class):
    """Return an instance of a thrift struct with all fields set."""
    values = {
        field[2]: _thrift_value(field[1], field[2], field[3])
        for field in message_class.thrift_spec
        if field is not None
    }
    return message_class(**values)


def _thrift_value(kind, name, details):
    match kind:
        case Thrift.TType.STRUCT:
            return _message_sample(details[0])
        case Thrift.TType.LIST:
            return [_thrift_value(details[0], name, details[1])]
        case Thrift.TType.MAP:
            key = _thrift_value(details[0], name, details[1])
            return {key: _thrift_value(details[2], name, details[3])}
        case Thrift.TType.STRING:
            return name.encode() if details == 'BINARY' else name
        case Thrift.TType.BOOL:
            return True
        case Thrift.TType.DOUBLE:
            return 0.5
    # Also a valid value of the enumerations.
    return 1


def _sample(data_type):
    """Return an instance of a type of the log or of the files."""
    return _typed_value(msgspec.inspect.type_info(data_type), 'sample')


def _typed_value(info, name):
    match info:
        case msgspec.inspect.StructType():
            values = {
                field.name: _typed_value(field.type, field.name)
                for field in info.fields
            }
            return info.cls(**values)
        case msgspec.inspect.UnionType():
            none = msgspec.inspect.NoneType()
            first = next(item for item in info.types if item != none)
            return _typed_value(first, name)
        case msgspec.inspect.DictType():
            key = _typed_value(info.key_type, name)
            return {key: _typed_value(info.value_type, name)}
        case msgspec.inspect.FrozenSetType():
            return frozenset([_typed_value(info.item_type, name)])
        case msgspec.inspect.ListType():
            return [_typed_value(info.item_type, name)]
        case msgspec.inspect.VarTupleType():
            return (_typed_value(info.item_type, name),)
        case msgspec.inspect.TupleType():
            return tuple(_typed_value(item, name) for item in info.item_types)
        case msgspec.inspect.StrType():
            return name
        case msgspec.inspect.BytesType():
            return name.encode()
        case msgspec.inspect.BoolType():
            return True
        case msgspec.inspect.FloatType():
            return 0.5
        case msgspec.inspect.IntType():
            return _INTEGER
    raise TypeError(f'{name}: no sample of {info}')


def write(folder):
    """Write the samples of this build into a folder."""
    folder = pathlib.Path(folder)
    folder.mkdir(parents=True)
    samples = {
        'protocol_version': link_transport.PROTOCOL_VERSION,
        'messages': {
            name: {
                'fields': [f[2] for f in item.thrift_spec if f is not None],
                'bytes': _encode_message(_message_sample(item)).hex(),
            }
            for name, item in sorted(_message_classes().items())
        },
        'log': {
            name: {
                'fields': list(item.__struct_fields__),
                'bytes': commands.encode(_sample(item)).hex(),
            }
            for name, item in sorted(_log_classes().items())
        },
        'forwarding_headers': forwarding_headers.format_request(
            _FORWARDED, 'POST', _TARGET, _SECRET
        ),
    }
    text = json.dumps(samples, indent=1)
    (folder / SAMPLES_FILE).write_text(text + '\n')
    _write_data_folder(folder / DATA_FOLDER)


def clear_added_fields(message):
    """Take the fields of ``ADDED_MESSAGE_FIELDS`` out of a message."""
    if isinstance(message, list):
        for item in message:
            clear_added_fields(item)
    if not hasattr(message, 'thrift_spec'):
        return
    for name in ADDED_MESSAGE_FIELDS.get(type(message).__name__, ()):
        setattr(message, name, None)
    for value in vars(message).values():
        clear_added_fields(value)


def _encode_message(message):
    buffer = TTransport.TMemoryBuffer()
    message.write(TCompactProtocol.TCompactProtocolAccelerated(buffer))
    return buffer.getvalue()


def _write_data_folder(path):
    folder = data_folder.DataFolder(path)
    folder.adopt_identity('replica', 'fleet')
    store = stable_store.DiskStableStore(folder)
    store.store_hard_state(stable_store.HardState(_TERM, 'replica'))
    store.store_snapshot(
        msgspec.msgpack.encode(_sample(state_machine.StateMachineSnapshot))
    )
    for name, data_type in _PERSISTED_TYPES.items():
        folder.write(name, msgspec.msgpack.encode(_sample(data_type)))
    entries = _log_entries()
    # Each compaction begins another segment.
    stored = disk_log.DiskLog(folder, segment_bytes=1)
    for entry in entries:
        stored.append([entry])
        stored.record_commit(min(entry.index, _COMMIT_INDEX))
        stored.flush()
        if entry.index == _BASE_INDEX:
            stored.compact(log.Position(_BASE_INDEX, _TERM))
    stored.store_commit()
    stored.close()
    folder.close()
    # What a power loss in the middle of a write leaves.
    segment = max(path.glob('log.*'))
    with open(segment, 'ab') as file:
        file.write(segment.read_bytes()[:5])


def _log_entries():
    payload = commands.encode(_sample(commands.PutConfiguration))
    return [
        log.Entry(index, _TERM, payload) for index in range(1, _LAST_INDEX + 1)
    ]


def check(folder, is_own=False):
    """Return what this build reads in another way than it was written.

    Args:
        folder: path of the folder with the samples of a build.
        is_own: whether this build has written them. Otherwise the fields of
            ``ADDED_FIELDS`` may be missing.
    """
    folder = pathlib.Path(folder)
    samples = json.loads((folder / SAMPLES_FILE).read_text())
    problems = []
    if samples['protocol_version'] != link_transport.PROTOCOL_VERSION:
        problems.append('the links would be refused')
    problems += _check_messages(samples['messages'])
    problems += _check_log(samples['log'])
    headers = dict(samples['forwarding_headers'])
    found = forwarding_headers.parse_request(headers, 'POST', _TARGET, _SECRET)
    if found != _FORWARDED:
        problems.append(f'forwarded request: {found}')
    with tempfile.TemporaryDirectory() as copy:
        shutil.copytree(folder / DATA_FOLDER, copy, dirs_exist_ok=True)
        problems += _check_data_folder(pathlib.Path(copy), is_own)
    return problems


def _check_messages(recorded_by_name):
    classes = _message_classes()
    for name, recorded in recorded_by_name.items():
        if name not in classes:
            if name not in ADDED_MESSAGES:
                yield f'{name}: unknown message'
            continue
        found = classes[name]()
        buffer = TTransport.TMemoryBuffer(bytes.fromhex(recorded['bytes']))
        found.read(TCompactProtocol.TCompactProtocolAccelerated(buffer))
        fields_by_name = {
            key: value['fields'] for key, value in recorded_by_name.items()
        }
        expected = _message_sample(classes[name])
        yield from _compare(name, found, expected, fields_by_name)


def _compare(name, found, expected, fields_by_name):
    """Yield the differences in those fields that were written."""
    match expected:
        case list():
            if len(found or ()) != 1:
                yield f'{name}: {found!r}'
                return
            yield from _compare(name, found[0], expected[0], fields_by_name)
        case _ if hasattr(expected, 'thrift_spec'):
            written = fields_by_name[type(expected).__name__]
            for field in filter(lambda f: hasattr(expected, f), written):
                yield from _compare(
                    f'{name}.{field}',
                    getattr(found, field),
                    getattr(expected, field),
                    fields_by_name,
                )
        case _:
            if found != expected:
                yield f'{name}: {found!r}, not {expected!r}'


def _check_log(recorded_by_name):
    classes = _log_classes()
    for name, recorded in recorded_by_name.items():
        if name not in classes:
            if name not in ADDED_LOG_CLASSES:
                yield f'{name}: unknown in the log'
            continue
        data = bytes.fromhex(recorded['bytes'])
        decode = commands.decode_command
        if issubclass(classes[name], commands.Result):
            decode = commands.decode_result
        found = decode(data)
        expected = _sample(classes[name])
        if type(found) is not type(expected):
            yield f'{name}: {found!r}'
            continue
        for field in recorded['fields']:
            value = getattr(found, field, None)
            if value != getattr(expected, field, value):
                yield f'{name}.{field}: {value!r}'


def _check_data_folder(path, is_own):
    folder = data_folder.DataFolder(path)
    store = stable_store.DiskStableStore(folder)
    stored = disk_log.DiskLog(folder)
    found = {
        'identity': folder.identity,
        'hard state': store.load_hard_state(),
        'snapshot': msgspec.msgpack.decode(
            store.load_snapshot(), type=state_machine.StateMachineSnapshot
        ),
        'base': stored.base,
        'entries': stored.entries(),
        'commit index': stored.commit_index,
    }
    expected = {
        'identity': data_folder.Identity('replica', 'fleet'),
        'hard state': stable_store.HardState(_TERM, 'replica'),
        'snapshot': _sample(state_machine.StateMachineSnapshot),
        'base': log.Position(_BASE_INDEX, _TERM),
        'entries': _log_entries()[_BASE_INDEX:],
        'commit index': _COMMIT_INDEX,
    }
    for name, data_type in _PERSISTED_TYPES.items():
        payload = folder.read(name)
        found[name] = msgspec.msgpack.decode(payload, type=data_type)
        expected[name] = _sample(data_type)
    stored.close()
    folder.close()
    if not is_own:
        found['snapshot'] = _without_added(found['snapshot'])
        expected['snapshot'] = _without_added(expected['snapshot'])
    for name, value in expected.items():
        if found[name] != value:
            yield f'{name}: {found[name]!r}, not {value!r}'


def _without_added(snapshot):
    """Return a snapshot whose added fields have their defaults."""
    defaults = fleet_state.FleetState()
    added = {
        name: getattr(defaults, name)
        for name in ADDED_FIELDS
        if hasattr(defaults, name)
    }
    fleet = msgspec.structs.replace(snapshot.fleet, **added)
    return msgspec.structs.replace(snapshot, fleet=fleet)


def main(arguments: typing.Sequence[str]):
    """Write or check samples.

    Returns:
        The exit code: 1 if a sample is read in another way, else 0.
    """
    action, folder = arguments
    if action == 'write':
        write(folder)
        return 0
    problems = check(folder)
    for problem in problems:
        print(problem)
    return 1 if problems else 0


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
