"""Keeps stream origins on control VMs, and finds them there.

Load pattern: all entry VMs are killed at the same moment, while engines of
two software versions serve. Callers come back to any of them, a moment later,
to resume streams that none of them remembers.

Each entry VM sends the streams that began there to two control VMs, right
after their first events and without making them wait. One call carries all
streams that began during the call before. A control VM that has been
restarted, or has become one of the two, gets those of the last minute again.
"""

import dataclasses
import threading

from carobwood import errors
from carobwood import events
from carobwood.gen.links import ttypes

from ..routing import rendezvous
from ..routing import software_versions
from ..routing import stream_origins

# Control VMs that keep the streams of one entry VM.
KEEPER_COUNT = 2
# Time between two calls to a keeper while streams begin.
MIN_PAUSE_SECONDS = 0.02
# Time between two calls while none begins, to learn of restarts of a keeper.
IDLE_PERIOD_SECONDS = 1.0
# Most streams in one call.
MAX_BATCH = 1000


@dataclasses.dataclass(frozen=True)
class _Progress:
    """What a keeper has been sent.

    Attributes:
        incarnation: the keeper's incarnation, or 0 if it is not known.
        number: number of the last record that was sent to it.
    """

    incarnation: int = 0
    number: int = 0


class StreamOriginReporter(threading.Thread):
    """Sends the streams that begin on this VM to its keepers."""

    def __init__(self, table, vm_calls):
        """Create the thread.

        Args:
            table: the ``StreamOriginTable`` of the streams that began here.
            vm_calls: the ``VmCalls``.
        """
        super().__init__(name='stream-origins', daemon=True)
        self._table = table
        self._vm_calls = vm_calls
        self._has_news = threading.Event()
        self._is_stopped = threading.Event()
        self._progress_by_id = {}

    def run(self):
        """Send records until stopped."""
        while not self._is_stopped.wait(MIN_PAUSE_SECONDS):
            self._has_news.wait(IDLE_PERIOD_SECONDS)
            self._has_news.clear()
            try:
                self.send_records()
            except Exception as error:
                events.emit(
                    events.THREAD_FAILED, thread=self.name, error=repr(error)
                )

    def stop(self):
        """Stop before the next call."""
        self._is_stopped.set()
        self._has_news.set()

    def wake(self):
        """Send new records at once."""
        self._has_news.set()

    def send_records(self):
        """Send each keeper the records that it lacks."""
        for vm in self._keepers():
            try:
                self._send_to(vm)
            except errors.LinkFailed:
                # The next control VM takes its place while it is avoided.
                self._has_news.set()

    def _keepers(self):
        ranked = rendezvous.rank(
            self._vm_calls.own_vm.id.encode('utf-8'),
            self._vm_calls.available_control_vms(),
        )
        return ranked[:KEEPER_COUNT]

    def _send_to(self, vm):
        progress = self._progress_by_id.get(vm.id, _Progress())
        records = self._table.records_after(progress.number, MAX_BATCH)
        reply = self._vm_calls.call(
            vm, 'record_streams', ttypes.StreamReport(to_thrift(records))
        )
        number = records[-1].number if records else progress.number
        if progress.incarnation not in (0, reply.incarnation):
            # It has been restarted, so it lacks what was sent before.
            number = 0
        self._progress_by_id[vm.id] = _Progress(reply.incarnation, number)
        if self._table.records_after(number, 1):
            self._has_news.set()


class StreamOriginFinder:
    """Asks control VMs where a stream began."""

    def __init__(self, vm_calls):
        """Create the finder; ``vm_calls`` is the ``VmCalls``."""
        self._vm_calls = vm_calls

    def count_control_vms(self):
        """Return the number of known control VMs, silent ones included."""
        return sum(not vm.takes_callers for vm in self._vm_calls.known_vms())

    def ask(self, key, service):
        """Ask control VMs in turn until one knows the stream.

        Args:
            key: the ``StreamKey``.
            service: name of the service that would resume the stream.

        Returns:
            The ``StreamOrigin`` or None, and a list of the ``VersionView``
            of each VM that has answered.
        """
        query = ttypes.StreamQuery(key.customer, key.request_id, service)
        views = []
        own_data_centre = self._vm_calls.own_vm.data_centre
        vms = self._vm_calls.available_control_vms()
        vms.sort(key=lambda vm: vm.data_centre != own_data_centre)
        for vm in vms:
            try:
                reply = self._vm_calls.call(vm, 'find_stream', query)
            except errors.LinkFailed:
                continue
            views.append(
                software_versions.VersionView(
                    frozenset(reply.versions), reply.covered_ms / 1000
                )
            )
            if reply.software_version is not None:
                origin = stream_origins.StreamOrigin(
                    reply.service_name, reply.software_version
                )
                return origin, views
        return None, views


class StreamOriginKeeper:
    """Serves the calls of reporters and finders on a control VM."""

    def __init__(self, table, history, incarnation):
        """Create the keeper.

        Args:
            table: the ``StreamOriginTable`` of the streams of other VMs.
            history: the ``SoftwareVersionHistory``.
            incarnation: incarnation of this VM.
        """
        self._table = table
        self._history = history
        self._incarnation = incarnation

    def record_streams(self, report):
        """Keep the streams of a thrift ``StreamReport``."""
        for record in report.streams:
            self._table.add(
                stream_origins.StreamKey(record.customer, record.request_id),
                stream_origins.StreamOrigin(
                    record.service_name, record.software_version
                ),
                record.age_ms / 1000,
            )
        return ttypes.StreamReportReply(self._incarnation)

    def find_stream(self, query):
        """Return the ``StreamReply`` to a thrift ``StreamQuery``."""
        key = stream_origins.StreamKey(query.customer, query.request_id)
        origin = self._table.find(key)
        view = self._history.view(query.service_name)
        return ttypes.StreamReply(
            sorted(view.versions),
            int(1000 * view.seconds),
            origin and origin.service,
            origin and origin.software_version,
        )


def to_thrift(records):
    """Return the thrift ``StreamNews`` of ``StreamRecord`` objects."""
    now = stream_origins.clocks.now()
    return [
        ttypes.StreamNews(
            record.key.customer,
            record.key.request_id,
            record.origin.service,
            record.origin.software_version,
            int(1000 * (now - record.began_at)),
        )
        for record in records
    ]
