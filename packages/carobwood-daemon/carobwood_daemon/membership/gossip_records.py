"""Records that gossip spreads to all VMs: each change is sent once.

Changes of VMs, endpoints, strikes and weights are few. Aggregators flood
them: each sends a change to all others, also one that it got from another
aggregator. Cache updates are many, so aggregators send each other only those
of their own members.
"""

import abc
import contextlib
import dataclasses
import threading

from carobwood import clocks
from carobwood.gen.links import ttypes

from ..routing import cache_update_log

from . import cache_update_messages
from . import change_log
from . import directory as directories
from . import endpoint_table
from . import strike_messages

# Fields of the thrift ``Records``.
RECORD_KINDS = 11


@dataclasses.dataclass(frozen=True)
class VmKey:
    """Key of the descriptor of a VM."""

    id: str


@dataclasses.dataclass(frozen=True)
class RosterKey:
    """Key of the roster of an aggregator."""

    aggregator_id: str


@dataclasses.dataclass(frozen=True)
class EndpointKey:
    """Key of the announcement of an endpoint."""

    id: str


@dataclasses.dataclass(frozen=True)
class StrikeKey:
    """Key of a strike; see ``crash_suspects``."""

    fingerprint: str
    crash: str


@dataclasses.dataclass(frozen=True)
class SourceKey:
    """Key of a record of a ``RecordSource``.

    Attributes:
        field: the field of the source.
        id: what identifies the record there.
    """

    field: str
    id: object


class RecordSource(abc.ABC):
    """Further records that gossip spreads.

    Attributes:
        field: the field of the thrift ``Records`` that holds them.
        is_urgent: whether other VMs should know of changes at once.
        is_for_members_only: whether aggregators learn the records themselves
            and pass them on to their members only.
    """

    field = ''
    is_urgent = False
    is_for_members_only = False

    def review(self, is_aggregator):
        """Learn from time to time whether this VM is an aggregator."""

    def is_deleted(self, record_id):
        """Return whether a record only says that something is gone."""
        return False

    @abc.abstractmethod
    def on_change(self, listener):
        """Call ``listener(record_id)`` after each change of a record."""

    @abc.abstractmethod
    def to_thrift(self, record_id):
        """Return a thrift record, or None if it does not exist."""

    @abc.abstractmethod
    def merge(self, records):
        """Merge the thrift records that another VM sent."""


class RecordExchange:
    """Reads the records that another VM lacks, and merges its records."""

    def __init__(
        self,
        directory,
        crash_suspects,
        prefix_cache_index,
        sources=(),
        on_news=lambda source: None,
    ):
        """Begin to log changes.

        Args:
            directory: the ``Directory``.
            crash_suspects: the ``CrashSuspects``.
            prefix_cache_index: the ``PrefixCacheIndex``.
            sources: ``RecordSource`` objects.
            on_news: called with the ``Source`` of a changed record that other
                VMs should know of at once.
        """
        self._directory = directory
        self._crash_suspects = crash_suspects
        self._prefix_cache_index = prefix_cache_index
        self._on_news = on_news
        self._sources_by_field = {source.field: source for source in sources}
        self._log = change_log.ChangeLog()
        self._merging = threading.local()
        directory.on_vm_change(lambda vm_id: self._append(VmKey(vm_id)))
        directory.on_roster_change(
            lambda aggregator_id: self._append(RosterKey(aggregator_id))
        )
        directory.on_endpoint_change(
            lambda endpoint: self._append_news(EndpointKey(endpoint.id))
        )
        crash_suspects.on_strike(self._append_strikes)
        for source in sources:
            source.on_change(self._make_listener(source))

    def review(self, is_aggregator):
        """Tell the sources whether this VM is an aggregator."""
        for source in self._sources_by_field.values():
            source.review(is_aggregator)

    def start_position(self):
        """Return the ``LogPosition`` from which all records are read."""
        return ttypes.LogPosition(self._log.id, 0, 0)

    def read(self, position, is_wanted, is_update_wanted):
        """Return the records after a position, and the position after them.

        Args:
            position: the ``LogPosition``, or None for the start. A position
                in another log counts as the start.
            is_wanted: function of a ``Source``: whether its records are
                included.
            is_update_wanted: the same for its cache updates.
        """
        if position is None or position.log_id != self._log.id:
            position = self.start_position()
        keys, end = self._log.read(position.records, is_wanted)
        page = self._prefix_cache_index.log.read(
            position.placements, is_update_wanted
        )
        records = self._resolve(keys)
        records.placements = cache_update_messages.to_thrift(page.records)
        return records, ttypes.LogPosition(
            self._log.id, end, page.next_position
        )

    @contextlib.contextmanager
    def merging_from(self, source):
        """Log what this thread changes meanwhile under a ``Source``."""
        self._merging.source = source
        try:
            yield
        finally:
            self._merging.source = cache_update_log.OWN

    def merge(self, records, source):
        """Merge the records of another VM.

        Args:
            records: the thrift ``Records``.
            source: the ``Source``.
        """
        with self.merging_from(source):
            self._merge(records, source)

    def _merge(self, records, source):
        for descriptor in records.vms or ():
            self._directory.merge_vm(directories.vm_from_thrift(descriptor))
        for roster in records.rosters or ():
            self._directory.merge_roster(roster)
        now = clocks.now()
        for announcement in records.announcements or ():
            self._directory.merge_endpoint(
                endpoint_from_thrift(announcement, now),
                is_from_member=not source.is_aggregator,
            )
        strike_messages.merge_thrift(self._crash_suspects, records.strikes)
        for field, record_source in self._sources_by_field.items():
            record_source.merge(getattr(records, field) or ())
        cache_update_messages.merge_thrift(
            self._prefix_cache_index, records.placements, source
        )

    def _append(self, key):
        self._log.append(key, self._current_source())

    def _append_news(self, key):
        self._append(key)
        self._on_news(self._current_source())

    def _current_source(self):
        return getattr(self._merging, 'source', cache_update_log.OWN)

    def _make_listener(self, record_source):
        def append(record_id):
            source = self._current_source()
            if source == cache_update_log.OWN:
                if record_source.is_for_members_only:
                    source = cache_update_log.MEMBERS_ONLY
            self._log.append(
                SourceKey(record_source.field, record_id),
                source,
                record_source.is_deleted(record_id),
            )
            if record_source.is_urgent:
                self._on_news(source)

        return append

    def _append_strikes(self, strikes):
        for strike in strikes:
            self._append_news(StrikeKey(*strike))

    def _resolve(self, keys):
        """Return the thrift ``Records`` of some keys as they are now.

        Records that no longer exist are left out and dropped from the log.
        """
        records = ttypes.Records(*([] for _ in range(RECORD_KINDS)))
        now = clocks.now()
        strikes = {}
        if any(isinstance(key, StrikeKey) for key in keys):
            strikes = {
                (strike.fingerprint, strike.crash): strike
                for strike in strike_messages.to_thrift(self._crash_suspects)
            }
        for key in keys:
            match key:
                case VmKey(vm_id):
                    vm = self._directory.find_vm(vm_id)
                    found = vm and directories.vm_to_thrift(vm)
                    target = records.vms
                case RosterKey(aggregator_id):
                    found = self._directory.find_roster(aggregator_id)
                    target = records.rosters
                case EndpointKey(endpoint_id):
                    endpoint = self._directory.find_endpoint(endpoint_id)
                    found = endpoint and endpoint_to_thrift(endpoint, now)
                    target = records.announcements
                case StrikeKey(fingerprint, crash):
                    found = strikes.get((fingerprint, crash))
                    target = records.strikes
                case SourceKey(field, record_id):
                    found = self._sources_by_field[field].to_thrift(record_id)
                    target = getattr(records, field)
            if found is None:
                self._log.remove(key)
            else:
                target.append(found)
        # Without such records, messages are those of builds before this field.
        records.foreign = records.foreign or None
        return records


def endpoint_from_thrift(announcement, now):
    """Return the ``Endpoint`` that a thrift announcement describes."""
    return endpoint_table.Endpoint(
        announcement.endpoint_id,
        announcement.incarnation,
        announcement.sequence,
        announcement.address,
        announcement.data_centre,
        announcement.pool,
        announcement.environment,
        announcement.weights_version or '',
        announcement.leaving,
        announcement.running,
        announcement.waiting,
        now - announcement.age_ms / 1000,
        announcement.software_version or '',
    )


def endpoint_to_thrift(endpoint, now):
    """Return the thrift announcement of an ``Endpoint``."""
    return ttypes.Announcement(
        endpoint.id,
        endpoint.incarnation,
        endpoint.sequence,
        endpoint.address,
        endpoint.data_centre,
        endpoint.pool,
        endpoint.environment,
        endpoint.weights_version,
        endpoint.leaving,
        endpoint.running,
        endpoint.waiting,
        int((now - endpoint.last_seen_at) * 1000),
        endpoint.software_version,
    )
