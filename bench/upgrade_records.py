"""What callers, engines and the operator of an upgrade run have seen.

All times are those of ``time.monotonic`` in the process of the harness.
"""

import dataclasses
import pathlib
import threading
import time


@dataclasses.dataclass
class Attempt:
    """A request of a caller and its answer.

    Attributes:
        id: ID of the request.
        vm_id: entry VM that it was sent to.
        route: name of its route.
        key: its API key.
        customer: the customer that holds the key.
        event_count: events of its stream, or 0 for a plain answer.
        resumes: ID of the request whose stream it resumes, or empty.
        first_event: number of the first event that is due.
        connected_at: time at which its connection was open, or None.
        sent_at: time at which it began to be sent.
        ended_at: time of the end of its answer.
        status: HTTP status, or 0 without an answer.
        answered_id: ID of the request that the answer names.
        body: the received body.
        is_complete: whether the answer ended as its framing says.
        has_left: whether the caller left before the end.
        failure: what ended the connection, for the log.
        all_sent_at: time at which its last byte was sent, or None.
        is_chunked: whether its body is sent in chunks.
        answer_bytes: size of a large plain answer, or 0.
    """

    id: str
    vm_id: str
    route: str
    key: str
    customer: str
    event_count: int = 0
    resumes: str = ''
    first_event: int = 1
    connected_at: float | None = None
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    answered_id: str = ''
    body: bytes = b''
    is_complete: bool = False
    has_left: bool = False
    failure: str = ''
    all_sent_at: float | None = None
    is_chunked: bool = False
    answer_bytes: int = 0

    def unsent(self, request_id, **changes):
        """Return an attempt like this one that has not been sent.

        Args:
            request_id: its ID.
            **changes: fields that differ.
        """
        fields = {
            'id': request_id,
            'connected_at': None,
            'status': 0,
            'answered_id': '',
            'body': b'',
            'is_complete': False,
            'has_left': False,
            'failure': '',
            'all_sent_at': None,
        }
        return dataclasses.replace(self, **{**fields, **changes})

    @property
    def is_served(self):
        """Whether it was answered with a complete success."""
        return self.status == 200 and self.is_complete

    def last_event(self):
        """Return the number of the last whole event that was received."""
        return self.first_event - 1 + self.body.count(b'\n\n')


@dataclasses.dataclass(frozen=True)
class Run:
    """A request that an engine has begun to run.

    Attributes:
        endpoint_id: ID of the engine.
        software_version: version of the engine's software.
        request_id: ID of the request.
        customer: the customer that the engine was told.
        path: path of the request.
        body: body of the request.
        at: time of its arrival.
    """

    endpoint_id: str
    software_version: str
    request_id: str
    customer: str
    path: str
    body: bytes
    at: float


@dataclasses.dataclass
class Disruption:
    """What was done to a VM.

    Attributes:
        vm_id: ID of the VM.
        action: name of the action.
        is_planned: whether the VM could stop gracefully.
        began_at: time of its beginning.
        ended_at: time at which the VM was ready again.
    """

    vm_id: str
    action: str
    is_planned: bool
    began_at: float
    ended_at: float = float('inf')

    def end(self):
        """Record that the VM is ready again."""
        self.ended_at = time.monotonic()


@dataclasses.dataclass(frozen=True)
class Change:
    """A configuration that the operator has sent.

    Attributes:
        version: its version.
        content: the configuration as sent.
        added_key: key that it adds.
        withdrawn_key: key that it withdraws, or empty.
        acknowledged_at: time of the acknowledgement, or None.
    """

    version: int
    content: bytes
    added_key: str
    withdrawn_key: str
    acknowledged_at: float | None


@dataclasses.dataclass(frozen=True)
class ReadBack:
    """A configuration that a control VM has returned.

    Attributes:
        vm_id: ID of the control VM.
        sent_at: time of the call.
        version: the version that it returned.
        is_as_sent: whether the content is what was sent as that version.
    """

    vm_id: str
    sent_at: float
    version: int
    is_as_sent: bool


@dataclasses.dataclass(frozen=True)
class Leaving:
    """An engine's announcement that it leaves.

    Attributes:
        endpoint_id: ID of the engine.
        acknowledged_at: time of the acknowledgement.
    """

    endpoint_id: str
    acknowledged_at: float


_KEPT_NAMES = (
    'disruptions',
    'silences',
    'changes',
    'leavings',
    'attempts',
    'runs',
)


class Records:
    """All records of a run; lists are appended to by several threads.

    Attributes:
        attempts: the ``Attempt`` objects.
        runs: the ``Run`` objects.
        disruptions: the ``Disruption`` objects.
        silences: the ``Disruption`` of each silence of an endpoint.
        changes: the ``Change`` objects.
        read_backs: the ``ReadBack`` objects.
        final_read_backs: those after the end, one for each control VM.
        final_attempts: the ``Attempt`` objects after the end.
        leavings: the ``Leaving`` objects.
        ended_by_themselves: IDs of VMs whose process ended by itself.
        timeouts: what VMs did not become in time.
        bodies_by_id: bodies that callers sent, by request ID.
        paths_by_id: paths that callers sent, by request ID.
        work_ends_by_id: time at which the last endpoint ended its work on a
            request, by request ID; infinite if it has not ended.
    """

    def __init__(self):
        self.attempts = []
        self.runs = []
        self.disruptions = []
        self.silences = []
        self.changes = []
        self.read_backs = []
        self.final_read_backs = []
        self.final_attempts = []
        self.leavings = []
        self.ended_by_themselves = []
        self.timeouts = []
        self.bodies_by_id = {}
        self.paths_by_id = {}
        self.work_ends_by_id = {}
        self._lock = threading.Lock()
        self._request_count = 0

    def new_request_id(self):
        """Return the ID of a new request."""
        with self._lock:
            self._request_count += 1
            return f'q-{self._request_count}'

    def begin_disruption(self, vm_id, action, is_planned):
        """Record that something is done to a VM from now on."""
        disruption = Disruption(vm_id, action, is_planned, time.monotonic())
        self.disruptions.append(disruption)
        return disruption

    def record_run(self, engine, headers, path, body):
        """Record a request that an engine runs."""
        self.runs.append(
            Run(
                engine.name,
                engine.software_version,
                headers.get('x-carobwood-request-id', ''),
                headers.get('x-carobwood-tenant', ''),
                path,
                body,
                time.monotonic(),
            )
        )

    def keep(self, folder):
        """Write the records to files in a folder."""
        for name in _KEPT_NAMES:
            lines = [str(item) for item in getattr(self, name)]
            path = pathlib.Path(folder) / f'{name}.txt'
            path.write_text('\n'.join(lines) + '\n')

    def has_disruption(self, began_at, ended_at, is_counted):
        """Return whether a counted disruption lies within a time span."""
        return any(
            disruption.began_at <= ended_at and disruption.ended_at >= began_at
            for disruption in self.disruptions
            if is_counted(disruption)
        )
